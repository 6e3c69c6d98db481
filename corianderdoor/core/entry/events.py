"""Server-sent events, forwarded as complete events."""

from __future__ import annotations

from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
# Longer events make the stream invalid.
MAX_EVENT_BYTES: Final = 1_048_576


class EventSplitter:
    """Splits a stream of bytes into complete events.

    Buffers the bytes of an incomplete event, so that a stream that breaks
    inside an event can be resumed with that event.
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that `data` completes, with their delimiters."""
        parts = (self._rest + data).split(EVENT_END)
        self._rest = parts.pop()
        return [part + EVENT_END for part in parts]

    @property
    def rest(self) -> bytes:
        """The buffered bytes of an incomplete event."""
        return self._rest


def read_event_id(event: bytes) -> int | None:
    """Returns the numeric id of an event; None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
