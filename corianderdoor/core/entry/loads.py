"""In-flight requests at each backend server, fleet-wide."""

from __future__ import annotations

from collections import Counter


class PeerLoads:
    """In-flight requests of one peer.

    Attributes:
        expires_ms: When the report expires, on the monotonic clock.
        requests: Number of in-flight requests by server id.
        unread: Prompt tokens not prefilled yet, by server id.
    """

    __slots__ = ("expires_ms", "requests", "unread")

    def __init__(
        self, expires_ms: int, requests: dict[str, int], unread: dict[str, int]
    ) -> None:
        self.expires_ms = expires_ms
        self.requests = requests
        self.unread = unread


class Loads:
    """In-flight requests of this host and those that peers reported.

    Holds one count for each pair of a server and a host with requests
    there.

    Attributes:
        own: Number of this host's in-flight requests by server id.
        own_unread: Their prompt tokens not prefilled yet, by server id.
    """

    __slots__ = ("own", "own_unread", "_peers")

    def __init__(self) -> None:
        self.own: Counter[str] = Counter()
        self.own_unread: Counter[str] = Counter()
        self._peers: dict[str, PeerLoads] = {}

    def start(self, server_id: str, unread: int = 0) -> None:
        """Adds a request that is sent to `server_id`.

        Args:
            server_id: Id of the server.
            unread: Prompt tokens that the server has to prefill.
        """
        self.own[server_id] += 1
        if unread:
            self.own_unread[server_id] += unread

    def end_prefill(self, server_id: str, unread: int) -> None:
        """Removes tokens that the server no longer has to prefill."""
        self.own_unread[server_id] -= unread
        if self.own_unread[server_id] <= 0:
            del self.own_unread[server_id]

    def end(self, server_id: str) -> None:
        """Removes a request that ended at `server_id`."""
        self.own[server_id] -= 1
        if self.own[server_id] <= 0:
            del self.own[server_id]

    def update_peer(self, peer: str, loads: PeerLoads) -> None:
        """Replaces the reported in-flight requests of a peer."""
        if loads.requests:
            self._peers[peer] = loads
        else:
            self._peers.pop(peer, None)

    def remove(self, peer: str) -> None:
        """Drops the report of a peer."""
        self._peers.pop(peer, None)

    def of(self, server_id: str, now_ms: int) -> int:
        """Returns the number of in-flight requests at `server_id`."""
        return self.own.get(server_id, 0) + sum(
            loads.requests.get(server_id, 0)
            for loads in self._peers.values()
            if now_ms < loads.expires_ms
        )

    def unread_of(self, server_id: str, now_ms: int) -> int:
        """Returns the prompt tokens not prefilled yet at `server_id`."""
        return self.own_unread.get(server_id, 0) + sum(
            loads.unread.get(server_id, 0)
            for loads in self._peers.values()
            if now_ms < loads.expires_ms
        )
