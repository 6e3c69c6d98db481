"""Opens connections to servers for peers that lost their own links."""

from __future__ import annotations

from typing import Final

from ..adapters.http1_connect import Connect
from ..adapters.http1_server import ReceivedRequest, ServerConnection
from ..adapters.logs import log_event
from ..adapters.tunnel import pass_on
from ..core.entry.counters import Counters
from ..core.entry.servers import Servers
from .server_links import UNACKED_TIMEOUT_MS

# Shorter than the time in which the peer needs the connection, so that it
# can ask another host.
CONNECT_TIMEOUT_MS: Final = 200
FORBIDDEN: Final = 403
BAD_GATEWAY: Final = 502


class TunnelService:
    """Passes a peer's connections on to listed servers, and to no others.

    The peer decides about each request; this host sees bytes alone.

    Attributes:
        open: Number of tunnels in use.
    """

    __slots__ = ("open", "_servers", "_counters", "_connect")

    def __init__(
        self, servers: Servers, counters: Counters, connect_server: Connect
    ) -> None:
        self.open = 0
        self._servers = servers
        self._counters = counters
        self._connect = connect_server

    async def serve(
        self, conn: ServerConnection, received: ReceivedRequest
    ) -> None:
        """Serves one tunnel until one side ends it."""
        host, _, port = received.target.decode("latin-1").rpartition(":")
        server = self._servers.find_at(host, port)
        if server is None:
            await self._refuse(conn, FORBIDDEN, f"{host}:{port}")
            return
        target = await self._connect(
            (server.host, server.port),
            CONNECT_TIMEOUT_MS,
            UNACKED_TIMEOUT_MS,
        )
        if target is None:
            await self._refuse(conn, BAD_GATEWAY, server.id)
            return
        self._counters.add("tunnels", outcome="open")
        self.open += 1
        conn.account.set_upstream(target)
        try:
            await pass_on(conn, target)
        finally:
            self.open -= 1

    async def _refuse(
        self, conn: ServerConnection, status: int, server: str
    ) -> None:
        log_event("tunnel_refused", server=server, status=status)
        self._counters.add("tunnels", outcome="refused")
        conn.closing = True
        await conn.respond(status, [])
        await conn.finish()
