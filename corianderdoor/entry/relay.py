"""One request, from its caller to backend servers and back."""

from __future__ import annotations

from typing import Final

import anyio
import h11

from ..adapters.http1 import ConnectionBrokenError, H11Protocol, Headers
from ..adapters.http1_server import ServerConnection
from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.events import EventSplitter, MAX_EVENT_BYTES, read_event_id
from ..core.entry.flights import Again, Ending, Flight, Hold, Refuse, Send
from ..core.entry.planner import Planner, RETRYABLE_STATUSES
from ..core.entry.requests import CallerRequest
from ..platform.headers import (
    AnswerHead,
    build_refusal_headers,
    build_server_headers,
)
from .backends import Backends

# Answers to other requests that are read past on one connection.
MAX_STRAY_ANSWERS: Final = 3
# Longest pause inside a stream before it goes on at another server.
STREAM_SILENCE_MS: Final = 1_000
MAX_ANSWER_BYTES: Final = 16_777_216
# A server that fails with these did not promise that it has not run.
PROMISING_STATUSES: Final = frozenset({408, 421, 429, 503})
SUCCESS: Final = range(200, 300)
FAILED: Final = 500


class Answer:
    """A whole answer of a server."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Relay:
    """Serves one request."""

    __slots__ = (
        "_planner",
        "_backends",
        "_clock",
        "_conn",
        "_req",
        "_flight",
        "_failure",
        "_sent",
        "_head",
    )

    def __init__(
        self,
        planner: Planner,
        backends: Backends,
        clock: Clock,
        conn: ServerConnection,
        req: CallerRequest,
    ) -> None:
        self._planner = planner
        self._backends = backends
        self._clock = clock
        self._conn = conn
        self._req = req
        self._flight: Flight | None = None
        self._failure: Answer | None = None
        self._sent: h11.Request | None = None
        self._head: AnswerHead | None = None

    async def run(self) -> None:
        """Serves the request to its end."""
        now_ms = self._clock.now_ms()
        flight = self._planner.admit(self._req, now_ms)
        if isinstance(flight, Refuse):
            await self._refuse(flight)
            return
        self._flight = flight
        left_ms = flight.deadline_ms - now_ms
        refusal: Refuse | None = None
        ended = False
        try:
            with anyio.move_on_after(left_ms / MS_PER_SECOND) as scope:
                refusal = await self._fly(flight)
            if scope.cancelled_caught:
                refusal = self._time_out(flight)
            ended = True
        finally:
            self._planner.record_attempt_end(flight)
            if not ended:
                self._tally("caller-gone")
                log_event(
                    "caller_gone",
                    request_id=self._req.id,
                    runs=flight.runs,
                    begun=flight.begun,
                )
        if refusal is not None:
            await self._refuse(refusal)
            return
        self._tally("served")
        log_event(
            "request_done",
            request_id=self._req.id,
            service=flight.service,
            sends=flight.sends,
            took_ms=self._clock.now_ms() - now_ms,
        )

    def _tally(self, outcome: str) -> None:
        flight = self._flight
        kind = flight.route.kind.value if flight else "none"
        self._planner.counters.add("requests", kind=kind, outcome=outcome)

    def _record_first(self) -> None:
        """Notes how long the caller waited for the first byte."""
        flight = self._flight
        assert flight is not None
        self._planner.counters.record_latency(
            flight.route.kind.value,
            self._clock.now_ms() - flight.arrived_ms,
        )

    def _time_out(self, flight: Flight) -> Refuse:
        status = 504 if flight.runs else 503
        return Refuse(status, Ending.TIMEOUT.value)

    async def _fly(self, flight: Flight) -> Refuse | None:
        while True:
            step = self._planner.choose(flight, self._clock.now_ms())
            if isinstance(step, Refuse):
                return step
            if isinstance(step, Hold):
                await anyio.sleep(step.delay_ms / MS_PER_SECOND)
                continue
            ending = await self._attempt(flight, step)
            if ending is None:
                return None
            follow = self._planner.handle_failure(
                flight, step.server, ending, self._clock.now_ms()
            )
            log_event(
                "send_failed",
                request_id=self._req.id,
                server=step.server.id,
                ending=ending.value,
                follow=type(follow).__name__.lower(),
                runs=flight.runs,
                begun=flight.begun,
            )
            if isinstance(follow, Refuse):
                return follow
            if not isinstance(follow, Again):
                await self._deliver_failure()
                return None

    async def _attempt(self, flight: Flight, send: Send) -> Ending | None:
        """Asks one server; returns None once the caller has its answer."""
        server = send.server
        fresh = not flight.route.may_retry()
        protocol = await self._backends.take(server, fresh)
        if protocol is None:
            return Ending.UNREACHED
        self._planner.record_sent(flight, server, self._clock.now_ms())
        self._head = None
        kept = False
        try:
            self._send(protocol, flight, send)
            ending = await self._read(protocol, flight, send)
            head = self._head
            if head is not None and not head.closes:
                if protocol.h11.their_state is h11.DONE:
                    self._backends.give_back(server, protocol, head.idle_s)
                    kept = True
            return ending
        except ConnectionBrokenError as exc:
            return Ending.SPOILED if exc.protocol_error else Ending.BROKEN
        finally:
            if not kept:
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

    async def _read(
        self, protocol: H11Protocol, flight: Flight, send: Send
    ) -> Ending | None:
        silence_s = float("inf")
        if send.silence_ms is not None:
            silence_s = send.silence_ms / MS_PER_SECOND
        with anyio.move_on_after(silence_s) as scope:
            head = await self._read_head(protocol)
            if head is None:
                return Ending.SPOILED
            self._head = head
            if head.status in SUCCESS and flight.route.is_stream:
                if not head.signed or head.encoded:
                    return Ending.SPOILED
            else:
                return await self._read_answer(protocol, head)
        if self._head is None or scope.cancelled_caught:
            return Ending.SILENT
        return await self._relay_events(protocol, self._head, flight, send)

    async def _read_head(self, protocol: H11Protocol) -> AnswerHead | None:
        """Returns the head of the answer to this request.

        Answers to other requests that come first are read past.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            event = await protocol.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await protocol.next_event()
            if not isinstance(event, h11.Response):
                return None
            pairs = [(name, value) for name, value in event.headers]
            head = AnswerHead(event.status_code, pairs)
            own_id = self._req.id.encode("latin-1")
            if head.request_id == own_id:
                return head
            refused = head.not_run or head.wrong_server
            if head.request_id is None and refused:
                return head
            log_event("stray_answer", request_id=self._req.id)
            await _read_body(protocol)
            assert self._sent is not None
            protocol.restart_reading(self._sent, self._req.body)
        return None

    async def _read_answer(
        self, protocol: H11Protocol, head: AnswerHead
    ) -> Ending | None:
        body = await _read_body(protocol)
        if head.wrong_server:
            return Ending.WRONG_SERVER
        if head.not_run:
            return Ending.NOT_RUN
        if head.status in SUCCESS and (not head.signed or head.encoded):
            return Ending.SPOILED
        if not head.signed and head.status in PROMISING_STATUSES:
            return Ending.SERVER_ERROR
        self._failure = Answer(head.status, head.headers, body)
        if head.status in RETRYABLE_STATUSES:
            return Ending.SERVER_ERROR
        await self._deliver(self._failure)
        return None

    async def _deliver_failure(self) -> None:
        failure = self._failure
        if failure is None or (self._flight and self._flight.begun):
            await self._refuse(Refuse(502, Ending.SERVER_ERROR.value))
            return
        await self._deliver(failure)

    async def _deliver(self, answer: Answer) -> None:
        assert self._flight is not None
        if answer.status < FAILED:
            self._planner.record_complete_answer(self._flight)
        self._record_first()
        await self._conn.respond(answer.status, answer.headers, answer.body)

    async def _relay_events(
        self,
        protocol: H11Protocol,
        head: AnswerHead,
        flight: Flight,
        send: Send,
    ) -> Ending | None:
        splitter = EventSplitter()
        limit_s = float("inf")
        if send.silence_ms is not None:
            limit_s = STREAM_SILENCE_MS / MS_PER_SECOND
        with anyio.CancelScope() as scope:
            while True:
                scope.deadline = anyio.current_time() + limit_s
                event = await protocol.next_event()
                if isinstance(event, h11.Data):
                    scope.deadline = float("inf")
                    await self._pass_on(splitter, bytes(event.data), head)
                    if len(splitter.rest) > MAX_EVENT_BYTES:
                        return Ending.SPOILED
                    continue
                if not isinstance(event, h11.EndOfMessage) or splitter.rest:
                    return Ending.BROKEN
                break
        if scope.cancelled_caught:
            return Ending.SILENT
        self._begin(head, flight)
        self._planner.record_complete_answer(flight)
        self._conn.protocol.write(h11.EndOfMessage())
        await self._conn.protocol.flush()
        return None

    async def _pass_on(
        self, splitter: EventSplitter, data: bytes, head: AnswerHead
    ) -> None:
        flight = self._flight
        assert flight is not None
        ready: list[bytes] = []
        for event in splitter.feed(data):
            event_id = read_event_id(event)
            last = flight.last_event_id
            if event_id is not None:
                if last is not None and event_id <= last:
                    continue
                flight.last_event_id = event_id
            ready.append(event)
        if not ready:
            return
        self._begin(head, flight)
        self._conn.protocol.write(h11.Data(data=b"".join(ready)))
        await self._conn.protocol.flush()

    def _begin(self, head: AnswerHead, flight: Flight) -> None:
        """Starts the answer; later runs go on under its first head."""
        if flight.begun:
            return
        flight.begun = True
        self._planner.record_prefill_done(flight)
        self._record_first()
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
            begun=flight.begun if flight else False,
            held_ms=now_ms - flight.arrived_ms if flight else 0,
            retry_after_ms=refusal.retry_after_ms,
        )
        self._tally("refused")
        self._planner.counters.add(
            "refusals", reason=refusal.reason, status=str(refusal.status)
        )
        if self._conn.response_started:
            # A cut tells the caller that the answer is not whole.
            self._conn.protocol.abort()
            return
        headers = build_refusal_headers(self._req.id, refusal.retry_after_ms)
        await self._conn.respond(refusal.status, headers)


async def _read_body(protocol: H11Protocol) -> bytes:
    """Returns the body of the answer whose head was read.

    Raises:
        ConnectionBrokenError: It is not whole or too long.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        event = await protocol.next_event()
        if isinstance(event, h11.Data):
            size += len(event.data)
            if size > MAX_ANSWER_BYTES:
                raise ConnectionBrokenError("the answer is too long", True)
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise ConnectionBrokenError("the answer has no end")
