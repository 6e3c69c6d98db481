"""Stand-in for the platform's host list, which lags behind changes.

Interface:
    GET /hosts                   the list as of `lag_ms` ago
    PUT /standin/hosts           replaces the list
"""

from __future__ import annotations

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..core.clock import Clock

EMPTY_LISTING = b'{"entries": [], "servers": []}'


class HostsStandin:
    """Serves a host list; replacements take effect after a lag."""

    __slots__ = ("_clock", "_lag_ms", "_current", "_pending")

    def __init__(self, clock: Clock, lag_ms: int = 0) -> None:
        self._clock = clock
        self._lag_ms = lag_ms
        self._current = EMPTY_LISTING
        self._pending: list[tuple[int, bytes]] = []

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/hosts", self._get, methods=["GET"]),
                Route("/standin/hosts", self._put, methods=["PUT"]),
            ]
        )

    def put(self, listing: bytes) -> None:
        """Replaces the list; readers see it after the lag."""
        self._pending.append((self._clock.now_ms() + self._lag_ms, listing))

    async def _get(self, req: Request) -> Response:
        while self._pending and self._pending[0][0] <= self._clock.now_ms():
            self._current = self._pending.pop(0)[1]
        return Response(self._current, media_type="application/json")

    async def _put(self, req: Request) -> Response:
        self.put(await req.body())
        return Response()
