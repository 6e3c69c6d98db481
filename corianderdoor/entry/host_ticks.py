"""Periodic work of an entry host."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.limit_hosts import list_limit_hosts
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from .backends import ConnectionPool
from .cpu_meter import CpuMeter
from .peering import Peering
from .rollout_feed import RolloutFeed
from .server_links import ServerLinks
from .server_marks import ServerMarks
from .state_applier import StateApplier
from .state_sync import StateSync
from .stream_registry import StreamRegistry

TICK_MS: Final = 100
EVICTION_TICKS: Final = 10
# CPU use is measured over five seconds, longer than a burst of changes takes
# to read.
CPU_TICKS: Final = 50


class HostTicks:
    """Updates ten times a second what changes with time alone."""

    __slots__ = (
        "_planner",
        "_peers",
        "_links",
        "_pool",
        "_applier",
        "_sync",
        "_peering",
        "_rollouts",
        "_marks",
        "_streams",
        "_clock",
        "_processor_share",
        "_store_reached",
    )

    def __init__(
        self,
        planner: Planner,
        peers: Peers,
        links: ServerLinks,
        pool: ConnectionPool,
        applier: StateApplier,
        sync: StateSync,
        peering: Peering,
        rollouts: RolloutFeed | None,
        marks: ServerMarks,
        streams: StreamRegistry,
        clock: Clock,
        processor_share: float,
        store_reached: Callable[[], bool],
    ) -> None:
        """Creates the periodic work of a host.

        Args:
            planner: State of the servers and of the requests.
            peers: The other hosts.
            links: Links to the servers.
            pool: Open connections to the servers.
            applier: Applies the items of the store.
            sync: Reads the items of the store.
            peering: Exchanges heartbeats with the other hosts.
            rollouts: Rollouts of new versions; None if there are none.
            marks: What servers say of themselves.
            streams: Versions that began streams.
            clock: The clock.
            processor_share: Share of a CPU core that the process may use.
            store_reached: Returns whether the store answers.
        """
        self._planner = planner
        self._peers = peers
        self._links = links
        self._pool = pool
        self._applier = applier
        self._sync = sync
        self._peering = peering
        self._rollouts = rollouts
        self._marks = marks
        self._streams = streams
        self._clock = clock
        self._processor_share = processor_share
        self._store_reached = store_reached

    async def run(self) -> None:
        """Does what is due until cancelled."""
        selection = self._planner.selection
        meter = CpuMeter(self._clock, self._processor_share)
        ticks = 0
        while True:
            await anyio.sleep(TICK_MS / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            selection.check_pause(now_ms)
            selection.process_pauses.record_tick(now_ms)
            ticks += 1
            self.update_contact(now_ms)
            for server_id in self._planner.tick(now_ms):
                log_event("server_expired", server=server_id)
            self._applier.tick(now_ms)
            for name in self._peers.remove_expired(now_ms):
                self._planner.loads.remove(name)
                log_event("peer_removed", peer=name)
            self._marks.close_idle()
            hosts = self._peers.hosts_sharing_limits(now_ms)
            self._planner.hosts = hosts
            selection.set_serving_hosts(
                list_limit_hosts(hosts, self._peers, now_ms)
            )
            self._streams.tick(now_ms)
            self._links.paths.retain(self._planner.servers.ids())
            self._update_links_cut(now_ms)
            if not selection.process_pauses.is_settling(now_ms):
                self._choose_active(now_ms)
            if self._rollouts is not None and self._rollouts.tick(now_ms):
                self._peering.send_soon()
            if ticks % EVICTION_TICKS == 0:
                self._pool.evict_expired()
            if ticks % CPU_TICKS == 0:
                cpu_percent = meter.measure(now_ms)
                # The first measurement covers the start, which uses all the
                # CPU time available and says nothing about the load.
                self._peers.cpu_percent = (
                    cpu_percent if ticks > CPU_TICKS else 0
                )

    def update_contact(self, now_ms: int) -> None:
        """Updates how old what is known of the servers may be.

        What a peer knows and this host lacks proves nothing here.
        """
        own_ms = now_ms - self._sync.contact_age_ms()
        replica = self._applier.replica
        known = replica.era, replica.revision
        self._planner.restarts.update_contact(
            max(own_ms, self._peers.latest_contact_ms(now_ms)),
            now_ms,
            max(own_ms, self._peers.latest_contact_ms(now_ms, known)),
        )

    def _update_links_cut(self, now_ms: int) -> None:
        """Tells peers at once when the links to the servers are gone."""
        cut = self._links.paths.is_cut(now_ms)
        if cut != self._peers.links_cut:
            self._peers.links_cut = cut
            self._peering.send_heartbeats()

    def _choose_active(self, now_ms: int) -> None:
        changed = self._peers.choose_active(
            now_ms, self._store_reached(), self._peering.leaving
        )
        if changed:
            log_event(
                "active_hosts_changed",
                count=len(self._peers.active.names),
                own=self._peers.is_active,
                live_peers=self._peers.count_live(now_ms),
            )
