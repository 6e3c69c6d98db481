"""What becomes of suspect prompt parts, and what hosts report of them."""

from __future__ import annotations

import enum

from ..records import Record


class PartChange(enum.Enum):
    """What became of a prompt part."""

    QUARANTINED = "quarantined"
    RENEWED = "renewed"
    TRIED = "tried"
    RELEASED = "released"
    RESTORED = "restored"


class PartReport(Record):
    """What a host tells its peers about a suspect prompt part.

    Attributes:
        part: Digest of the part.
        answered_age_ms: Time since an answer for it began; None if the host
            tells of none.
        quarantined_age_ms: Time since the crash that put it in quarantine;
            None if it is not.
        period_ms: How long it is quarantined before a trial.
    """

    __slots__ = ("part", "answered_age_ms", "quarantined_age_ms", "period_ms")

    def __init__(
        self,
        part: int,
        answered_age_ms: int | None,
        quarantined_age_ms: int | None,
        period_ms: int,
    ) -> None:
        self.part = part
        self.answered_age_ms = answered_age_ms
        self.quarantined_age_ms = quarantined_age_ms
        self.period_ms = period_ms
