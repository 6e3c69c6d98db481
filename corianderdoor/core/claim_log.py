"""Format of the claim log: a ring of segments for each shard of keys.

Only one segment, the head, is open. Every commit is a compare-and-swap of
the head against the version that its writer last read. The commit that fills
the head also seals it, and a sealed segment is not written again until the
ring wraps around. A writer that holds every earlier segment sealed, and whose
commit on the head succeeds, has therefore seen every claim before its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from expression import Error, Ok, Result
import msgspec

from .errors import Fault, Kind, Outcome
from .once import RunResult, StoredAnswer
from .records import Record
from .rendezvous import rank

SHARDS: Final = 32
SLOTS: Final = 48
SEGMENT_BYTES: Final = 100_000
MAX_SEGMENT_BYTES: Final = 900_000
RETENTION_MS: Final = 600_000
MAX_STORED_BODY_BYTES: Final = 1_000
STORED_HEADERS: Final = frozenset({"content-type", "location"})
MAX_STORED_HEADER_CHARS: Final = 256


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One stored entry of the log: a claim or the result of its run.

    Attributes:
        digest: Digest of workspace and key.
        owner: The router incarnation that claimed it.
        number: Distinguishes the claims of one owner.
        at_ms: Unix time of the entry.
        outcome: Empty in a claim; else the outcome of the claimed run.
        fingerprint: Digest of the request, in a claim.
        until_ms: Unix time by which the run must have ended, in a claim.
        status: HTTP status, if it has run.
        headers: Headers to replay, if it has run.
        body: Body to replay; None if it was too large.
    """

    digest: bytes
    owner: str
    number: int
    at_ms: int
    outcome: str = ""
    fingerprint: bytes = b""
    until_ms: int = 0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Segment(msgspec.Struct, array_like=True, frozen=True):
    """The value of one slot in the key-value service.

    Attributes:
        serial: Position in the log; the slot is the serial modulo `SLOTS`.
        sealed: Whether it is full, so that the next segment is the head.
        entries: The entries, oldest first.
    """

    serial: int
    sealed: bool = False
    entries: tuple[Entry, ...] = ()


class Claim(Record):
    """State of one key according to the log.

    Attributes:
        owner: The router incarnation that may run it.
        number: Number of the claim among those of its owner.
        fingerprint: Digest of the claimed request.
        until_ms: Unix time by which the run must have ended.
        outcome: Outcome of the run, None if not in the log.
        answer: The stored answer, if the outcome is `run`.
    """

    __slots__ = (
        "owner",
        "number",
        "fingerprint",
        "until_ms",
        "outcome",
        "answer",
    )

    def __init__(
        self,
        owner: str,
        number: int,
        fingerprint: bytes,
        until_ms: int,
        outcome: Outcome | None = None,
        answer: StoredAnswer | None = None,
    ) -> None:
        self.owner = owner
        self.number = number
        self.fingerprint = fingerprint
        self.until_ms = until_ms
        self.outcome = outcome
        self.answer = answer


def shard_of(digest: bytes, shards: int = SHARDS) -> int:
    """Returns the shard that holds the key with `digest`."""
    return int.from_bytes(digest[:4], "big") % shards


def choose_home(digest: bytes, routers: Iterable[str]) -> str | None:
    """Returns the preferred router for a key's shard, None without routers.

    Sending a shard's requests to one router only saves writes; a key is kept
    from running twice by the compare-and-swap on the version of the head.
    """
    order = rank(f"claims/{shard_of(digest)}", routers)
    return order[0] if order else None


def slot_key(shard: int, slot: int) -> str:
    """Returns the key of a slot in the key-value service."""
    return f"corianderdoor/claims/{shard}/{slot}"


def encode_segment(segment: Segment) -> bytes:
    """Returns the stored form of `segment`."""
    return msgspec.msgpack.encode(segment)


def decode_segment(raw: bytes) -> Result[Segment, Fault]:
    """Decodes a stored segment."""
    try:
        return Ok(msgspec.msgpack.decode(raw, type=Segment))
    except msgspec.MsgspecError as exc:
        fault = Fault(Kind.STORE_FAILED, "decode-claims", str(exc))
        return Error(fault)


def find_gaps(serials: dict[int, tuple[int, bool]], slots: int) -> set[int]:
    """Returns the slots that must be read again before a commit.

    Args:
        serials: Serial and `sealed` of each slot that holds a segment.
        slots: Number of slots in the ring.
    """
    if not serials:
        return set()
    head = max(serial for serial, _ in serials.values())
    gaps = set()
    for serial in range(max(0, head - slots + 1), head):
        if serials.get(serial % slots) != (serial, True):
            gaps.add(serial % slots)
    return gaps


def apply_entry(claims: dict[bytes, Claim], entry: Entry) -> None:
    """Applies one entry of the log to `claims`."""
    if not entry.outcome:
        claims[entry.digest] = Claim(
            entry.owner, entry.number, entry.fingerprint, entry.until_ms
        )
        return
    claim = claims.get(entry.digest)
    if claim is None or not ends_claim(entry, claim):
        return
    if entry.outcome == Outcome.NOT_RUN.value:
        del claims[entry.digest]
        return
    claim.outcome = Outcome(entry.outcome)
    if claim.outcome is Outcome.RUN:
        claim.answer = StoredAnswer(entry.status, entry.headers, entry.body)


def ends_claim(entry: Entry, claim: Claim) -> bool:
    """Returns whether `entry` is the result of exactly this claim."""
    return (entry.owner, entry.number) == (claim.owner, claim.number)


def build_result_entry(
    digest: bytes, owner: str, number: int, at_ms: int, result: RunResult
) -> Entry:
    """Returns the log entry for the result of a claimed run."""
    answer = result.answer
    if answer is None:
        return Entry(digest, owner, number, at_ms, result.outcome.value)
    fits = len(answer.body or b"") <= MAX_STORED_BODY_BYTES
    headers = tuple(
        (name, value)
        for name, value in answer.headers
        if name in STORED_HEADERS and len(value) <= MAX_STORED_HEADER_CHARS
    )
    return Entry(
        digest,
        owner,
        number,
        at_ms,
        result.outcome.value,
        status=answer.status,
        headers=headers,
        body=answer.body if fits else None,
    )
