"""In-flight requests at each backend server, fleet-wide."""

from __future__ import annotations

from collections import Counter
import math


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

    Keeps one sum for each server, changed by the difference of each report,
    so that the cost of a lookup does not depend on the number of peers.

    Attributes:
        own: Number of this host's in-flight requests by server id.
        own_unread: Their prompt tokens not prefilled yet, by server id.
        newest_report_ms: When the newest report of a peer arrived; None
            before the first.
    """

    __slots__ = (
        "own",
        "own_unread",
        "newest_report_ms",
        "_peers",
        "_peer_requests",
        "_peer_unread",
        "_next_expiry_ms",
    )

    def __init__(self) -> None:
        self.own: Counter[str] = Counter()
        self.own_unread: Counter[str] = Counter()
        self.newest_report_ms: int | None = None
        self._peers: dict[str, PeerLoads] = {}
        self._peer_requests: Counter[str] = Counter()
        self._peer_unread: Counter[str] = Counter()
        # No report expires before this time.
        self._next_expiry_ms: float = math.inf

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
        _subtract(self.own_unread, server_id, unread)

    def end(self, server_id: str) -> None:
        """Removes a request that ended at `server_id`."""
        _subtract(self.own, server_id, 1)

    def update_peer(
        self, peer: str, loads: PeerLoads, now_ms: int | None = None
    ) -> None:
        """Replaces the reported in-flight requests of a peer.

        Args:
            peer: Name of the peer.
            loads: Its report.
            now_ms: When the report arrived; None if unknown.
        """
        if now_ms is not None:
            self.newest_report_ms = now_ms
        self.remove(peer)
        if not loads.requests:
            return
        self._peers[peer] = loads
        self._peer_requests.update(loads.requests)
        self._peer_unread.update(loads.unread)
        self._next_expiry_ms = min(self._next_expiry_ms, loads.expires_ms)

    def remove(self, peer: str) -> None:
        """Drops the report of a peer."""
        loads = self._peers.pop(peer, None)
        if loads is None:
            return
        for server_id, count in loads.requests.items():
            _subtract(self._peer_requests, server_id, count)
        for server_id, count in loads.unread.items():
            _subtract(self._peer_unread, server_id, count)

    def of(self, server_id: str, now_ms: int) -> int:
        """Returns the number of in-flight requests at `server_id`."""
        if now_ms >= self._next_expiry_ms:
            self._remove_expired(now_ms)
        return self.own.get(server_id, 0) + self._peer_requests.get(
            server_id, 0
        )

    def unread_of(self, server_id: str, now_ms: int) -> int:
        """Returns the prompt tokens not prefilled yet at `server_id`."""
        if now_ms >= self._next_expiry_ms:
            self._remove_expired(now_ms)
        return self.own_unread.get(server_id, 0) + self._peer_unread.get(
            server_id, 0
        )

    def _remove_expired(self, now_ms: int) -> None:
        expired = [
            peer
            for peer, loads in self._peers.items()
            if loads.expires_ms <= now_ms
        ]
        for peer in expired:
            self.remove(peer)
        self._next_expiry_ms = min(
            (loads.expires_ms for loads in self._peers.values()),
            default=math.inf,
        )


def _subtract(counts: Counter[str], key: str, count: int) -> None:
    counts[key] -= count
    if counts[key] <= 0:
        del counts[key]
