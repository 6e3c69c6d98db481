"""When refused requests may return, so that servers can take them."""

from __future__ import annotations

import random
from typing import Final

# Requests that can't get a time of their own return in the last part of the
# time that their callers wait.
LATE_PART: Final = 0.5


class ReturnTimes:
    """Gives the refused requests of each service times to return.

    Each refused request takes the time in which the servers do its work, as
    far as it is this host's part.
    """

    __slots__ = ("_rng", "_next_ms")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_ms: dict[str, float] = {}

    def take(
        self,
        service: str,
        wait_ms: float,
        latest_ms: float,
        work_ms: float,
        now_ms: int,
    ) -> int:
        """Returns after what time a request may return, in ms.

        Args:
            service: Name of the service.
            wait_ms: Time until the queue is short enough.
            latest_ms: Longest time that the caller waits.
            work_ms: Time in which the servers can do the work of the
                request, if every host sends them its part.
            now_ms: Monotonic time in ms.
        """
        at_ms = max(now_ms + wait_ms, self._next_ms.get(service, now_ms))
        if at_ms - now_ms > latest_ms:
            part = 1 - LATE_PART * self._rng.random()
            return int(latest_ms * part)
        self._next_ms[service] = at_ms + work_ms
        return int(at_ms - now_ms)
