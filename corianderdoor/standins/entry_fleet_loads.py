"""Loads that the requests of a simulated fleet meet at the servers."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection
from typing import Any, Final

from .entry_fleet_servers import Server

# The operators count the requests that reach a server that holds more than
# this multiple of the mean and three, in any five seconds.
FACTOR: Final = 2.0
SLACK: Final = 3.0
WINDOW_MS: Final = 5_000
# Fewer requests in a window do not count.
MIN_OVER: Final = 20


class LoadAudit:
    """Counts the requests that reach servers above the bound.

    Attributes:
        sends: Time of each request, and whether its server was above.
        arrivals: Requests by server id.
        over: Requests that met a server above the bound, by server id.
        highest: Most requests in progress that one met.
    """

    def __init__(self) -> None:
        self.sends: list[tuple[int, bool]] = []
        self.arrivals: Counter[str] = Counter()
        self.over: Counter[str] = Counter()
        self.highest = 0

    def record(
        self,
        server: Server[Any],
        servers: Collection[Server[Any]],
        now_ms: int,
    ) -> None:
        """Records a request that reaches `server`, one of `servers`."""
        held = len(server.running)
        total = sum(len(other.running) for other in servers)
        is_over = held > FACTOR * total / len(servers) + SLACK
        self.sends.append((now_ms, is_over))
        self.arrivals[server.entry.id] += 1
        self.highest = max(self.highest, held)
        if is_over:
            self.over[server.entry.id] += 1

    def worst_share(self, from_ms: int = 0) -> float:
        """Returns the highest share of requests above, in any window."""
        window: deque[tuple[int, bool]] = deque()
        over = 0
        worst = 0.0
        for send in self.sends:
            if send[0] < from_ms:
                continue
            window.append(send)
            over += send[1]
            while window[0][0] <= send[0] - WINDOW_MS:
                over -= window.popleft()[1]
            if over >= MIN_OVER:
                worst = max(worst, over / len(window))
        return worst

    def busiest_share(self) -> float:
        """Returns the arrivals at the busiest server, 1 for the mean."""
        mean = self.arrivals.total() / len(self.arrivals)
        return max(self.arrivals.values()) / mean
