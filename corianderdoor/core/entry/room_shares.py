"""Shares of the room of servers, so that hosts do not fill it together.

Hosts choose by loads that are a heartbeat old. When requests arrive in
clumps, all of them find the same server below its bound at once. So the room
that is left of a server is shared: the less there is, the fewer hosts use it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from .active_hosts import rank_host
from .servers import BackendServer

# Room that has to be left for each host of a server's order that may send a
# new chat there: each sends one before it learns of the others'.
NEW_CHAT_SHARE: Final = 1.0
# Requests by which the last host of a server's order overstates its load. Few
# hosts have a request for the same server within one heartbeat, as chats stay
# with the servers that have them cached, so this is less than one for each.
MAX_HANDICAP: Final = 3.0
# Servers that got the same chat within this time share a popular one.
POPULAR_MS: Final = 1_000


class RoomShares:
    """This host's shares of the room of servers.

    Each server has an order of the hosts, which all of them compute alike.
    """

    __slots__ = ("_name", "_hosts", "_ranks")

    def __init__(self, name: str) -> None:
        """Creates the shares of the host `name`, the only one at first."""
        self._name = name
        self._hosts: Sequence[str] = [name]
        self._ranks: dict[str, int] = {}

    def set_hosts(self, hosts: Sequence[str]) -> None:
        """Sets the names of the hosts that share the room."""
        if hosts != self._hosts:
            self._hosts = hosts
            self._ranks = {}

    def count_hosts(self) -> int:
        """Returns the number of hosts that share the room."""
        return len(self._hosts)

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the orders of all servers but `ids`."""
        for server_id in self._ranks.keys() - ids:
            del self._ranks[server_id]

    def may_send_new(self, server: BackendServer, room: float) -> bool:
        """Returns whether this host may send a new chat to a server.

        Args:
            server: The server.
            room: Requests that it has room for, this one included.
        """
        return room >= 1 + NEW_CHAT_SHARE * self._rank(server.id)

    def may_send(self, server: BackendServer, room: float) -> bool:
        """Returns whether this host may send a request to a server.

        Chats that no server has cached need more, see `may_send_new`.

        Args:
            server: The server.
            room: Requests that it has room for, this one included.
        """
        return room >= 1 + self.handicap(server)

    def handicap(self, server: BackendServer) -> float:
        """Returns by how much this host overstates the load of a server.

        It differs from host to host, so that they do not all find the same
        server the least loaded one.
        """
        share = self._rank(server.id) / max(1, len(self._hosts))
        return MAX_HANDICAP * share

    def spread(
        self, servers: list[BackendServer], holders: dict[str, int]
    ) -> list[BackendServer]:
        """Returns the servers that have a chat cached, best first.

        The servers used last come first. Hosts spread a popular chat, which
        several servers get all the time.

        Args:
            servers: The servers, at least one.
            holders: Time of the last use by server id.
        """
        newest_ms = max(holders[server.id] for server in servers)
        return sorted(
            servers,
            key=lambda server: (
                (0, self._rank(server.id))
                if newest_ms - holders[server.id] < POPULAR_MS
                else (1, -holders[server.id])
            ),
        )

    def _rank(self, server_id: str) -> int:
        """Returns the place of this host in the order of a server."""
        rank = self._ranks.get(server_id)
        if rank is None:
            own = rank_host(f"{server_id} {self._name}")
            rank = sum(
                rank_host(f"{server_id} {host}") < own for host in self._hosts
            )
            self._ranks[server_id] = rank
        return rank
