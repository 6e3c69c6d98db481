"""Events and actions of the claim protocol of one shard."""

from __future__ import annotations

from typing import TypeAlias

from .once import RunResult, Verdict
from .records import Record


class ClaimRequest(Record):
    """Event: a request with an idempotency key of the caller arrived.

    Attributes:
        id: Request id.
        digest: Digest of workspace and key.
        fingerprint: Digest of the request.
        limit_ms: Longest time that the run may take, in ms.
        first: Whether the caller declares that it never sent the key before.
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
    """Event: the wait for the verdict on request `id` has ended."""

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
    """Event: a slot was read; version 0 and an empty value if absent."""

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
    """Event: the write succeeded; the slot is now at `version`."""

    __slots__ = ("version",)

    def __init__(self, version: int) -> None:
        self.version = version


class WriteConflict(Record):
    """Event: the slot was at another version; nothing was written."""

    __slots__ = ()


class WriteUnconfirmed(Record):
    """Event: the write got no answer; it may take effect, even later."""

    __slots__ = ()


class WriteFailed(Record):
    """Event: the write did not reach the key-value service."""

    __slots__ = ()


class Tick(Record):
    """Event: the time of a `WakeAt` was reached."""

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
    """Action: read `slot`."""

    __slots__ = ("slot",)

    def __init__(self, slot: int) -> None:
        self.slot = slot


class WriteSlot(Record):
    """Action: write `value` to `slot` if it is at `version`."""

    __slots__ = ("slot", "version", "value")

    def __init__(self, slot: int, version: int, value: bytes) -> None:
        self.slot = slot
        self.version = version
        self.value = value


class ReturnVerdict(Record):
    """Action: return the verdict to request `id`."""

    __slots__ = ("id", "verdict")

    def __init__(self, id: str, verdict: Verdict) -> None:
        self.id = id
        self.verdict = verdict


class WakeAt(Record):
    """Action: send a `Tick` at `at_ms`, monotonic time."""

    __slots__ = ("at_ms",)

    def __init__(self, at_ms: int) -> None:
        self.at_ms = at_ms


Action: TypeAlias = ReadSlot | WriteSlot | ReturnVerdict | WakeAt
