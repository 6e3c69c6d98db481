"""Streams of events, passed on whole."""

from __future__ import annotations

from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
# An event longer than this is no event of a stream.
MAX_EVENT_BYTES: Final = 1_048_576


class EventSplitter:
    """Splits a stream of bytes into whole events.

    The bytes of an event that has not ended yet are held back, so that a
    stream that is cut inside an event can go on with that event.
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that end in `data`, each with its end."""
        parts = (self._rest + data).split(EVENT_END)
        self._rest = parts.pop()
        return [part + EVENT_END for part in parts]

    @property
    def rest(self) -> bytes:
        """What has arrived of an event that has not ended."""
        return self._rest


def read_event_id(event: bytes) -> int | None:
    """Returns the id of an event, None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
