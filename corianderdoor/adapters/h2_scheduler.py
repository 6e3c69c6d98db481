"""Scheduler of the streams of an HTTP/2 connection."""

from __future__ import annotations

from typing import Final

from priority.priority import (
    DeadlockError,
    DuplicateStreamError,
    MissingStreamError,
    TooManyStreamsError,
)

MAX_STREAMS: Final = 1_000


class RoundRobin:
    """Schedules the streams with data to send round robin.

    Replaces the priority tree of the library `priority`, which walks over
    every stream of the connection for each chunk; RFC 9113 has deprecated
    the priorities that the tree implements. Has the methods and errors of
    the tree that hypercorn uses.
    """

    __slots__ = ("_known", "_ready")

    def __init__(self) -> None:
        self._known: set[int] = set()
        self._ready: dict[int, None] = {}

    def __next__(self) -> int:
        """Returns the next stream and moves it to the end of the queue.

        Raises:
            DeadlockError: No stream has data to send.
        """
        if not self._ready:
            raise DeadlockError("no stream is ready")
        stream_id = next(iter(self._ready))
        del self._ready[stream_id]
        self._ready[stream_id] = None
        return stream_id

    def insert_stream(self, stream_id: int, **ignored: object) -> None:
        """Adds a stream as ready."""
        if stream_id in self._known:
            raise DuplicateStreamError(f"stream {stream_id}")
        if len(self._known) >= MAX_STREAMS:
            raise TooManyStreamsError(f"over {MAX_STREAMS} streams")
        self._known.add(stream_id)
        self._ready[stream_id] = None

    def reprioritize(self, stream_id: int, **ignored: object) -> None:
        """Ignores the new priority; all streams are equal."""
        self._check(stream_id)

    def block(self, stream_id: int) -> None:
        """Skips a stream until it is unblocked."""
        self._check(stream_id)
        self._ready.pop(stream_id, None)

    def unblock(self, stream_id: int) -> None:
        """Schedules a blocked stream again."""
        self._check(stream_id)
        self._ready.setdefault(stream_id, None)

    def remove_stream(self, stream_id: int) -> None:
        """Removes a stream."""
        self._check(stream_id)
        self._known.discard(stream_id)
        self._ready.pop(stream_id, None)

    def _check(self, stream_id: int) -> None:
        if stream_id not in self._known:
            raise MissingStreamError(f"stream {stream_id}")
