"""Pool of connections to backend servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio

from ..adapters.http1 import H11Protocol
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.answer_memory import AnswerMemory
from ..core.entry.answered_ids import AnsweredIds
from ..core.entry.flights import Ending
from ..core.entry.servers import BackendServer
from ..core.process_limits import limit_idle_connections
from .server_links import ServerLinks

# Used if the server does not send its idle timeout.
DEFAULT_IDLE_TIMEOUT_MS: Final = 4_000
# Idle connections are closed this long before the server closes them.
IDLE_TIMEOUT_MARGIN_MS: Final = 1_000
# A request that must not be sent twice uses a connection that has been idle
# for at most this fraction of the idle timeout, or a new one.
FRESH_SHARE: Final = 0.5
# Longest wait for a connection that shows that a server is still there.
CHECK_MS: Final = 50
# How long requests use new connections to a server that turned one away
# without its id, which can only be attributed on a new connection.
UNIDENTIFIED_MS: Final = 10_000


class _IdleConnection:
    __slots__ = ("protocol", "used_ms", "fresh_until_ms", "expires_ms")

    def __init__(
        self, protocol: H11Protocol, now_ms: int, idle_ms: int
    ) -> None:
        self.protocol = protocol
        self.used_ms = now_ms
        self.fresh_until_ms = now_ms + int(idle_ms * FRESH_SHARE)
        self.expires_ms = now_ms + idle_ms


class ConnectionPool:
    """Idle connections by server id.

    Attributes:
        answered: Ids of requests that were answered recently.
        memory: Bytes of answers that are held.
        on_unexpected_bytes: Called with the id of a server that sent bytes
            after an answer, before another request.
        on_accepted: Called with the id of a server that has broken a
            connection, and takes another one right after.
    """

    __slots__ = (
        "answered",
        "memory",
        "on_unexpected_bytes",
        "on_accepted",
        "_links",
        "_clock",
        "_max_idle",
        "_idle",
        "_unidentified_ms",
    )

    def __init__(
        self,
        clock: Clock,
        links: ServerLinks,
        memory: AnswerMemory | None = None,
        max_idle: int = limit_idle_connections(0),
    ) -> None:
        """Initializes the pool.

        Args:
            clock: The clock.
            links: Opens connections.
            memory: Bytes of answers that are held.
            max_idle: How many connections may be idle.
        """
        self.answered = AnsweredIds()
        self.memory = memory or AnswerMemory()
        self.on_unexpected_bytes: Callable[[str], None] = lambda id: None
        self.on_accepted: Callable[[str], None] = lambda id: None
        self._links = links
        self._clock = clock
        self._max_idle = max_idle
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._unidentified_ms: dict[str, int] = {}

    async def acquire(
        self, server: BackendServer, fresh: bool, request_id: str = ""
    ) -> H11Protocol | None:
        """Returns an open connection, or None if the server is unreachable.

        Args:
            server: Server to connect to.
            fresh: Whether to reuse only connections used recently.
            request_id: Id of the request; one that was answered recently
                gets a new connection.
        """
        now_ms = self._clock.now_ms()
        if self.answered.is_recent(request_id, now_ms):
            return await self.open(server)
        if server.id in self._unidentified_ms:
            if now_ms < self._unidentified_ms[server.id]:
                return await self.open(server)
            del self._unidentified_ms[server.id]
        return self._pop_idle(server, fresh) or await self.open(server)

    async def open(self, server: BackendServer) -> H11Protocol | None:
        """Opens a connection; returns None if the server is unreachable."""
        protocol = await self._links.open(server)
        if protocol is None:
            self.close_idle(server.id)
        return protocol

    async def check_ending(
        self, server: BackendServer, ending: Ending
    ) -> None:
        """Finds out whether a server that broke a connection has crashed."""
        if ending is Ending.BROKEN:
            with anyio.move_on_after(CHECK_MS / MS_PER_SECOND):
                if await self._links.accepts(server):
                    self.on_accepted(server.id)

    def record_unidentified(self, server_id: str) -> None:
        """Records that a server turned a request away without its id."""
        until_ms = self._clock.now_ms() + UNIDENTIFIED_MS
        self._unidentified_ms[server_id] = until_ms

    def record_received(self, server_id: str, protocol: H11Protocol) -> None:
        """Records that bytes of a server arrived."""
        if not protocol.via_peer:
            self._links.paths.record_received(server_id, self._clock.now_ms())

    def may_be_cut(self, protocol: H11Protocol) -> bool:
        """Returns whether a peer that shuts down passes the bytes on.

        It ends its tunnels, whatever they carry.
        """
        peer = protocol.peer
        return peer is not None and self._links.is_leaving(peer)

    def is_connected(self, server_id: str) -> bool:
        """Returns whether a connection to the server was used recently."""
        idle = self._idle.get(server_id)
        if not idle:
            return False
        return self._clock.now_ms() <= idle[-1].fresh_until_ms

    def _pop_idle(
        self, server: BackendServer, fresh: bool
    ) -> H11Protocol | None:
        idle = self._idle.get(server.id)
        now_ms = self._clock.now_ms()
        while idle:
            last = idle[-1]
            if fresh and now_ms > last.fresh_until_ms:
                return None
            idle.pop()
            if self._is_usable(server.id, last, now_ms):
                return last.protocol
            self._drop(server.id, last.protocol)
        return None

    def _drop(self, server_id: str, protocol: H11Protocol) -> None:
        """Aborts an idle connection."""
        if protocol.bytes_received and not protocol.ended:
            self.on_unexpected_bytes(server_id)
        protocol.abort()

    def _is_usable(
        self, server_id: str, idle: _IdleConnection, now_ms: int
    ) -> bool:
        if not idle.protocol.reusable or now_ms >= idle.expires_ms:
            return False
        paths = self._links.paths
        if not idle.protocol.via_peer:
            return paths.trusts(server_id, idle.used_ms)
        return paths.is_relayed(server_id, now_ms) and not self.may_be_cut(
            idle.protocol
        )

    def release(
        self,
        server: BackendServer,
        protocol: H11Protocol,
        keep_alive_s: int | None,
    ) -> None:
        """Keeps a connection whose last exchange is complete.

        Args:
            server: Server at the other end.
            protocol: The connection.
            keep_alive_s: Idle timeout that the server sent; None if it sent
                none.
        """
        now_ms = self._clock.now_ms()
        idle_ms = DEFAULT_IDLE_TIMEOUT_MS
        if keep_alive_s is not None:
            idle_ms = keep_alive_s * MS_PER_SECOND - IDLE_TIMEOUT_MARGIN_MS
        if (
            idle_ms <= 0
            or protocol.unsent_bytes()
            or not protocol.exchange.release()
            or not protocol.reset_cycle()
        ):
            if protocol.has_unparsed:
                self.on_unexpected_bytes(server.id)
            protocol.abort()
            return
        self._add_idle(server, _IdleConnection(protocol, now_ms, idle_ms))

    def keep(self, server: BackendServer, protocol: H11Protocol) -> None:
        """Keeps a new connection for the next request."""
        now_ms = self._clock.now_ms()
        self._add_idle(
            server, _IdleConnection(protocol, now_ms, DEFAULT_IDLE_TIMEOUT_MS)
        )

    def _add_idle(
        self, server: BackendServer, connection: _IdleConnection
    ) -> None:
        """Keeps a connection, and closes the oldest one above the bound."""
        self._idle.setdefault(server.id, []).append(connection)
        if sum(map(len, self._idle.values())) <= self._max_idle:
            return
        oldest = min(
            (id for id, idle in self._idle.items() if idle),
            key=lambda id: self._idle[id][0].used_ms,
        )
        self._drop(oldest, self._idle[oldest].pop(0).protocol)

    def close_idle(self, server_id: str) -> None:
        """Closes the idle connections to a server."""
        for idle in self._idle.pop(server_id, []):
            idle.protocol.abort()

    def evict_expired(self) -> None:
        """Closes idle connections that expired or can't be reused."""
        now_ms = self._clock.now_ms()
        self._unidentified_ms = {
            server_id: until_ms
            for server_id, until_ms in self._unidentified_ms.items()
            if now_ms < until_ms
        }
        for server_id, connections in list(self._idle.items()):
            open_connections = []
            for idle in connections:
                if idle.protocol.reusable and now_ms < idle.expires_ms:
                    open_connections.append(idle)
                else:
                    self._drop(server_id, idle.protocol)
            if open_connections:
                self._idle[server_id] = open_connections
            else:
                del self._idle[server_id]
