"""Passes the events of a stream on to the caller."""

from __future__ import annotations

from typing import Final

import h11

from ..adapters.answer_meter import FRAMING_PER_BYTE, MAX_FRAMING_BYTES
from ..adapters.http1_server import ServerConnection
from ..adapters.work_turns import get_turns, WorkTurns
from ..core.clock import Clock
from ..core.entry.events import (
    check_lines,
    EventSplitter,
    has_field,
    is_event,
    LINES_PER_SLICE,
    read_event_id,
)
from ..core.entry.flights import Ending, Flight, Send
from ..core.entry.planner import Planner
from ..core.entry.silence import MIN_STREAM_SILENCE_MS
from ..platform.answer_head import AnswerHead
from .answer_reader import AnswerReader
from .answer_timing import AnswerTiming
from .stream_registry import StreamRegistry

# Events up to this size have few lines enough to be checked at once.
SMALL_EVENT_BYTES: Final = 512


class EventForwarder:
    """Passes events on, under one head and each of them once."""

    __slots__ = (
        "_planner",
        "_streams",
        "_clock",
        "_conn",
        "_awaits_id",
        "_event_bytes",
        "_filler_bytes",
        "_turns",
    )

    def __init__(
        self,
        planner: Planner,
        streams: StreamRegistry,
        clock: Clock,
        conn: ServerConnection,
    ) -> None:
        self._planner = planner
        self._streams = streams
        self._clock = clock
        self._conn = conn
        # Whether the answer goes on with a stream, and none of its events
        # has shown yet that it does.
        self._awaits_id = False
        # Bytes of the answer's events, and of those that tell the caller
        # nothing: comments, empty lines and repeated events.
        self._event_bytes = 0
        self._filler_bytes = 0
        self._turns: WorkTurns

    async def relay(
        self,
        reader: AnswerReader,
        head: AnswerHead,
        flight: Flight,
        send: Send,
        timing: AnswerTiming,
    ) -> Ending | None:
        """Passes a stream on until it ends.

        Args:
            reader: Reads the answer, whose head has been read.
            head: The head.
            flight: The request.
            send: How it was sent.
            timing: Takes the times of the events.

        Returns:
            How the attempt failed, or None once the caller has its answer.

        Raises:
            MovedError: The request goes on at another server.
            ConnectionBrokenError: The connection broke.
        """
        splitter = EventSplitter()
        self._awaits_id = flight.last_event_id is not None
        self._event_bytes = self._filler_bytes = 0
        self._turns = get_turns()
        silence_ms = None if send.silence_ms is None else MIN_STREAM_SILENCE_MS
        while True:
            event = await reader.next_event(silence_ms)
            if not isinstance(event, h11.Data):
                break
            events = splitter.feed(bytes(event.data))
            reader.record_progress(bool(events), len(splitter.rest))
            if not await self._pass_on(
                splitter, events, flight, head, reader, timing
            ):
                return Ending.INVALID_ANSWER
        if not isinstance(event, h11.EndOfMessage) or splitter.rest:
            return Ending.BROKEN
        has_events = flight.first_event_ms or flight.last_event_id
        if not head.framed and has_events is None:
            # Nothing but the server's end has ended a stream without events.
            return Ending.BROKEN
        if self._awaits_id and (head.has_length or not head.framed):
            # Only chunks show the end of a stream that had all its events.
            return Ending.BROKEN
        self.start_answer(flight, head)
        self._planner.record_complete_answer(flight)
        self._planner.crashing_requests.record_sound_answer(
            flight, flight.first_event_ms or reader.received_ms
        )
        self._conn.protocol.write(h11.EndOfMessage())
        await self._conn.protocol.flush()
        return None

    async def _pass_on(
        self,
        splitter: EventSplitter,
        events: list[bytes],
        flight: Flight,
        head: AnswerHead,
        reader: AnswerReader,
        timing: AnswerTiming,
    ) -> bool:
        """Passes on what has arrived, slice by slice.

        Args:
            splitter: Holds what follows the first slice.
            events: The first slice.
            flight: The request.
            head: The head of the answer.
            reader: Reads the answer.
            timing: Takes the times of the events.

        Returns:
            False if the stream can't go on.

        Raises:
            ConnectionBrokenError: The answers take too much memory.
        """
        while events:
            timing.record(len(events), reader.received_ms)
            self._planner.crashing_requests.record_progress(
                flight, reader.received_ms
            )
            if not await self._forward(flight, events, head):
                return False
            if not splitter.has_more:
                break
            events = splitter.take()
            reader.record_progress(True, len(splitter.rest))
        return not splitter.is_excessive

    async def _forward(
        self, flight: Flight, events: list[bytes], head: AnswerHead
    ) -> bool:
        """Passes the events on that the caller does not have yet.

        Returns:
            False if what follows these events is no part of the stream.
        """
        if not self._turns.try_take(len(events)):
            await self._turns.take(len(events))
        new_events: list[bytes] = []
        filler_bytes = 0
        last = flight.last_event_id
        is_valid = True
        for event in events:
            event_id = read_event_id(event)
            if event_id is not None:
                self._awaits_id = False
                if last is not None and event_id <= last:
                    filler_bytes += len(event)
                    continue
                last = event_id
            elif not await self._is_part(event):
                is_valid = False
                break
            elif not has_field(event):
                filler_bytes += len(event)
            new_events.append(event)
        flight.last_event_id = last
        self._event_bytes += sum(map(len, events)) - filler_bytes
        self._filler_bytes += filler_bytes
        if new_events:
            await self._send(flight, new_events, head)
        most = MAX_FRAMING_BYTES + FRAMING_PER_BYTE * self._event_bytes
        return is_valid and self._filler_bytes <= most

    async def _is_part(self, event: bytes) -> bool:
        """Returns whether an event without a number belongs to the stream."""
        if self._awaits_id and event.strip():
            return False
        if len(event) <= SMALL_EVENT_BYTES:
            return is_event(event)
        return await _check_large_event(event)

    async def _send(
        self, flight: Flight, new_events: list[bytes], head: AnswerHead
    ) -> None:
        if self._event_bytes:
            # Another server may still take over a stream of comments alone.
            self._streams.record_begun(flight)
            flight.is_unnumbered = flight.last_event_id is None
        self.start_answer(flight, head)
        self._conn.protocol.write(h11.Data(data=b"".join(new_events)))
        await self._conn.protocol.flush()

    def start_answer(self, flight: Flight, head: AnswerHead) -> None:
        """Sends the head of the answer, once.

        When another server resumes the stream, its events follow under the
        head that was sent first.
        """
        self._planner.record_answer_begun(flight, self._clock.now_ms())
        if flight.answer_started:
            return
        flight.answer_started = True
        self.record_first_byte(flight)
        chunked = (b"Transfer-Encoding", b"chunked")
        self._conn.start(head.status, [*head.headers, chunked])

    def record_first_byte(self, flight: Flight) -> None:
        """Records how long the caller waited for the first byte."""
        waited_ms = self._clock.now_ms() - flight.arrived_ms
        kind = flight.route.kind.value
        self._planner.counters.record_latency(kind, waited_ms)


async def _check_large_event(event: bytes) -> bool:
    """Returns `is_event` of an event that may have very many lines."""
    start = 0
    while start < len(event):
        await get_turns().take(LINES_PER_SLICE)
        end = check_lines(event, start)
        if end == start:
            return False
        start = end
    return True
