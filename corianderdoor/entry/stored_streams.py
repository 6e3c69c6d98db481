"""Reads from the store where streams began that no host knows."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.servers import Servers
from ..core.entry.stream_versions import StreamOrigin, UNPROVEN
from ..core.entry.version_ledger import VersionLedger
from ..platform.decoding import RecordError
from ..platform.store import HistoryGoneError, StoreClient, StoreError
from ..platform.stream_records import (
    BEGUN_PREFIX,
    decode_begun,
    decode_ledger,
    LEDGER_KEY,
    STREAMS_PREFIX,
)

# Time after which a question counts as unanswered. Its caller waits for it.
READ_MS: Final = 400
# Shortest time between two readings. One of a large fleet takes tens of ms.
INTERVAL_MS: Final = 100


class _Content:
    """What a reading found.

    Attributes:
        reading: Number of the reading, from 1.
        ledger: Versions that may have begun streams; None if unknown.
        begun: Origins of streams by their digests.
    """

    __slots__ = ("reading", "ledger", "begun")

    def __init__(
        self,
        reading: int,
        ledger: VersionLedger | None,
        begun: dict[int, StreamOrigin],
    ) -> None:
        self.reading = reading
        self.ledger = ledger
        self.begun = begun

    def add(self, begun: Mapping[int, StreamOrigin]) -> None:
        """Adds the record of a host.

        A stream that was taken up is in the records of several hosts, one of
        which may not know its version.
        """
        for stream, origin in begun.items():
            known = self.begun.get(stream)
            if known is None or known.version == UNPROVEN:
                self.begun[stream] = origin


class StoredStreams:
    """Answers questions from what the store has at the time of the question.

    Questions that come while the store is read share the next reading.
    """

    __slots__ = (
        "_store",
        "_servers",
        "_clock",
        "_lock",
        "_readings",
        "_next_ms",
        "_content",
    )

    def __init__(
        self, store: StoreClient, servers: Servers, clock: Clock
    ) -> None:
        """Initializes the reader.

        Args:
            store: Client of the store, for this object alone.
            servers: The listed servers.
            clock: The clock.
        """
        self._store = store
        self._servers = servers
        self._clock = clock
        self._next_ms = 0
        self._lock = anyio.Lock()
        # Readings that were begun, and what the last complete one found.
        self._readings = 0
        self._content = _Content(0, None, {})

    async def find(
        self, stream: int | None, service: str
    ) -> StreamOrigin | None:
        """Returns where a stream began; None if the store does not tell.

        Args:
            stream: Digest of the stream; None if it is not known.
            service: Service of its route.
        """
        asked = self._readings
        with anyio.move_on_after(READ_MS / MS_PER_SECOND):
            async with self._lock:
                if self._content.reading <= asked:
                    await self._read()
        content = self._content
        if content.reading <= asked:
            return None
        if stream is not None and stream in content.begun:
            return content.begun[stream]
        if content.ledger is None:
            return None
        listed = {server.version for server in self._servers.listed(service)}
        version = content.ledger.find_only(
            service, listed, self._store.era.known
        )
        return None if version is None else StreamOrigin(service, version)

    async def _read(self) -> None:
        wait_ms = max(0, self._next_ms - self._clock.now_ms())
        await anyio.sleep(wait_ms / MS_PER_SECOND)
        self._next_ms = self._clock.now_ms() + INTERVAL_MS
        self._readings += 1
        content = _Content(self._readings, None, {})
        try:
            items, _ = await self._store.read_all(STREAMS_PREFIX)
        except (StoreError, HistoryGoneError) as exc:
            log_event("streams_not_read", "WARNING", detail=str(exc))
            return
        for item in items:
            if item.value is None:
                continue
            try:
                if item.key == LEDGER_KEY:
                    content.ledger = decode_ledger(item.value)
                elif item.key.startswith(BEGUN_PREFIX):
                    content.add(decode_begun(item.value))
            except RecordError as exc:
                log_event(
                    "record_invalid",
                    "WARNING",
                    key=item.key,
                    detail=str(exc),
                )
        self._content = content
