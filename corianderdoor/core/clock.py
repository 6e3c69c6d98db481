"""Clocks; every time in the package is in whole milliseconds."""

from __future__ import annotations

import resource
import time
from typing import Final, Protocol

# CLOCK_BOOTTIME, where available, also counts while the machine is suspended:
# a lease expires during a suspension as well.
CLOCK_ID: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
NS_PER_MS = 1_000_000
MS_PER_SECOND = 1_000


class Clock(Protocol):
    """A source of monotonic and wall-clock time, both in ms."""

    def now_ms(self) -> int:
        """Returns monotonic time in ms, for intervals and timeouts."""

    def wall_ms(self) -> int:
        """Returns the time since the Unix epoch in ms, for calendar time."""

    def processor_ms(self) -> int:
        """Returns the processor time that this process has used, in ms."""


class SystemClock:
    """The clock of the operating system."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Returns monotonic time in ms."""
        return time.clock_gettime_ns(CLOCK_ID) // NS_PER_MS

    def wall_ms(self) -> int:
        """Returns time since the Unix epoch in ms."""
        return time.time_ns() // NS_PER_MS

    def processor_ms(self) -> int:
        """Returns the processor time that this process has used, in ms."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return int((usage.ru_utime + usage.ru_stime) * MS_PER_SECOND)


class ManualClock:
    """A clock that only `advance` moves, for tests and replays."""

    __slots__ = ("_now_ms", "_wall_ms", "_processor_ms")

    def __init__(self, now_ms: int = 0, wall_ms: int = 0) -> None:
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._processor_ms = 0

    def now_ms(self) -> int:
        """Returns monotonic time in ms."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns time since the Unix epoch in ms."""
        return self._wall_ms

    def processor_ms(self) -> int:
        """Returns the processor time added so far, in ms."""
        return self._processor_ms

    def add_processor_ms(self, delta_ms: int) -> None:
        """Adds `delta_ms` to the processor time."""
        self._processor_ms += delta_ms

    def advance(self, delta_ms: int) -> None:
        """Moves monotonic and wall-clock time forward by `delta_ms`."""
        self._now_ms += delta_ms
        self._wall_ms += delta_ms
