"""Software versions that began streams, and whether a stream may go on.

What two versions of a service's software write does not fit together, so a
stream goes on only at servers of the version that began it.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import xxhash

from ..records import Record
from .flights import Flight, Refuse
from .version_history import VersionHistory

# Streams that are remembered; each takes about 200 bytes.
MAX_STREAMS: Final = 20_000
# Callers resume streams until their deadline; this covers the way there.
RESUME_MARGIN_MS: Final = 2_000
# A longer time is a mistake of a peer or a caller.
MAX_STREAM_MS: Final = 60_000
# Version of streams that began at a server whose own is not proven. No server
# has it, so that they go on nowhere.
UNPROVEN: Final = "(unproven)"
# Another host may know the version, and callers choose another one.
RETRY_MS: Final = 100


class StreamOrigin(Record):
    """Where a stream began.

    Attributes:
        service: Name of the service.
        version: Software version of the server; empty if it has none.
    """

    __slots__ = ("service", "version")

    def __init__(self, service: str, version: str) -> None:
        self.service = service
        self.version = version


def digest_stream(attempt_id: str) -> int:
    """Returns the number that identifies a stream between hosts.

    Args:
        attempt_id: Id of the attempt that brought its first event.
    """
    return xxhash.xxh3_64_intdigest(attempt_id.encode())


class StreamVersions:
    """Origins of the streams that began here or were reported by peers.

    Attributes:
        history: Versions that the servers of each service had.
    """

    __slots__ = ("history", "_origins")

    def __init__(self) -> None:
        self.history = VersionHistory()
        # Origins by digest, with the time until which each is kept.
        self._origins: OrderedDict[int, tuple[StreamOrigin, int]] = (
            OrderedDict()
        )

    def record(
        self, stream: int, origin: StreamOrigin, left_ms: int, now_ms: int
    ) -> None:
        """Records the origin of a stream.

        A known one stays, unless it had no proven version.

        Args:
            stream: Digest of the stream, see `digest_stream`.
            origin: Where it began.
            left_ms: How long its caller may resume it.
            now_ms: Monotonic time in ms.
        """
        known = self._origins.get(stream)
        if known is not None and now_ms < known[1]:
            if known[0].version != UNPROVEN:
                return
        until_ms = now_ms + min(left_ms, MAX_STREAM_MS)
        self._origins[stream] = (origin, until_ms)
        self._origins.move_to_end(stream)
        while len(self._origins) > MAX_STREAMS:
            self._origins.popitem(last=False)

    def find(
        self, stream: int, now_ms: int
    ) -> tuple[StreamOrigin, int] | None:
        """Returns the origin of a stream and how long it is kept, in ms."""
        found = self._origins.get(stream)
        if found is None or now_ms >= found[1]:
            return None
        return found[0], found[1] - now_ms

    def tick(self, now_ms: int) -> None:
        """Drops the streams that can't be resumed any longer.

        Those recorded first are looked at first; one with a long deadline
        keeps the later ones for as long.
        """
        while self._origins:
            stream, (_, until_ms) = next(iter(self._origins.items()))
            if now_ms < until_ms:
                return
            del self._origins[stream]

    def record_begun(
        self, flight: Flight, is_proven: bool, now_ms: int
    ) -> tuple[int, StreamOrigin, int] | None:
        """Records that the first event of a stream goes out to its caller.

        Args:
            flight: The request.
            is_proven: Whether its server has the version that is listed.
            now_ms: Monotonic time in ms.

        Returns:
            The digest of the stream, its origin and how long its caller may
            resume it; None if the stream had begun before, or its callers
            can't resume it.
        """
        if flight.version is not None or flight.server is None:
            return None
        flight.version = flight.server.version if is_proven else UNPROVEN
        if not flight.route.resumable:
            return None
        allowed_ms = flight.req.deadline_ms or flight.route.timeout_ms
        passed_ms = now_ms - flight.arrived_ms
        left_ms = int(min(allowed_ms, MAX_STREAM_MS)) - passed_ms
        left_ms = max(0, left_ms) + RESUME_MARGIN_MS
        stream = digest_stream(flight.req.id)
        origin = StreamOrigin(flight.service, flight.version)
        self.record(stream, origin, left_ms, now_ms)
        return stream, origin, left_ms

    def resume(
        self, flight: Flight, origin: StreamOrigin | None
    ) -> Refuse | None:
        """Binds a stream that its caller resumes to the version of its start.

        Args:
            flight: The request that resumes it.
            origin: Where it began; None if nobody who was asked knows.

        Returns:
            The refusal; None if the stream may go on, or begins anew.
        """
        if origin is None:
            if flight.last_event_id is None:
                return None
            return Refuse(503, "unknown-version", RETRY_MS)
        if origin.service not in (name for name, _ in flight.route.split):
            return Refuse(503, "service-replaced", RETRY_MS)
        flight.service = origin.service
        flight.version = origin.version
        return None
