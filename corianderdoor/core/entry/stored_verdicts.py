"""Verdicts on crashing requests and prompt parts that the store keeps.

They outlive the hosts: hosts that all start at once take them over with the
first copy of the store's items, which also brings the desired state, so that
nothing is sent before. docs/design/crashing_requests.md has the rule.
"""

from __future__ import annotations

from typing import Final

from ..records import Record
from .crash_verdicts import CrashVerdicts, SAME_VERDICT_MS
from .part_reports import PartReport

# A record with verdicts is written again after this time: ages don't grow in
# the store.
REFRESH_MS: Final = 10_000


class StoredVerdicts(Record):
    """The verdicts as one host wrote them.

    Attributes:
        era: Era of the store in which they were written.
        verdicts: The verdicts, with their ages at that time.
    """

    __slots__ = ("era", "verdicts")

    def __init__(self, era: int, verdicts: tuple[PartReport, ...]) -> None:
        self.era = era
        self.verdicts = verdicts

    def matches(self, verdicts: tuple[PartReport, ...]) -> bool:
        """Returns whether `verdicts` are the same, by now perhaps older."""
        ages = {_identify(known): _get_age(known) for known in self.verdicts}
        return len(ages) == len(verdicts) and all(
            _identify(found) in ages
            and _get_age(found) > ages[_identify(found)] - SAME_VERDICT_MS
            for found in verdicts
        )


def _identify(report: PartReport) -> tuple[int, int]:
    return report.part, report.period_ms


def _get_age(report: PartReport) -> int:
    return report.quarantined_age_ms or 0


class VerdictKeeper:
    """Compares this host's verdicts with those in the store."""

    __slots__ = ("_verdicts", "_stored", "_since_ms", "_is_starting")

    def __init__(self, verdicts: CrashVerdicts) -> None:
        """Initializes the object for a host that starts."""
        self._verdicts = verdicts
        self._stored: StoredVerdicts | None = None
        self._since_ms = 0
        self._is_starting = True

    def end_start(self) -> None:
        """Records that this host knows the store's items from now on.

        Later verdicts come from peers, which know how old they are.
        """
        self._is_starting = False

    def record(
        self, stored: StoredVerdicts | None, is_current: bool, now_ms: int
    ) -> None:
        """Records what the store has.

        Args:
            stored: The verdicts; None if there is no readable record.
            is_current: Whether it was written, or removed, in the store's
                present era, and not before it was restored from a copy.
            now_ms: Monotonic time in ms.
        """
        self._stored = stored
        self._since_ms = now_ms
        verdicts = () if stored is None else stored.verdicts
        if self._is_starting:
            self._verdicts.restore(verdicts, now_ms)
        elif is_current:
            self._verdicts.drop_stored({report.part for report in verdicts})

    def is_only_ending(self, wanted: StoredVerdicts, now_ms: int) -> bool:
        """Returns whether a write would only end verdicts of a new record.

        The host that wrote it may know better why they are there.
        """
        if self._stored is None or now_ms - self._since_ms >= REFRESH_MS:
            return False
        known = set(map(_identify, self._stored.verdicts))
        return known > set(map(_identify, wanted.verdicts))

    def plan_next(self, era: int, now_ms: int) -> StoredVerdicts | None:
        """Returns what has to be written; None if the record is right.

        Args:
            era: Present era of the store.
            now_ms: Monotonic time in ms.
        """
        stored = self._stored
        if stored is None and not len(self._verdicts):
            return None
        wanted = self._verdicts.list_all(now_ms)
        if (
            stored is not None
            and stored.era == era
            and stored.matches(wanted)
            and (not wanted or now_ms - self._since_ms < REFRESH_MS)
        ):
            return None
        return StoredVerdicts(era, wanted)
