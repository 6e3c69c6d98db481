"""Which backend servers to pass over, by how requests end there."""

from __future__ import annotations

from typing import Final

# One failure in three of late is far over what sound servers show.
EJECTION_FAILURE_RATE: Final = 0.34
# Weight of the newest outcome; about the last eight count.
NEWEST_OUTCOME_WEIGHT: Final = 0.2
FIRST_EJECTION_MS: Final = 500
# How long the doubt of a peer counts after it was told.
PEER_EJECTION_TTL_MS: Final = 600
# Peers whose doubts together pause a server here.
MIN_AGREEING_PEERS: Final = 2
MAX_EJECTION_MS: Final = 4_000


class _Record:
    __slots__ = ("failure_rate", "ejection_ms", "until_ms")

    def __init__(self) -> None:
        self.failure_rate = 0.0
        self.ejection_ms = 0
        self.until_ms = 0


class ServerEjections:
    """Pauses servers that can't be reached or fail too often.

    What peers pause is paused here too once enough of them agree; one alone
    may have trouble of its own. State is one record for each server that
    failed since it was listed, and a set for each peer.
    """

    __slots__ = ("_records", "_peers")

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._peers: dict[str, tuple[int, frozenset[str]]] = {}

    def record_success(self, server_id: str) -> None:
        """Notes a whole answer."""
        record = self._records.get(server_id)
        if record is None:
            return
        record.failure_rate *= 1 - NEWEST_OUTCOME_WEIGHT
        record.ejection_ms = 0
        if record.failure_rate < 0.05:
            del self._records[server_id]

    def record_failure(self, server_id: str, now_ms: int) -> bool:
        """Notes a failed answer; returns whether it starts a pause."""
        record = self._records.setdefault(server_id, _Record())
        record.failure_rate += NEWEST_OUTCOME_WEIGHT * (
            1 - record.failure_rate
        )
        if record.failure_rate < EJECTION_FAILURE_RATE:
            return False
        return self._eject(record, now_ms)

    def record_unreachable(self, server_id: str, now_ms: int) -> bool:
        """Notes that no connection could be made."""
        record = self._records.setdefault(server_id, _Record())
        record.failure_rate = max(record.failure_rate, EJECTION_FAILURE_RATE)
        return self._eject(record, now_ms)

    def _eject(self, record: _Record, now_ms: int) -> bool:
        if now_ms < record.until_ms:
            return False
        doubled = max(FIRST_EJECTION_MS, 2 * record.ejection_ms)
        record.ejection_ms = min(MAX_EJECTION_MS, doubled)
        record.until_ms = now_ms + record.ejection_ms
        return True

    def update_peer(
        self, peer: str, ejected: frozenset[str], now_ms: int
    ) -> None:
        """Takes which servers a peer has paused by what it saw itself."""
        if ejected:
            self._peers[peer] = (now_ms, ejected)
        else:
            self._peers.pop(peer, None)

    def own_ejected(self, now_ms: int) -> list[str]:
        """Returns the servers that this host has paused by what it saw."""
        return [
            server_id
            for server_id, record in self._records.items()
            if now_ms < record.until_ms
        ]

    def is_ejected(self, server_id: str, now_ms: int) -> bool:
        """Returns whether `server_id` is passed over now."""
        record = self._records.get(server_id)
        if record is not None and now_ms < record.until_ms:
            return True
        agree = sum(
            now_ms - at_ms < PEER_EJECTION_TTL_MS and server_id in ejected
            for at_ms, ejected in self._peers.values()
        )
        return agree >= MIN_AGREEING_PEERS

    def forget(self, server_id: str) -> None:
        """Drops what is known of `server_id`, which started anew."""
        self._records.pop(server_id, None)

    def retain(self, ids: frozenset[str]) -> None:
        """Forgets all servers but `ids`."""
        for name in self._records.keys() - ids:
            del self._records[name]
