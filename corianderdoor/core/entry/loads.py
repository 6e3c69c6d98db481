"""Requests in progress at each backend server, fleet-wide."""

from __future__ import annotations

from collections import Counter
from typing import Final

# A peer tells its requests several times a second; after this long its
# last word says nothing about the present.
PEER_FRESH_MS: Final = 1_500


class Loads:
    """Own requests in progress and those that peers told of.

    Attributes:
        own: Own requests in progress by server.
        fresh_ms: How long the word of a peer counts.

    State is one count for each server and host with requests there.
    """

    __slots__ = ("own", "fresh_ms", "_peers")

    def __init__(self) -> None:
        self.fresh_ms = PEER_FRESH_MS
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

    def hear(self, peer: str, counts: dict[str, int], now_ms: int) -> None:
        """Takes what a peer has in progress at each server."""
        self._peers[peer] = (now_ms, counts)

    def forget(self, peer: str) -> None:
        """Drops what a peer told."""
        self._peers.pop(peer, None)

    def of(self, server_id: str, now_ms: int) -> int:
        """Returns the requests in progress at `server_id`."""
        total = self.own.get(server_id, 0)
        for at_ms, counts in self._peers.values():
            if now_ms - at_ms < self.fresh_ms:
                total += counts.get(server_id, 0)
        return total
