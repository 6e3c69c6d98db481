"""Reads the answer of one backend server to one request."""

from __future__ import annotations

from typing import Final

import anyio
import h11

from ..adapters.answer_meter import AnswerMeter
from ..adapters.http1 import ConnectionBrokenError, H11Protocol, Headers
from ..adapters.http1_connect import deliver_pending
from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.answer_memory import HeldAnswers
from ..core.entry.flights import Flight, Send
from ..core.entry.planner import Planner
from ..core.entry.server_exchange import (
    BAD_REQUEST,
    HeadVerdict,
    is_spliced,
    MAX_STATUS,
)
from ..platform.answer_head import AnswerHead
from ..platform.headers import ATTEMPT_ID
from .backends import ConnectionPool
from .server_marks import ServerMarks
from .server_request import HEAD

# Bytes of such answers, and of informational heads, in one attempt.
MAX_SKIPPED_BYTES: Final = 16_777_216
# Interval at which a request whose server is silent looks for another one.
MOVE_POLL_MS: Final = 200
MAX_ANSWER_BYTES: Final = 16_777_216
TRUNCATED: Final = "connection closed before the end of the answer"
TWO_ANSWERS: Final = "an answer begins inside another one"
INVALID_STATUS: Final = "the status is not one of HTTP"
TOO_MANY_HELD: Final = "incomplete answers take too much memory"


class ServerAnswer:
    """A complete answer of a server."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Move:
    """A server to move a request to, with an open connection to it."""

    __slots__ = ("send", "protocol")

    def __init__(self, send: Send, protocol: H11Protocol) -> None:
        self.send = send
        self.protocol = protocol


class MovedError(Exception):
    """The request leaves its silent server.

    Attributes:
        move: Where it goes on.
    """

    def __init__(self, move: Move) -> None:
        super().__init__(f"moved to {move.send.server.id}")
        self.move = move


class AnswerReader:
    """Reads one answer and watches for a server that falls silent.

    Attributes:
        received_ms: When the server last sent a byte, on the monotonic
            clock.
    """

    __slots__ = (
        "received_ms",
        "_planner",
        "_pool",
        "_clock",
        "_flight",
        "_protocol",
        "_silence_recorded",
        "_progress_ms",
        "_is_incomplete",
        "_own_id",
        "_skipped_bytes",
        "_meter",
        "_held",
    )

    def __init__(
        self,
        planner: Planner,
        pool: ConnectionPool,
        clock: Clock,
        flight: Flight,
        protocol: H11Protocol,
        held: HeldAnswers,
    ) -> None:
        """Creates a reader for a request that is sent over `protocol`.

        Args:
            planner: State of the servers and of the requests.
            pool: Connections to the servers.
            clock: The clock.
            flight: The request.
            protocol: Connection to its server.
            held: Bytes of the answers to the request.
        """
        self.received_ms = clock.now_ms()
        self._planner = planner
        self._pool = pool
        self._clock = clock
        self._flight = flight
        self._protocol = protocol
        self._silence_recorded = False
        # When the last whole event of a stream arrived, and whether a part
        # of the next one is there.
        self._progress_ms = self.received_ms
        self._is_incomplete = False
        # Id that the trailers may repeat; None before the own answer.
        self._own_id: bytes | None = None
        self._skipped_bytes = 0
        self._meter = AnswerMeter(protocol)
        self._held = held

    async def next_event(
        self, silence_ms: float | None
    ) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event from the server.

        While the server is silent, looks for another one that takes the
        request; without one the request stays where it is, as a silent
        server may go on.

        Args:
            silence_ms: Silence after which to look for another server; None
                to wait without a limit.

        Raises:
            MovedError: The request goes on at another server.
            ConnectionBrokenError: The connection broke.
        """
        # A stream's own body; what is skipped before it is none.
        is_stream = self._own_id is not None and self._flight.route.is_stream
        if silence_ms is None:
            return self._accept(await self._meter.next_event(is_stream))
        wait_ms = silence_ms
        if self._is_incomplete:
            # Single bytes of an event are no progress.
            stalled_ms = self._clock.now_ms() - self._progress_ms
            wait_ms = max(0, silence_ms - stalled_ms)
        while True:
            received_bytes: int | None = None
            if not self._is_incomplete:
                received_bytes = self._protocol.bytes_received
            with anyio.move_on_after(wait_ms / MS_PER_SECOND):
                return self._accept(await self._meter.next_event(is_stream))
            await self._look_for_other_server(received_bytes)
            wait_ms = MOVE_POLL_MS

    def record_progress(self, has_events: bool, rest_bytes: int) -> None:
        """Records bytes of a stream that were read.

        Args:
            has_events: Whether they complete an event.
            rest_bytes: Size of the incomplete event after them.

        Raises:
            ConnectionBrokenError: The answers take too much memory.
        """
        if not self._held.set_event(rest_bytes):
            raise ConnectionBrokenError(TOO_MANY_HELD, True)
        self._is_incomplete = not has_events and rest_bytes > 0
        if not self._is_incomplete:
            self._progress_ms = self.received_ms

    def _accept(
        self, event: h11.Event | type[h11.PAUSED]
    ) -> h11.Event | type[h11.PAUSED]:
        """Records that `event` arrived and returns it.

        Raises:
            ConnectionBrokenError: Bytes belong to another answer.
        """
        if not isinstance(event, h11.Data):
            self._check_framing(event)
        self.received_ms = self._clock.now_ms()
        if self._flight.server is not None:
            self._pool.record_received(self._flight.server.id, self._protocol)
        return event

    def _check_framing(self, event: h11.Event | type[h11.PAUSED]) -> None:
        """Checks a head, or the end of an answer.

        Raises:
            ConnectionBrokenError: Bytes of it belong to another answer.
        """
        exchange = self._protocol.exchange
        if isinstance(event, h11.EndOfMessage):
            if event.headers:
                self._check_trailers(event.headers.raw_items())
            exchange.record_end()
        elif isinstance(event, (h11.Response, h11.InformationalResponse)):
            # Iterating over the headers takes longer than this copy.
            pairs = event.headers.raw_items()
            if is_spliced(event.reason, pairs):
                exchange.record_unusable()
                raise ConnectionBrokenError(TWO_ANSWERS, True)
            if event.status_code > MAX_STATUS:
                exchange.record_unusable()
                raise ConnectionBrokenError(INVALID_STATUS, True)

    def _check_trailers(self, trailers: Headers) -> None:
        """Checks what follows the body of an answer.

        Raises:
            ConnectionBrokenError: It belongs to another answer.
        """
        exchange = self._protocol.exchange
        if is_spliced(b"", trailers):
            exchange.record_unusable()
            raise ConnectionBrokenError(TWO_ANSWERS, True)
        if self._own_id is None:
            return
        for name, value in trailers:
            if name.lower() == ATTEMPT_ID and value != self._own_id:
                exchange.record_unusable()
                raise ConnectionBrokenError("trailers of another answer", True)

    async def _look_for_other_server(self, received_bytes: int | None) -> None:
        """Moves the request from its silent server if another takes it.

        Args:
            received_bytes: Bytes that the connection had received before the
                silence; None if further bytes do not end it.

        Raises:
            MovedError: The request goes on at another server.
        """
        flight = self._flight
        assert flight.server is not None
        # The time may be over because this process was busy.
        await deliver_pending()
        if self._goes_on(received_bytes):
            return
        now_ms = self._clock.now_ms()
        if not self._silence_recorded:
            self._silence_recorded = True
            self._planner.ejections.record_failure(flight.server.id, now_ms)
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
        may_send = self._planner.selection.may_send(
            send.server, self._clock.now_ms()
        )
        if self._goes_on(received_bytes) or not may_send:
            self._planner.cancel_move(flight)
            opened.abort()
            return
        raise MovedError(Move(send, opened))

    def _goes_on(self, received_bytes: int | None) -> bool:
        """Returns whether the connection ended or its silence did."""
        if self._protocol.ended or received_bytes is None:
            return self._protocol.ended
        return self._protocol.bytes_received != received_bytes

    async def read_head(
        self, send: Send, sent: h11.Request, marks: ServerMarks
    ) -> AnswerHead | None:
        """Returns the head of the answer to this request.

        Skips answers to other requests that arrive before it; what they say
        of the server counts all the same.

        Args:
            send: How the request was sent.
            sent: The request as written to the connection.
            marks: Takes what each answer says of its server.

        Returns:
            The head, or None if no valid one was found.

        Raises:
            MovedError: The request goes on at another server.
            ConnectionBrokenError: The connection broke.
        """
        req = self._flight.req
        exchange = self._protocol.exchange
        while True:
            event = await self.next_event(send.silence_ms)
            while isinstance(event, h11.InformationalResponse):
                event = await self.next_event(send.silence_ms)
            if not isinstance(event, h11.Response):
                return None
            raw = event.headers.raw_items()
            pairs = [(name.lower(), value) for name, value in raw]
            head = AnswerHead(event.status_code, pairs)
            marks.observe(send.server, head)
            # A repeated answer would not be recognised on a connection where
            # answers have no id, or where the lengths of bodies depend on
            # the request that they answer.
            if (
                exchange.strays
                or head.request_id is None
                or req.method == HEAD
            ):
                head.closes = True
            verdict = exchange.judge_head(
                head.request_id, head.status, head.not_run or head.wrong_server
            )
            if head.request_id is None and head.status != BAD_REQUEST:
                if head.not_run or head.wrong_server:
                    self._pool.record_unidentified(send.server.id)
            if verdict is HeadVerdict.UNKNOWN:
                return None
            if verdict is HeadVerdict.OWN:
                if head.request_id is not None:
                    self._own_id = head.request_id
                    self._pool.answered.record(req.id, self._clock.now_ms())
                return head
            log_event("stray_answer", request_id=req.id)
            self._planner.counters.add("stray_answers")
            await self._skip_body(send.silence_ms)
            self._protocol.restart_reading(sent, req.body)

    async def _skip_body(self, silence_ms: float | None) -> None:
        """Reads past the body of an answer to another request.

        Raises:
            MovedError: The request goes on at another server.
            ConnectionBrokenError: The body is truncated, or more than
                `MAX_SKIPPED_BYTES` were skipped.
        """
        while True:
            event = await self.next_event(silence_ms)
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnectionBrokenError(TRUNCATED)
            self._skipped_bytes += len(event.data)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise ConnectionBrokenError(
                    "answers to other requests are larger than 16 MiB", True
                )

    async def read_body(self, silence_ms: float | None) -> bytes:
        """Returns the body of the answer whose head has been read.

        Raises:
            MovedError: The request goes on at another server.
            ConnectionBrokenError: The body is truncated or larger than
                `MAX_ANSWER_BYTES`, or the answers take too much memory.
        """
        body = bytearray()
        while True:
            event = await self.next_event(silence_ms)
            if isinstance(event, h11.Data):
                body += event.data
                if not self._held.add(len(event.data)):
                    raise ConnectionBrokenError(TOO_MANY_HELD, True)
                if len(body) > MAX_ANSWER_BYTES:
                    raise ConnectionBrokenError(
                        "answer is larger than 16 MiB", True
                    )
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise ConnectionBrokenError(TRUNCATED)
