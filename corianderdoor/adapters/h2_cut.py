"""Tells an HTTP/2 caller that its answer was cut.

When an application ends without the end of its answer, hypercorn closes an
HTTP/1.1 connection, but leaves an HTTP/2 stream open for ever. This makes
it reset the stream.
"""

from __future__ import annotations

import h2.errors
import h2.exceptions
import hypercorn.protocol
from hypercorn.protocol.events import Event, StreamClosed
from hypercorn.protocol.h2 import H2Protocol


class CuttingH2Protocol(H2Protocol):
    """hypercorn's HTTP/2 with streams reset where an answer has no end."""

    async def stream_send(self, event: Event) -> None:
        """Sends an event of a stream."""
        if isinstance(event, StreamClosed):
            await self._cut(event.stream_id)
        await super().stream_send(event)

    async def _cut(self, stream_id: int) -> None:
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


def install() -> None:
    """Makes hypercorn use `CuttingH2Protocol`."""
    # hypercorn has no setting for the class of its protocol.
    hypercorn.protocol.H2Protocol = CuttingH2Protocol  # type: ignore
