"""Feeds a parser of HTTP/1.1 with what arrived, a part at a time.

The parser takes a head, or the trailers of a body, as a whole, in a time that
grows with its lines. What it gets at once is bounded, and so are the bytes
and lines that it gets before it returns an event.
"""

from __future__ import annotations

from typing import Final

import h11

MAX_HEAD_BYTES: Final = 65_536
# Lines of a head, or of trailers. A head of 16 KiB can't have more.
MAX_HEAD_LINES: Final = 4_096
# Bytes that the parser gets at once: of a head, of a body, and of a body with
# more lines than a head may have, as they may be trailers.
HEAD_FEED_BYTES: Final = 4_096
BODY_FEED_BYTES: Final = 65_536
LINES_FEED_BYTES: Final = 16_384
# The parser's bytes are counted again after it got this many, or as many as
# it had, as that copies them.
RECOUNT_BYTES: Final = 4_096
TOO_LARGE: Final = 431
# Fewer bytes hold no event: the end of a chunk waits with the next one.
LEAST_BYTES: Final = 3


def create_parser(role: type[h11.CLIENT] | type[h11.SERVER]) -> h11.Connection:
    """Returns a parser for the side of a connection that has `role`."""
    return h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)


class ParserFeed:
    """A parser, and the received bytes that it has not got yet.

    Attributes:
        parser: Parser and serializer of the current request cycle.
        max_head_bytes: Largest head in bytes.
    """

    __slots__ = (
        "parser",
        "max_head_bytes",
        "_inbox",
        "_has_end",
        "_fed_end",
        "_needs_data",
        "_fed_bytes",
        "_fed_lines",
        "_parser_bytes",
        "_recount_above",
    )

    def __init__(self, parser: h11.Connection) -> None:
        """Creates the feed of `parser`, which has no bytes yet."""
        self.parser = parser
        self.max_head_bytes = MAX_HEAD_BYTES
        self._inbox = bytearray()
        # Whether the peer has ended its stream, and the parser was told so.
        self._has_end = False
        self._fed_end = False
        # Whether the parser can do nothing before it gets more.
        self._needs_data = True
        # What the parser got since its last event.
        self._fed_bytes = 0
        self._fed_lines = 0
        # Upper bound of the bytes that the parser holds.
        self._parser_bytes = 0
        self._recount_above = RECOUNT_BYTES

    @property
    def count(self) -> int:
        """Upper bound of the received bytes that wait to be parsed."""
        return len(self._inbox) + self._parser_bytes

    def get_rest(self) -> bytes:
        """Returns all received bytes that wait to be parsed."""
        return self.parser.trailing_data[0] + bytes(self._inbox)

    def has_rest(self) -> bool:
        """Returns whether received bytes wait to be parsed."""
        if self._inbox:
            return True
        return bool(self._parser_bytes and self.parser.trailing_data[0])

    def receive(self, data: bytes) -> None:
        """Adds bytes that arrived."""
        if (
            self._needs_data
            and not self._inbox
            and len(data) <= HEAD_FEED_BYTES
            and self._fed_bytes <= HEAD_FEED_BYTES
        ):
            # Most often: a small piece that the reader waits for.
            self._needs_data = False
            self.parser.receive_data(data)
            size = len(data)
            self._fed_bytes += size
            self._parser_bytes += size
            self._fed_lines += data.count(b"\n")
        else:
            self._inbox += data

    def end(self) -> None:
        """Records that the peer has ended its stream."""
        self._has_end = True

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event; `NEED_DATA` if it has not arrived.

        Raises:
            h11.RemoteProtocolError: What arrived violates the protocol, or
                a head is too large.
        """
        if self._inbox and len(self.parser.trailing_data[0]) < LEAST_BYTES:
            # It would ask for more.
            self._needs_data = True
        while not self._needs_data or self._feed():
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                self._fed_bytes = self._fed_lines = 0
                if self._parser_bytes > self._recount_above:
                    self._recount(event)
                return event
            self._needs_data = True
            if self._parser_bytes > self._recount_above:
                self._recount(event)
        return h11.NEED_DATA

    def _feed(self) -> bool:
        """Passes the next bytes on; returns False if there are none.

        Raises:
            h11.RemoteProtocolError: A head is too large.
        """
        if not self._inbox:
            if not self._has_end or self._fed_end:
                return False
            self._fed_end = True
            self._needs_data = False
            self.parser.receive_data(b"")
            return True
        if self._is_excessive():
            raise h11.RemoteProtocolError("head is too large", TOO_LARGE)
        size = BODY_FEED_BYTES
        if self.parser.their_state is not h11.SEND_BODY:
            size = HEAD_FEED_BYTES
        part = bytes(self._inbox[:size])
        lines = part.count(b"\n")
        if lines > MAX_HEAD_LINES:
            part = part[:LINES_FEED_BYTES]
            lines = part.count(b"\n")
        del self._inbox[: len(part)]
        self._needs_data = False
        self.parser.receive_data(part)
        self._fed_bytes += len(part)
        self._parser_bytes += len(part)
        self._fed_lines += lines
        return True

    def _is_excessive(self) -> bool:
        """Returns whether the parser has got too much for one head."""
        if self._fed_lines > MAX_HEAD_LINES:
            return True
        return (
            self._fed_bytes > self.max_head_bytes
            and self.parser.their_state is not h11.SEND_BODY
        )

    def _recount(self, event: object) -> None:
        """Counts the bytes that the parser holds, which copies them.

        Does so where it holds few: at the end of a message, or as it needs
        more.
        """
        if event is h11.NEED_DATA or isinstance(event, h11.EndOfMessage):
            self._parser_bytes = len(self.parser.trailing_data[0])
            self._recount_above = 2 * self._parser_bytes + RECOUNT_BYTES

    def replace_parser(self, parser: h11.Connection, keep: bool) -> None:
        """Uses another parser from now on.

        Args:
            parser: A parser that has no bytes yet.
            keep: Whether it gets what waits to be parsed; if not, that is
                dropped.
        """
        self._inbox = bytearray(self.get_rest() if keep else b"")
        self.parser = parser
        self._fed_end = False
        self._needs_data = True
        self._fed_bytes = self._fed_lines = 0
        self._parser_bytes = 0
        self._recount_above = RECOUNT_BYTES
