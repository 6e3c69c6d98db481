"""Opens connections to servers, through a peer where own links are gone."""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import Final

import anyio

from ..adapters.http1 import H11Protocol
from ..adapters.http1_connect import Connect, connect
from ..adapters.logs import log_event
from ..adapters.staggered import Attempt, open_first
from ..adapters.tunnel import open_tunnel
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.addresses import Address
from ..core.entry.counters import Counters
from ..core.entry.server_paths import ServerPaths
from ..core.entry.servers import BackendServer

# Opening a connection takes one round trip; a server that has not answered
# within this time is unreachable.
CONNECT_TIMEOUT_MS: Final = 400
# A connection whose sent bytes stay unacknowledged, or whose server reads
# nothing or answers no keep-alive probe for this long, is lost. Servers that
# run well may be silent for up to two seconds.
UNACKED_TIMEOUT_MS: Final = 3_000
# Time between the attempts at two peers; a round trip to the first one and
# its connection to the server fit in.
PEER_STAGGER_MS: Final = 60
MAX_PEERS_ASKED: Final = 3
# Interval at which the links are checked.
CHECK_INTERVAL_MS: Final = 250
# Silence of all servers, while requests wait for them, after which a new
# connection shows whether this host's links are gone.
SILENCE_BEFORE_CHECK_MS: Final = 400


class ServerLinks:
    """The connections that this host opens to servers.

    Attributes:
        paths: Which servers are reached directly.
        list_helpers: Returns the addresses of peers that may reach a server,
            best first.
        is_leaving: Returns whether the peer at an address shuts down.
    """

    __slots__ = (
        "paths",
        "list_helpers",
        "is_leaving",
        "_connect",
        "_clock",
        "_counters",
        "_was_cut",
    )

    def __init__(
        self, clock: Clock, counters: Counters, connect_server: Connect
    ) -> None:
        """Creates the links.

        Args:
            clock: The clock.
            counters: Counts the connections by how they were opened.
            connect_server: Opens a connection without a peer.
        """
        self.paths = ServerPaths()
        self.list_helpers: Callable[[str], list[Address]] = lambda id: []
        self.is_leaving: Callable[[Address], bool] = lambda address: False
        self._connect = connect_server
        self._clock = clock
        self._counters = counters
        self._was_cut = False

    async def open(self, server: BackendServer) -> H11Protocol | None:
        """Opens a connection to a server; None if nobody reaches it."""
        now_ms = self._clock.now_ms()
        direct = functools.partial(self._open_direct, server)
        helpers = self.list_helpers(server.id)[:MAX_PEERS_ASKED]
        head_start_ms = self.paths.head_start_ms(server.id, now_ms)
        ways = [
            functools.partial(self._open_through, helper, server)
            for helper in helpers
        ]
        # A connection of this host's own outlasts one through a peer that
        # shuts down.
        position = 0
        if head_start_ms is None:
            leaving = map(self.is_leaving, helpers)
            position = [*leaving, True].index(True)
        ways.insert(position, direct)
        delays_ms = [PEER_STAGGER_MS * number for number in range(len(ways))]
        if head_start_ms is not None:
            delays_ms[1:] = [
                head_start_ms + delay_ms for delay_ms in delays_ms[:-1]
            ]
        attempts = list(map(Attempt, delays_ms, ways))
        found = await open_first(attempts, CONNECT_TIMEOUT_MS)
        if found is None:
            return None
        _, protocol = found
        self._record(server, protocol)
        return protocol

    async def accepts(self, server: BackendServer) -> bool:
        """Returns whether a server takes a connection of this host."""
        protocol = await self._open_direct(server)
        if protocol is None:
            return False
        protocol.abort()
        return True

    async def _open_direct(self, server: BackendServer) -> H11Protocol | None:
        return await self._connect(
            (server.host, server.port), CONNECT_TIMEOUT_MS, UNACKED_TIMEOUT_MS
        )

    async def _open_through(
        self, helper: Address, server: BackendServer
    ) -> H11Protocol | None:
        return await open_tunnel(
            connect,
            helper,
            (server.host, server.port),
            CONNECT_TIMEOUT_MS,
            UNACKED_TIMEOUT_MS,
        )

    def _record(self, server: BackendServer, protocol: H11Protocol) -> None:
        now_ms = self._clock.now_ms()
        way = "peer" if protocol.via_peer else "direct"
        self._counters.add("connections", way=way)
        if not protocol.via_peer:
            self._record_direct(server.id, now_ms)
            return
        if not self.paths.is_relayed(server.id, now_ms):
            log_event("server_reached_by_peer", server=server.id)
        self.paths.record_relayed(server.id, now_ms)

    def _record_direct(self, server_id: str, now_ms: int) -> None:
        if self.paths.is_relayed(server_id, now_ms):
            log_event("server_reached_again", server=server_id)
        self.paths.record_direct(server_id, now_ms)

    async def run_checks(
        self,
        find_server: Callable[[str], BackendServer | None],
        list_waiting: Callable[[], list[str]],
    ) -> None:
        """Checks until cancelled whether the own links are gone or back.

        Args:
            find_server: Returns the listed server with an id.
            list_waiting: Returns the ids of the servers that have requests
                of this host in progress.
        """
        while True:
            await anyio.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            relayed = self.paths.list_relayed(now_ms)
            if relayed:
                await self._check_relayed(find_server(relayed[0]))
            elif self.paths.is_silent(now_ms, SILENCE_BEFORE_CHECK_MS):
                await self._check_silent(
                    [find_server(id) for id in list_waiting()]
                )
            self._log_cut()

    async def _check_relayed(self, server: BackendServer | None) -> None:
        """Tries whether this host reaches a server itself again."""
        if server is None:
            return
        protocol = await self._open_direct(server)
        now_ms = self._clock.now_ms()
        if protocol is None:
            self.paths.record_relayed(server.id, now_ms)
            return
        protocol.abort()
        self._counters.add("connections", way="check")
        self._record_direct(server.id, now_ms)

    async def _check_silent(self, waiting: list[BackendServer | None]) -> None:
        """Opens connections to servers that have been silent."""
        servers = [server for server in waiting if server is not None]
        for server in servers:
            protocol = await self.open(server)
            if protocol is None:
                continue
            protocol.abort()
            if not protocol.via_peer:
                return

    def _log_cut(self) -> None:
        now_ms = self._clock.now_ms()
        cut = self.paths.is_cut(now_ms)
        if cut == self._was_cut:
            return
        self._was_cut = cut
        if cut:
            log_event(
                "server_links_lost",
                "WARNING",
                servers=len(self.paths.list_relayed(now_ms)),
            )
        else:
            log_event("server_links_regained")
