"""The order in which an HTTP/2 connection sends its streams."""

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
    """Takes the streams with something to send in turns.

    It stands in for the tree of the library `priority`, which walks over
    every stream of the connection for each chunk; RFC 9113 has deprecated
    the priorities that the tree is for. It has the tree's methods and
    errors as far as hypercorn uses them.
    """

    __slots__ = ("_known", "_ready")

    def __init__(self) -> None:
        self._known: set[int] = set()
        self._ready: dict[int, None] = {}

    def __next__(self) -> int:
        """Returns the stream whose turn it is.

        Raises:
            DeadlockError: No stream has anything to send.
        """
        if not self._ready:
            raise DeadlockError("no stream is ready")
        stream_id = next(iter(self._ready))
        del self._ready[stream_id]
        self._ready[stream_id] = None
        return stream_id

    def insert_stream(self, stream_id: int, **ignored: object) -> None:
        """Adds a stream that is ready."""
        if stream_id in self._known:
            raise DuplicateStreamError(f"stream {stream_id}")
        if len(self._known) >= MAX_STREAMS:
            raise TooManyStreamsError(f"over {MAX_STREAMS} streams")
        self._known.add(stream_id)
        self._ready[stream_id] = None

    def reprioritize(self, stream_id: int, **ignored: object) -> None:
        """Takes note of nothing; all streams are equal."""
        self._check(stream_id)

    def block(self, stream_id: int) -> None:
        """Passes over a stream until it is unblocked."""
        self._check(stream_id)
        self._ready.pop(stream_id, None)

    def unblock(self, stream_id: int) -> None:
        """Takes a stream into the turns again."""
        self._check(stream_id)
        self._ready.setdefault(stream_id, None)

    def remove_stream(self, stream_id: int) -> None:
        """Forgets a stream."""
        self._check(stream_id)
        self._known.discard(stream_id)
        self._ready.pop(stream_id, None)

    def _check(self, stream_id: int) -> None:
        if stream_id not in self._known:
            raise MissingStreamError(f"stream {stream_id}")
