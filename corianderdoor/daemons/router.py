"""Router daemon: answers address requests, admits, routes and forwards."""

from __future__ import annotations

import random
import sys
from typing import Annotated, Final

import anyio
from expression import Result
import msgspec

from ..adapters.backend_http import HttpBackend
from ..adapters.caller_http import CallerApp
from ..adapters.hosts_http import HttpHosts
from ..adapters.keyring import Keyring
from ..adapters.listener_guard import guard_listener, log_evictions
from ..adapters.loads_http import HttpLoads
from ..adapters.logs import log_event, set_up_logs
from ..adapters.once import build_gate
from ..adapters.otel import OtelTelemetry, push_periodically
from ..adapters.peer_capnp import UdpPeers
from ..adapters.request_body import MAX_BODY_BYTES
from ..adapters.serving import bind_socket, serve, ServingLimits
from ..adapters.settings import Settings
from ..adapters.store_http import HttpStore
from ..core.addresses import in_service
from ..core.clock import Clock, MS_PER_SECOND, SystemClock
from ..core.config import Config, MAX_CONFIG_BYTES
from ..core.dispatch import Dispatcher
from ..core.drain import EntryDrain
from ..core.home_placement import HomePlacement
from ..core.limits import Limits
from ..core.liveness import Liveness
from ..core.placement import BoundedPlacement, Placement
from ..core.process_limits import build_request_guard
from ..core.retry import RetryBudget
from ..core.topology import EntryHost, HostList, Server
from ..ports.hosts import Hosts
from ..ports.peers import Peers
from ..ports.store import Store
from .command import run_daemon, wait_for_signal
from .control import bind_control, Control
from .fleet_view import FleetView
from .load_sharing import LoadSharing
from .policy_sharing import PolicySharing

HOSTS_POLL_MS: Final = 1_000
EVICT_INTERVAL_MS: Final = 30_000
STOP_POLL_MS: Final = 20
SHUTDOWN_GRACE_S: Final = 5.0

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
FleetKey = Annotated[str, msgspec.Meta(min_length=16, max_length=256)]
Name = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=128, pattern="^[A-Za-z0-9._-]+$"),
]


class RouterSettings(Settings, frozen=True):
    """Settings of a router.

    Attributes:
        name: Unique name of this entry host.
        data_centre: Name of its data centre.
        region: Name of its region.
        listen: IP address on which callers are served.
        port: Port on which callers are served; 0 for any free port.
        store_url: Base URL of the key-value service.
        hosts_url: Base URL of the host list.
        load_bound: Highest load of a server as a multiple of the mean load.
        graceful_ms: Longest time that a shutdown waits for answers, in ms.
        linger_ms: Shortest time that a shutdown redirects callers, in ms.
        metrics_url: OTLP collector that metrics are pushed to, ending in
            "/v1/metrics"; empty for none.
        control_port: Port for datagrams between daemons (UDP) and for
            control (HTTP); 0 for any free port.
        fleet_keys: Shared keys of the fleet; the first one signs.
        memory_mb: Memory that the process may take, in MB; what callers
            make it keep is a share of this.
        descriptors: Descriptors that it may open; 0 for the limit of the
            operating system.
    """

    name: Name
    data_centre: Name
    region: Name
    listen: str
    port: Port
    store_url: str
    hosts_url: str
    fleet_keys: Annotated[tuple[FleetKey, ...], msgspec.Meta(min_length=1)]
    load_bound: Annotated[float, msgspec.Meta(gt=1.0, le=10.0)] = 1.5
    graceful_ms: Annotated[int, msgspec.Meta(ge=0)] = 120_000
    linger_ms: Annotated[int, msgspec.Meta(ge=0)] = 2_000
    metrics_url: str = ""
    control_port: Port = 0
    memory_mb: Annotated[int, msgspec.Meta(ge=100)] = 300
    descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0


class Router:
    """One router: the dispatcher and the tasks that update its inputs."""

    __slots__ = (
        "_settings",
        "_clock",
        "_store",
        "_hosts",
        "_placement",
        "_sharing",
        "_policies",
        "_limits",
        "_dispatcher",
        "_listing",
        "_liveness",
        "_drain",
        "_view",
    )

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock,
        store: Store,
        hosts: Hosts,
        rng: random.Random,
        placement: Placement | None = None,
    ) -> None:
        """Creates a router.

        Args:
            settings: Settings of the router.
            clock: The clock of all parts.
            store: The key-value service.
            hosts: The list of hosts.
            rng: Source of jitter.
            placement: Enforces the load bound together with other routers;
                without it the router enforces the bound alone.
        """
        self._settings = settings
        self._clock = clock
        self._store = store
        self._hosts = hosts
        self._placement = placement or BoundedPlacement(settings.load_bound)
        self._sharing: LoadSharing | None = None
        self._policies: PolicySharing | None = None
        self._limits = Limits(settings.name)
        self._dispatcher = Dispatcher(
            self._placement, self._limits, RetryBudget(rng)
        )
        self._listing = HostList()
        self._liveness = Liveness()
        self._drain = EntryDrain(settings.name, settings.data_centre)
        self._view: FleetView | None = None

    @property
    def dispatcher(self) -> Dispatcher:
        """The decision core of this router."""
        return self._dispatcher

    @property
    def drain(self) -> EntryDrain:
        """Whether this host accepts new work."""
        return self._drain

    def share_policies(self, peers: Peers) -> PolicySharing:
        """Shares limits and quarantine with `peers` from now on."""
        self._policies = PolicySharing(
            self._settings.name,
            self._limits,
            self._dispatcher.quarantine,
            peers,
            self._clock,
        )
        return self._policies

    def share_load(self, sharing: LoadSharing) -> None:
        """Reports the live routers to `sharing` from now on."""
        self._sharing = sharing

    def entries(self) -> tuple[EntryHost, ...]:
        """Returns the entry hosts that the platform lists."""
        return self._listing.entries

    def enforce(self, cfg: Config) -> None:
        """Puts `cfg` in force, if it is newer."""
        if self._dispatcher.set_config(cfg):
            self._update_servers()

    def set_view(self, view: FleetView) -> None:
        """Sets the view that decides which routers are alive."""
        self._view = view

    def refresh(self) -> None:
        """Applies a change of the view or the host list."""
        self._update_servers()

    async def poll_hosts(self) -> None:
        """Polls the host list and updates the servers until cancelled."""
        while True:
            match await self._hosts.list_hosts():
                case Result(tag="ok", ok=listing):
                    self._listing = listing
                    self._liveness.update_list(listing, self._clock.now_ms())
                    if self._view is not None:
                        self._view.set_listing(listing.entries)
                    self._update_servers()
                case Result(error=fault):
                    log_event("hosts_failed", "WARNING", detail=fault.detail)
            await anyio.sleep(HOSTS_POLL_MS / MS_PER_SECOND)

    async def evict_unlisted_servers(self, backend: HttpBackend) -> None:
        """Evicts connections and state of unlisted servers until cancelled."""
        while True:
            await anyio.sleep(EVICT_INTERVAL_MS / MS_PER_SECOND)
            servers = self._listing.servers
            await backend.retain(servers)
            self._dispatcher.retain_servers(
                frozenset(server.name for server in servers),
                self._clock.now_ms(),
            )

    async def finish(self) -> None:
        """Redirects new work until the answers in progress have ended.

        Waits at least `linger_ms`, then until no answer is in progress or
        `graceful_ms` have passed since the start.
        """
        self._drain.stop()
        if self._view is not None:
            self._view.leave()
        if self._sharing is not None:
            self._sharing.leave()
        began_ms = self._clock.now_ms()
        log_event("router_stopping", in_progress=self._dispatcher.in_progress)
        while self._must_wait(self._clock.now_ms() - began_ms):
            await anyio.sleep(STOP_POLL_MS / MS_PER_SECOND)
        left = self._dispatcher.in_progress
        log_event(
            "router_finished", "WARNING" if left else "INFO", in_progress=left
        )

    def _must_wait(self, waited_ms: int) -> bool:
        if waited_ms < self._settings.linger_ms:
            return True
        in_progress = self._dispatcher.in_progress > 0
        return in_progress and waited_ms < self._settings.graceful_ms

    def _update_servers(self) -> None:
        now_ms = self._clock.now_ms()
        if self._sharing is not None and not self._drain.stopping:
            cfg = self._dispatcher.cfg
            wanted = in_service(self._listing.entries, cfg)
            live = tuple(filter(self._is_live, wanted))
            self._sharing.set_entries(live)
            if self._policies is not None:
                self._policies.set_routers(tuple(e.name for e in live))
        self._placement.set_servers(
            tuple(filter(self._accepts_work, self._liveness.live(now_ms))),
            now_ms,
        )

    def _is_live(self, entry: EntryHost) -> bool:
        return self._view is None or self._view.is_alive(entry.name)

    def _accepts_work(self, server: Server) -> bool:
        cfg = self._dispatcher.cfg
        return (
            server.data_centre not in cfg.drained_centres
            and server.host not in cfg.drained_hosts
        )


def build_limits(
    name: str, settings: RouterSettings, max_body_bytes: int
) -> ServingLimits:
    """Returns what the callers of a listener may make the router keep."""
    requests = build_request_guard(name, settings.memory_mb, max_body_bytes)
    log_evictions(f"{name}-requests", requests)
    return ServingLimits(
        guard_listener(name, settings.memory_mb, settings.descriptors),
        requests,
    )


async def serve_router(settings: RouterSettings) -> None:
    """Serves until a signal stops the daemon."""
    set_up_logs("router", settings.name)
    clock = SystemClock()
    store = HttpStore(settings.store_url)
    hosts = HttpHosts(settings.hosts_url)
    backend = HttpBackend()
    rng = random.Random()
    started_ms = clock.wall_ms()
    placement = HomePlacement(
        settings.name, settings.load_bound, rng, started_ms
    )
    router = Router(settings, clock, store, hosts, rng, placement)
    keyring = Keyring(list(settings.fleet_keys))
    peers = UdpPeers(keyring, settings.name, started_ms)
    sharing = LoadSharing(settings.name, placement, peers, HttpLoads(), clock)
    router.share_load(sharing)
    policies = router.share_policies(peers)
    gate = build_gate(
        settings.name,
        router.dispatcher,
        router.entries,
        clock,
        router.drain,
        store,
    )
    telemetry = OtelTelemetry(
        "router", settings.name, clock.wall_ms(), settings.data_centre
    )
    app = CallerApp(
        router.dispatcher,
        backend,
        clock,
        router.entries,
        router.drain,
        gate,
        telemetry,
        sharing,
        policies,
    )
    limits = build_limits("router", settings, MAX_BODY_BYTES)
    sock = bind_socket(settings.listen, settings.port)
    tcp, udp = bind_control(settings.listen, settings.control_port)
    await peers.open(udp)
    own = EntryHost(
        settings.name,
        settings.data_centre,
        settings.region,
        "",
        f"{settings.listen}:{tcp.getsockname()[1]}",
    )
    control = Control(own, store, peers, keyring, clock, rng, router)

    async def stop() -> None:
        await wait_for_signal()
        await router.finish()

    async with anyio.create_task_group() as tg:
        tg.start_soon(
            control.run,
            tcp,
            build_limits("control", settings, MAX_CONFIG_BYTES),
        )
        tg.start_soon(router.poll_hosts)
        tg.start_soon(router.evict_unlisted_servers, backend)
        tg.start_soon(gate.run)
        if settings.metrics_url:
            tg.start_soon(push_periodically, settings.metrics_url, telemetry)
        tg.start_soon(sharing.run_ticks)
        tg.start_soon(sharing.run_reports)
        tg.start_soon(policies.run_ticks)
        log_event("router_started", port=sock.getsockname()[1])
        await serve(app, sock, stop, SHUTDOWN_GRACE_S, limits)
        await gate.flush()
        await backend.close()
        control.stop()
        log_event("router_stopped")
        tg.cancel_scope.cancel()


def main() -> int:
    """Runs the program `corianderdoor-router`."""
    return run_daemon(
        "corianderdoor-router",
        "Serves callers on an entry host.",
        RouterSettings,
        serve_router,
    )


if __name__ == "__main__":
    sys.exit(main())
