"""A time in which a stand-in worker is brittle."""

from __future__ import annotations

from ..core.clock import MS_PER_SECOND


class Brittleness:
    """A time in which a worker falls over if it turns away too much.

    Attributes:
        limit: Requests that it can turn away in a second.
        slots: Requests that it processes at a time.
        waiting: Requests that may wait at first.
        reduced_waiting: Requests that may wait from `notice_ms` on.
        notice_ms: Time from the announcement to the reduction, in ms.
        down_ms: How long the worker is away after a fall, in ms.
        falls: When it fell over, in ms since the announcement.
        rejections: When it turned away a request, likewise.
        down_until_ms: When it is back after the last fall, likewise.
    """

    __slots__ = (
        "limit",
        "slots",
        "waiting",
        "reduced_waiting",
        "notice_ms",
        "down_ms",
        "falls",
        "rejections",
        "down_until_ms",
    )

    def __init__(
        self,
        limit: int,
        slots: int,
        waiting: int,
        reduced_waiting: int,
        notice_ms: float = 3_000.0,
        down_ms: float = 4_000.0,
    ) -> None:
        self.limit = limit
        self.slots = slots
        self.waiting = waiting
        self.reduced_waiting = reduced_waiting
        self.notice_ms = notice_ms
        self.down_ms = down_ms
        self.falls: list[float] = []
        self.rejections: list[float] = []
        self.down_until_ms = 0.0

    def is_down(self, at_ms: float) -> bool:
        """Returns whether the worker is away after a fall."""
        return at_ms < self.down_until_ms

    def room(self, at_ms: float) -> int:
        """Returns how many requests may run and wait together."""
        reduced = at_ms >= self.notice_ms
        return self.slots + (self.reduced_waiting if reduced else self.waiting)

    def reject(self, at_ms: float) -> bool:
        """Counts a request that is turned away.

        Returns:
            Whether the worker falls over.
        """
        self.rejections.append(at_ms)
        if at_ms < self.notice_ms:
            return False
        first = at_ms - MS_PER_SECOND
        recent = sum(first < time <= at_ms for time in self.rejections)
        if recent <= self.limit:
            return False
        self.rejections.clear()
        self.falls.append(at_ms)
        self.down_until_ms = at_ms + self.down_ms
        return True
