"""The operators' desired state of the engines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Final

from expression import Error, Ok, Result
import msgspec

from .errors import Fault, Kind
from .forecast import load_zone
from .orders import Role, Spec
from .records import Record
from .topology import Server
from .weight_loads import Priority

DESIRED_KEY: Final = "corianderdoor/desired"
MAX_DESIRED_BYTES: Final = 1_000_000

Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=128, pattern=r"^[^@\s]+$")
]
Minutes = Annotated[int, msgspec.Meta(ge=0, le=600)]


class WarmBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many servers of a pool are awake at a time of day.

    Attributes:
        zone: IANA zone by whose clock the load moves.
        floor: Servers that are always awake.
        per_server: Requests in progress that one server should bear.
        lead_minutes: How long before the load a server is woken.
        hold_minutes: How long after the load a server stays awake.
        keep_models: Whether a server that is not awake keeps its weights.
    """

    zone: str
    floor: Annotated[int, msgspec.Meta(ge=1)]
    per_server: Annotated[float, msgspec.Meta(gt=0)]
    lead_minutes: Minutes = 30
    hold_minutes: Minutes = 30
    keep_models: bool = False


class SpecBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The desired state of one server, or of each server of a pool."""

    models: dict[Name, Name] = {}
    adapters: dict[Name, Name] = {}
    role: Role = Role.MIXED
    warm: WarmBody | None = None


class DesiredBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The stored form: by pool, and by server where one differs."""

    pools: dict[Name, SpecBody] = {}
    servers: dict[Name, SpecBody] = {}


class Goal(Record):
    """What one server should become.

    Attributes:
        spec: Its desired state.
        priority: How urgent a load for it is.
    """

    __slots__ = ("spec", "priority")

    def __init__(self, spec: Spec, priority: Priority) -> None:
        self.spec = spec
        self.priority = priority

    @property
    def serves(self) -> bool:
        """Whether the server is meant to run requests."""
        return self.spec.role is not Role.IDLE and bool(self.spec.models)


class Desired(Record):
    """The desired state under its version in the key-value service."""

    __slots__ = ("version", "body")

    def __init__(self, version: int, body: DesiredBody) -> None:
        self.version = version
        self.body = body

    def goal(
        self, server: Server, active: Mapping[str, frozenset[str]]
    ) -> Goal | None:
        """Returns the goal of a server; None if nothing is asked of it.

        Args:
            server: The server.
            awake: Names of the servers that are to be awake, by pool, for
                pools that follow the time of day.
        """
        own = self.body.servers.get(server.name)
        if own is not None:
            return Goal(_build_spec(own), Priority.ROLLOUT)
        pool = self.body.pools.get(server.pool)
        if pool is None:
            return None
        if pool.warm is None or server.pool not in active:
            return Goal(_build_spec(pool), Priority.ROLLOUT)
        if server.name in active[server.pool]:
            return Goal(_build_spec(pool), Priority.WARM_UP)
        if pool.warm.keep_models:
            spec = Spec(Role.IDLE, pool.models, pool.adapters)
            return Goal(spec, Priority.SPARE)
        return Goal(Spec(Role.IDLE, {}, {}), Priority.SPARE)


EMPTY_DESIRED: Final = Desired(0, DesiredBody())


def decode_desired(raw: bytes, version: int) -> Result[Desired, Fault]:
    """Reads a desired state, all or nothing.

    Returns:
        The desired state, or a `Kind.BAD_CONFIG` fault naming the field.
    """
    step = "decode-desired"
    if len(raw) > MAX_DESIRED_BYTES:
        detail = f"{len(raw)} bytes, at most {MAX_DESIRED_BYTES}"
        return Error(Fault(Kind.BAD_CONFIG, step, detail))
    try:
        body = msgspec.json.decode(raw, type=DesiredBody)
    except msgspec.MsgspecError as exc:
        return Error(Fault(Kind.BAD_CONFIG, step, str(exc)))
    for name, spec in body.servers.items():
        if spec.warm is not None:
            detail = f"server {name}: 'warm' belongs to a pool"
            return Error(Fault(Kind.BAD_CONFIG, step, detail))
    for name, spec in body.pools.items():
        if spec.warm is not None and load_zone(spec.warm.zone) is None:
            detail = f"pool {name}: {spec.warm.zone!r} is no IANA zone"
            return Error(Fault(Kind.BAD_CONFIG, step, detail))
    return Ok(Desired(version, body))


def _build_spec(body: SpecBody) -> Spec:
    return Spec(body.role, body.models, body.adapters)
