"""Serves the connections of callers."""

from __future__ import annotations

from typing import Final

import anyio

from ..adapters.http1 import deliver_pending
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
from .backends import ConnectionPool
from .relay import Relay
from .server_marks import ServerMarks

# A host that starts receives its desired state after a few calls to the
# store; requests that arrive before wait up to this long instead of being
# refused at once.
DESIRED_STATE_WAIT_MS: Final = 300
DESIRED_STATE_POLL_MS: Final = 10


class CallerService:
    """Serves requests on the connections of callers.

    Attributes:
        draining: Whether connections close after the answer in progress.
    """

    __slots__ = (
        "draining",
        "_planner",
        "_pool",
        "_marks",
        "_clock",
        "_conns",
        "_unsent",
    )

    def __init__(
        self,
        planner: Planner,
        pool: ConnectionPool,
        marks: ServerMarks,
        clock: Clock,
    ) -> None:
        self.draining = False
        self._planner = planner
        self._pool = pool
        self._marks = marks
        self._clock = clock
        self._conns: set[ServerConnection] = set()
        # Connections that have ended here with a part of an answer unsent.
        self._unsent: set[ServerConnection] = set()

    def count_busy(self) -> int:
        """Returns how many connections have a request or answer in progress.

        An answer is in progress until the operating system has all of it.
        """
        self._unsent = {
            conn for conn in self._unsent if conn.protocol.unsent_bytes()
        }
        return len(self._unsent) + sum(
            conn.busy or conn.protocol.unsent_bytes() > 0
            for conn in self._conns
        )

    def drain(self) -> None:
        """Makes each connection close after the answer in progress."""
        self.draining = True
        for conn in self._conns:
            conn.closing = True

    async def close_idle(self) -> None:
        """Closes connections on which no part of a request has arrived."""
        await deliver_pending()
        for conn in list(self._conns):
            if not conn.busy and not conn.protocol.bytes_received:
                conn.protocol.close()

    async def serve(self, conn: ServerConnection) -> None:
        """Serves the requests of one connection until it closes."""
        self._conns.add(conn)
        try:
            while await self._serve_request(conn):
                pass
        finally:
            self._conns.discard(conn)
            if conn.protocol.unsent_bytes():
                self._unsent.add(conn)

    def _limits(self) -> CallerLimits:
        desired = self._planner.desired
        return DEFAULT_LIMITS if desired is None else desired.limits

    async def _serve_request(self, conn: ServerConnection) -> bool:
        received = await conn.read_request(
            self._limits(), lambda: self._limits().idle_ms
        )
        conn.closing = self.draining
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
        conn.closing = conn.closing or self.draining
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
        await self._wait_for_desired_state()
        relay = Relay(
            self._planner, self._pool, self._marks, self._clock, conn, req
        )
        await relay.run()

    async def _wait_for_desired_state(self) -> None:
        """Waits a bounded time for the first desired state."""
        until_ms = self._clock.now_ms() + DESIRED_STATE_WAIT_MS
        while self._planner.desired is None:
            if self._clock.now_ms() >= until_ms:
                return
            await anyio.sleep(DESIRED_STATE_POLL_MS / MS_PER_SECOND)

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
