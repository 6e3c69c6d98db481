"""What a router that stops leaves behind of the keys that it minted."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
from typing import Final

from expression import Error, Ok, Result
import msgspec

from .errors import Fault, Kind, Outcome
from .once import (
    DIGEST_BYTES,
    LookUp,
    Reject,
    reject_reused,
    reject_unknown,
    replay_or_reject,
    STEP,
    StoredAnswer,
    Verdict,
)

MAX_RECORD_BYTES: Final = 900_000
MAX_RECORDED_BODY_BYTES: Final = 1_000


class UsedKey(msgspec.Struct, array_like=True, frozen=True):
    """One used key, as stored.

    Attributes:
        digest: Digest of workspace and key.
        fingerprint: Digest of the request.
        outcome: What was known of its run.
        status: HTTP status, if it has run.
        headers: Headers to repeat, if it has run.
        body: Body to repeat; None if it was too large.
    """

    digest: bytes
    fingerprint: bytes
    outcome: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class MintedRecord(msgspec.Struct, array_like=True, frozen=True):
    """The record of one incarnation that will run nothing more.

    Attributes:
        stopped_ms: Its monotonic time at the end.
        whole: Whether every used key that had not expired is in it.
        used: The used keys.
    """

    stopped_ms: int
    whole: bool
    used: tuple[UsedKey, ...]


def record_key(minter: str, incarnation: int) -> str:
    """Returns the key of a record; names from forged keys do no harm."""
    name = f"{minter}\0{incarnation}".encode()
    digest = hashlib.blake2b(name, digest_size=DIGEST_BYTES)
    return f"corianderdoor/minted/{digest.hexdigest()}"


def build_used_key(
    digest: bytes,
    fingerprint: bytes,
    outcome: Outcome,
    answer: StoredAnswer | None,
) -> UsedKey:
    """Returns the stored form of one used key."""
    if outcome is not Outcome.RUN or answer is None:
        return UsedKey(digest, fingerprint, outcome.value)
    fits = answer.size <= MAX_RECORDED_BODY_BYTES
    return UsedKey(
        digest,
        fingerprint,
        outcome.value,
        answer.status,
        answer.headers if fits else (),
        answer.body if fits else None,
    )


def encode_record(stopped_ms: int, used: Iterable[UsedKey]) -> bytes:
    """Returns a record that fits the service; the newest keys go first."""
    lines: list[UsedKey] = []
    size = 0
    whole = True
    for line in reversed(list(used)):
        size += len(msgspec.msgpack.encode(line))
        if size > MAX_RECORD_BYTES:
            whole = False
            break
        lines.append(line)
    return msgspec.msgpack.encode(
        MintedRecord(stopped_ms, whole, tuple(lines))
    )


def decode_record(raw: bytes) -> Result[MintedRecord, Fault]:
    """Reads a stored record."""
    try:
        return Ok(msgspec.msgpack.decode(raw, type=MintedRecord))
    except msgspec.MsgspecError as exc:
        return Error(Fault(Kind.STORE_FAILED, "decode-minted", str(exc)))


def decide_from_record(
    record: MintedRecord | None,
    lookup: LookUp,
    digest: bytes,
    fingerprint: bytes,
) -> Verdict:
    """Decides on a key whose minter is gone; it never runs.

    Args:
        record: What the minter left; None if there is nothing.
        asked: The verdict that asked for the record.
        digest: Digest of workspace and key.
        fingerprint: Digest of the request.
    """
    unknown = reject_unknown(
        f"the incarnation of {lookup.minter} that holds the key is gone",
        lookup.minter,
    )
    if record is None:
        return unknown
    for line in record.used:
        if line.digest == digest:
            return _tell(line, fingerprint, unknown)
    if not record.whole or lookup.expires_ms <= record.stopped_ms:
        return unknown
    detail = f"{lookup.minter} stopped without running the key; get another"
    return Reject(Fault(Kind.DRAINING, STEP, detail, lookup.minter))


def _tell(line: UsedKey, fingerprint: bytes, unknown: Verdict) -> Verdict:
    if line.fingerprint != fingerprint:
        return reject_reused()
    if line.outcome != Outcome.RUN.value:
        return unknown
    return replay_or_reject(StoredAnswer(line.status, line.headers, line.body))
