"""Requests that arrive while this host stops, and may not end in time."""

from __future__ import annotations

from typing import Final

from .flights import Flight, Refuse

# Another host can take the request at once.
RETRY_MS: Final = 100


class PlannedStop:
    """The time that is left in a planned stop, and what fits in.

    A request that arrives late, on a connection that was in use, would be cut
    off at the end of the grace period. Refusing it lets its caller go to
    another host at once.

    Attributes:
        ended: Whether answers in progress are being cut off.
    """

    __slots__ = ("ended", "_began_ms", "_late_ms", "_end_ms")

    def __init__(self) -> None:
        self.ended = False
        # When the stop began; None while the host serves.
        self._began_ms: int | None = None
        # When requests count as late, and when all answers are cut off.
        self._late_ms = 0
        self._end_ms = 0

    def begin(self, accept_ms: int, span_ms: int, now_ms: int) -> None:
        """Begins the stop.

        Args:
            accept_ms: Time in which all requests are taken, as callers may
                not know of the stop yet.
            span_ms: Time after which answers are cut off.
            now_ms: When both times begin, in monotonic time in ms.
        """
        self._began_ms = now_ms
        self._late_ms = now_ms + accept_ms
        self._end_ms = now_ms + span_ms

    def since_begin_ms(self, at_ms: int) -> int | None:
        """Returns the time from the begin of the stop; None without one.

        Args:
            at_ms: Monotonic time in ms; before the begin it gives a negative
                result.
        """
        return None if self._began_ms is None else at_ms - self._began_ms

    def find_refusal(self, flight: Flight, now_ms: int) -> Refuse | None:
        """Returns the refusal of a request that may not end in time.

        Only the deadline bounds how long an answer takes: the next one may be
        longer than all before it.
        """
        if self._began_ms is None or now_ms < self._late_ms:
            return None
        if flight.deadline_ms <= self._end_ms:
            return None
        return Refuse(503, "stopping", RETRY_MS)
