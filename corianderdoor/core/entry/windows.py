"""Limits over sliding windows: cold servers and the retry budget."""

from __future__ import annotations

from collections import deque
from typing import Final

import xxhash

COLD_WINDOW_MS: Final = 1_000
# The limit holds where requests arrive; this covers their way there.
COLD_WINDOW_MARGIN_MS: Final = 150
# Share of a fleet-wide limit that all hosts together use, so that they stay
# inside the limit while they disagree on their number for a moment.
SAFE_SHARE: Final = 0.85


class SlidingCount:
    """Counts the events of the last `window_ms`."""

    __slots__ = ("window_ms", "_times")

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self._times: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        """Counts an event at `now_ms`."""
        self._times.append(now_ms)

    def remove_newest(self) -> None:
        """Removes the newest event, if one is left."""
        if self._times:
            self._times.pop()

    def count(self, now_ms: int) -> int:
        """Returns the number of events in the window that ends at `now_ms`."""
        times = self._times
        while times and times[0] <= now_ms - self.window_ms:
            times.popleft()
        return len(times)

    def next_free_ms(self, now_ms: int) -> int:
        """Returns the time in ms until the oldest event leaves the window."""
        if not self._times:
            return 0
        return max(0, self._times[0] + self.window_ms - now_ms)


class ColdRateLimiter:
    """Limits the rate at which this host sends requests to a cold server.

    The limit holds for all hosts together in any second. It is split evenly
    over the hosts; if it is lower than the number of hosts, the first hosts
    in an order specific to the server send one request each.
    """

    __slots__ = ("_factor", "_slack", "_sent")

    def __init__(self, factor: float, slack: float) -> None:
        self._factor = factor
        self._slack = slack
        self._sent: dict[str, SlidingCount] = {}

    def share(
        self, server_id: str, cold_per_s: float, host: str, hosts: list[str]
    ) -> int:
        """Returns the requests per second that this host may send.

        Args:
            server_id: Id of the cold server.
            cold_per_s: Requests per second that the server can handle.
            host: Name of this host.
            hosts: Names of all hosts, this one included.
        """
        total = int((cold_per_s * self._factor + self._slack) * SAFE_SHARE)
        count = max(1, len(hosts))
        if total >= count:
            return total // count
        order = sorted(
            hosts,
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{server_id}\0{name}".encode()
            ),
        )
        return 1 if host in order[:total] else 0

    def wait_ms(self, server_id: str, share: int, now_ms: int) -> int | None:
        """Returns the time in ms until a send is allowed; None if never."""
        if share <= 0:
            return None
        sent = self._sent.get(server_id)
        if sent is None or sent.count(now_ms) < share:
            return 0
        return sent.next_free_ms(now_ms)

    def record_late(
        self, server_id: str, planned_ms: int | None, now_ms: int
    ) -> None:
        """Records a request that is sent later than planned.

        The process may have been suspended in between, so that the record
        of the plan has left the window.

        Args:
            server_id: Id of the cold server.
            planned_ms: When the request was recorded; None if the server
                counted as warm then.
            now_ms: Monotonic time in ms.
        """
        if planned_ms is None or now_ms - planned_ms > COLD_WINDOW_MARGIN_MS:
            self.record(server_id, now_ms)

    def record(self, server_id: str, now_ms: int) -> None:
        """Records a request that is sent to a cold server."""
        sent = self._sent.get(server_id)
        if sent is None:
            window_ms = COLD_WINDOW_MS + COLD_WINDOW_MARGIN_MS
            sent = self._sent[server_id] = SlidingCount(window_ms)
        sent.count(now_ms)  # drops what has left the window
        sent.add(now_ms)

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the counts of all servers but `ids`."""
        for name in self._sent.keys() - ids:
            del self._sent[name]


class RetryBudget:
    """Limits the retries of this host for each service.

    The budget of a host is its share of a fixed number for the fleet, plus a
    ratio of the requests that the host received itself.

    After a restart it is empty and fills over one window, as the process
    before may have used all of it. The fixed part, which that process had
    whole, counts only after the window.
    """

    __slots__ = (
        "_ratio",
        "_slack",
        "_window_ms",
        "_restarted_ms",
        "_requests",
        "_retries",
    )

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: int,
        restarted_ms: int | None = None,
    ) -> None:
        """Creates the budget.

        Args:
            ratio: Retries for each request of a caller.
            slack: Retries of all hosts besides.
            window_ms: Window over which both are counted.
            restarted_ms: When this process started; None if no process of
                the host can have used retries before.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._restarted_ms = restarted_ms
        self._requests: dict[str, SlidingCount] = {}
        self._retries: dict[str, SlidingCount] = {}

    def record_request(self, service: str, now_ms: int) -> None:
        """Records a request of a caller."""
        self._count(self._requests, service).add(now_ms)

    def take(
        self, service: str, hosts: int, now_ms: int, count: int = 1
    ) -> bool:
        """Takes retries from the budget; returns whether enough were left.

        Args:
            service: Name of the service.
            hosts: Number of hosts that share the fixed part.
            now_ms: Monotonic time in ms.
            count: Number of retries to take; all or none are taken.
        """
        requests = self._count(self._requests, service).count(now_ms)
        retries = self._count(self._retries, service)
        filled = self._filled_share(now_ms)
        fixed = self._slack / max(1, hosts) if filled == 1 else 0
        allowed = SAFE_SHARE * (fixed + filled * self._ratio * requests)
        if retries.count(now_ms) + count > allowed:
            return False
        for _ in range(count):
            retries.add(now_ms)
        return True

    def _filled_share(self, now_ms: int) -> float:
        if self._restarted_ms is None:
            return 1
        return min(1, (now_ms - self._restarted_ms) / self._window_ms)

    def give_back(self, service: str, count: int) -> None:
        """Returns retries that were taken and not used."""
        for _ in range(count):
            self._count(self._retries, service).remove_newest()

    def _count(
        self, counts: dict[str, SlidingCount], service: str
    ) -> SlidingCount:
        found = counts.get(service)
        if found is None:
            found = counts[service] = SlidingCount(self._window_ms)
        return found
