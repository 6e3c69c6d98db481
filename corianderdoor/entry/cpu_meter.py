"""CPU use of an entry host."""

from __future__ import annotations

from ..core.clock import Clock


class CpuMeter:
    """Measures how much of its CPU allowance this process uses."""

    __slots__ = ("_clock", "_share", "_at_ms", "_used_ms")

    def __init__(self, clock: Clock, share: float) -> None:
        self._clock = clock
        self._share = share
        self._at_ms = clock.now_ms()
        self._used_ms = clock.processor_ms()

    def measure(self, now_ms: int) -> int:
        """Returns the share used since the last call, in percent."""
        used_ms = self._clock.processor_ms()
        span_ms = (now_ms - self._at_ms) * self._share
        spent_ms = used_ms - self._used_ms
        self._at_ms, self._used_ms = now_ms, used_ms
        return min(100, int(100 * spent_ms / span_ms)) if span_ms > 0 else 0
