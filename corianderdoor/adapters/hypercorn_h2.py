"""Fixes for hypercorn's HTTP/2.

- If an application ends without completing its answer, hypercorn closes an
  HTTP/1.1 connection but leaves an HTTP/2 stream open indefinitely. Here the
  stream is reset.
- Request body data that arrives after the answer has ended breaks the whole
  connection. Here it is discarded.
- Each flow-control window update wakes every stream of the connection. Here
  it wakes only those with data to send, and the cost of scheduling does not
  grow with the number of streams.
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
    """hypercorn's HTTP/2 protocol, with faults confined to one stream."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.priority = RoundRobin()  # type: ignore[assignment]

    async def stream_send(self, event: Event) -> None:
        """Sends an event of a stream; resets it if it ends incomplete."""
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
        # Resetting the stream would also be correct, but then client
        # libraries lose the part of the answer that they have not read.
        try:
            self.connection.acknowledge_received_data(
                event.flow_controlled_length, event.stream_id
            )
        except h2.exceptions.ProtocolError:
            return  # The stream or its connection has ended.
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
            return  # The caller has closed the stream.
        await self._flush()

    async def _window_updated(self, stream_id: int | None) -> None:
        buffers = self.stream_buffers
        for key in [stream_id] if stream_id else list(buffers):
            if key in buffers and buffers[key].buffer:
                self.priority.unblock(key)
        await self.has_data.set()


def install() -> None:
    """Makes hypercorn use `RepairedH2Protocol`."""
    # hypercorn has no setting for its protocol class.
    hypercorn.protocol.H2Protocol = PatchedH2Protocol  # type: ignore
