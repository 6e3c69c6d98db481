"""Encoding of servers' limits in heartbeats."""

from __future__ import annotations

import itertools
import math
from typing import Any, Final

from ..core.entry.server_limits import LimitReport, MAX_REPORTS

# Highest age that the field can hold; higher ones are sent as this.
MAX_AGE_MS: Final = 2**32 - 1
# Encodes a limit that has ended.
ENDED: Final = -1.0


def encode_limits(reports: tuple[LimitReport, ...]) -> list[Any]:
    """Returns the values of the heartbeat's field `limits`."""
    return [
        {
            "server": report.server,
            "perSecond": ENDED if report.per_s is None else report.per_s,
            "ageMs": min(MAX_AGE_MS, report.age_ms),
        }
        for report in reports[:MAX_REPORTS]
    ]


def decode_limits(raw: Any) -> tuple[LimitReport, ...]:
    """Returns the reports in the heartbeat's field `limits`.

    Leaves out those whose rate is no number.
    """
    return tuple(
        LimitReport(
            item.server,
            item.perSecond if item.perSecond >= 0 else None,
            item.ageMs,
        )
        for item in itertools.islice(raw, MAX_REPORTS)
        if math.isfinite(item.perSecond)
    )
