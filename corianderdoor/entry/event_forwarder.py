"""Passes the events of a stream on to the caller."""

from __future__ import annotations

import h11

from ..adapters.http1_server import ServerConnection
from ..core.clock import Clock
from ..core.entry.events import read_event_id
from ..core.entry.flights import Flight
from ..core.entry.planner import Planner
from ..platform.answer_head import AnswerHead
from .stream_registry import StreamRegistry


class EventForwarder:
    """Passes events on, under one head and each of them once."""

    __slots__ = ("_planner", "_streams", "_clock", "_conn")

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

    async def forward(
        self, flight: Flight, events: list[bytes], head: AnswerHead
    ) -> None:
        """Passes the events on that the caller does not have yet."""
        new_events: list[bytes] = []
        for event in events:
            event_id = read_event_id(event)
            last = flight.last_event_id
            if event_id is not None:
                if last is not None and event_id <= last:
                    continue
                flight.last_event_id = event_id
            new_events.append(event)
        if not new_events:
            return
        self._streams.record_begun(flight)
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
