"""Tells whether this process was suspended, from the times of its ticks."""

from __future__ import annotations

from typing import Final

# A longer time between two ticks shows that the process was suspended.
PAUSE_THRESHOLD_MS: Final = 1_200
# Time after a suspension in which heartbeats and changes of the store arrive
# that show what happened meanwhile.
CATCH_UP_MS: Final = 1_000


class TickMonitor:
    """Times of the ticks of one host.

    The clock has to count the time in which the machine was suspended.
    """

    __slots__ = ("_last_ms", "_resumed_ms")

    def __init__(self, now_ms: int) -> None:
        self._last_ms = now_ms
        self._resumed_ms: int | None = None

    def start(self, now_ms: int) -> None:
        """Starts to expect ticks; the time before is no gap."""
        self._last_ms = now_ms

    def record(self, now_ms: int) -> int:
        """Records a tick.

        Returns:
            The time since the last tick in ms if the process was suspended,
            otherwise 0.
        """
        gap_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if gap_ms <= PAUSE_THRESHOLD_MS:
            return 0
        self._resumed_ms = now_ms
        return gap_ms

    def is_current(self, now_ms: int) -> bool:
        """Returns whether the state of this host is up to date.

        It is not if the last tick is too long ago, or if the process was
        suspended and has resumed within the last `CATCH_UP_MS`.
        """
        if now_ms - self._last_ms > PAUSE_THRESHOLD_MS:
            return False
        return (
            self._resumed_ms is None
            or now_ms - self._resumed_ms >= CATCH_UP_MS
        )
