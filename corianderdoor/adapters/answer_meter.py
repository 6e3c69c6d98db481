"""Bounds what one answer may cost before it is complete."""

from __future__ import annotations

from typing import Final

import h11

from .http1 import (
    ConnectionBrokenError,
    H11Protocol,
    READ_HIGH_WATER_BYTES,
)
from .parser_feed import MAX_HEAD_BYTES
from .work_turns import get_turns

# Informational heads before the final one.
MAX_INFORMATIONAL: Final = 32
# Bytes of heads, chunk headers, chunk extensions and trailers. Includes bytes
# that have arrived but are not parsed yet: the high-water mark and one read.
MAX_FRAMING_BYTES: Final = 2 * READ_HIGH_WATER_BYTES + 2 * MAX_HEAD_BYTES
# Further such bytes for each byte of a body. A chunk of one byte has five.
FRAMING_PER_BYTE: Final = 3
# Pieces in which a body arrives. Each one takes about 10 us, so that pieces
# of a few bytes take far more time than the body is worth.
MAX_PIECES: Final = 8_192
BYTES_PER_PIECE: Final = 32
# Steps of work that parsing and handling one event takes, and further ones
# for each header.
EVENT_STEPS: Final = 16
HEADER_STEPS: Final = 2


class AnswerMeter:
    """Counts what arrives on one connection during one exchange."""

    __slots__ = (
        "_protocol",
        "_informational",
        "_pieces",
        "_body_bytes",
        "_turns",
        "_parsed",
    )

    def __init__(self, protocol: H11Protocol) -> None:
        self._protocol = protocol
        self._informational = 0
        self._pieces = 0
        self._body_bytes = 0
        self._turns = get_turns()
        # An event that waits for its turn.
        self._parsed: h11.Event | type[h11.PAUSED] | None = None

    async def next_event(
        self, is_stream: bool = False
    ) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event from the peer.

        Args:
            is_stream: Whether the body is a stream, of which short pieces
                are usual.

        Raises:
            ConnectionBrokenError: The connection broke, or what arrives
                exceeds a bound.
        """
        event = self._parsed
        if event is None:
            event = await self._protocol.next_event()
            steps = count_steps(event)
            if not self._turns.try_take(steps):
                # The caller may give up here and ask for the event again.
                self._parsed = event
                await self._turns.take(steps)
        self._parsed = None
        if isinstance(event, h11.Data):
            self._pieces += 1
            self._body_bytes += len(event.data)
        elif isinstance(event, h11.InformationalResponse):
            self._informational += 1
        detail = self._find_excess(event, is_stream)
        if detail:
            raise ConnectionBrokenError(detail, True)
        return event

    def _find_excess(
        self, event: h11.Event | type[h11.PAUSED], is_stream: bool
    ) -> str:
        if self._informational > MAX_INFORMATIONAL:
            return "too many informational heads"
        body_bytes = self._body_bytes
        received_bytes = self._protocol.bytes_received
        if received_bytes > MAX_HEAD_BYTES and isinstance(event, h11.Response):
            pairs = event.headers.raw_items()
            if sum([len(pair[0]) + len(pair[1]) for pair in pairs]) > (
                MAX_HEAD_BYTES
            ):
                return "head is larger than 64 KiB"
        framing = received_bytes - body_bytes
        if framing > MAX_FRAMING_BYTES + FRAMING_PER_BYTE * body_bytes:
            return "more framing than body"
        if not is_stream:
            if self._pieces > MAX_PIECES + body_bytes // BYTES_PER_PIECE:
                return "body in too many pieces"
        return ""


def count_steps(event: h11.Event | type[h11.PAUSED]) -> int:
    """Returns the steps of work that an event takes."""
    if isinstance(event, h11.Data):
        return EVENT_STEPS
    headers = getattr(event, "headers", ())
    return EVENT_STEPS + HEADER_STEPS * len(headers)
