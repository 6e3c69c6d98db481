"""Connection pools to the backend servers.

Uses httpx's transport interface over aiohttp, the cheaper of the measured
relays; see docs/design/relay.md. Three defaults of the libraries are turned
off: storing cookies of one caller's answer for the next caller, adding
headers to the caller's own, and retrying a request whose connection broke.
"""

from __future__ import annotations

from typing import Final

import aiohttp
import httpx
from httpx_aiohttp import AiohttpTransport

MAX_CONNECTIONS: Final = 4_096
IDLE_TIMEOUT_S: Final = 30.0
AUTO_HEADERS: Final = ("accept", "accept-encoding", "user-agent")


class ConnectionPool:
    """One generation of pooled connections to a server.

    Attributes:
        known_good: Whether a complete answer has come over it.
        in_use: Number of exchanges that use it.
        retired: Whether new exchanges use a later pool.
    """

    __slots__ = ("known_good", "in_use", "retired", "_transport")

    def __init__(self) -> None:
        self.known_good = False
        self.in_use = 0
        self.retired = False
        self._transport: httpx.AsyncBaseTransport = AiohttpTransport(
            client=_open_session
        )

    async def send(self, req: httpx.Request) -> httpx.Response:
        """Sends `req` and returns its response with the body unread."""
        return await self._transport.handle_async_request(req)

    async def release(self) -> None:
        """Ends one exchange; the last one of a retired pool closes it."""
        self.in_use -= 1
        if self.retired and not self.in_use:
            await self._transport.aclose()

    async def retire(self) -> None:
        """Stops new exchanges; closes once those in progress end."""
        self.retired = True
        if not self.in_use:
            await self._transport.aclose()

    async def close(self) -> None:
        """Closes every connection."""
        await self._transport.aclose()


class ConnectionPools:
    """The current connection pool of each server, by address."""

    __slots__ = ("_conn_pools",)

    def __init__(self) -> None:
        self._conn_pools: dict[str, ConnectionPool] = {}

    def acquire(self, address: str) -> ConnectionPool:
        """Returns the pool of `address`; the user has to release it."""
        conn_pool = self._conn_pools.get(address)
        if conn_pool is None:
            conn_pool = self._conn_pools[address] = ConnectionPool()
        conn_pool.in_use += 1
        return conn_pool

    async def replace(self, address: str, conn_pool: ConnectionPool) -> None:
        """Retires `conn_pool` so that the next request opens a connection.

        Does nothing if it has been replaced already.
        """
        if self._conn_pools.get(address) is conn_pool:
            del self._conn_pools[address]
            await conn_pool.retire()

    async def retain(self, addresses: frozenset[str]) -> None:
        """Retires the pools of all servers but those at `addresses`."""
        for address in self._conn_pools.keys() - addresses:
            await self._conn_pools.pop(address).retire()

    async def close(self) -> None:
        """Closes every connection."""
        for conn_pool in self._conn_pools.values():
            await conn_pool.close()
        self._conn_pools.clear()


def _open_session() -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=IDLE_TIMEOUT_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=AUTO_HEADERS,
    )
    # aiohttp has no public option to turn off its retry; a test counts the
    # requests that reach the server.
    session._retry_connection = False
    return session
