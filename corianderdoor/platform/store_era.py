"""Era of the platform's store, which rises when the store is restored."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.entry.counters import Counters

ERA_HEADER: Final = b"store-era"
# Higher values are invalid: the era rises by one for each restore.
MAX_ERA: Final = 2**32 - 1
# A host can't have missed more restores than this between two answers.
MAX_ERA_RISE: Final = 1_000
NO_ERA: Final = 0


class StoreEra:
    """The newest era known to a host.

    Revisions and leases are valid within one era only: after a restore the
    store gives them out again.

    Attributes:
        known: The newest era; `NO_ERA` before the first one is known.
    """

    __slots__ = ("known", "_counters", "_logged", "_unconfirmed", "_risen")

    def __init__(self, counters: Counters) -> None:
        self.known = NO_ERA
        self._counters = counters
        self._logged: set[str] = set()
        self._unconfirmed = NO_ERA
        self._risen = anyio.Event()

    @property
    def reported(self) -> int:
        """The newest era that the store reports, also if unconfirmed."""
        return max(self.known, self._unconfirmed)

    def read(self, values: Sequence[bytes]) -> int:
        """Returns the era of an answer and records it if it is newer.

        An answer without a valid era counts as one of the known era. So does
        the first of a rise by more than one: a wrong value would make all
        later answers count as old, so a second answer has to confirm it.

        Args:
            values: The values of the answer's era headers.
        """
        era, cause = _parse(values)
        if not cause and self.known:
            cause = self._check_rise(era)
        if cause:
            self._counters.add("store_eras_ignored", cause=cause)
            # Logged once per cause, as every answer may be affected.
            if cause not in self._logged:
                self._logged.add(cause)
                text = b", ".join(values)[:60].decode("latin-1")
                log_event(
                    "store_era_ignored", "WARNING", cause=cause, value=text
                )
            return self.known
        self.observe(era)
        return era

    def _check_rise(self, era: int) -> str:
        """Returns why a valid era is not believed; empty if it is."""
        if era > self.known + MAX_ERA_RISE:
            return "too high"
        confirmed, self._unconfirmed = self._unconfirmed, era
        if era > self.known + 1 and era != confirmed:
            return "unconfirmed"
        return ""

    def observe(self, era: int) -> None:
        """Records an era that the store or a peer reported."""
        if era <= self.known:
            return
        former, self.known = self.known, era
        if former != NO_ERA:
            self._counters.add("store_restores")
            log_event("store_restored", "WARNING", era=era, former=former)
        self._risen.set()
        self._risen = anyio.Event()

    async def wait_above(self, era: int) -> None:
        """Waits until an era above `era` is known."""
        while self.known <= era:
            await self._risen.wait()


def _parse(values: Sequence[bytes]) -> tuple[int, str]:
    """Returns the era in header values and why it is invalid, if it is."""
    if not values:
        return NO_ERA, "absent"
    if len(set(values)) > 1:
        return NO_ERA, "contradictory"
    text = values[0].strip()
    if not text.isdigit():
        return NO_ERA, "not a number"
    # Limits the length first: converting a long text takes long.
    if len(text) > len(str(MAX_ERA)) or not 0 < int(text) <= MAX_ERA:
        return NO_ERA, "out of range"
    return int(text), ""
