"""Requests in progress at each backend server, fleet-wide."""

from __future__ import annotations

from collections import Counter


class PeerLoads:
    """What one peer has in progress, by server.

    Attributes:
        until_ms: When this says nothing about the present any more.
        requests: Its requests.
        unread: Tokens of their prompts that are still to be read.
    """

    __slots__ = ("expires_ms", "requests", "unread")

    def __init__(
        self, expires_ms: int, requests: dict[str, int], unread: dict[str, int]
    ) -> None:
        self.expires_ms = expires_ms
        self.requests = requests
        self.unread = unread


class Loads:
    """Own requests in progress and those that peers told of.

    Attributes:
        own: Own requests in progress by server.
        own_unread: Tokens of their prompts that are still to be read.

    State is one count for each server and host with requests there.
    """

    __slots__ = ("own", "own_unread", "_peers")

    def __init__(self) -> None:
        self.own: Counter[str] = Counter()
        self.own_unread: Counter[str] = Counter()
        self._peers: dict[str, PeerLoads] = {}

    def start(self, server_id: str, unread: int = 0) -> None:
        """Counts a request that is sent to `server_id`.

        Args:
            server_id: The server.
            unread: Tokens that it has to read.
        """
        self.own[server_id] += 1
        if unread:
            self.own_unread[server_id] += unread

    def end_reading(self, server_id: str, unread: int) -> None:
        """Takes back tokens that have been read."""
        self.own_unread[server_id] -= unread
        if self.own_unread[server_id] <= 0:
            del self.own_unread[server_id]

    def end(self, server_id: str) -> None:
        """Takes back a request that has ended."""
        self.own[server_id] -= 1
        if self.own[server_id] <= 0:
            del self.own[server_id]

    def update_peer(self, peer: str, loads: PeerLoads) -> None:
        """Takes what a peer has in progress at each server."""
        if loads.requests:
            self._peers[peer] = loads
        else:
            self._peers.pop(peer, None)

    def forget(self, peer: str) -> None:
        """Drops what a peer told."""
        self._peers.pop(peer, None)

    def of(self, server_id: str, now_ms: int) -> int:
        """Returns the requests in progress at `server_id`."""
        return self.own.get(server_id, 0) + sum(
            loads.requests.get(server_id, 0)
            for loads in self._peers.values()
            if now_ms < loads.expires_ms
        )

    def unread_of(self, server_id: str, now_ms: int) -> int:
        """Returns the tokens that `server_id` has still to read."""
        return self.own_unread.get(server_id, 0) + sum(
            loads.unread.get(server_id, 0)
            for loads in self._peers.values()
            if now_ms < loads.expires_ms
        )
