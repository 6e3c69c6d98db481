"""When a backend server answered, for the comparison of its version."""

from __future__ import annotations

from typing import Final

from ..core.entry.flights import Ending, Flight
from ..core.entry.planner import Planner
from ..core.entry.servers import BackendServer

# Endings of attempts that say nothing about the server's version.
NOT_ANSWERED: Final = frozenset(
    {
        Ending.UNREACHED,
        Ending.WITHDRAWN,
        Ending.NOT_RUN,
        Ending.WRONG_SERVER,
    }
)


class AnswerTiming:
    """Times of the events of one answer, on the monotonic clock.

    An answer that is no stream counts as one event at its end.
    """

    __slots__ = ("_sent_ms", "_first_ms", "_last_ms", "_events")

    def __init__(self, sent_ms: int) -> None:
        """Creates the timing of a request that is sent at `sent_ms`."""
        self._sent_ms = sent_ms
        self._first_ms = sent_ms
        self._last_ms = sent_ms
        self._events = 0

    def record(self, events: int, now_ms: int) -> None:
        """Records that `events` events have arrived."""
        if not events:
            return
        if not self._events:
            self._first_ms = now_ms
        self._last_ms = now_ms
        self._events += events

    def first_ms(self) -> int | None:
        """Returns the time to the first event; None if there was none."""
        return self._first_ms - self._sent_ms if self._events else None

    def per_event_ms(self) -> float | None:
        """Returns the mean time per event after the first, if any."""
        if self._events < 2:
            return None
        return (self._last_ms - self._first_ms) / (self._events - 1)


def record_rollout_answer(
    planner: Planner,
    flight: Flight,
    server: BackendServer,
    ending: Ending | None,
    timing: AnswerTiming,
    now_ms: int,
) -> None:
    """Records an attempt as evidence about the version of its server.

    Args:
        planner: Takes the evidence.
        flight: The request.
        server: The server that it was sent to.
        ending: How the attempt failed; None if the answer is complete.
        timing: When the events of the answer arrived.
        now_ms: Monotonic time in ms.
    """
    if planner.rollouts.is_idle or ending in NOT_ANSWERED:
        return
    planner.record_rollout_answer(
        flight,
        server,
        ending is not None,
        timing.first_ms(),
        timing.per_event_ms(),
        now_ms,
    )
