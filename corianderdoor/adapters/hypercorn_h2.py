"""Repairs of hypercorn's HTTP/2.

When an application ends without the end of its answer, hypercorn closes an
HTTP/1.1 connection, but leaves an HTTP/2 stream open for ever; here the
stream is reset. A body that goes on after its answer has ended breaks the
whole connection; here it is thrown away. And each window that a caller opens
wakes every stream of its connection; here only those with something to send,
and the order of streams costs the same for one stream as for a hundred.
"""

from __future__ import annotations

from typing import Any

import h2.errors
import h2.events
import h2.exceptions
import hypercorn.protocol
from hypercorn.protocol.events import Event, StreamClosed
from hypercorn.protocol.h2 import H2Protocol

from .h2_scheduler import RoundRobin


class PatchedH2Protocol(H2Protocol):
    """hypercorn's HTTP/2 that hurts no stream for another one's sake."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.priority = RoundRobin()  # type: ignore[assignment]

    async def stream_send(self, event: Event) -> None:
        """Sends an event of a stream."""
        if isinstance(event, StreamClosed):
            await self._reset_unfinished(event.stream_id)
        await super().stream_send(event)

    async def _handle_events(self, events: list[h2.events.Event]) -> None:
        for event in events:
            if (
                isinstance(event, h2.events.DataReceived)
                and event.stream_id not in self.streams
            ):
                await self._discard(event)
            else:
                await super()._handle_events([event])

    async def _discard(self, event: h2.events.DataReceived) -> None:
        # A reset would be right as well, but callers' libraries then lose
        # the answer that they have not read yet.
        try:
            self.connection.acknowledge_received_data(
                event.flow_controlled_length, event.stream_id
            )
        except h2.exceptions.ProtocolError:
            return  # The stream or its connection has ended meanwhile.
        await self._flush()

    async def _reset_unfinished(self, stream_id: int) -> None:
        buffer = self.stream_buffers.get(stream_id)
        if buffer is None or buffer._complete:
            return
        await buffer.close()
        try:
            self.connection.reset_stream(
                stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR
            )
        except h2.exceptions.ProtocolError:
            return  # The caller has closed the stream itself.
        await self._flush()

    async def _window_updated(self, stream_id: int | None) -> None:
        buffers = self.stream_buffers
        for key in [stream_id] if stream_id else list(buffers):
            if key in buffers and buffers[key].buffer:
                self.priority.unblock(key)
        await self.has_data.set()


def install() -> None:
    """Makes hypercorn use `RepairedH2Protocol`."""
    # hypercorn has no setting for the class of its protocol.
    hypercorn.protocol.H2Protocol = PatchedH2Protocol  # type: ignore
