"""Streams in progress at this host that their callers may resume."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .stream_versions import StreamOrigin, UNPROVEN

# Streams that are kept; later ones take the place of the earliest.
MAX_BEGUN: Final = 20_000


class BegunStreams:
    """Origins of the streams that this host passes on, or that broke off.

    Attributes:
        revision: Rises with each stream that is added or gets its version.
    """

    __slots__ = ("revision", "_origins")

    def __init__(self) -> None:
        self.revision = 0
        # Origin by digest, with the time until which it is kept.
        self._origins: dict[int, tuple[StreamOrigin, int]] = {}

    def add(self, stream: int, origin: StreamOrigin, until_ms: int) -> None:
        """Adds a stream; it is kept until `until_ms` at most.

        The origin of a known one stays, unless it had no proven version.
        """
        known = self._origins.get(stream)
        if known is not None and known[0].version != UNPROVEN:
            return
        if known is not None and known[0] == origin:
            return
        self.revision += 1
        self._origins[stream] = origin, until_ms
        if len(self._origins) > MAX_BEGUN:
            del self._origins[next(iter(self._origins))]

    def discard(self, stream: int) -> None:
        """Drops a stream that its caller has as a whole."""
        self._origins.pop(stream, None)

    def drop_expired(self, now_ms: int) -> None:
        """Drops the streams that can't be resumed any longer."""
        expired = [s for s, (_, at) in self._origins.items() if at <= now_ms]
        for stream in expired:
            del self._origins[stream]

    def services(self) -> set[str]:
        """Returns the services that have streams here."""
        return {origin.service for origin, _ in self._origins.values()}

    def group(self, services: Iterable[str]) -> dict[StreamOrigin, list[int]]:
        """Returns the streams to save by where they began.

        Args:
            services: Services with several versions. Of the others, only the
                streams without a proven version are returned.
        """
        wanted = set(services)
        groups: dict[StreamOrigin, list[int]] = {}
        for stream, (origin, _) in self._origins.items():
            if origin.service in wanted or origin.version == UNPROVEN:
                groups.setdefault(origin, []).append(stream)
        return groups
