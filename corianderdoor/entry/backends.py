"""Pool of connections to backend servers."""

from __future__ import annotations

from typing import Final

from ..adapters.http1 import Connect, connect, H11Protocol
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.counters import Counters
from ..core.entry.servers import BackendServer

# Opening a connection takes one round trip; a server that has not answered
# within this time is unreachable.
CONNECT_TIMEOUT_MS: Final = 400
# A connection whose sent bytes stay unacknowledged, or whose server reads
# nothing or answers no keep-alive probe for this long, is lost. Servers that
# run well may be silent for up to two seconds.
UNACKED_TIMEOUT_MS: Final = 3_000
# Used if the server does not send its idle timeout.
DEFAULT_IDLE_TIMEOUT_MS: Final = 4_000
# Idle connections are closed this long before the server closes them.
IDLE_TIMEOUT_MARGIN_MS: Final = 1_000
# A request that must not be sent twice uses a connection that has been idle
# for at most this fraction of the idle timeout, or a new one.
FRESH_SHARE: Final = 0.5


class _IdleConnection:
    __slots__ = ("protocol", "fresh_until_ms", "expires_ms")

    def __init__(
        self, protocol: H11Protocol, now_ms: int, idle_ms: int
    ) -> None:
        self.protocol = protocol
        self.fresh_until_ms = now_ms + int(idle_ms * FRESH_SHARE)
        self.expires_ms = now_ms + idle_ms


class ConnectionPool:
    """Idle connections by server id."""

    __slots__ = ("_counters", "_clock", "_connect", "_idle")

    def __init__(
        self, clock: Clock, counters: Counters, connect: Connect = connect
    ) -> None:
        self._connect = connect
        self._counters = counters
        self._clock = clock
        self._idle: dict[str, list[_IdleConnection]] = {}

    async def acquire(
        self, server: BackendServer, fresh: bool
    ) -> H11Protocol | None:
        """Returns an open connection, or None if the server is unreachable.

        Args:
            server: Server to connect to.
            fresh: Whether to reuse only connections used recently.
        """
        idle_protocol = self._pop_idle(server, fresh)
        if idle_protocol is not None:
            return idle_protocol
        address = (server.host, server.port)
        protocol = await self._connect(
            address, CONNECT_TIMEOUT_MS, UNACKED_TIMEOUT_MS
        )
        if protocol is None:
            self.close_idle(server.id)
            return None
        self._counters.add("connections")
        return protocol

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
            if last.protocol.reusable and now_ms < last.expires_ms:
                return last.protocol
            last.protocol.abort()
        return None

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
            or not protocol.reset_cycle()
        ):
            protocol.abort()
            return
        idle = self._idle.setdefault(server.id, [])
        idle.append(_IdleConnection(protocol, now_ms, idle_ms))

    def close_idle(self, server_id: str) -> None:
        """Closes the idle connections to a server."""
        for idle in self._idle.pop(server_id, []):
            idle.protocol.abort()

    def evict_expired(self) -> None:
        """Closes idle connections that expired or can't be reused."""
        now_ms = self._clock.now_ms()
        for server_id, connections in list(self._idle.items()):
            open_connections = []
            for idle in connections:
                if idle.protocol.reusable and now_ms < idle.expires_ms:
                    open_connections.append(idle)
                else:
                    idle.protocol.abort()
            if open_connections:
                self._idle[server_id] = open_connections
            else:
                del self._idle[server_id]
