"""The entry host daemon: wiring, signals, start and stop."""

from __future__ import annotations

import asyncio
import gc
import pathlib
import random
from typing import Final

import anyio
import anyio.abc

from ..adapters.http1_server import listen
from ..adapters.logs import log_event
from ..adapters.metrics_text import MetricsText
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.windows import ColdRation, RepeatBudget
from ..platform.records import encode_host
from ..platform.settings import EntrySettings, read_settings, SettingsError
from ..platform.store import Store
from .backends import ConnectionPool
from .callers import CallerService
from .directory import DirectoryService
from .metrics import MetricsService
from .peering import Peering
from .state_applier import StateApplier
from .state_sync import CacheKeeper, Registration, StateSync

TICK_MS: Final = 100
# A tick that comes this late tells that the host stood still.
PAUSE_MS: Final = 1_200
TRIM_TICKS: Final = 10
# Processor time is measured over five seconds, longer than a burst of
# changes takes to read.
BUSY_TICKS: Final = 50
# How long a host that leaves goes on taking connections: callers that hold
# an old answer find it closed no sooner.
ACCEPT_MS: Final = 2_500
# Idle connections of callers end after this, when peers no longer name us.
IDLE_CLOSE_MS: Final = 700
# Part of the grace period after which answers in progress are cut.
GRACE_SHARE: Final = 0.93
STOP_POLL_MS: Final = 20


class ProcessorMeter:
    """Measures how much of its processor time this process uses."""

    __slots__ = ("_clock", "_share", "_at_ms", "_used_ms")

    def __init__(self, clock: Clock, share: float) -> None:
        self._clock = clock
        self._share = share
        self._at_ms = clock.now_ms()
        self._used_ms = clock.processor_ms()

    def measure(self, now_ms: int) -> int:
        """Returns the part in use since the last call, in percent."""
        used_ms = self._clock.processor_ms()
        span_ms = (now_ms - self._at_ms) * self._share
        spent_ms = used_ms - self._used_ms
        self._at_ms, self._used_ms = now_ms, used_ms
        return min(100, int(100 * spent_ms / span_ms)) if span_ms > 0 else 0


class EntryHost:
    """One entry host and its tasks."""

    __slots__ = (
        "_settings",
        "_path",
        "_clock",
        "_planner",
        "_peers",
        "_pool",
        "_applier",
        "_sync",
        "_registration",
        "_keeper",
        "_peering",
        "_callers",
        "_directory",
        "_metrics_port",
    )

    def __init__(
        self,
        settings: EntrySettings,
        path: pathlib.Path,
        clock: Clock,
        rng: random.Random,
        metrics_port: int | None = None,
    ) -> None:
        """Creates a host.

        Args:
            settings: Its settings.
            path: Where they were read from, to read them again.
            clock: The clock of all its parts.
            rng: Source of jitter.
            metrics_port: Port on which metrics are served; None for none.
        """
        self._metrics_port = metrics_port
        self._settings = settings
        self._path = path
        self._clock = clock
        self._planner = Planner(
            settings.name,
            settings.data_centre,
            ColdRation(settings.cold_factor, settings.cold_slack),
            RepeatBudget(
                settings.repeat_ratio,
                settings.repeat_slack,
                settings.repeat_window_ms,
            ),
            rng,
        )
        self._peers = Peers(
            settings.name, settings.link_mbps, settings.data_centre
        )
        self._pool = ConnectionPool(clock, self._planner.tallies)
        self._planner.is_connected = self._pool.is_connected
        self._applier = StateApplier(
            self._planner, self._peers, self._pool, clock
        )
        self._sync = StateSync(
            Store(settings.store, self._planner.tallies),
            self._applier,
            self._peers,
            clock,
        )
        peer_address = (settings.address, settings.peer_ports[0])
        self._keeper = CacheKeeper(
            Store(settings.store, self._planner.tallies),
            self._planner.caches,
            self._peers,
            clock,
        )
        self._registration = Registration(
            Store(settings.store, self._planner.tallies),
            settings.name,
            encode_host(
                settings.callers,
                peer_address,
                settings.data_centre,
                settings.link_mbps,
            ),
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
        )
        self._sync.attach(self._peering)
        self._callers = CallerService(self._planner, self._pool, clock)
        self._directory = DirectoryService(
            settings, self._planner, self._peers, clock, self._store_reached
        )

    def _store_reached(self) -> bool:
        return self._registration.reached

    async def run(self, stop: anyio.Event) -> None:
        """Serves until `stop` is set, and then until the work is done."""
        settings = self._settings
        async with anyio.create_task_group() as tasks:
            listener = await listen(
                settings.callers, tasks, self._callers.serve
            )
            await listen(settings.readiness, tasks, self._directory.serve)
            if settings.directory != settings.readiness:
                await listen(settings.directory, tasks, self._directory.serve)
            peer_address = (settings.address, settings.peer_ports[0])
            await listen(peer_address, tasks, self._peering.serve)
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self._peering, local_addr=peer_address
            )
            if self._metrics_port is not None:
                await self._serve_metrics(tasks, self._metrics_port)
            tasks.start_soon(self._sync.run)
            tasks.start_soon(self._registration.run, self._in_service)
            tasks.start_soon(self._keeper.run)
            tasks.start_soon(self._peering.beat_for_ever)
            tasks.start_soon(self._tick_for_ever)
            gc.collect()
            gc.freeze()
            log_event("started", name=settings.name)
            await stop.wait()
            await self._stop(listener)
            tasks.cancel_scope.cancel()
        log_event("stopped", name=settings.name)

    async def _serve_metrics(
        self, tasks: anyio.abc.TaskGroup, port: int
    ) -> None:
        gauges = {
            "in_progress": lambda: float(self._callers.busy()),
            "peers_heard": lambda: float(
                self._peers.count_heard(self._clock.now_ms())
            ),
            "belief_revision": lambda: float(self._applier.replica.revision),
            "desired_version": lambda: float(
                self._planner.desired.version if self._planner.desired else 0
            ),
            "highest_load_share": self._highest_load_share,
        }
        text = MetricsText(self._planner.tallies, gauges)
        address = (self._settings.address, port)
        await listen(address, tasks, MetricsService(text).serve)

    def _highest_load_share(self) -> float:
        """Returns the highest load of a server over the mean of all."""
        now_ms = self._clock.now_ms()
        ids = self._planner.servers.ids()
        loads = [self._planner.loads.of(id, now_ms) for id in ids]
        return max(loads) * len(loads) / sum(loads) if any(loads) else 0.0

    def _in_service(self) -> bool:
        return not self._peering.leaving

    def reload(self) -> None:
        """Reads the settings again; unusable ones change nothing."""
        try:
            settings = read_settings(self._path)
        except SettingsError as exc:
            log_event("reload_failed", "WARNING", detail=str(exc))
            return
        self._directory.set_ttl(settings.directory_ttl_s)
        log_event("reloaded", name=settings.name)

    async def _tick_for_ever(self) -> None:
        last_ms = self._clock.now_ms()
        meter = ProcessorMeter(self._clock, self._settings.processor_share)
        ticks = 0
        while True:
            await anyio.sleep(TICK_MS / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            if now_ms - last_ms > PAUSE_MS:
                log_event("paused", gap_ms=now_ms - last_ms)
                self._sync.restart()
            last_ms = now_ms
            ticks += 1
            for server_id in self._planner.tick(now_ms):
                log_event("server_lapsed", server=server_id)
            for name in self._peers.prune(now_ms):
                self._planner.loads.forget(name)
                log_event("peer_gone", peer=name)
            self._planner.hosts = self._peers.spenders(now_ms)
            self._choose_active(now_ms)
            if ticks % TRIM_TICKS == 0:
                self._pool.trim()
            if ticks % BUSY_TICKS == 0:
                busy = meter.measure(now_ms)
                # A start takes all there is, and says nothing of the load.
                self._peers.busy = busy if ticks > BUSY_TICKS else 0

    def _choose_active(self, now_ms: int) -> None:
        changed = self._peers.choose_active(
            now_ms, self._store_reached(), self._peering.leaving
        )
        if changed:
            log_event(
                "hosts_in_use",
                count=len(self._peers.active.names),
                own=self._peers.is_active,
                heard=self._peers.count_heard(now_ms),
            )

    async def _stop(self, listener: asyncio.Server) -> None:
        """Leaves service without cutting answers in progress."""
        began_ms = self._clock.now_ms()
        end_ms = began_ms + int(self._settings.grace_ms * GRACE_SHARE)
        log_event("stopping", in_progress=self._callers.busy())
        self._peering.leaving = True
        self._directory.leaving = True
        self._callers.leave()
        self._peering.send_heartbeats()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._registration.withdraw)
            await anyio.sleep(IDLE_CLOSE_MS / MS_PER_SECOND)
            self._callers.close_idle()
            await anyio.sleep((ACCEPT_MS - IDLE_CLOSE_MS) / MS_PER_SECOND)
        listener.close()
        while self._callers.busy() and self._clock.now_ms() < end_ms:
            self._callers.close_idle()
            await anyio.sleep(STOP_POLL_MS / MS_PER_SECOND)
        log_event("stop_ends", in_progress=self._callers.busy())
