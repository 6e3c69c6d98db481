"""Connections of callers."""

from __future__ import annotations

from typing import Final

import anyio

from ..adapters.http1_server import (
    ReceivedRequest,
    ServerConnection,
    UnreadableRequest,
)
from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.planner import Planner
from ..core.entry.routing import CallerLimits, DEFAULT_LIMITS
from ..platform.headers import HeaderError, read_caller_request
from .backends import Backends
from .relay import Relay

# A host that starts has its desired state after a few calls to the store;
# requests that come sooner wait this long instead of being refused.
START_HOLD_MS: Final = 300
START_POLL_MS: Final = 10


class CallerService:
    """Serves callers.

    Attributes:
        leaving: Whether connections end after the answer in progress.
    """

    __slots__ = ("leaving", "_planner", "_backends", "_clock", "_conns")

    def __init__(
        self, planner: Planner, backends: Backends, clock: Clock
    ) -> None:
        self.leaving = False
        self._planner = planner
        self._backends = backends
        self._clock = clock
        self._conns: set[ServerConnection] = set()

    def busy(self) -> int:
        """Returns how many connections have a request in progress."""
        return sum(conn.busy for conn in self._conns)

    def leave(self) -> None:
        """Ends each connection after the answer in progress."""
        self.leaving = True
        for conn in self._conns:
            conn.closing = True

    def close_idle(self) -> None:
        """Ends the connections on which nothing has begun to arrive."""
        for conn in list(self._conns):
            if not conn.busy and not conn.protocol.bytes_received:
                conn.protocol.close()

    async def serve(self, conn: ServerConnection) -> None:
        """Serves the requests of one connection."""
        self._conns.add(conn)
        try:
            while await self._serve_one(conn):
                pass
        finally:
            self._conns.discard(conn)

    def _limits(self) -> CallerLimits:
        desired = self._planner.desired
        return DEFAULT_LIMITS if desired is None else desired.limits

    async def _serve_one(self, conn: ServerConnection) -> bool:
        received = await conn.read_request(self._limits())
        conn.closing = self.leaving
        if received is None:
            return False
        if isinstance(received, UnreadableRequest):
            await self._reject(conn, received)
            return False
        protocol = conn.protocol
        if protocol.eof or protocol.lost:
            return False
        with anyio.CancelScope() as scope:
            protocol.on_peer_closed = scope.cancel
            await self._answer(conn, received)
        protocol.on_peer_closed = None
        if scope.cancelled_caught:
            protocol.abort()
            return False
        conn.closing = conn.closing or self.leaving
        more = await conn.finish()
        conn.busy = False
        return more

    async def _answer(
        self, conn: ServerConnection, received: ReceivedRequest
    ) -> None:
        try:
            req = read_caller_request(
                received.method,
                received.target,
                received.headers,
                received.body,
            )
        except HeaderError as exc:
            await self._reject(conn, UnreadableRequest(400, str(exc)))
            return
        await self._wait_for_state()
        relay = Relay(self._planner, self._backends, self._clock, conn, req)
        await relay.run()

    async def _wait_for_state(self) -> None:
        """Waits for the first desired state, which is on its way."""
        until_ms = self._clock.now_ms() + START_HOLD_MS
        while self._planner.desired is None:
            if self._clock.now_ms() >= until_ms:
                return
            await anyio.sleep(START_POLL_MS / MS_PER_SECOND)

    async def _reject(
        self, conn: ServerConnection, unreadable: UnreadableRequest
    ) -> None:
        log_event(
            "request_unreadable",
            status=unreadable.status,
            detail=unreadable.detail,
        )
        conn.closing = True
        await conn.respond(unreadable.status, [])
        await conn.close_with_linger()
