"""Orders to model engines, and their derivation from desired state.

Orders are declarative and therefore idempotent: each names a state to reach.
Each carries the fencing token of the leader that gave it and a time after
which it must not be carried out.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
import enum
from typing import Final

from .records import Record

LOAD_KINDS: Final = ("load-model", "load-adapter")


class Role(enum.Enum):
    """Part of its pool's work that an engine does."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"
    IDLE = "idle"


class OrderKind(enum.Enum):
    """Kind of an order."""

    RAISE_FENCE = "raise-fence"
    LOAD_MODEL = "load-model"
    DROP_MODEL = "drop-model"
    LOAD_ADAPTER = "load-adapter"
    DROP_ADAPTER = "drop-adapter"
    SET_ROLE = "set-role"


class Spec(Record):
    """The state that an engine should be in.

    Attributes:
        role: Its role.
        models: Version by model name.
        adapters: Version by adapter name.
    """

    __slots__ = ("role", "models", "adapters")

    def __init__(
        self,
        role: Role,
        models: Mapping[str, str],
        adapters: Mapping[str, str],
    ) -> None:
        self.role = role
        self.models = models
        self.adapters = adapters


class Report(Record):
    """The state that an engine reports.

    Attributes:
        incarnation: Start time in Unix ms; larger after each restart.
        role: Its role.
        models: Version by model name, loaded and ready.
        adapters: Version by adapter name, loaded and ready.
        loading: Artifacts being loaded, as "NAME@VERSION".
        fence: Highest fencing token seen; 0 if it checks none.
        in_flight: Number of requests in progress.
    """

    __slots__ = (
        "incarnation",
        "role",
        "models",
        "adapters",
        "loading",
        "fence",
        "in_flight",
    )

    def __init__(
        self,
        incarnation: int,
        role: Role,
        models: Mapping[str, str],
        adapters: Mapping[str, str],
        loading: frozenset[str] = frozenset(),
        fence: int = 0,
        in_flight: int = 0,
    ) -> None:
        self.incarnation = incarnation
        self.role = role
        self.models = models
        self.adapters = adapters
        self.loading = loading
        self.fence = fence
        self.in_flight = in_flight

    @property
    def serves(self) -> bool:
        """Whether the engine can run requests."""
        return self.role is not Role.IDLE and bool(self.models)


class Step(Record):
    """One difference between the desired and the reported state.

    Attributes:
        kind: Kind of the order that resolves it.
        name: Name of the model or adapter, or the role; may be empty.
        version: Version of the model or adapter to load; otherwise empty.
    """

    __slots__ = ("kind", "name", "version")

    def __init__(self, kind: OrderKind, name: str, version: str = "") -> None:
        self.kind = kind
        self.name = name
        self.version = version

    @property
    def artifact(self) -> str:
        """Name of the artifact in the weight store."""
        return f"{self.name}@{self.version}"

    @property
    def loads(self) -> bool:
        """Whether the order loads weights from the weight store."""
        return self.kind.value in LOAD_KINDS

    @property
    def reduces_service(self) -> bool:
        """Whether the engine may serve fewer requests after the order."""
        if self.kind is OrderKind.SET_ROLE:
            return self.name == Role.IDLE.value
        return self.kind is OrderKind.DROP_MODEL


class Order(Record):
    """An order as sent to an engine.

    Attributes:
        call: Number of the call, unique for one fencing token.
        step: The difference that it resolves.
        fence: Fencing token of the leader that gave it.
        not_after_ms: Unix time after which it must not be carried out, in
            ms.
    """

    __slots__ = ("call", "step", "fence", "not_after_ms")

    def __init__(
        self, call: int, step: Step, fence: int, not_after_ms: int
    ) -> None:
        self.call = call
        self.step = step
        self.fence = fence
        self.not_after_ms = not_after_ms


def accepts_fence(highest_seen: int, fence: int) -> bool:
    """Returns whether an engine that checks tokens carries out an order.

    Args:
        highest_seen: Highest fencing token that the engine has seen.
        fence: Fencing token of the order.
    """
    return fence >= highest_seen


def settle_end_ms(since_ms: int, longest_order_ms: int, fenced: bool) -> int:
    """Returns the earliest time of a new leader's calls to an engine, in ms.

    An engine that checks fencing tokens rejects orders of the old leader.
    Any other may still carry them out until they expire.

    Args:
        since_ms: When the leader's term began, in ms of monotonic time.
        longest_order_ms: Maximum duration of an order, in ms.
        fenced: Whether the engine checks fencing tokens.
    """
    return since_ms if fenced else since_ms + longest_order_ms


def plan_steps(spec: Spec, report: Report) -> Iterator[Step]:
    """Yields the steps from the reported to the desired state, in order.

    Loads come before the role change and drops come last, so that an engine
    serves throughout; one that becomes idle does so before it drops models.
    """
    yield from _plan_loads(OrderKind.LOAD_MODEL, spec.models, report.models)
    yield from _plan_loads(
        OrderKind.LOAD_ADAPTER, spec.adapters, report.adapters
    )
    if spec.role is not report.role:
        yield Step(OrderKind.SET_ROLE, spec.role.value)
    for name in sorted(set(report.adapters) - set(spec.adapters)):
        yield Step(OrderKind.DROP_ADAPTER, name)
    for name in sorted(set(report.models) - set(spec.models)):
        yield Step(OrderKind.DROP_MODEL, name)


def _plan_loads(
    kind: OrderKind, wanted: Mapping[str, str], held: Mapping[str, str]
) -> Iterator[Step]:
    for name, version in sorted(wanted.items()):
        if held.get(name) != version:
            yield Step(kind, name, version)
