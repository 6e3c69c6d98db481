"""Relays one request from its caller to backend servers."""

from __future__ import annotations

from typing import Final

import anyio
import h11

from ..adapters.http1 import (
    ConnectionBrokenError,
    deliver_pending,
    H11Protocol,
    Headers,
)
from ..adapters.http1_server import ServerConnection
from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.events import EventSplitter, MAX_EVENT_BYTES, read_event_id
from ..core.entry.flights import Again, Ending, Flight, Hold, Refuse, Send
from ..core.entry.planner import Planner, RETRYABLE_STATUSES
from ..core.entry.requests import CallerRequest
from ..core.entry.silence import MIN_STREAM_SILENCE_MS
from ..platform.headers import (
    AnswerHead,
    build_refusal_headers,
    build_server_headers,
)
from .answer_signs import record_answer_signs
from .backends import ConnectionPool
from .overload_log import log_forecast
from .server_marks import ServerMarks

# Answers to other requests that are skipped on one connection.
MAX_STRAY_ANSWERS: Final = 3
# Interval at which a request whose server is silent looks for another one.
MOVE_POLL_MS: Final = 200
MAX_ANSWER_BYTES: Final = 16_777_216
# Failures that suggest that the request did not run. Without the server's
# signature they don't prove it and are not passed on to the caller.
UNPROVEN_STATUSES: Final = frozenset({408, 421, 429, 503})
SUCCESS_STATUSES: Final = range(200, 300)
MIN_SERVER_ERROR_STATUS: Final = 500


class ServerAnswer:
    """A complete answer of a server."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class _MovedError(Exception):
    """The request leaves its silent server for the one in `Relay._move`."""


class _Move:
    """A server to move a request to, with an open connection to it."""

    __slots__ = ("send", "protocol")

    def __init__(self, send: Send, protocol: H11Protocol) -> None:
        self.send = send
        self.protocol = protocol


class Relay:
    """Serves one request of a caller."""

    __slots__ = (
        "_planner",
        "_pool",
        "_marks",
        "_clock",
        "_conn",
        "_req",
        "_flight",
        "_last_answer",
        "_sent",
        "_head",
        "_received_ms",
        "_failure_detail",
        "_silence_recorded",
        "_move",
    )

    def __init__(
        self,
        planner: Planner,
        pool: ConnectionPool,
        marks: ServerMarks,
        clock: Clock,
        conn: ServerConnection,
        req: CallerRequest,
    ) -> None:
        self._planner = planner
        self._pool = pool
        self._marks = marks
        self._clock = clock
        self._conn = conn
        self._req = req
        self._flight: Flight | None = None
        self._last_answer: ServerAnswer | None = None
        self._sent: h11.Request | None = None
        self._head: AnswerHead | None = None
        # When the server last sent a byte, and why its connection failed.
        self._received_ms = 0
        self._failure_detail = ""
        self._silence_recorded = False
        self._move: _Move | None = None

    async def run(self) -> None:
        """Serves the request until it is answered, refused or timed out."""
        now_ms = self._clock.now_ms()
        flight = self._planner.admit(self._req, now_ms)
        if isinstance(flight, Refuse):
            await self._refuse(flight)
            return
        self._flight = flight
        left_ms = flight.deadline_ms - now_ms
        refusal: Refuse | None = None
        finished = False
        try:
            with anyio.move_on_after(left_ms / MS_PER_SECOND) as scope:
                refusal = await self._run_attempts(flight)
            if scope.cancelled_caught:
                refusal = self._build_timeout_refusal(flight)
            finished = True
        finally:
            self._planner.record_end(flight)
            if not finished:
                self._count_outcome("caller-disconnected")
                log_event(
                    "caller_disconnected",
                    request_id=self._req.id,
                    runs=flight.runs,
                    begun=flight.answer_started,
                )
        if refusal is not None:
            await self._refuse(refusal)
            return
        self._count_outcome("served")
        log_event(
            "request_done",
            request_id=self._req.id,
            service=flight.service,
            sends=flight.sends,
            took_ms=self._clock.now_ms() - now_ms,
        )

    def _count_outcome(self, outcome: str) -> None:
        flight = self._flight
        kind = flight.route.kind.value if flight else "none"
        self._planner.counters.add("requests", kind=kind, outcome=outcome)

    def _record_first_byte(self) -> None:
        """Records how long the caller waited for the first byte."""
        flight = self._flight
        assert flight is not None
        self._planner.counters.record_latency(
            flight.route.kind.value,
            self._clock.now_ms() - flight.arrived_ms,
        )

    def _build_timeout_refusal(self, flight: Flight) -> Refuse:
        status = 504 if flight.runs else 503
        return Refuse(status, Ending.TIMEOUT.value)

    async def _run_attempts(self, flight: Flight) -> Refuse | None:
        while True:
            move, self._move = self._move, None
            step = (
                self._planner.choose(flight, self._clock.now_ms())
                if move is None
                else move.send
            )
            if isinstance(step, Refuse):
                return step
            if isinstance(step, Hold):
                await anyio.sleep(step.delay_ms / MS_PER_SECOND)
                continue
            ending = await self._attempt(
                flight, step, move.protocol if move is not None else None
            )
            if ending is None:
                return None
            next_step = self._planner.handle_failure(
                flight, step.server, ending, self._clock.now_ms()
            )
            log_event(
                "send_failed",
                request_id=self._req.id,
                server=step.server.id,
                ending=ending.value,
                follow=type(next_step).__name__.lower(),
                runs=flight.runs,
                begun=flight.answer_started,
                silent_ms=self._clock.now_ms() - self._received_ms,
                detail=self._failure_detail,
            )
            if isinstance(next_step, Refuse):
                return next_step
            if not isinstance(next_step, Again):
                await self._deliver_failure()
                return None

    async def _attempt(
        self, flight: Flight, send: Send, opened: H11Protocol | None
    ) -> Ending | None:
        """Sends the request to one server.

        Args:
            flight: The request.
            send: The server, and how to send.
            opened: An open connection to it; None to get one from the pool.

        Returns:
            How the attempt failed, or None once the caller has its answer.
        """
        server = send.server
        fresh = not flight.route.may_retry()
        self._received_ms = self._clock.now_ms()
        self._failure_detail = ""
        self._silence_recorded = False
        protocol = opened or await self._pool.acquire(server, fresh)
        if protocol is None:
            return Ending.UNREACHED
        if not self._planner.selection.may_send(server, self._clock.now_ms()):
            protocol.abort()
            return Ending.WITHDRAWN
        self._planner.record_sent(flight, server, self._clock.now_ms())
        self._head = None
        released = False
        try:
            self._send(protocol, flight, send)
            ending = await self._relay_answer(protocol, flight, send)
            head = self._head
            if head is not None and not (
                head.closes or self._planner.leaving.includes(server)
            ):
                if protocol.h11.their_state is h11.DONE:
                    self._pool.release(server, protocol, head.keep_alive_s)
                    released = True
            return ending
        except _MovedError:
            return Ending.SILENT
        except ConnectionBrokenError as exc:
            self._failure_detail = str(exc)
            return (
                Ending.INVALID_ANSWER if exc.protocol_error else Ending.BROKEN
            )
        finally:
            if self._head is None:
                self._planner.rooms.record_no_answer(
                    server.id, self._clock.now_ms()
                )
            if not released:
                protocol.abort()

    def _send(self, protocol: H11Protocol, flight: Flight, send: Send) -> None:
        workspace = flight.workspace
        source = send.fetch_from
        headers = build_server_headers(
            self._req,
            send.server.id,
            workspace.name if workspace is not None else None,
            send.urgency,
            flight.deadline_ms - self._clock.now_ms(),
            flight.last_event_id,
            (source.host, source.port) if source is not None else None,
        )
        self._sent = h11.Request(
            method=self._req.method, target=self._req.target, headers=headers
        )
        protocol.write(self._sent)
        if self._req.body:
            protocol.write(h11.Data(data=self._req.body))
        protocol.write(h11.EndOfMessage())
        log_event(
            "request_sent",
            request_id=self._req.id,
            route=flight.route.name,
            server=send.server.id,
            left_ms=send.left_ms,
            attempt=flight.sends,
            after_event=flight.last_event_id,
            load=self._planner.loads.of(send.server.id, self._clock.now_ms()),
            unread=flight.unread,
            backlog=self._planner.loads.unread_of(
                send.server.id, self._clock.now_ms()
            ),
            parts=",".join(f"{p.id}:{p.tokens}" for p in self._req.parts),
            fetch_from=source.id if source is not None else "",
        )

    async def _relay_answer(
        self, protocol: H11Protocol, flight: Flight, send: Send
    ) -> Ending | None:
        head = await self._read_head(protocol, send)
        if head is None:
            return Ending.INVALID_ANSWER
        self._head = head
        record_answer_signs(
            self._planner, send.server.id, head, self._received_ms
        )
        if protocol.via_peer and not head.framed:
            # A reset at the server would look like the end of the answer.
            return Ending.INVALID_ANSWER
        if head.status in SUCCESS_STATUSES and flight.route.is_stream:
            if not head.signed or head.encoded:
                return Ending.INVALID_ANSWER
            return await self._relay_events(protocol, head, flight, send)
        return await self._relay_complete_answer(
            protocol, head, send.silence_ms
        )

    async def _next_event(
        self, protocol: H11Protocol, silence_ms: float | None
    ) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event from the server.

        While the server is silent, looks for another one that takes the
        request; without one the request stays where it is, as a silent
        server may go on.

        Args:
            protocol: Connection to the server.
            silence_ms: Silence after which to look for another server; None
                to wait without a limit.

        Raises:
            _MovedError: The request goes on at another server.
            ConnectionBrokenError: The connection broke.
        """
        if silence_ms is None:
            event = await protocol.next_event()
            self._record_received(protocol)
            return event
        wait_ms = silence_ms
        while True:
            received_bytes = protocol.bytes_received
            with anyio.move_on_after(wait_ms / MS_PER_SECOND):
                event = await protocol.next_event()
                self._record_received(protocol)
                return event
            await self._look_for_other_server(protocol, received_bytes)
            wait_ms = MOVE_POLL_MS

    def _record_received(self, protocol: H11Protocol) -> None:
        self._received_ms = self._clock.now_ms()
        flight = self._flight
        if flight is not None and flight.server is not None:
            self._pool.record_received(flight.server.id, protocol)

    async def _look_for_other_server(
        self, protocol: H11Protocol, received_bytes: int
    ) -> None:
        """Moves the request from its silent server if another takes it.

        Args:
            protocol: Connection to the silent server.
            received_bytes: Bytes that it had received before the silence.

        Raises:
            _MovedError: `_move` has the other server.
        """
        flight = self._flight
        assert flight is not None and flight.server is not None
        # The time may be over because this process was busy.
        await deliver_pending()
        if protocol.ended or protocol.bytes_received != received_bytes:
            return
        now_ms = self._clock.now_ms()
        if not self._silence_recorded:
            self._silence_recorded = True
            self._planner.record_silence(flight.server, now_ms)
        send = self._planner.find_move(flight, now_ms)
        if send is None:
            return
        # Only a new connection shows that the other server is there.
        opened = await self._pool.open(send.server)
        if opened is None:
            self._planner.cancel_move(flight)
            self._planner.record_unreached(
                flight, send.server, self._clock.now_ms()
            )
            return
        if (
            protocol.ended
            or protocol.bytes_received != received_bytes
            or not self._planner.selection.may_send(
                send.server, self._clock.now_ms()
            )
        ):
            self._planner.cancel_move(flight)
            opened.abort()
            return
        self._move = _Move(send, opened)
        raise _MovedError

    async def _read_head(
        self, protocol: H11Protocol, send: Send
    ) -> AnswerHead | None:
        """Returns the head of the answer to this request.

        Skips answers to other requests that arrive before it; what they say
        of the server counts all the same.

        Returns:
            The head, or None if no valid one was found.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            event = await self._next_event(protocol, send.silence_ms)
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event(protocol, send.silence_ms)
            if not isinstance(event, h11.Response):
                return None
            pairs = [(name, value) for name, value in event.headers]
            head = AnswerHead(event.status_code, pairs)
            self._marks.observe(send.server, head)
            own_id = self._req.id.encode("latin-1")
            if head.request_id == own_id:
                return head
            refused = head.not_run or head.wrong_server
            if head.request_id is None and refused:
                return head
            log_event("stray_answer", request_id=self._req.id)
            await self._read_body(protocol, send.silence_ms)
            assert self._sent is not None
            protocol.restart_reading(self._sent, self._req.body)
        return None

    async def _relay_complete_answer(
        self,
        protocol: H11Protocol,
        head: AnswerHead,
        silence_ms: float | None,
    ) -> Ending | None:
        body = await self._read_body(protocol, silence_ms)
        if head.wrong_server:
            return Ending.WRONG_SERVER
        if head.not_run:
            return Ending.NOT_RUN
        if head.status in SUCCESS_STATUSES and (
            not head.signed or head.encoded
        ):
            return Ending.INVALID_ANSWER
        if not head.signed and head.status in UNPROVEN_STATUSES:
            return Ending.SERVER_ERROR
        self._last_answer = ServerAnswer(head.status, head.headers, body)
        if head.status in RETRYABLE_STATUSES:
            return Ending.SERVER_ERROR
        await self._deliver(self._last_answer)
        return None

    async def _read_body(
        self, protocol: H11Protocol, silence_ms: float | None
    ) -> bytes:
        """Returns the body of the answer whose head has been read.

        Raises:
            _MovedError: The request goes on at another server.
            ConnectionBrokenError: The body is truncated or larger than
                `MAX_ANSWER_BYTES`.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event(protocol, silence_ms)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_ANSWER_BYTES:
                    raise ConnectionBrokenError(
                        "answer is larger than 16 MiB", True
                    )
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise ConnectionBrokenError(
                    "connection closed before the end of the answer"
                )

    async def _deliver_failure(self) -> None:
        failure = self._last_answer
        if failure is None or (self._flight and self._flight.answer_started):
            await self._refuse(Refuse(502, Ending.SERVER_ERROR.value))
            return
        await self._deliver(failure)

    async def _deliver(self, answer: ServerAnswer) -> None:
        assert self._flight is not None
        if answer.status < MIN_SERVER_ERROR_STATUS:
            self._planner.record_answer_begun(
                self._flight, self._clock.now_ms()
            )
            self._planner.record_complete_answer(self._flight)
        self._record_first_byte()
        await self._conn.respond(answer.status, answer.headers, answer.body)

    async def _relay_events(
        self,
        protocol: H11Protocol,
        head: AnswerHead,
        flight: Flight,
        send: Send,
    ) -> Ending | None:
        splitter = EventSplitter()
        silence_ms = None
        if send.silence_ms is not None:
            silence_ms = MIN_STREAM_SILENCE_MS
        while True:
            event = await self._next_event(protocol, silence_ms)
            if not isinstance(event, h11.Data):
                break
            await self._forward_events(splitter, bytes(event.data), head)
            if len(splitter.rest) > MAX_EVENT_BYTES:
                return Ending.INVALID_ANSWER
        if not isinstance(event, h11.EndOfMessage) or splitter.rest:
            return Ending.BROKEN
        self._start_answer(head, flight)
        self._planner.record_complete_answer(flight)
        self._conn.protocol.write(h11.EndOfMessage())
        await self._conn.protocol.flush()
        return None

    async def _forward_events(
        self, splitter: EventSplitter, data: bytes, head: AnswerHead
    ) -> None:
        flight = self._flight
        assert flight is not None
        new_events: list[bytes] = []
        for event in splitter.feed(data):
            event_id = read_event_id(event)
            last = flight.last_event_id
            if event_id is not None:
                if last is not None and event_id <= last:
                    continue
                flight.last_event_id = event_id
            new_events.append(event)
        if not new_events:
            return
        self._start_answer(head, flight)
        self._conn.protocol.write(h11.Data(data=b"".join(new_events)))
        await self._conn.protocol.flush()

    def _start_answer(self, head: AnswerHead, flight: Flight) -> None:
        """Sends the head of the answer, once.

        When another server resumes the stream, its events follow under the
        head that was sent first.
        """
        self._planner.record_answer_begun(flight, self._clock.now_ms())
        if flight.answer_started:
            return
        flight.answer_started = True
        self._record_first_byte()
        chunked = (b"Transfer-Encoding", b"chunked")
        self._conn.start(head.status, [*head.headers, chunked])

    async def _refuse(self, refusal: Refuse) -> None:
        flight = self._flight
        now_ms = self._clock.now_ms()
        log_event(
            "refusal_sent",
            request_id=self._req.id,
            status=refusal.status,
            reason=refusal.reason,
            service=flight.service if flight else "",
            runs=flight.runs if flight else 0,
            begun=flight.answer_started if flight else False,
            held_ms=now_ms - flight.arrived_ms if flight else 0,
            retry_after_ms=refusal.retry_after_ms,
        )
        log_forecast(flight, refusal)
        self._count_outcome("refused")
        self._planner.counters.add(
            "refusals",
            reason=refusal.reason,
            status=str(refusal.status),
            kind=flight.route.kind.value if flight else "none",
        )
        if self._conn.response_started:
            log_event(
                "answer_aborted",
                "WARNING",
                request_id=self._req.id,
                reason=refusal.reason,
                after_event=flight.last_event_id if flight else None,
                silent_ms=now_ms - self._received_ms,
                detail=self._failure_detail,
            )
            self._planner.counters.add(
                "answers_aborted", reason=refusal.reason
            )
            # Cutting the connection shows that the answer is incomplete.
            self._conn.protocol.abort()
            return
        headers = build_refusal_headers(self._req.id, refusal.retry_after_ms)
        await self._conn.respond(refusal.status, headers)
