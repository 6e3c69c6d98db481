"""Server-sent events, forwarded as complete events."""

from __future__ import annotations

import re
from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
ID_LINE: Final = b"\n" + ID_FIELD
# Events, and lines of an event, that are handled at once.
EVENTS_PER_SLICE: Final = 256
LINES_PER_SLICE: Final = 256
# Bytes that are searched for further events at once.
SLICE_BYTES: Final = 16_384
# Lines of an event: fields with a value, comments, or nothing. What matches
# is not tried again in another way, which would need memory for each line.
LINES: Final = re.compile(
    rb"(?>(?:[a-z][a-z0-9_-]*)?:[^\n]*\n|\n){1,%d}+" % LINES_PER_SLICE
)
# Begins of lines without a field: of empty ones and of comments.
NO_FIELD: Final = (b"\n", b":")
FIELD: Final = re.compile(rb"^[a-z]", re.MULTILINE)
# Longer events make the stream invalid.
MAX_EVENT_BYTES: Final = 1_048_576
# Pieces in which one event may arrive. Each takes about 10 us, so that an
# event in pieces of a few bytes takes seconds.
MAX_EVENT_PIECES: Final = 8_192
BYTES_PER_PIECE: Final = 32
# Longer ids are not plausible, and int() refuses very long ones.
MAX_ID_DIGITS: Final = 18


class EventSplitter:
    """Splits a stream of bytes into complete events.

    Buffers the bytes of an incomplete event, so that a stream that breaks
    inside an event can be resumed with that event.

    Attributes:
        has_more: Whether the buffered bytes may hold another complete event.
    """

    __slots__ = ("has_more", "_rest", "_pieces", "_searched")

    def __init__(self) -> None:
        self.has_more = False
        self._rest = bytearray()
        self._pieces = 0
        # Bytes that hold no end of an event.
        self._searched = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Adds what arrived and returns the next complete events.

        Searches only what is new: an event may arrive byte by byte.
        """
        if not self._rest:
            end = data.find(EVENT_END)
            if 0 <= end == len(data) - len(EVENT_END):
                return [data]
        self._rest += data
        self._pieces += 1
        return self.take()

    def take(self) -> list[bytes]:
        """Returns the next complete events, with their delimiters.

        There are at most `EVENTS_PER_SLICE`; see `has_more`.
        """
        rest = self._rest
        found = rest.find(EVENT_END, self._searched)
        if found < 0:
            self._searched = max(0, len(rest) - len(EVENT_END) + 1)
            self.has_more = False
            return []
        size = max(found + len(EVENT_END), SLICE_BYTES)
        window = bytes(rest[:size])
        parts = window.split(EVENT_END, EVENTS_PER_SLICE)
        tail = parts.pop()
        self.has_more = len(parts) == EVENTS_PER_SLICE or len(rest) > size
        del rest[: len(window) - len(tail)]
        self._searched = 0
        self._pieces = 0
        return [part + EVENT_END for part in parts]

    @property
    def rest(self) -> bytearray:
        """The buffered bytes of an incomplete event."""
        return self._rest

    @property
    def is_excessive(self) -> bool:
        """Whether the incomplete event is too long or in too many pieces."""
        size = len(self._rest)
        most_pieces = MAX_EVENT_PIECES + size // BYTES_PER_PIECE
        return size > MAX_EVENT_BYTES or self._pieces > most_pieces


def read_event_id(event: bytes) -> int | None:
    """Returns the numeric id of an event; None if it has none."""
    start = len(ID_FIELD)
    if not event.startswith(ID_FIELD):
        before = event.find(ID_LINE)
        if before < 0:
            return None
        start = before + len(ID_LINE)
    text = event[start : event.find(b"\n", start)].strip()
    if text.isdigit() and len(text) <= MAX_ID_DIGITS:
        return int(text)
    return None


def check_lines(data: bytes, start: int = 0) -> int:
    """Checks the next lines of what was split off.

    Args:
        data: Whole lines.
        start: Where the next ones begin.

    Returns:
        The position after them, at most `LINES_PER_SLICE` lines on; `start`
        if the first of them is no line of an event.
    """
    match = LINES.match(data, start)
    return start if match is None else match.end()


def is_event(data: bytes) -> bool:
    """Returns whether all lines of what was split off are those of an event.

    Text of another kind, such as that of an error, is none.
    """
    start, end = 0, check_lines(data)
    while start < end < len(data):
        start, end = end, check_lines(data, end)
    return end == len(data)


def has_field(event: bytes) -> bool:
    """Returns whether an event is more than empty lines and comments."""
    return event[:1] not in NO_FIELD or FIELD.search(event) is not None
