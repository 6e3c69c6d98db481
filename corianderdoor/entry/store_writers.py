"""The tasks of a host that write to the store what must outlive it."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.replica import Replica
from ..platform.settings import EntrySettings
from ..platform.store import StoreClient
from .ledger_writer import LedgerWriter
from .stream_registry import StreamRegistry
from .stream_saver import StreamSaver
from .upkeep import Job
from .verdict_writer import VerdictWriter


class StoreWriters:
    """Writers of streams, of their versions and of verdicts on requests."""

    __slots__ = ("_streams", "_ledger", "_verdicts")

    def __init__(
        self,
        settings: EntrySettings,
        connect_store: Callable[[], StoreClient],
        planner: Planner,
        peers: Peers,
        replica: Replica,
        streams: StreamRegistry,
        clock: Clock,
    ) -> None:
        """Initializes the tasks.

        Args:
            settings: Settings of the host.
            connect_store: Returns a client of the store for one task.
            planner: Has the verdicts and the listed servers.
            peers: The other hosts.
            replica: Has the revisions of the keys.
            streams: Streams in progress and their versions.
            clock: The clock.
        """
        self._streams = StreamSaver(
            connect_store(),
            planner,
            peers,
            streams.begun,
            clock,
            settings.name,
            settings.store_writes_per_s,
        )
        self._ledger = LedgerWriter(
            connect_store(),
            planner,
            peers,
            replica,
            streams.history,
            clock,
            settings.first_start,
        )
        self._verdicts = VerdictWriter(
            connect_store(), planner, peers, replica, clock
        )

    def list_jobs(self) -> dict[str, Job]:
        """Returns the tasks by name; they run until cancelled."""
        return {
            "stream-saver": self._streams.run,
            "stream-ledger": self._ledger.run,
            "crash-verdicts": self._verdicts.run,
        }
