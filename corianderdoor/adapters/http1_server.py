"""Server side of HTTP/1.1 connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import anyio.abc
import h11

from ..core.clock import MS_PER_SECOND
from ..core.connection_guard import ConnectionGuard
from ..core.entry.addresses import Address
from ..core.entry.routing import CallerLimits
from .answer_meter import count_steps
from .connection_account import ConnectionAccount
from .http1 import ConnectionBrokenError, H11Protocol, Headers
from .http1_connect import deliver_pending
from .logs import log_event
from .request_head import count_head_bytes, read_length
from .socket_options import bind_listener
from .work_turns import get_turns

LISTEN_BACKLOG: Final = 1_024
# Lingering close: time for a caller that is still sending to read its error
# answer. Closing at once would reset the connection and destroy the answer.
LINGER_MS: Final = 1_000
BODY_TIMEOUT_MS: Final = 10_000
UNACKED_TIMEOUT_MS: Final = 10_000
# Steps of work that serving a request takes, beside what it holds.
REQUEST_STEPS: Final = 256
NO_ROOM: Final = "requests take too much memory"
TOO_LONG: Final = "request body exceeds the size limit"
# A request that there was no memory for may be sent again after this time.
RETRY_MS: Final = 1_000


class ReceivedRequest:
    """A completely received request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        body: Request body.
    """

    __slots__ = ("method", "target", "headers", "body")

    def __init__(self, event: h11.Request, body: bytes) -> None:
        self.method = event.method
        self.target = event.target
        self.headers: Headers = [(n, v) for n, v in event.headers]
        self.body = body


class UnreadableRequest:
    """A request that could not be read.

    Attributes:
        status: HTTP status to answer with.
        detail: Reason for the log.
        retry_after_ms: When to send it again; None if that is not known.
    """

    __slots__ = ("status", "detail", "retry_after_ms")

    def __init__(
        self, status: int, detail: str, retry_after_ms: int | None = None
    ) -> None:
        self.status = status
        self.detail = detail
        self.retry_after_ms = retry_after_ms


class ServerConnection:
    """One accepted connection.

    Attributes:
        protocol: The underlying connection.
        closing: Whether the connection closes after the current answer.
        busy: Whether a request is arriving or in progress.
        account: What the connection takes.
    """

    __slots__ = (
        "protocol",
        "closing",
        "busy",
        "account",
        "_announced",
    )

    def __init__(
        self,
        protocol: H11Protocol,
        guard: ConnectionGuard | None = None,
    ) -> None:
        """Initializes the connection.

        Args:
            protocol: The underlying connection.
            guard: Bounds what all connections of the listener take.
        """
        self.protocol = protocol
        self.closing = False
        self.busy = False
        self.account = ConnectionAccount(protocol, guard)
        # Whether the head of the current answer announces the close.
        self._announced = False

    async def read_request(
        self,
        limits: CallerLimits,
        current_limits: Callable[[], CallerLimits] | None = None,
    ) -> ReceivedRequest | UnreadableRequest | None:
        """Returns the next request, or None once the connection ends.

        Also returns None if it stays idle for longer than `limits` allow.

        Args:
            limits: Limits of size and time.
            current_limits: Returns the limits in force by now. Those that
                are in force when the first bytes arrive count for the
                request, and a longer idle time than that of `limits` for a
                connection that waits already.
        """
        self.busy = self.protocol.has_unparsed
        if not self.busy and not await self._wait_while_idle(
            limits.idle_ms, current_limits
        ):
            return None
        if current_limits is not None:
            limits = current_limits()
        if self.protocol.lost or (
            self.protocol.eof and not self.protocol.bytes_received
        ):
            return None
        self.busy = True
        self.account.begin_request()
        received = await self._receive(limits)
        await get_turns().take(REQUEST_STEPS)
        has_room = self.account.has_room()
        if self.account.evicted:
            return None
        if not isinstance(received, ReceivedRequest):
            return received
        if not has_room:
            return UnreadableRequest(503, NO_ROOM, RETRY_MS)
        self.account.begin_service()
        return received

    async def _receive(
        self, limits: CallerLimits
    ) -> ReceivedRequest | UnreadableRequest | None:
        """Returns the request that begins to arrive."""
        try:
            async with asyncio.timeout(limits.head_ms / MS_PER_SECOND):
                event = await self._read_head(limits.head_bytes)
        except TimeoutError:
            return UnreadableRequest(408, "request head not received in time")
        except ConnectionBrokenError as exc:
            if self.protocol.ended:
                return None
            return UnreadableRequest(self._error_status(exc), str(exc))
        if not isinstance(event, h11.Request):
            return None
        if count_head_bytes(event) > limits.head_bytes:
            return UnreadableRequest(431, "request head is too large")
        return await self._read_body(event, limits)

    async def _read_head(self, limit: int) -> h11.Event | type[h11.PAUSED]:
        """Returns the head of a request.

        Args:
            limit: Size of the largest head, in bytes.

        Raises:
            ConnectionBrokenError: The connection ended, or no proper head
                arrived.
        """
        self.protocol.limit_head(limit)
        event = await self.protocol.next_event()
        await get_turns().take(count_steps(event))
        return event

    async def _wait_while_idle(
        self,
        idle_ms: float,
        current_limits: Callable[[], CallerLimits] | None,
    ) -> bool:
        """Waits for the first bytes of a request, or for the end.

        Returns:
            False if no byte came for `idle_ms`, or for the idle time that
            `current_limits` allow by then if that is longer.
        """
        waited_ms = 0.0
        while not await self._wait_for_bytes(idle_ms - waited_ms):
            waited_ms = idle_ms
            if current_limits is not None:
                idle_ms = current_limits().idle_ms
            if idle_ms <= waited_ms:
                return False
        return True

    async def _wait_for_bytes(self, idle_ms: float) -> bool:
        try:
            async with asyncio.timeout(idle_ms / MS_PER_SECOND):
                await self.protocol.wait_for_bytes()
        except TimeoutError:
            await deliver_pending()
            return bool(self.protocol.bytes_received)
        return True

    @staticmethod
    def _error_status(exc: ConnectionBrokenError) -> int:
        cause = exc.__cause__
        if isinstance(cause, h11.RemoteProtocolError):
            return cause.error_status_hint
        return 400

    async def _read_body(
        self, head: h11.Request, limits: CallerLimits
    ) -> ReceivedRequest | UnreadableRequest | None:
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            return UnreadableRequest(
                400, "both length and chunked coding given"
            )
        limit = self.account.limit_body(limits.body_bytes)
        self.account.record_head(head)
        if read_length(head) > limit:
            return UnreadableRequest(413, TOO_LONG)
        if self.protocol.h11.they_are_waiting_for_100_continue:
            self.protocol.write(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        try:
            async with asyncio.timeout(BODY_TIMEOUT_MS / MS_PER_SECOND):
                fits = await self._collect(limit)
        except TimeoutError:
            return UnreadableRequest(408, "request body not received in time")
        except ConnectionBrokenError as exc:
            if self.protocol.ended:
                return None
            return UnreadableRequest(self._error_status(exc), str(exc))
        if not fits:
            return UnreadableRequest(413, TOO_LONG)
        return ReceivedRequest(head, self.account.take_body())

    async def _collect(self, limit: int) -> bool:
        """Reads the body; returns False if it is longer than `limit`."""
        turns = get_turns()
        while True:
            event = await self.protocol.next_event()
            await turns.take(count_steps(event))
            if isinstance(event, h11.EndOfMessage):
                return True
            if not isinstance(event, h11.Data):
                raise ConnectionBrokenError("request body has no end")
            # Without a name for the body here: an evicted one is freed.
            if self.account.evicted:
                return False
            if len(self.account.body) + len(event.data) > limit:
                return False
            self.account.body += event.data

    async def respond(
        self, status: int, headers: Headers, body: bytes = b""
    ) -> None:
        """Sends a complete answer."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length])
        if body and self.protocol.h11.our_state is h11.SEND_BODY:
            self.protocol.write(h11.Data(data=body))
        self.protocol.write(h11.EndOfMessage())
        await self.protocol.flush()

    @property
    def response_started(self) -> bool:
        """Whether the answer to the current request has begun."""
        state = self.protocol.h11.our_state
        return state not in (h11.IDLE, h11.SEND_RESPONSE)

    def start(self, status: int, headers: Headers) -> None:
        """Sends the status line and the headers of an answer."""
        self.closing = self.closing or self.account.is_crowded
        self._announced = self.closing
        if self.closing:
            headers = [*headers, (b"Connection", b"close")]
        self.protocol.write(h11.Response(status_code=status, headers=headers))

    async def finish(self) -> bool:
        """Ends a request cycle.

        The connection stays open for one more request if `closing` was set
        after the head of the answer was sent: the caller may have sent that
        request already, and the close would lose it.

        Returns:
            Whether another request may follow; if not, the connection is
            closed.
        """
        if not self._announced and self.protocol.reset_cycle():
            self.account.end_service()
            return True
        await self.close_with_linger()
        return False

    def leave(self) -> None:
        """Closes the connection after the unsent bytes are sent."""
        self.account.begin_close()
        self.protocol.close()

    async def close_with_linger(self) -> None:
        """Closes the connection once the peer could read the last answer.

        Waits at most `LINGER_MS` for the peer to close its side.
        """
        if self.account.evicted:
            return
        self.account.begin_close()
        if self.protocol.h11.their_state is h11.DONE:
            self.protocol.close()
            return
        self.protocol.discard_input()
        await self.protocol.flush()
        self.protocol.end_writing()
        try:
            async with asyncio.timeout(LINGER_MS / MS_PER_SECOND):
                await self.protocol.wait_for_end()
        except TimeoutError:
            pass  # the peer had enough time to read the answer
        self.protocol.close()


Handler = Callable[[ServerConnection], Awaitable[None]]


async def listen(
    address: Address,
    tasks: anyio.abc.TaskGroup,
    handler: Handler,
    guard: ConnectionGuard | None = None,
    backlog: int = LISTEN_BACKLOG,
) -> asyncio.Server:
    """Accepts connections on `address` and runs `handler` for each.

    The handlers run in `tasks`; the listening socket closes when `tasks`
    end.

    Args:
        address: Where to listen.
        tasks: Runs the handlers.
        handler: Serves one connection.
        guard: Bounds what the connections take; None for no bound.
        backlog: How many connections may wait to be accepted.
    """

    async def run(conn: ServerConnection) -> None:
        try:
            await handler(conn)
        except (Exception, asyncio.CancelledError) as exc:
            task = asyncio.current_task()
            if isinstance(exc, asyncio.CancelledError) and (
                task is None or task.cancelling()
            ):
                raise
            # An error on one connection must not end the others, nor must
            # the cancellation of something that it waited for.
            log_event("connection_failed", "ERROR", detail=repr(exc))
            conn.protocol.abort()
        finally:
            conn.leave()

    def accept(protocol: H11Protocol) -> None:
        tasks.start_soon(run, ServerConnection(protocol, guard))

    async def close_at_end(server: asyncio.Server) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            server.close()

    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: H11Protocol(
            h11.SERVER,
            unacked_timeout_ms=UNACKED_TIMEOUT_MS,
            on_connected=accept,
        ),
        sock=bind_listener(address),
        backlog=backlog,
    )
    tasks.start_soon(close_at_end, server)
    return server
