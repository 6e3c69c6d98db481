"""Events and actions of leader election by lease."""

from __future__ import annotations

from typing import TypeAlias

from expression import Result
import msgspec

from .errors import Fault
from .records import Record


class LeaderRecord(Record):
    """The leader record in the key-value service.

    Attributes:
        holder: Name of the leader; empty if the last one resigned.
        lease: The lease under which it was written.
        version: Its version, which is the fencing token.
    """

    __slots__ = ("holder", "lease", "version")

    def __init__(self, holder: str, lease: str, version: int) -> None:
        self.holder = holder
        self.lease = lease
        self.version = version


class _LeaderBody(msgspec.Struct):
    """The stored form of a leader record."""

    holder: str = ""
    lease: str = ""


def encode_leader(holder: str, lease: str) -> bytes:
    """Returns the stored form of a leader record."""
    return msgspec.json.encode(_LeaderBody(holder, lease))


def decode_leader(raw: bytes, version: int) -> LeaderRecord:
    """Decodes a leader record; an invalid one yields an empty holder."""
    try:
        body = msgspec.json.decode(raw, type=_LeaderBody)
    except msgspec.MsgspecError:
        body = _LeaderBody()
    return LeaderRecord(body.holder, body.lease, version)


class Tick(Record):
    """Event: a timer fired."""

    __slots__ = ()


class Resign(Record):
    """Event: this process is shutting down."""

    __slots__ = ()


class Answer(Record):
    """Answer of the key-value service to one call.

    Attributes:
        call: Number of the call that it answers.
        result: The value, or the fault.
    """

    __slots__ = ("call", "result")


class LeaderRead(Answer):
    """Event: reading the leader record succeeded or failed."""

    __slots__ = ()

    def __init__(
        self, call: int, result: Result[LeaderRecord | None, Fault]
    ) -> None:
        self.call = call
        self.result = result


class LeaseGranted(Answer):
    """Event: the request for a lease succeeded or failed."""

    __slots__ = ()

    def __init__(self, call: int, result: Result[str, Fault]) -> None:
        self.call = call
        self.result = result


class LeaderWritten(Answer):
    """Event: writing the leader record succeeded or failed."""

    __slots__ = ()

    def __init__(self, call: int, result: Result[int, Fault]) -> None:
        self.call = call
        self.result = result


class LeaseRenewed(Answer):
    """Event: renewing the lease succeeded or failed."""

    __slots__ = ()

    def __init__(self, call: int, result: Result[None, Fault]) -> None:
        self.call = call
        self.result = result


LeaseEvent: TypeAlias = (
    Tick | Resign | LeaderRead | LeaseGranted | LeaderWritten | LeaseRenewed
)


class ReadLeader(Record):
    """Action: read the leader record."""

    __slots__ = ("call",)

    def __init__(self, call: int) -> None:
        self.call = call


class GrantLease(Record):
    """Action: request a lease of `ttl_ms`."""

    __slots__ = ("call", "ttl_ms")

    def __init__(self, call: int, ttl_ms: int) -> None:
        self.call = call
        self.ttl_ms = ttl_ms


class WriteLeader(Record):
    """Action: write the leader record if it is still at `version`.

    Attributes:
        call: Number of the call.
        value: The record.
        version: The version that was last read, 0 if absent.
        lease: The lease whose expiry removes the record; empty for none.
    """

    __slots__ = ("call", "value", "version", "lease")

    def __init__(
        self, call: int, value: bytes, version: int, lease: str
    ) -> None:
        self.call = call
        self.value = value
        self.version = version
        self.lease = lease


class RenewLease(Record):
    """Action: renew `lease`."""

    __slots__ = ("call", "lease")

    def __init__(self, call: int, lease: str) -> None:
        self.call = call
        self.lease = lease


LeaseAction: TypeAlias = ReadLeader | GrantLease | WriteLeader | RenewLease
