"""Controller daemon: sends orders to engines while it holds the lease."""

from __future__ import annotations

import random
import sys
from typing import Annotated, Final

import anyio
from expression import Result
import msgspec

from ..adapters.engines_http import HttpEngines, HttpWeights
from ..adapters.hosts_http import HttpHosts
from ..adapters.logs import log_event, set_up_logs
from ..adapters.settings import Settings
from ..adapters.store_http import HttpStore
from ..core.clock import Clock, MS_PER_SECOND, SystemClock
from ..core.desired import decode_desired, DESIRED_KEY, EMPTY_DESIRED
from ..core.errors import Fault
from ..core.lease import LeaseKeeper, LeaseTimes
from ..core.reconcile import Reconciler, ReconcileTimes
from ..core.reconcile_messages import TargetsSet, Tick
from ..core.topology import HostList, Server
from ..core.weight_loads import LoadLimits, LoadQueue
from ..ports.engines import Engines, Weights
from ..ports.hosts import Hosts
from ..ports.store import Store, Versioned
from .command import run_daemon, wait_for_signal
from .forecast_runner import ForecastRunner
from .lease_runner import LeaseRunner
from .order_runner import OrderRunner

TICK_MS: Final = 500
HOSTS_POLL_MS: Final = 2_000
WATCH_MS: Final = 20_000
STANDBY_POLL_MS: Final = 500
STORE_RETRY_MS: Final = 1_000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Millis = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class ControllerSettings(Settings, frozen=True):
    """Settings of a controller.

    Attributes:
        name: Unique name of this entry host.
        store_url: Base URL of the key-value service.
        hosts_url: Base URL of the host list.
        weights_url: Base URL of the weight store.
        controllers: How many controllers run; 0 for one on each entry host.
        lease_ttl_ms: Length of the lease, in ms.
        lease_margin_ms: Part of the lease that is not relied on, to allow
            for clock drift, in ms.
        lease_renew_ms: Time between renewals, in ms.
        lease_poll_ms: Mean time between polls of the lease record, over all
            standbys together, in ms.
        longest_order_ms: Timeout of an order, in ms.
        reread_ms: Time between reads of an engine's state, in ms.
        busy_share: Fraction of a pool's serving engines that may load
            weights at the same time.
        fencing_pools: Pools whose engines refuse old fencing tokens.
        weights_bytes_per_s: Rate limit of the weight store, in bytes/s.
        weights_burst_bytes: Burst that the weight store allows after an idle
            period, in bytes.
        weights_max_running: Highest number of concurrent weight loads.
        weights_ageing_ms: Waiting time that equals one priority step, in ms.
    """

    name: Name
    store_url: str
    hosts_url: str
    weights_url: str
    controllers: Annotated[int, msgspec.Meta(ge=0)] = 0
    lease_ttl_ms: Millis = 9_000
    lease_margin_ms: Millis = 1_000
    lease_renew_ms: Millis = 3_000
    lease_poll_ms: Millis = 1_000
    longest_order_ms: Millis = 2_000
    reread_ms: Millis = 60_000
    busy_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25
    fencing_pools: list[Name] = []
    weights_bytes_per_s: Count = 1_000_000_000
    weights_burst_bytes: Count = 20_000_000_000
    weights_max_running: Count = 8
    weights_ageing_ms: Millis = 1_800_000

    def __post_init__(self) -> None:
        """Rejects lease times that leave no time for any order.

        Raises:
            ValueError: The lease is too short.
        """
        needed_ms = self.lease_margin_ms + self.lease_renew_ms
        needed_ms += self.longest_order_ms
        if self.lease_ttl_ms <= needed_ms:
            raise ValueError(
                "lease_ttl_ms must exceed lease_margin_ms + lease_renew_ms"
                f" + longest_order_ms = {needed_ms}"
            )


class Controller:
    """One controller: the lease, the orders and the tasks that run them."""

    __slots__ = (
        "_settings",
        "_clock",
        "_store",
        "_hosts",
        "_engines",
        "_weights",
        "_keeper",
        "_lease",
        "_forecast",
        "_reconciler",
        "_listing",
        "_desired",
        "_desired_fence",
        "_submitted_targets",
    )

    def __init__(
        self,
        settings: ControllerSettings,
        clock: Clock,
        store: Store,
        hosts: Hosts,
        engines: Engines,
        weights: Weights,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._store = store
        self._hosts = hosts
        self._engines = engines
        self._weights = weights
        self._keeper = _build_keeper(settings, rng, clock.now_ms())
        self._lease = LeaseRunner(self._keeper, store, clock)
        self._forecast = ForecastRunner(store, clock)
        self._reconciler = _build_reconciler(
            settings, self._keeper, rng, clock.now_ms()
        )
        self._listing = HostList()
        self._desired = EMPTY_DESIRED
        self._desired_fence = 0
        self._submitted_targets: tuple[int, TargetsSet] | None = None

    @property
    def fence(self) -> int | None:
        """The fencing token while this controller leads, else None."""
        return self._keeper.fence(self._clock.now_ms())

    async def run(self) -> None:
        """Runs all tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._lease.run)
            tasks.start_soon(self._poll_hosts)
            tasks.start_soon(self._watch_desired)
            tasks.start_soon(self._update_forecast)
            tasks.start_soon(self._run_orders)

    async def stop(self) -> None:
        """Releases the lease; call after `run` was cancelled."""
        await self._lease.resign()

    async def _poll_hosts(self) -> None:
        while True:
            match await self._hosts.list_hosts():
                case Result(tag="ok", ok=listing):
                    self._listing = listing
                    self._set_controllers()
                case Result(error=fault):
                    log_event("hosts_failed", "WARNING", detail=fault.detail)
            await _sleep_ms(HOSTS_POLL_MS)

    def _set_controllers(self) -> None:
        count = self._settings.controllers or len(self._listing.entries)
        self._keeper.set_controllers(count, self._clock.now_ms())

    async def _watch_desired(self) -> None:
        while True:
            fence = self.fence
            if fence is None:
                await _sleep_ms(STANDBY_POLL_MS)
            elif self._desired_fence != fence:
                # A value read in an earlier leadership may be stale.
                found = await self._store.read(DESIRED_KEY)
                if await self._apply_store_answer(found):
                    self._desired_fence = fence
            else:
                version = self._desired.version
                found = await self._store.wait_above(
                    DESIRED_KEY, version, WATCH_MS
                )
                await self._apply_store_answer(found)

    async def _apply_store_answer(
        self, result: Result[Versioned | None, Fault]
    ) -> bool:
        match result:
            case Result(tag="ok", ok=found):
                if found is not None:
                    self._apply_desired(found)
                return True
            case Result(error=fault):
                log_event("store_failed", "WARNING", detail=fault.detail)
                await _sleep_ms(STORE_RETRY_MS)
                return False

    def _apply_desired(self, found: Versioned) -> None:
        if found.version <= self._desired.version:
            return
        match decode_desired(found.value, found.version):
            case Result(tag="ok", ok=desired):
                self._desired = desired
                log_event("desired_read", version=found.version)
            case Result(error=fault):
                log_event("desired_refused", "ERROR", detail=fault.detail)

    async def _update_forecast(self) -> None:
        while True:
            await _sleep_ms(STANDBY_POLL_MS)
            fence = self.fence
            if fence is None or not await self._forecast.load(fence):
                continue
            self._forecast.sample(
                self._desired, self._list_engines(), self._reconciler.reports()
            )
            await self._forecast.save()

    async def _run_orders(self) -> None:
        async with anyio.create_task_group() as tasks:
            runner = OrderRunner(
                self._reconciler,
                self._keeper,
                self._engines,
                self._weights,
                self._clock,
                tasks,
            )
            while True:
                fence = self.fence
                if fence is not None and self._is_ready(fence):
                    self._set_targets(runner, fence)
                    runner.submit(Tick())
                await _sleep_ms(TICK_MS)

    def _is_ready(self, fence: int) -> bool:
        """Returns whether this leadership has read all inputs of orders."""
        read = self._desired_fence == fence and self._desired.version > 0
        return read and self._forecast.is_loaded(fence)

    def _set_targets(self, runner: OrderRunner, fence: int) -> None:
        servers = self._list_engines()
        active = self._forecast.active_servers(self._desired, servers)
        targets = (fence, TargetsSet(servers, self._desired, active))
        if targets != self._submitted_targets:
            self._submitted_targets = targets
            runner.submit(targets[1])

    def _list_engines(self) -> tuple[Server, ...]:
        return tuple(
            server
            for server in self._listing.servers
            if server.engine and server.name not in self._listing.leaving
        )


def _build_keeper(
    settings: ControllerSettings, rng: random.Random, now_ms: int
) -> LeaseKeeper:
    times = LeaseTimes(
        settings.lease_ttl_ms,
        settings.lease_margin_ms,
        settings.lease_renew_ms,
        settings.lease_poll_ms,
    )
    return LeaseKeeper(settings.name, times, rng, now_ms)


def _build_reconciler(
    settings: ControllerSettings,
    keeper: LeaseKeeper,
    rng: random.Random,
    now_ms: int,
) -> Reconciler:
    limits = LoadLimits(
        settings.weights_bytes_per_s,
        settings.weights_burst_bytes,
        settings.weights_max_running,
        settings.weights_ageing_ms,
    )
    times = ReconcileTimes(
        settings.longest_order_ms, settings.reread_ms, settings.busy_share
    )
    return Reconciler(
        keeper,
        times,
        frozenset(settings.fencing_pools),
        LoadQueue(limits, rng, now_ms),
    )


async def _sleep_ms(delay_ms: int) -> None:
    await anyio.sleep(delay_ms / MS_PER_SECOND)


async def serve_controller(settings: ControllerSettings) -> None:
    """Runs until a signal stops the daemon, then releases the lease."""
    set_up_logs("controller", settings.name)
    controller = Controller(
        settings,
        SystemClock(),
        HttpStore(settings.store_url),
        HttpHosts(settings.hosts_url),
        HttpEngines(settings.longest_order_ms),
        HttpWeights(settings.weights_url),
        random.Random(),
    )
    log_event("controller_started")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(controller.run)
        await wait_for_signal()
        tasks.cancel_scope.cancel()
    await controller.stop()
    log_event("controller_stopped")


def main() -> int:
    """Runs the program `corianderdoor-controller`."""
    return run_daemon(
        "corianderdoor-controller",
        "Sends orders to engines while it holds the lease.",
        ControllerSettings,
        serve_controller,
    )


if __name__ == "__main__":
    sys.exit(main())
