"""Encoding of the reports about crashes in heartbeats."""

from __future__ import annotations

import itertools
from typing import Any, Final

from ..core.entry.crash_evidence import AttemptReport
from ..core.entry.crash_verdicts import MAX_REPORTS
from ..core.entry.crashing_requests import MAX_PARTS
from ..core.entry.crashing_requests import MAX_REPORTS as MAX_ATTEMPTS
from ..core.entry.part_reports import PartReport

# Highest age that a field can hold; higher ones are sent as this.
MAX_AGE_MS: Final = 2**32 - 2
# Encodes that there is no age.
NO_AGE: Final = 2**32 - 1


def encode_attempts(reports: tuple[AttemptReport, ...]) -> list[Any]:
    """Returns the values of the heartbeat's field `attempts`."""
    return [
        {
            "id": report.id,
            "request": report.request,
            "server": report.server,
            "ageMs": min(MAX_AGE_MS, report.age_ms),
            "begun": report.begun,
            "parts": list(report.parts[:MAX_PARTS]),
        }
        for report in reports[:MAX_ATTEMPTS]
    ]


def decode_attempts(raw: Any) -> tuple[AttemptReport, ...]:
    """Returns the reports in the heartbeat's field `attempts`."""
    return tuple(
        AttemptReport(
            item.id,
            item.request,
            item.server,
            item.ageMs,
            item.begun,
            tuple(itertools.islice(item.parts, MAX_PARTS)),
        )
        for item in itertools.islice(raw, MAX_ATTEMPTS)
    )


def encode_parts(reports: tuple[PartReport, ...]) -> list[Any]:
    """Returns the values of the heartbeat's field `parts`."""
    return [
        {
            "part": report.part,
            "answeredAgeMs": _encode_age(report.answered_age_ms),
            "quarantinedAgeMs": _encode_age(report.quarantined_age_ms),
            "periodMs": report.period_ms,
        }
        for report in reports[:MAX_REPORTS]
    ]


def decode_parts(raw: Any) -> tuple[PartReport, ...]:
    """Returns the reports in the heartbeat's field `parts`."""
    return tuple(
        PartReport(
            item.part,
            _decode_age(item.answeredAgeMs),
            _decode_age(item.quarantinedAgeMs),
            item.periodMs,
        )
        for item in itertools.islice(raw, MAX_REPORTS)
    )


def _encode_age(age_ms: int | None) -> int:
    return NO_AGE if age_ms is None else min(MAX_AGE_MS, max(0, age_ms))


def _decode_age(value: int) -> int | None:
    return None if value == NO_AGE else value
