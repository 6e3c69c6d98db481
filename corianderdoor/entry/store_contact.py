"""When a host last had an answer of the store, and its outages."""

from __future__ import annotations

from typing import Final

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.peer import NOT_WATCHING_MS
from ..platform.store import StoreError, WATCH_CALL
from .state_applier import OUTAGE_GRACE_MS

# An answer to a watch that is late by more than this shows an outage of the
# store.
WATCH_LATE_MS: Final = 500


class StoreContact:
    """Records the answers of the store to one host, and its outages."""

    __slots__ = (
        "_clock",
        "_answered_at_ms",
        "_outage_at_ms",
        "_reached",
        "_watch_cut",
    )

    def __init__(self, clock: Clock) -> None:
        """Initializes the object.

        Args:
            clock: The clock.
        """
        self._clock = clock
        self._answered_at_ms: int | None = None
        self._outage_at_ms: int | None = None
        self._reached = True
        # Whether a watch was cut since the store last answered.
        self._watch_cut = False

    def age_ms(self) -> int:
        """Returns the time since the store last answered, in ms.

        It is `NOT_WATCHING_MS` if this host does not watch the store or gets
        no answer.
        """
        if self._answered_at_ms is None:
            return NOT_WATCHING_MS
        return self._clock.now_ms() - self._answered_at_ms

    def end(self) -> None:
        """Records that this host no longer watches the store."""
        self._answered_at_ms = None

    def begin_outage(self) -> None:
        """Records that the store is, or was until now, away."""
        self._outage_at_ms = self._clock.now_ms()

    def record_answer(self, expected_ms: int) -> None:
        """Records an answer of the store.

        Args:
            expected_ms: Longest time between two answers without an outage.
        """
        now_ms = self._clock.now_ms()
        if self._answered_at_ms is not None:
            if now_ms - self._answered_at_ms > expected_ms + WATCH_LATE_MS:
                self._outage_at_ms = now_ms
        self._answered_at_ms = now_ms
        self._watch_cut = False
        if not self._reached:
            self._reached = True
            self._outage_at_ms = now_ms
            log_event("store_regained")

    def record_failure(self, exc: StoreError) -> bool:
        """Records that the store does not answer.

        Returns:
            Whether it did until now.
        """
        self.begin_outage()
        self.end()
        if not self._reached:
            return False
        self._reached = False
        log_event(
            "store_lost",
            "WARNING",
            step=exc.step,
            reason=exc.reason,
        )
        return True

    def take_first_cut(self, exc: StoreError) -> bool:
        """Returns whether the store has cut a watch that waited.

        It may do so at any time, which alone shows no outage: the next
        watch, which is answered soon, does.
        """
        is_first = (
            exc.step == WATCH_CALL
            and exc.reason == "cut"
            and not exc.not_applied
            and self._answered_at_ms is not None
            and not self._watch_cut
        )
        if is_first:
            self._watch_cut = True
        return is_first

    def removal_grace_ms(self) -> int:
        """Returns what is left of the grace time after the last outage."""
        if self._outage_at_ms is None:
            return 0
        since_ms = self._clock.now_ms() - self._outage_at_ms
        return max(0, OUTAGE_GRACE_MS - since_ms)
