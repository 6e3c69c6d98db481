"""Which servers this host reaches itself, and which only through peers."""

from __future__ import annotations

from typing import Final

# How long a server counts as reached only through peers after the last
# connection of this host's own that failed.
RELAYED_MS: Final = 3_000
# Time that this host's own connection gets before a peer is asked too; far
# above a round trip within a region.
DIRECT_HEAD_START_MS: Final = 150
# Number of servers that only peers reach, and time without a byte from any
# server, after which the fault is on this host's side of its links.
MIN_RELAYED_SERVERS: Final = 2
SILENT_MS: Final = 500


class ServerPaths:
    """How this host reaches the servers.

    A server that this host can't reach but a peer can is well: what has
    failed is this host's link to it. Holds at most three times for each
    listed server.
    """

    __slots__ = ("_relayed", "_suspected", "_received", "_all_suspected_ms")

    def __init__(self) -> None:
        # When the last own connection failed, and since when its servers'
        # other connections are suspect.
        self._relayed: dict[str, int] = {}
        self._suspected: dict[str, int] = {}
        self._received: dict[str, int] = {}
        self._all_suspected_ms = -1

    def record_received(self, server_id: str, now_ms: int) -> None:
        """Records bytes or a connection without a peer between."""
        self._received[server_id] = now_ms

    def record_direct(self, server_id: str, now_ms: int) -> None:
        """Records that this host opened a connection itself."""
        self._relayed.pop(server_id, None)
        self.record_received(server_id, now_ms)

    def record_relayed(self, server_id: str, now_ms: int) -> None:
        """Records that a peer reached a server that this host did not."""
        if not self.is_relayed(server_id, now_ms):
            self._suspected[server_id] = now_ms
        was_cut = self.is_cut(now_ms)
        self._relayed[server_id] = now_ms
        if self.is_cut(now_ms) and not was_cut:
            self._all_suspected_ms = now_ms

    def is_relayed(self, server_id: str, now_ms: int) -> bool:
        """Returns whether connections to a server go through a peer."""
        at_ms = self._relayed.get(server_id)
        return at_ms is not None and now_ms - at_ms < RELAYED_MS

    def list_relayed(self, now_ms: int) -> list[str]:
        """Returns the servers that only peers reach, longest ago first."""
        relayed = [id for id in self._relayed if self.is_relayed(id, now_ms)]
        return sorted(relayed, key=self._relayed.__getitem__)

    def head_start_ms(self, server_id: str, now_ms: int) -> int | None:
        """Returns how long an own connection is tried before a peer is asked.

        None if a peer is asked first.
        """
        if self.is_relayed(server_id, now_ms) or self.is_cut(now_ms):
            return None
        return DIRECT_HEAD_START_MS

    def trusts(self, server_id: str, used_ms: int) -> bool:
        """Returns whether an idle connection may be used.

        Args:
            server_id: Id of the server.
            used_ms: When the connection was last used.
        """
        suspected_ms = self._suspected.get(server_id, -1)
        return used_ms > max(suspected_ms, self._all_suspected_ms)

    def is_cut(self, now_ms: int) -> bool:
        """Returns whether this host has lost its links to the servers."""
        relayed = self.list_relayed(now_ms)
        if len(relayed) < MIN_RELAYED_SERVERS:
            return False
        return self.is_silent(now_ms, SILENT_MS)

    def is_silent(self, now_ms: int, span_ms: int) -> bool:
        """Returns whether no server sent a byte without a peer for a time."""
        return all(
            now_ms - at_ms >= span_ms for at_ms in self._received.values()
        )

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the records of all servers but `ids`."""
        for times in (self._relayed, self._suspected, self._received):
            for name in times.keys() - ids:
                del times[name]
