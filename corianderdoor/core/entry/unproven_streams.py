"""Streams that began at servers whose version was not proven then.

Such a stream gets its version once the server is found to have run on, so that
its callers may take it up as any other.
"""

from __future__ import annotations

from typing import Final

from ..records import Record
from .flights import Flight
from .servers import BackendServer, Servers
from .stream_versions import StreamOrigin, UNPROVEN
from .suspected_restarts import SuspectedRestarts

# Streams that are watched; later ones take the place of the earliest.
MAX_UNPROVEN: Final = 5_000


class ProvenStream(Record):
    """A stream whose version is known now.

    Attributes:
        stream: Digest of the stream.
        origin: Where it began.
        left_ms: How long its caller may resume it.
    """

    __slots__ = ("stream", "origin", "left_ms")

    def __init__(
        self, stream: int, origin: StreamOrigin, left_ms: int
    ) -> None:
        self.stream = stream
        self.origin = origin
        self.left_ms = left_ms


class _Unproven:
    """A stream without a version.

    Attributes:
        flight: The request that began it.
        server: The server as listed when the request was sent.
        began_ms: When the first event went out.
        until_ms: Until when its caller may resume it.
    """

    __slots__ = ("flight", "server", "began_ms", "until_ms")

    def __init__(
        self,
        flight: Flight,
        server: BackendServer,
        began_ms: int,
        until_ms: int,
    ) -> None:
        self.flight = flight
        self.server = server
        self.began_ms = began_ms
        self.until_ms = until_ms


class UnprovenStreams:
    """The streams of this host that have no version yet, by digest."""

    __slots__ = ("_streams",)

    def __init__(self) -> None:
        self._streams: dict[int, _Unproven] = {}

    def add(
        self, stream: int, flight: Flight, left_ms: int, now_ms: int
    ) -> None:
        """Adds a stream whose first event is about to go out.

        Args:
            stream: Digest of the stream.
            flight: The request, at the server that began the stream.
            left_ms: How long its caller may resume it.
            now_ms: Monotonic time in ms.
        """
        if flight.server is None:
            return
        self._streams[stream] = _Unproven(
            flight, flight.server, now_ms, now_ms + left_ms
        )
        if len(self._streams) > MAX_UNPROVEN:
            del self._streams[next(iter(self._streams))]

    def discard(self, stream: int) -> None:
        """Drops a stream that its caller has as a whole."""
        self._streams.pop(stream, None)

    def take_proven(
        self, servers: Servers, restarts: SuspectedRestarts, now_ms: int
    ) -> list[ProvenStream]:
        """Returns the streams whose versions are known now, and drops them.

        Those whose server has started again since have none for good: either
        process may have begun them.
        """
        proven: list[ProvenStream] = []
        for stream, one in list(self._streams.items()):
            listed = servers.get(one.server.id)
            if (
                now_ms >= one.until_ms
                or listed is None
                or not listed.same_incarnation(one.server)
            ):
                del self._streams[stream]
            elif restarts.has_run_since(listed.id, one.began_ms):
                del self._streams[stream]
                if one.flight.version == UNPROVEN:
                    one.flight.version = listed.version
                origin = StreamOrigin(one.flight.service, listed.version)
                proven.append(
                    ProvenStream(stream, origin, one.until_ms - now_ms)
                )
        return proven
