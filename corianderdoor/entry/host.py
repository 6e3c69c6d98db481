"""The entry host daemon: wiring, start, reload and stop."""

from __future__ import annotations

import asyncio
import functools
import gc
import pathlib
import random

import anyio
import anyio.abc

from ..adapters.http1_connect import Connect, connect
from ..adapters.logs import log_event
from ..adapters.metrics_text import MetricsText
from ..core.clock import Clock
from ..core.entry.answer_memory import AnswerMemory
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.process_limits import limit_idle_connections
from ..core.entry.windows import ColdRateLimiter, RetryBudget
from ..platform.records import encode_host
from ..platform.settings import (
    EntrySettings,
    read_settings,
    ROLLOUT_CONTRACT,
    SettingsError,
)
from ..platform.store import StoreClient
from ..platform.store_era import StoreEra
from .backends import ConnectionPool
from .cache_map_saver import CacheMapSaver
from .callers import CallerService
from .crash_checks import CrashChecks
from .crash_reports import attach_crash_reports
from .directory import DirectoryService
from .gauges import build_gauges
from .host_stop import HostStop
from .host_ticks import HostTicks
from .listeners import Listeners
from .metrics import MetricsService
from .peering import Peering
from .registration import Registration
from .rollout_feed import RolloutFeed
from .rollout_writer import RolloutWriter
from .server_links import ServerLinks
from .server_marks import ServerMarks
from .state_applier import MISSED_HEARTBEATS, StateApplier
from .state_sync import FIRST_START_DELAY_MS, StateSync
from .store_writers import StoreWriters
from .stored_streams import StoredStreams
from .stream_registry import PORT_OFFSET, StreamRegistry
from .tunnels import TunnelService
from .upkeep import Job, keep_running


class EntryHost:
    """One entry host and its tasks."""

    __slots__ = (
        "_settings",
        "_path",
        "_clock",
        "_planner",
        "_peers",
        "_links",
        "_pool",
        "_applier",
        "_era",
        "_sync",
        "_registration",
        "_cache_saver",
        "_tunnels",
        "_peering",
        "_rollouts",
        "_rollout_writer",
        "_marks",
        "_streams",
        "_writers",
        "_crash_checks",
        "_callers",
        "_directory",
        "_stop",
        "_ticks",
        "_listeners",
    )

    def __init__(
        self,
        settings: EntrySettings,
        path: pathlib.Path,
        clock: Clock,
        rng: random.Random,
        metrics_port: int | None = None,
        connect_server: Connect = connect,
    ) -> None:
        """Initializes the host and its parts.

        Args:
            settings: Settings of the host.
            path: The settings file, read again on reload.
            clock: The clock of all parts.
            rng: Source of jitter.
            metrics_port: Port that serves metrics; None disables them.
            connect_server: Opens connections to servers.
        """
        self._settings = settings
        self._path = path
        self._clock = clock
        self._planner = Planner(
            settings.name,
            settings.data_centre,
            ColdRateLimiter(settings.cold_factor, settings.cold_slack),
            RetryBudget(
                settings.repeat_ratio,
                settings.repeat_slack,
                settings.repeat_window_ms,
                None if settings.first_start else clock.now_ms(),
            ),
            rng,
            settings.exposure_share,
            int(settings.exposure_slack),
            settings.rollback_ms,
        )
        self._peers = Peers(
            settings.name, settings.link_mbps, settings.data_centre
        )
        self._listeners = Listeners(
            settings, metrics_port, self._planner.counters
        )
        self._links = ServerLinks(
            clock, self._planner.counters, connect_server
        )
        self._links.list_helpers = lambda id: self._peers.list_helpers(
            id, clock.now_ms()
        )
        self._links.is_leaving = self._peers.is_leaving
        self._pool = ConnectionPool(
            clock,
            self._links,
            AnswerMemory(settings.memory_mb),
            limit_idle_connections(settings.descriptors),
        )
        self._planner.selection.is_connected = self._pool.is_connected
        self._rollouts: RolloutFeed | None = None
        if ROLLOUT_CONTRACT in settings.contracts:
            self._rollouts = RolloutFeed(
                self._planner.rollouts,
                self._peers,
                clock,
                self._planner.counters,
            )
        self._pool.on_unexpected_bytes = self._record_unexpected_bytes
        proofs = self._planner.restarts.proofs
        self._pool.on_accepted = lambda id: proofs.record_accepted(
            id, clock.now_ms()
        )
        self._applier = StateApplier(
            self._planner,
            self._peers,
            self._pool,
            clock,
            self._rollouts,
            int(MISSED_HEARTBEATS * settings.heartbeat_ms),
        )
        self._era = StoreEra(self._planner.counters)
        self._sync = StateSync(
            self._connect_store(),
            self._applier,
            self._peers,
            clock,
            FIRST_START_DELAY_MS if settings.first_start else 0,
            self._era,
            self._planner.counters,
        )
        self._planner.selection.on_pause = self._handle_pause
        self._cache_saver = CacheMapSaver(
            self._connect_store(),
            self._planner.caches,
            self._peers,
            clock,
            self._era,
        )
        self._registration = Registration(
            self._connect_store(),
            settings.name,
            encode_host(
                settings.callers,
                self._listeners.addresses["peers"],
                settings.data_centre,
                settings.link_mbps,
            ),
            settings.lost_after_ms,
            self._era,
            lambda: self._peers.rewrite_delay_ms(clock.now_ms()),
            self._is_lost,
        )
        self._tunnels = TunnelService(
            self._planner.servers, self._planner.counters, connect_server
        )
        self._peering = Peering(
            settings.name,
            clock.wall_ms(),
            self._planner,
            self._peers,
            self._applier.replica,
            clock,
            self._sync.contact_age_ms,
            self._sync.wake,
            self._tunnels,
            self._rollouts.rollouts if self._rollouts else None,
        )
        self._sync.attach(self._peering)
        self._rollout_writer: RolloutWriter | None = None
        if self._rollouts is not None:
            self._rollout_writer = RolloutWriter(
                self._connect_store(),
                self._rollouts.rollouts,
                self._peers,
                self._applier,
                self._planner.selection.process_pauses,
                clock,
                self._planner.counters,
            )
        self._marks = ServerMarks(
            self._planner, self._pool, clock, self._peering.send_soon
        )
        attach_crash_reports(self._planner, self._peering.send_soon)
        self._crash_checks = CrashChecks(
            self._planner, self._pool, clock, self._is_isolated
        )
        self._streams = StreamRegistry(
            self._planner,
            self._peers,
            clock,
            StoredStreams(self._connect_store(), self._planner.servers, clock),
        )
        self._writers = StoreWriters(
            settings,
            self._connect_store,
            self._planner,
            self._peers,
            self._applier.replica,
            self._streams,
            clock,
        )
        self._callers = CallerService(
            self._planner, self._pool, self._marks, self._streams, clock
        )
        self._directory = DirectoryService(
            settings,
            self._planner,
            self._peers,
            clock,
            lambda: self._registration.reached,
        )
        self._ticks = HostTicks(
            self._planner,
            self._peers,
            self._links,
            self._pool,
            self._applier,
            self._sync,
            self._peering,
            self._rollouts,
            self._marks,
            self._streams,
            clock,
            settings.processor_share,
            lambda: self._registration.reached,
        )
        self._stop = HostStop(
            settings.grace_ms,
            self._callers,
            self._peering,
            self._directory,
            self._registration,
            self._tunnels,
            self._planner,
            clock,
        )

    def _is_lost(self, key: str, value: bytes) -> bool:
        """Returns whether the store is known to lack a record of this host."""
        replica = self._applier.replica
        if not replica.revision or not self._planner.restarts.in_contact:
            return False
        item = replica.get(key)
        return item is None or item.value != value

    def _is_isolated(self) -> bool:
        """Returns whether this host gets no heartbeats of any peer."""
        live = self._peers.count_live(self._clock.now_ms())
        return live == 0 and bool(self._peers.all())

    def _record_unexpected_bytes(self, server_id: str) -> None:
        log_event("unexpected_bytes", "WARNING", server=server_id)
        self._planner.counters.add("unexpected_bytes")
        self._planner.ejections.record_failure(server_id, self._clock.now_ms())

    def _connect_store(self) -> StoreClient:
        return StoreClient(
            self._settings.store, self._planner.counters, self._era
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serves until `stop` is set, then finishes requests in progress."""
        listeners = self._listeners
        listen = listeners.open
        async with anyio.create_task_group() as tasks:
            callers = await listen("callers", tasks, self._callers.serve)
            for name in {
                "directory",
                "readiness",
            } & listeners.addresses.keys():
                await listen(name, tasks, self._directory.serve)
            await listen("peers", tasks, self._peering.serve)
            host, port = listeners.addresses["peers"]
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(
                lambda: self._peering, local_addr=(host, port)
            )
            await loop.create_datagram_endpoint(
                lambda: self._streams, local_addr=(host, port + PORT_OFFSET)
            )
            if "metrics" in listeners.addresses:
                await self._serve_metrics(tasks)
            for name, job in self._list_jobs().items():
                tasks.start_soon(
                    keep_running, name, job, self._planner.counters
                )
            # What the start allocated is kept; later collections skip it.
            gc.freeze()
            gc.enable()
            log_event("started", name=self._settings.name)
            await stop.wait()
            await self._stop.run(callers)
            tasks.cancel_scope.cancel()
        log_event("stopped", name=self._settings.name)

    def _list_jobs(self) -> dict[str, Job]:
        """Returns the tasks that run for as long as the host serves."""
        jobs: dict[str, Job] = {
            "sync": self._sync.run,
            "registration": functools.partial(
                self._registration.run, lambda: not self._peering.leaving
            ),
            "caches": self._cache_saver.run,
            "heartbeats": self._peering.run_heartbeats,
            "links": functools.partial(
                self._links.run_checks,
                self._planner.servers.get,
                lambda: list(self._planner.loads.own),
            ),
            "streams": self._streams.run,
            **self._writers.list_jobs(),
            "crash-checks": self._crash_checks.run,
            "ticks": self._ticks.run,
        }
        if self._rollout_writer is not None:
            jobs["rollouts"] = self._rollout_writer.run
        return jobs

    async def _serve_metrics(self, tasks: anyio.abc.TaskGroup) -> None:
        gauges = build_gauges(
            self._planner,
            self._peers,
            self._applier.replica,
            self._sync.behind_ms,
            self._callers.count_busy,
            self._pool.memory,
            self._clock,
        )
        service = MetricsService(MetricsText(self._planner.counters, gauges))
        await self._listeners.open("metrics", tasks, service.serve)

    def record_stop_signal(self) -> None:
        """Records the signal to stop; may be called in its handler."""
        self._stop.record_signal()

    def reload(self) -> None:
        """Reloads the settings; invalid settings are ignored.

        Only the grace period and the time for which callers may use directory
        answers change.
        """
        try:
            settings = read_settings(self._path)
        except SettingsError as exc:
            log_event("reload_failed", "WARNING", detail=str(exc))
            return
        self._directory.set_max_ttl(settings.directory_ttl_s)
        self._stop.grace_ms = settings.grace_ms
        log_event("reloaded", name=settings.name)

    def _handle_pause(self, gap_ms: int) -> None:
        log_event("paused", gap_ms=gap_ms)
        self._streams.record_pause()
        self._sync.confirm_contact()
