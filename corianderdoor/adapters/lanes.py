"""The kept connections to one backend server.

httpx's transport interface over aiohttp: the cheaper of the measured
relays, see docs/design/relay.md. Three habits of the libraries are off:
cookies kept from one caller's answer for the next, headers added to the
caller's own, and a request sent again when its connection breaks.
"""

from __future__ import annotations

from typing import Final

import aiohttp
import httpx
from httpx_aiohttp import AiohttpTransport

MAX_CONNECTIONS: Final = 4_096
IDLE_CONNECTION_S: Final = 30.0
OWN_HEADERS: Final = ("accept", "accept-encoding", "user-agent")


class Lane:
    """One generation of connections to a server.

    Attributes:
        proved: Whether a whole answer came over it.
        in_use: Exchanges that hold it.
        retired: Whether new exchanges go over a later lane.
    """

    __slots__ = ("proved", "in_use", "retired", "_transport")

    def __init__(self) -> None:
        self.proved = False
        self.in_use = 0
        self.retired = False
        self._transport: httpx.AsyncBaseTransport = AiohttpTransport(
            client=_open_session
        )

    async def send(self, req: httpx.Request) -> httpx.Response:
        """Sends `req` and returns its response, the body unread."""
        return await self._transport.handle_async_request(req)

    async def release(self) -> None:
        """Ends one exchange; the last one of a retired lane closes it."""
        self.in_use -= 1
        if self.retired and not self.in_use:
            await self._transport.aclose()

    async def retire(self) -> None:
        """Takes no new exchange; those in progress go on."""
        self.retired = True
        if not self.in_use:
            await self._transport.aclose()

    async def close(self) -> None:
        """Closes every connection."""
        await self._transport.aclose()


class Lanes:
    """The present lane of each server, by its address."""

    __slots__ = ("_lanes",)

    def __init__(self) -> None:
        self._lanes: dict[str, Lane] = {}

    def take(self, address: str) -> Lane:
        """Returns the lane to `address`, held until its release."""
        lane = self._lanes.get(address)
        if lane is None:
            lane = self._lanes[address] = Lane()
        lane.in_use += 1
        return lane

    async def replace(self, address: str, lane: Lane) -> None:
        """Retires `lane`, so that the next request connects anew."""
        if self._lanes.get(address) is lane:
            del self._lanes[address]
            await lane.retire()

    async def retain_only(self, addresses: frozenset[str]) -> None:
        """Retires the lanes to all but `addresses`."""
        for address in self._lanes.keys() - addresses:
            await self._lanes.pop(address).retire()

    async def close(self) -> None:
        """Closes every connection."""
        for lane in self._lanes.values():
            await lane.close()
        self._lanes.clear()


def _open_session() -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=IDLE_CONNECTION_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=OWN_HEADERS,
    )
    # The library has no public switch; a test counts what a server gets.
    session._retry_connection = False
    return session
