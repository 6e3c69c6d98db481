"""Requests that this host sent to each backend server lately."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from .heartbeat import get_interval_ms
from .servers import BackendServer
from .windows import SlidingCount

WINDOW_MS: Final = 1_000


class ServerSends:
    """Counts this host's requests of the last seconds by server."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: dict[str, SlidingCount] = {}

    def add(self, server_id: str, now_ms: int) -> None:
        """Counts a request that is sent to `server_id`."""
        sent = self._sent.get(server_id)
        if sent is None:
            sent = self._sent[server_id] = SlidingCount(WINDOW_MS)
        sent.count(now_ms)  # drops what has left the window
        sent.add(now_ms)

    def count(self, server_id: str, now_ms: int) -> int:
        """Returns the requests sent to `server_id` in the window."""
        sent = self._sent.get(server_id)
        return 0 if sent is None else sent.count(now_ms)

    def count_unseen(
        self, servers: Sequence[BackendServer], hosts: int, now_ms: int
    ) -> float:
        """Returns the requests that a server gets between two heartbeats.

        The other hosts are taken to send as many as this one.

        Args:
            servers: Servers of the service.
            hosts: Number of hosts that send.
            now_ms: Monotonic time in ms.
        """
        own = sum(self.count(server.id, now_ms) for server in servers)
        interval_ms = get_interval_ms(hosts - 1)
        return own * (hosts - 1) * interval_ms / WINDOW_MS / len(servers)

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the counts of all servers but `ids`."""
        for server_id in self._sent.keys() - ids:
            del self._sent[server_id]
