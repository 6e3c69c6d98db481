"""Serves the connections of callers."""

from __future__ import annotations

from typing import Final

import anyio

from ..adapters.http1_connect import deliver_pending
from ..adapters.http1_server import (
    ReceivedRequest,
    ServerConnection,
    UnreadableRequest,
)
from ..adapters.logs import log_event
from ..adapters.work_turns import get_turns
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.planned_stop import PlannedStop
from ..core.entry.planner import Planner
from ..core.entry.routing import CallerLimits, DEFAULT_LIMITS
from ..platform.headers import (
    build_refusal_headers,
    find_request_id,
    HeaderError,
    read_caller_request,
)
from .backends import ConnectionPool
from .relay import Relay
from .server_marks import ServerMarks
from .stream_registry import StreamRegistry

# A host that starts receives its desired state after a few calls to the
# store; requests that arrive before wait up to this long instead of being
# refused at once.
DESIRED_STATE_WAIT_MS: Final = 300
DESIRED_STATE_POLL_MS: Final = 10
# A stopping host leaves a connection open for this long after it was opened,
# or after its last answer: the next request may be on its way. Closing new
# connections at once left requests without an answer.
MIN_IDLE_MS: Final = 500
SHUTDOWN_RETRY_MS: Final = 100
# Steps of work that each part of a prompt takes.
PART_STEPS: Final = 2


class CallerService:
    """Serves requests on the connections of callers.

    Attributes:
        draining: Whether connections close after the answer in progress.
        stop: The planned stop, and what still fits in.
    """

    __slots__ = (
        "draining",
        "stop",
        "_planner",
        "_pool",
        "_marks",
        "_streams",
        "_clock",
        "_conns",
        "_unsent",
        "_scopes",
    )

    def __init__(
        self,
        planner: Planner,
        pool: ConnectionPool,
        marks: ServerMarks,
        streams: StreamRegistry,
        clock: Clock,
    ) -> None:
        self.draining = False
        self.stop = PlannedStop()
        self._planner = planner
        self._pool = pool
        self._marks = marks
        self._streams = streams
        self._clock = clock
        # When each connection was opened, or its last answer ended.
        self._conns: dict[ServerConnection, int] = {}
        # Connections that have ended here with a part of an answer unsent.
        self._unsent: set[ServerConnection] = set()
        # What to cancel when the grace period ends.
        self._scopes: dict[ServerConnection, anyio.CancelScope] = {}

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

    def count_open(self) -> int:
        """Returns how many connections are open or have unsent bytes."""
        self.count_busy()  # drops those whose bytes are sent by now
        return len(self._unsent) + len(self._conns)

    def drain(self, accept_ms: int, span_ms: int, since_ms: int = 0) -> None:
        """Makes each connection close after the answer in progress.

        Args:
            accept_ms: Time in which all requests are taken.
            span_ms: Time after which `end_requests` may be called.
            since_ms: How long ago these times may have begun.
        """
        self.draining = True
        self.stop.begin(accept_ms, span_ms, self._clock.now_ms() - since_ms)
        for conn in self._conns:
            conn.closing = True

    async def close_idle(self) -> None:
        """Closes connections that are idle for at least `MIN_IDLE_MS`."""
        await deliver_pending()
        now_ms = self._clock.now_ms()
        for conn, since_ms in list(self._conns.items()):
            if conn.busy or conn.protocol.bytes_received:
                continue
            if now_ms - since_ms >= MIN_IDLE_MS:
                conn.protocol.close()

    def end_requests(self) -> None:
        """Ends what is in progress, with an answer where none has begun."""
        self.stop.ended = True
        for scope in list(self._scopes.values()):
            scope.cancel()

    async def serve(self, conn: ServerConnection) -> None:
        """Serves the requests of one connection until it closes."""
        self._conns[conn] = self._clock.now_ms()
        try:
            while await self._serve_request(conn):
                self._conns[conn] = self._clock.now_ms()
        finally:
            del self._conns[conn]
            self._scopes.pop(conn, None)
            if conn.protocol.unsent_bytes():
                self._unsent.add(conn)

    def _limits(self) -> CallerLimits:
        desired = self._planner.desired
        return DEFAULT_LIMITS if desired is None else desired.limits

    async def _serve_request(self, conn: ServerConnection) -> bool:
        received = None
        with anyio.CancelScope() as reading:
            self._scopes[conn] = reading
            received = await conn.read_request(self._limits(), self._limits)
        conn.closing = self.draining
        if reading.cancelled_caught and conn.busy:
            await self._end_request(conn, 503, None, SHUTDOWN_RETRY_MS)
            return False
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
            self._scopes[conn] = scope
            if self.stop.ended:
                scope.cancel()
            failed = not await self._try_answer(conn, received)
        protocol.on_peer_closed = None
        if scope.cancelled_caught:
            if not self.stop.ended or conn.response_started or protocol.ended:
                protocol.abort()
                return False
            # The request may have run.
            id = find_request_id(received.headers)
            await self._end_request(conn, 504, id, None)
            return False
        if failed:
            if conn.response_started or protocol.ended:
                protocol.abort()
                return False
            id = find_request_id(received.headers)
            await self._end_request(conn, 502, id, None)
            return False
        conn.closing = conn.closing or self.draining
        more = await conn.finish()
        conn.busy = False
        return more

    async def _try_answer(
        self, conn: ServerConnection, received: ReceivedRequest
    ) -> bool:
        """Answers a request; returns False after an unexpected error."""
        try:
            await self._answer(conn, received)
        except Exception as exc:
            log_event("request_failed", "ERROR", detail=repr(exc))
            self._planner.counters.add("request_failures")
            return False
        return True

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
        # Choosing a server, and the log, go through them.
        await get_turns().take(PART_STEPS * len(req.parts))
        for kind in req.ignored_marks:
            self._marks.record_ignored("", kind)
        await self._wait_for_desired_state()
        relay = Relay(
            self._planner,
            self._pool,
            self._marks,
            self._streams,
            self.stop,
            self._clock,
            conn,
            req,
        )
        await relay.run()

    async def _wait_for_desired_state(self) -> None:
        """Waits a bounded time for the first desired state."""
        until_ms = self._clock.now_ms() + DESIRED_STATE_WAIT_MS
        while self._planner.desired is None:
            if self._clock.now_ms() >= until_ms:
                return
            await anyio.sleep(DESIRED_STATE_POLL_MS / MS_PER_SECOND)

    async def _end_request(
        self,
        conn: ServerConnection,
        status: int,
        request_id: str | None,
        retry_after_ms: int | None,
    ) -> None:
        """Answers a request that ends before its server answered."""
        log_event("request_ended", "WARNING", id=request_id, status=status)
        conn.closing = True
        headers = build_refusal_headers(request_id, retry_after_ms)
        await conn.respond(status, headers)
        await conn.close_with_linger()

    async def _reject(
        self, conn: ServerConnection, unreadable: UnreadableRequest
    ) -> None:
        log_event(
            "request_unreadable",
            status=unreadable.status,
            detail=unreadable.detail,
        )
        conn.closing = True
        headers = build_refusal_headers(None, unreadable.retry_after_ms)
        await conn.respond(unreadable.status, headers)
        await conn.close_with_linger()
