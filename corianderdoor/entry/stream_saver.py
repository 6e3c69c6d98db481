"""Saves in the store where the streams of this host began."""

from __future__ import annotations

from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.begun_streams import BegunStreams
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.stream_versions import StreamOrigin
from ..platform.store import StoreClient, StoreError
from ..platform.stream_records import BEGUN_PREFIX, encode_begun
from .store_lease import StoreLease

# Shortest time between two calls. Streams that begin in the last of these
# intervals are unknown when all hosts are lost at once.
MIN_INTERVAL_MS: Final = 200
# Share of the store's rate of writes that the hosts may use together.
WRITE_SHARE: Final = 0.25
# The record of a host that was killed stays for at least half of this time,
# which is as long as a stream can be resumed.
LEASE_MS: Final = 120_000
RETRY_MS: Final = 500


class StreamSaver:
    """Saves the streams of services with several versions.

    If all hosts are lost at once, nobody else knows where these began. For a
    service with one version the ledger says it, but for streams that began at
    a server whose version was not proven.
    """

    __slots__ = (
        "_store",
        "_planner",
        "_peers",
        "_begun",
        "_clock",
        "_prefix",
        "_records",
        "_writes_per_s",
        "_lease",
        "_saved",
    )

    def __init__(
        self,
        store: StoreClient,
        planner: Planner,
        peers: Peers,
        begun: BegunStreams,
        clock: Clock,
        name: str,
        writes_per_s: float,
    ) -> None:
        """Initializes the task.

        Args:
            store: Client of the store, for this task alone.
            planner: Has the listed servers and the known ledger.
            peers: The other hosts, which share the rate of calls.
            begun: The streams of this host.
            clock: The clock.
            name: Name of this host.
            writes_per_s: Calls that all hosts together may make.
        """
        self._store = store
        self._planner = planner
        self._peers = peers
        self._begun = begun
        self._clock = clock
        # A host that starts again must not replace what it saved before.
        self._prefix = f"{BEGUN_PREFIX}{name}/{clock.wall_ms()}"
        self._records = 0
        self._writes_per_s = max(1.0, writes_per_s)
        self._lease = StoreLease(store, clock, LEASE_MS)
        # What the record has.
        self._saved: dict[StreamOrigin, list[int]] = {}

    async def run(self) -> None:
        """Saves at intervals until cancelled."""
        while True:
            await anyio.sleep(self.interval_ms() / MS_PER_SECOND)
            try:
                await self.save_due()
            except StoreError as exc:
                log_event("streams_not_saved", reason=exc.reason)
                await anyio.sleep(RETRY_MS / MS_PER_SECOND)

    def interval_ms(self) -> int:
        """Returns the time between two calls of this host."""
        hosts = len(self._peers.all()) + 1
        share_ms = hosts * MS_PER_SECOND / (WRITE_SHARE * self._writes_per_s)
        return max(MIN_INTERVAL_MS, int(share_ms))

    async def save_due(self) -> None:
        """Saves the streams if there are any that the store lacks.

        Raises:
            StoreError: A call failed.
        """
        self._begun.drop_expired(self._clock.now_ms())
        wanted = self._begun.group(self._find_mixed())
        if wanted == self._saved and (not wanted or self._lease.is_owned):
            return
        await self._save(wanted)
        self._planner.counters.add("stream_saves")

    async def _save(self, wanted: dict[StreamOrigin, list[int]]) -> None:
        lease = await self._lease.keep()
        try:
            kept = await self._store.write(
                self._key, encode_begun(wanted), lease
            )
        except StoreError as exc:
            if not exc.not_applied:
                self._begin_record()
            raise
        if not kept:
            self._lease.drop()
            raise StoreError("streams", "lease gone", True)
        self._saved = wanted

    def _begin_record(self) -> None:
        """Writes to another key from now on, under another lease.

        A write without an answer may be executed after later ones, and would
        take streams from the record. The former key ends with its lease.
        """
        self._records += 1
        self._lease.drop()
        self._saved = {}

    @property
    def _key(self) -> str:
        return f"{self._prefix}-{self._records}"

    def _find_mixed(self) -> frozenset[str]:
        """Returns the services whose streams may be of several versions."""
        selection = self._planner.selection
        era = self._store.era.known
        return frozenset(
            service
            for service in self._begun.services()
            if selection.ledger.find_only(service, selection.servers, era)
            is None
        )
