"""Requests in progress at each backend server, fleet-wide."""

from __future__ import annotations

from collections import Counter


class Loads:
    """Own requests in progress and those that peers told of.

    Attributes:
        own: Own requests in progress by server.

    State is one count for each server and host with requests there.
    """

    __slots__ = ("own", "_peers")

    def __init__(self) -> None:
        self.own: Counter[str] = Counter()
        self._peers: dict[str, tuple[int, dict[str, int]]] = {}

    def start(self, server_id: str) -> None:
        """Counts a request that is sent to `server_id`."""
        self.own[server_id] += 1

    def end(self, server_id: str) -> None:
        """Takes back a request that has ended."""
        self.own[server_id] -= 1
        if self.own[server_id] <= 0:
            del self.own[server_id]

    def hear(self, peer: str, counts: dict[str, int], until_ms: int) -> None:
        """Takes what a peer has in progress at each server.

        Args:
            peer: Its name.
            counts: Its requests by server.
            until_ms: When this says nothing about the present any more.
        """
        if counts:
            self._peers[peer] = (until_ms, counts)
        else:
            self._peers.pop(peer, None)

    def forget(self, peer: str) -> None:
        """Drops what a peer told."""
        self._peers.pop(peer, None)

    def of(self, server_id: str, now_ms: int) -> int:
        """Returns the requests in progress at `server_id`."""
        total = self.own.get(server_id, 0)
        for until_ms, counts in self._peers.values():
            if now_ms < until_ms:
                total += counts.get(server_id, 0)
        return total
