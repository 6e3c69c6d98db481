"""Which backend servers to pass over, by how requests end there."""

from __future__ import annotations

from typing import Final

# One failure in three of late is far over what sound servers show.
DOUBT_SHARE: Final = 0.34
# Weight of the newest outcome; about the last eight count.
OUTCOME_WEIGHT: Final = 0.2
FIRST_PAUSE_MS: Final = 500
# How long the doubt of a peer counts after it was told.
PEER_DOUBT_MS: Final = 600
# Peers whose doubts together pause a server here.
PEERS_TO_AGREE: Final = 2
LONGEST_PAUSE_MS: Final = 4_000


class _Record:
    __slots__ = ("failed", "pause_ms", "until_ms")

    def __init__(self) -> None:
        self.failed = 0.0
        self.pause_ms = 0
        self.until_ms = 0


class ServerDoubts:
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
        record.failed *= 1 - OUTCOME_WEIGHT
        record.pause_ms = 0
        if record.failed < 0.05:
            del self._records[server_id]

    def record_failure(self, server_id: str, now_ms: int) -> bool:
        """Notes a failed answer; returns whether it starts a pause."""
        record = self._records.setdefault(server_id, _Record())
        record.failed += OUTCOME_WEIGHT * (1 - record.failed)
        if record.failed < DOUBT_SHARE:
            return False
        return self._pause(record, now_ms)

    def record_unreachable(self, server_id: str, now_ms: int) -> bool:
        """Notes that no connection could be made."""
        record = self._records.setdefault(server_id, _Record())
        record.failed = max(record.failed, DOUBT_SHARE)
        return self._pause(record, now_ms)

    def _pause(self, record: _Record, now_ms: int) -> bool:
        if now_ms < record.until_ms:
            return False
        doubled = max(FIRST_PAUSE_MS, 2 * record.pause_ms)
        record.pause_ms = min(LONGEST_PAUSE_MS, doubled)
        record.until_ms = now_ms + record.pause_ms
        return True

    def hear(self, peer: str, paused: frozenset[str], now_ms: int) -> None:
        """Takes which servers a peer has paused by what it saw itself."""
        if paused:
            self._peers[peer] = (now_ms, paused)
        else:
            self._peers.pop(peer, None)

    def own_paused(self, now_ms: int) -> list[str]:
        """Returns the servers that this host has paused by what it saw."""
        return [
            server_id
            for server_id, record in self._records.items()
            if now_ms < record.until_ms
        ]

    def paused(self, server_id: str, now_ms: int) -> bool:
        """Returns whether `server_id` is passed over now."""
        record = self._records.get(server_id)
        if record is not None and now_ms < record.until_ms:
            return True
        agree = sum(
            now_ms - at_ms < PEER_DOUBT_MS and server_id in paused
            for at_ms, paused in self._peers.values()
        )
        return agree >= PEERS_TO_AGREE

    def forget(self, server_id: str) -> None:
        """Drops what is known of `server_id`, which started anew."""
        self._records.pop(server_id, None)

    def keep(self, ids: frozenset[str]) -> None:
        """Forgets all servers but `ids`."""
        for name in self._records.keys() - ids:
            del self._records[name]
