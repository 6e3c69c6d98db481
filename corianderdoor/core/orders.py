"""Orders to model engines, and what follows from desired and reported state.

Orders are declarative: each names a state to be in, so giving one twice has
the effect of once. Each carries the fencing number of the leader that gave
it and a time after which it must not be followed.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
import enum
from typing import Final

from .records import Record

LOADS: Final = ("load-model", "load-adapter")


class Role(enum.Enum):
    """What part of the work of its pool an engine takes."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"
    IDLE = "idle"


class OrderKind(enum.Enum):
    """What an order asks for."""

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
    """The state that an engine says it is in.

    Attributes:
        incarnation: Start time in Unix ms; larger after each restart.
        role: Its role.
        models: Version by model name, loaded and ready.
        adapters: Version by adapter name, loaded and ready.
        loading: Artifacts being loaded, as "NAME@VERSION".
        fence: Highest fencing number seen; 0 if it checks none.
        in_flight: Requests in progress.
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
        kind: What has to be ordered.
        name: Name of the model or adapter, or the role.
        version: Its version; empty where there is none.
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
        """Whether it takes weights from the weight store."""
        return self.kind.value in LOADS

    @property
    def takes_away(self) -> bool:
        """Whether the engine may serve less after it."""
        if self.kind is OrderKind.SET_ROLE:
            return self.name == Role.IDLE.value
        return self.kind is OrderKind.DROP_MODEL


class Order(Record):
    """An order as it goes to an engine.

    Attributes:
        call: Number of the call, unique under one fencing number.
        step: What it asks for.
        fence: Fencing number of the leader that gave it.
        not_after_ms: Unix time after which it must not be followed, in ms.
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
    """Tells whether an engine that checks numbers follows an order."""
    return fence >= highest_seen


def settle_end_ms(since_ms: int, longest_order_ms: int, fenced: bool) -> int:
    """Returns when a new leader may first read and order an engine.

    An engine that checks numbers refuses what the old leader still sends.
    Any other may follow it for as long as an order lasts.

    Args:
        since_ms: When the leader began to lead, in ms.
        longest_order_ms: How long an order may last, in ms.
        fenced: Whether the engine checks fencing numbers.
    """
    return since_ms if fenced else since_ms + longest_order_ms


def plan_steps(spec: Spec, report: Report) -> Iterator[Step]:
    """Yields what has to be ordered, in order.

    Loads come before the role and drops come last, so that an engine
    serves throughout; an engine that goes idle does so before it drops.
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
