"""Stored record of the minted keys of a router that has stopped."""

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
    """Stored form of one used key.

    Attributes:
        digest: Digest of workspace and key.
        fingerprint: Digest of the request.
        outcome: Outcome of its run, as far as known.
        status: HTTP status, if it has run.
        headers: Headers to replay, if it has run.
        body: Body to replay; None if it was too large.
    """

    digest: bytes
    fingerprint: bytes
    outcome: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class MintedRecord(msgspec.Struct, array_like=True, frozen=True):
    """The record of one incarnation that starts no more runs.

    Attributes:
        stopped_ms: Its monotonic time when the record was made, in ms.
        whole: Whether every used, unexpired key is in the record.
        used: The used keys.
    """

    stopped_ms: int
    whole: bool
    used: tuple[UsedKey, ...]


def record_key(minter: str, incarnation: int) -> str:
    """Returns the key of a record.

    The names are hashed, so that a forged ticket cannot address other data.
    """
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
    """Returns an encoded record of limited size; drops the oldest keys."""
    entries: list[UsedKey] = []
    size = 0
    whole = True
    for entry in reversed(list(used)):
        size += len(msgspec.msgpack.encode(entry))
        if size > MAX_RECORD_BYTES:
            whole = False
            break
        entries.append(entry)
    return msgspec.msgpack.encode(
        MintedRecord(stopped_ms, whole, tuple(entries))
    )


def decode_record(raw: bytes) -> Result[MintedRecord, Fault]:
    """Decodes a stored record."""
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
    """Returns the verdict on a key whose minter is gone; it never runs.

    Args:
        record: The record of the minter; None if not found.
        lookup: The verdict that requested the record.
        digest: Digest of workspace and key.
        fingerprint: Digest of the request.
    """
    unknown = reject_unknown(
        f"the incarnation of {lookup.minter} that holds the key is gone",
        lookup.minter,
    )
    if record is None:
        return unknown
    for entry in record.used:
        if entry.digest == digest:
            return _decide_used(entry, fingerprint, unknown)
    if not record.whole or lookup.expires_ms <= record.stopped_ms:
        return unknown
    detail = f"{lookup.minter} stopped without running the key; get another"
    return Reject(Fault(Kind.DRAINING, STEP, detail, lookup.minter))


def _decide_used(
    entry: UsedKey, fingerprint: bytes, unknown: Verdict
) -> Verdict:
    if entry.fingerprint != fingerprint:
        return reject_reused()
    if entry.outcome != Outcome.RUN.value:
        return unknown
    return replay_or_reject(
        StoredAnswer(entry.status, entry.headers, entry.body)
    )
