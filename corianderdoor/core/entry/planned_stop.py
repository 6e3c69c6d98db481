"""Requests that arrive while this host stops, and may not end in time."""

from __future__ import annotations

from collections import deque
from typing import Final

from .flights import Flight, Refuse

# Answers of a route by which the length of the next one is estimated.
ANSWERS: Final = 32
MIN_ANSWERS: Final = 8
# The next answer may be longer than all of these by this factor.
LENGTH_FACTOR: Final = 1.5
# Routes whose answers are remembered.
MAX_ROUTES: Final = 2_000
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

    __slots__ = ("ended", "_began_ms", "_late_ms", "_end_ms", "_answers")

    def __init__(self) -> None:
        self.ended = False
        # When the stop began; None while the host serves.
        self._began_ms: int | None = None
        # When requests count as late, and when all answers are cut off; None
        # while the host serves.
        self._late_ms: int | None = None
        self._end_ms = 0
        # How long the last answers of each route took.
        self._answers: dict[str, deque[int]] = {}

    def begin(self, accept_ms: int, span_ms: int, now_ms: int) -> None:
        """Begins the stop.

        Args:
            accept_ms: Time in which all requests are taken, as callers may
                not know of the stop yet.
            span_ms: Time after which answers are cut off.
            now_ms: Monotonic time in ms.
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

    def record_answer(self, flight: Flight, now_ms: int) -> None:
        """Records how long a complete answer took."""
        name = flight.route.name
        answers = self._answers.get(name)
        if answers is None:
            if len(self._answers) >= MAX_ROUTES:
                del self._answers[next(iter(self._answers))]
            answers = self._answers[name] = deque(maxlen=ANSWERS)
        answers.append(now_ms - flight.arrived_ms)

    def find_refusal(self, flight: Flight, now_ms: int) -> Refuse | None:
        """Returns the refusal of a request that may not end in time."""
        if self._late_ms is None or now_ms < self._late_ms:
            return None
        if now_ms + self._estimate_ms(flight, now_ms) <= self._end_ms:
            return None
        return Refuse(503, "stopping", RETRY_MS)

    def _estimate_ms(self, flight: Flight, now_ms: int) -> float:
        """Returns how long a request may last; at most its deadline."""
        left_ms = flight.deadline_ms - now_ms
        answers = self._answers.get(flight.route.name, ())
        if len(answers) < MIN_ANSWERS:
            return left_ms
        return min(left_ms, LENGTH_FACTOR * max(answers))
