"""Relays one request from its caller to backend servers."""

from __future__ import annotations

from typing import Final

import anyio
import h11

from ..adapters.http1 import ConnectionBrokenError, H11Protocol
from ..adapters.http1_server import ServerConnection
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.flights import (
    Again,
    AnswerProgress,
    Ending,
    Flight,
    Hold,
    Refuse,
    Send,
)
from ..core.entry.planned_stop import PlannedStop
from ..core.entry.planner import Planner, RETRYABLE_STATUSES
from ..core.entry.requests import CallerRequest
from ..core.entry.servers import BackendServer
from ..platform.answer_head import AnswerHead
from .answer_reader import AnswerReader, Move, MovedError, ServerAnswer
from .answer_signs import record_answer_signs
from .answer_status import find_failure, SUCCESS_STATUSES
from .answer_timing import AnswerTiming, record_rollout_answer
from .backends import ConnectionPool
from .event_forwarder import EventForwarder
from .refusal_answer import send_refusal
from .relay_log import log_done, log_failed_send, record_unanswered
from .server_marks import ServerMarks
from .server_request import begin_exchange, send_request
from .stream_registry import StreamRegistry

MIN_SERVER_ERROR_STATUS: Final = 500
# Silence after which a server whose request ended may have crashed.
SUSPICIOUS_SILENCE_MS: Final = 1_000


class Relay:
    """Serves one request of a caller."""

    __slots__ = (
        "_planner",
        "_pool",
        "_marks",
        "_streams",
        "_stop",
        "_clock",
        "_conn",
        "_req",
        "_flight",
        "_last_answer",
        "_head",
        "_received_ms",
        "_failure_detail",
        "_via_peer",
        "_timing",
        "_move",
        "_forwarder",
        "_held",
    )

    def __init__(
        self,
        planner: Planner,
        pool: ConnectionPool,
        marks: ServerMarks,
        streams: StreamRegistry,
        stop: PlannedStop,
        clock: Clock,
        conn: ServerConnection,
        req: CallerRequest,
    ) -> None:
        self._planner = planner
        self._pool = pool
        self._marks = marks
        self._streams = streams
        self._stop = stop
        self._clock = clock
        self._conn = conn
        self._req = req
        self._flight: Flight | None = None
        self._last_answer: ServerAnswer | None = None
        self._head: AnswerHead | None = None
        # When the server last sent a byte, and why its connection failed.
        self._received_ms = 0
        self._failure_detail = ""
        # Whether a peer passes the bytes of the current attempt on.
        self._via_peer = False
        self._timing = AnswerTiming(0)
        self._move: Move | None = None
        self._forwarder = EventForwarder(planner, streams, clock, conn)
        self._held = pool.memory.open()

    async def run(self) -> None:
        """Serves the request until it is answered, refused or timed out."""
        now_ms = self._clock.now_ms()
        flight = self._planner.admit(self._req, now_ms)
        if isinstance(flight, Refuse):
            await self._refuse(flight)
            return
        self._flight = flight
        left_ms = flight.deadline_ms - now_ms
        refusal = self._stop.find_refusal(flight, now_ms)
        finished = False
        try:
            with anyio.move_on_after(left_ms / MS_PER_SECOND) as scope:
                refusal = refusal or await self._streams.prepare(flight)
                if refusal is None:
                    refusal = await self._run_attempts(flight)
            if scope.cancelled_caught:
                status = 504 if flight.runs else 503
                refusal = Refuse(status, Ending.TIMEOUT.value)
                if flight.server is not None:
                    self._record_interruption(flight, flight.server)
                    self._record_ending(flight, flight.server, Ending.TIMEOUT)
            finished = True
        finally:
            if not finished and flight.server is not None:
                self._record_interruption(flight, flight.server)
            self._planner.record_end(flight)
            self._held.release()
            if not finished:
                now_ms = self._clock.now_ms()
                record_unanswered(
                    flight,
                    self._stop,
                    self._planner.counters,
                    now_ms,
                    silent_ms=now_ms - self._received_ms,
                    via_peer=self._via_peer,
                )
        if refusal is not None:
            await self._refuse(refusal)
            return
        self._streams.record_complete(flight)
        self._count_outcome("served")
        log_done(flight, self._clock.now_ms())

    def _count_outcome(self, outcome: str) -> None:
        kind = self._flight.route.kind.value if self._flight else "none"
        self._planner.counters.add("requests", kind=kind, outcome=outcome)

    def _record_interruption(
        self, flight: Flight, server: BackendServer
    ) -> None:
        """Records an attempt that ended here while its server was silent."""
        now_ms = self._clock.now_ms()
        if now_ms - self._received_ms >= SUSPICIOUS_SILENCE_MS:
            self._planner.record_interruption(flight, server, now_ms)

    def _record_ending(
        self, flight: Flight, server: BackendServer, ending: Ending | None
    ) -> None:
        now_ms = self._clock.now_ms()
        record_rollout_answer(
            self._planner, flight, server, ending, self._timing, now_ms
        )

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
            self._record_ending(flight, step.server, ending)
            if ending is None:
                return None
            await self._pool.check_ending(step.server, ending)
            next_step = self._planner.handle_failure(
                flight, step.server, ending, self._clock.now_ms()
            )
            now_ms = self._clock.now_ms()
            log_failed_send(
                flight,
                step.server,
                ending,
                next_step,
                self._stop,
                now_ms,
                head=self._head is not None,
                silent_ms=now_ms - self._received_ms,
                via_peer=self._via_peer,
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
        self._received_ms = self._clock.now_ms()
        self._failure_detail = ""
        protocol = opened or await self._pool.acquire(
            server, not flight.route.may_retry(), self._req.id
        )
        if protocol is None:
            return Ending.UNREACHED
        self._via_peer = protocol.via_peer
        if not self._planner.selection.may_send(server, self._clock.now_ms()):
            protocol.abort()
            return Ending.WITHDRAWN
        if not flight.route.may_retry() and self._pool.may_be_cut(protocol):
            protocol.abort()
            flight.excluded.add(server.id)
            return Ending.WITHDRAWN
        if not begin_exchange(protocol, flight):
            protocol.abort()
            flight.excluded.add(server.id)
            now_ms = self._clock.now_ms()
            self._planner.ejections.record_failure(server.id, now_ms)
            return Ending.WITHDRAWN
        now_ms = self._clock.now_ms()
        self._planner.record_sent(flight, server, now_ms)
        self._head = None
        self._timing = AnswerTiming(now_ms)
        released = False
        self._conn.account.set_upstream(protocol)
        reader = AnswerReader(
            self._planner,
            self._pool,
            self._clock,
            flight,
            protocol,
            self._held,
        )
        try:
            sent = send_request(
                protocol, flight, send, self._planner.loads, now_ms
            )
            ending = await self._relay_answer(reader, protocol, sent, send)
            head = self._head
            if head is not None and not (
                head.closes or self._planner.leaving.includes(server)
            ):
                if protocol.h11.their_state is h11.DONE:
                    self._pool.release(server, protocol, head.keep_alive_s)
                    released = True
            return ending
        except MovedError as moved:
            self._move = moved.move
            return Ending.SILENT
        except ConnectionBrokenError as exc:
            self._failure_detail = str(exc)
            return (
                Ending.INVALID_ANSWER if exc.protocol_error else Ending.BROKEN
            )
        finally:
            self._conn.account.set_upstream(None)
            self._received_ms = reader.received_ms
            if self._head is None:
                self._planner.rooms.record_no_answer(
                    server.id, self._clock.now_ms()
                )
            if not released:
                protocol.abort()

    async def _relay_answer(
        self,
        reader: AnswerReader,
        protocol: H11Protocol,
        sent: h11.Request,
        send: Send,
    ) -> Ending | None:
        flight = self._flight
        assert flight is not None
        head = await reader.read_head(send, sent, self._marks)
        if head is None:
            return Ending.INVALID_ANSWER
        self._head = head
        flight.progress = AnswerProgress.BEGUN
        record_answer_signs(
            self._planner,
            send.server.id,
            head,
            flight.sent_ms,
            reader.received_ms,
        )
        if protocol.via_peer and not head.framed:
            # A reset at the server would look like the end of the answer.
            return Ending.INVALID_ANSWER
        if head.status in SUCCESS_STATUSES and flight.route.is_stream:
            if not head.signed or head.encoded:
                return Ending.INVALID_ANSWER
            if flight.last_event_id is not None and not head.goes_on:
                return Ending.INVALID_ANSWER
            return await self._forwarder.relay(
                reader, head, flight, send, self._timing
            )
        return await self._relay_complete_answer(reader, head, send)

    async def _relay_complete_answer(
        self, reader: AnswerReader, head: AnswerHead, send: Send
    ) -> Ending | None:
        body = await reader.read_body(send.silence_ms)
        self._timing.record(1, reader.received_ms)
        assert self._flight is not None
        failure = find_failure(head, self._flight.route.may_retry())
        if failure is not None:
            return failure
        if self._flight.answer_started:
            # The caller has the head of another answer.
            return Ending.SERVER_ERROR
        self._last_answer = ServerAnswer(head.status, head.headers, body)
        if head.status in RETRYABLE_STATUSES:
            return Ending.SERVER_ERROR
        await self._deliver(self._last_answer)
        return None

    async def _deliver_failure(self) -> None:
        failure = self._last_answer
        if failure is None or (self._flight and self._flight.answer_started):
            await self._refuse(Refuse(502, Ending.SERVER_ERROR.value))
            return
        await self._deliver(failure)

    async def _deliver(self, answer: ServerAnswer) -> None:
        flight = self._flight
        assert flight is not None
        now_ms = self._clock.now_ms()
        if answer.status < MIN_SERVER_ERROR_STATUS:
            self._planner.record_answer_begun(flight, now_ms)
            self._planner.record_complete_answer(flight)
        if answer.status in SUCCESS_STATUSES:
            self._planner.crashing_requests.record_sound_answer(flight, now_ms)
        self._forwarder.record_first_byte(flight)
        await self._conn.respond(answer.status, answer.headers, answer.body)

    async def _refuse(self, refusal: Refuse) -> None:
        self._count_outcome("refused")
        await send_refusal(
            self._conn,
            self._req,
            self._flight,
            refusal,
            self._planner.counters,
            self._clock.now_ms(),
            self._received_ms,
            self._failure_detail,
        )
