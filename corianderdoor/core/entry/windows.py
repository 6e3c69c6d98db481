"""Counts over sliding windows: cold rations and the repeat budget."""

from __future__ import annotations

from collections import deque
from typing import Final

import xxhash

RATION_WINDOW_MS: Final = 1_000
# Sends are counted where they arrive; this covers their way there.
RATION_MARGIN_MS: Final = 150
# Part of an allowance that the hosts of a fleet give out together, so that
# hosts which disagree on their number for a moment stay inside it.
SAFE_SHARE: Final = 0.85


class SlidingCount:
    """Counts events of the last `window_ms`."""

    __slots__ = ("window_ms", "_times")

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self._times: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        """Counts an event at `now_ms`."""
        self._times.append(now_ms)

    def count(self, now_ms: int) -> int:
        """Returns the events of the window that ends at `now_ms`."""
        times = self._times
        while times and times[0] <= now_ms - self.window_ms:
            times.popleft()
        return len(times)

    def next_free_ms(self, now_ms: int) -> int:
        """Returns how long until the oldest event leaves the window."""
        if not self._times:
            return 0
        return max(0, self._times[0] + self.window_ms - now_ms)


class ColdRateLimiter:
    """How many requests this host may send to servers that are cold.

    The bound holds for all hosts together in any second. It is split evenly
    over the hosts; with fewer requests than hosts, those hosts that come
    first in the server's order send one each.
    """

    __slots__ = ("_factor", "_slack", "_sent")

    def __init__(self, factor: float, slack: float) -> None:
        self._factor = factor
        self._slack = slack
        self._sent: dict[str, SlidingCount] = {}

    def share(
        self, server_id: str, cold_per_s: float, host: str, hosts: list[str]
    ) -> int:
        """Returns the sends a second that are this host's."""
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
        """Returns how long until a send is allowed; None if never."""
        if share <= 0:
            return None
        sent = self._sent.get(server_id)
        if sent is None or sent.count(now_ms) < share:
            return 0
        return sent.next_free_ms(now_ms)

    def record(self, server_id: str, now_ms: int) -> None:
        """Counts a send to a cold server."""
        sent = self._sent.get(server_id)
        if sent is None:
            window_ms = RATION_WINDOW_MS + RATION_MARGIN_MS
            sent = self._sent[server_id] = SlidingCount(window_ms)
        sent.add(now_ms)

    def retain(self, ids: frozenset[str]) -> None:
        """Forgets all servers but `ids`."""
        for name in self._sent.keys() - ids:
            del self._sent[name]


class RetryBudget:
    """How many sends beyond the first this host may add for a service.

    Each host spends its share of the fleet's fixed part, and a ratio of the
    requests that it took itself.
    """

    __slots__ = ("_ratio", "_slack", "_window_ms", "_asked", "_repeats")

    def __init__(self, ratio: float, slack: float, window_ms: int) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._asked: dict[str, SlidingCount] = {}
        self._repeats: dict[str, SlidingCount] = {}

    def record_request(self, service: str, now_ms: int) -> None:
        """Counts a caller's request."""
        self._count(self._asked, service).add(now_ms)

    def take(self, service: str, hosts: int, now_ms: int) -> bool:
        """Spends one repeat; returns whether there was one."""
        asked = self._count(self._asked, service).count(now_ms)
        repeats = self._count(self._repeats, service)
        fixed = self._slack * SAFE_SHARE / max(1, hosts)
        if (
            repeats.count(now_ms) + 1
            > fixed + SAFE_SHARE * self._ratio * asked
        ):
            return False
        repeats.add(now_ms)
        return True

    def _count(
        self, counts: dict[str, SlidingCount], service: str
    ) -> SlidingCount:
        found = counts.get(service)
        if found is None:
            found = counts[service] = SlidingCount(self._window_ms)
        return found
