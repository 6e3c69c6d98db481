"""Ejection of backend servers that are unreachable or fail too often."""

from __future__ import annotations

from typing import Final

from .flights import Ending

# One failure in three recent requests, far above the rate of healthy
# servers.
EJECTION_FAILURE_RATE: Final = 0.34
# Weight of the newest outcome in the moving average of the failure rate;
# about the last eight outcomes count.
NEWEST_OUTCOME_WEIGHT: Final = 0.2
FIRST_EJECTION_MS: Final = 500
# How long an ejection that a peer reported counts.
PEER_EJECTION_TTL_MS: Final = 600
# Number of peers that must have ejected a server to eject it here too.
MIN_AGREEING_PEERS: Final = 2
MAX_EJECTION_MS: Final = 4_000


class _Record:
    __slots__ = ("failure_rate", "ejection_ms", "until_ms")

    def __init__(self) -> None:
        self.failure_rate = 0.0
        self.ejection_ms = 0
        self.until_ms = 0


class ServerEjections:
    """Ejects servers that are unreachable or fail too often.

    A server that `MIN_AGREEING_PEERS` peers have ejected is ejected here
    too; a single peer may have a problem of its own. Holds one record for
    each server that failed since it was listed, and a set for each peer.
    """

    __slots__ = ("_records", "_peers")

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._peers: dict[str, tuple[int, frozenset[str]]] = {}

    def record_success(self, server_id: str) -> None:
        """Records a complete answer, which resets the ejection time."""
        record = self._records.get(server_id)
        if record is None:
            return
        record.failure_rate *= 1 - NEWEST_OUTCOME_WEIGHT
        record.ejection_ms = 0
        if record.failure_rate < 0.05:
            del self._records[server_id]

    def record_failure(self, server_id: str, now_ms: int) -> bool:
        """Records a failed request; returns whether it ejects the server."""
        record = self._records.setdefault(server_id, _Record())
        record.failure_rate += NEWEST_OUTCOME_WEIGHT * (
            1 - record.failure_rate
        )
        if record.failure_rate < EJECTION_FAILURE_RATE:
            return False
        return self._eject(record, now_ms)

    def record_unreachable(self, server_id: str, now_ms: int) -> bool:
        """Records that the server can't be reached, and ejects it.

        Returns:
            False if the server was ejected already.
        """
        record = self._records.setdefault(server_id, _Record())
        record.failure_rate = max(record.failure_rate, EJECTION_FAILURE_RATE)
        return self._eject(record, now_ms)

    def record_ending(
        self, server_id: str, ending: Ending, now_ms: int
    ) -> None:
        """Records how an attempt at a server failed."""
        if ending in (Ending.UNREACHED, Ending.WRONG_SERVER):
            # If another server has the address, this one is gone.
            self.record_unreachable(server_id, now_ms)
        elif ending in (
            Ending.BROKEN,
            Ending.INVALID_ANSWER,
            Ending.SERVER_ERROR,
        ):
            self.record_failure(server_id, now_ms)

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
        """Replaces the servers that a peer has ejected by its own records."""
        if ejected:
            self._peers[peer] = (now_ms, ejected)
        else:
            self._peers.pop(peer, None)

    def own_ejected(self, now_ms: int) -> list[str]:
        """Returns the servers that this host's own records eject."""
        return [
            server_id
            for server_id, record in self._records.items()
            if now_ms < record.until_ms
        ]

    def is_ejected(self, server_id: str, now_ms: int) -> bool:
        """Returns whether `server_id` is ejected, here or by its peers."""
        record = self._records.get(server_id)
        if record is not None and now_ms < record.until_ms:
            return True
        agree = sum(
            now_ms - at_ms < PEER_EJECTION_TTL_MS and server_id in ejected
            for at_ms, ejected in self._peers.values()
        )
        return agree >= MIN_AGREEING_PEERS

    def remove(self, server_id: str) -> None:
        """Drops the record of `server_id`, which restarted."""
        self._records.pop(server_id, None)

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the records of all servers but `ids`."""
        for name in self._records.keys() - ids:
            del self._records[name]
