"""Notices that this process was suspended or delayed for some seconds."""

from __future__ import annotations

from typing import Final

# A longer time between two ticks shows that the process was suspended. Ticks
# are 100 ms apart.
PAUSE_THRESHOLD_MS: Final = 1_200
# Time after a pause until two heartbeats of each active peer have arrived.
SETTLE_MS: Final = 400
# Time after a pause in which heartbeats and changes of the store arrive that
# show what happened meanwhile.
CATCH_UP_MS: Final = 1_000


class ProcessPauses:
    """The last pause of this process.

    A request that arrives after a pause may be handled before the next tick,
    so decisions check for themselves whether there was one.
    """

    __slots__ = ("_ticked_ms", "_before_ms", "_settled_ms", "_current_ms")

    def __init__(self) -> None:
        self._ticked_ms: int | None = None
        # The tick before the last one.
        self._before_ms: int | None = None
        self._settled_ms = 0
        self._current_ms = 0

    def check(self, now_ms: int) -> int:
        """Returns the length of a pause not yet noticed, in ms; 0 if none."""
        if self._ticked_ms is None:
            return 0
        gap_ms = now_ms - self._ticked_ms
        if gap_ms <= PAUSE_THRESHOLD_MS:
            return 0
        self.record_tick(now_ms)
        self._settled_ms = now_ms + SETTLE_MS
        self._current_ms = now_ms + CATCH_UP_MS
        return gap_ms

    def record_tick(self, now_ms: int) -> None:
        """Records that the process runs; call `check` before."""
        if now_ms != self._ticked_ms:
            self._before_ms, self._ticked_ms = self._ticked_ms, now_ms

    def signal_delay_ms(self, now_ms: int, started_ms: int) -> int:
        """Returns how long a signal that is handled now may have waited.

        It had not come by the tick before the last one. The last one proves
        less: a process that resumes may run it before the signal's handler.

        Args:
            now_ms: Monotonic time in ms.
            started_ms: When the process started, for one without ticks.
        """
        if self._before_ms is None:
            return now_ms - started_ms
        return now_ms - self._before_ms

    def is_settling(self, now_ms: int) -> bool:
        """Returns whether what is known of peers may date from before."""
        return now_ms < self._settled_ms

    def is_current(self, now_ms: int) -> bool:
        """Returns whether the state of this host is up to date.

        It is not if the last tick is too long ago, or if the process was
        paused and has resumed within the last `CATCH_UP_MS`.
        """
        if self._ticked_ms is None:
            return False
        if now_ms - self._ticked_ms > PAUSE_THRESHOLD_MS:
            return False
        return now_ms >= self._current_ms
