"""Typed events and actions of the claims of one shard."""

from __future__ import annotations

from typing import TypeAlias

from .once import RunResult, Verdict
from .records import Record


class ClaimRequest(Record):
    """Event: a request with a caller's own key arrived.

    Attributes:
        id: Request id.
        digest: Digest of workspace and key.
        fingerprint: Digest of the request.
        limit_ms: Longest time that its run may take, in ms.
        first: Whether the caller says that it has not sent the key before.
    """

    __slots__ = ("id", "digest", "fingerprint", "limit_ms", "first")

    def __init__(
        self,
        id: str,
        digest: bytes,
        fingerprint: bytes,
        limit_ms: int,
        first: bool = False,
    ) -> None:
        self.first = first
        self.id = id
        self.digest = digest
        self.fingerprint = fingerprint
        self.limit_ms = limit_ms


class RequestAbandoned(Record):
    """Event: nobody waits any longer for the verdict on request `id`."""

    __slots__ = ("id",)

    def __init__(self, id: str) -> None:
        self.id = id


class RunEnded(Record):
    """Event: the run of a claimed key ended."""

    __slots__ = ("digest", "result")

    def __init__(self, digest: bytes, result: RunResult) -> None:
        self.digest = digest
        self.result = result


class SlotRead(Record):
    """Event: a slot was read; version 0 and no value if it is absent."""

    __slots__ = ("slot", "version", "value")

    def __init__(self, slot: int, version: int, value: bytes) -> None:
        self.slot = slot
        self.version = version
        self.value = value


class ReadFailed(Record):
    """Event: a slot could not be read."""

    __slots__ = ("slot",)

    def __init__(self, slot: int) -> None:
        self.slot = slot


class Written(Record):
    """Event: the write took effect under `version`."""

    __slots__ = ("version",)

    def __init__(self, version: int) -> None:
        self.version = version


class WriteConflict(Record):
    """Event: the slot was at another version, nothing was written."""

    __slots__ = ()


class WriteUnconfirmed(Record):
    """Event: no answer came; the write may take effect, also later."""

    __slots__ = ()


class WriteFailed(Record):
    """Event: the write did not reach the service."""

    __slots__ = ()


class Tick(Record):
    """Event: the time of a `WakeAt` has come."""

    __slots__ = ()


Event: TypeAlias = (
    ClaimRequest
    | RequestAbandoned
    | RunEnded
    | SlotRead
    | ReadFailed
    | Written
    | WriteConflict
    | WriteUnconfirmed
    | WriteFailed
    | Tick
)


class ReadSlot(Record):
    """Action: read a slot."""

    __slots__ = ("slot",)

    def __init__(self, slot: int) -> None:
        self.slot = slot


class WriteSlot(Record):
    """Action: write a slot if it is at `version`."""

    __slots__ = ("slot", "version", "value")

    def __init__(self, slot: int, version: int, value: bytes) -> None:
        self.slot = slot
        self.version = version
        self.value = value


class ReturnVerdict(Record):
    """Action: tell request `id` its verdict."""

    __slots__ = ("id", "verdict")

    def __init__(self, id: str, verdict: Verdict) -> None:
        self.id = id
        self.verdict = verdict


class WakeAt(Record):
    """Action: hand in a `Tick` at `at_ms` of the monotonic clock."""

    __slots__ = ("at_ms",)

    def __init__(self, at_ms: int) -> None:
        self.at_ms = at_ms


Action: TypeAlias = ReadSlot | WriteSlot | ReturnVerdict | WakeAt
