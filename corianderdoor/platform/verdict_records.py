"""Decodes and encodes verdicts on crashing requests and prompt parts."""

from __future__ import annotations

from typing import Final

import msgspec

from ..core.entry.crash_verdicts import MAX_VERDICT_MS, MAX_VERDICTS
from ..core.entry.part_reports import PartReport
from ..core.entry.stored_verdicts import StoredVerdicts
from .decoding import decode_fields, RecordError

# The hosts' verdicts, all in one record.
VERDICTS_KEY: Final = "corianderdoor/verdicts"
MAX_DIGEST: Final = 2**64 - 1


class _Verdict(msgspec.Struct):
    suspect: int
    age_ms: int
    period_ms: int


class _Record(msgspec.Struct):
    era: int
    verdicts: list[_Verdict]


def encode_verdicts(stored: StoredVerdicts) -> bytes:
    """Returns the encoded verdicts."""
    verdicts = [
        _Verdict(report.part, report.quarantined_age_ms or 0, report.period_ms)
        for report in stored.verdicts[:MAX_VERDICTS]
    ]
    return msgspec.json.encode(_Record(stored.era, verdicts))


def decode_verdicts(value: bytes) -> StoredVerdicts:
    """Returns the decoded verdicts.

    Raises:
        RecordError: The record is malformed, or has more verdicts or other
            values than a host writes.
    """
    raw = decode_fields(value, _Record, "verdicts")
    if len(raw.verdicts) > MAX_VERDICTS or not all(
        map(_is_valid, raw.verdicts)
    ):
        raise RecordError("verdicts: out of range", "verdicts")
    return StoredVerdicts(
        raw.era,
        tuple(
            PartReport(one.suspect, None, one.age_ms, one.period_ms)
            for one in raw.verdicts
        ),
    )


def _is_valid(raw: _Verdict) -> bool:
    return (
        0 <= raw.suspect <= MAX_DIGEST
        and raw.age_ms >= 0
        and 0 < raw.period_ms <= MAX_VERDICT_MS
    )
