"""A simulated fleet of entry hosts during the rollout of a new version.

Hosts, servers, heartbeats and the store run on a virtual clock. Heartbeats
may be lost or late, and hosts may restart, pause or lose their peers.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import Counter
import functools
import heapq
import random
from typing import Final

from ..core.entry.flights import Flight
from ..core.entry.loads import Loads, PeerLoads
from ..core.entry.requests import CallerRequest
from ..core.entry.rollout_changes import RolloutChange
from ..core.entry.rollout_records import (
    RolloutOrder,
    RolloutOutcome,
    RolloutRecord,
    RolloutReport,
    RolloutState,
)
from ..core.entry.rollouts import Rollouts
from ..core.entry.routing import Route, RouteKind
from ..core.entry.servers import BackendServer, Servers
from .rollout_faults import ANSWER_MS, draw_answer, Kind

SERVICE: Final = "llm"
OLD, NEW = "v1", "v2"
WALL_MS: Final = 1_800_000_000_000
TICK_MS: Final = 100
STORE_MS: Final = 40
# When the servers of the new version are listed.
SERVERS_MS: Final = 250
# Routes with their shares of the requests.
ROUTES: Final = (("chat", 0.5), ("once", 0.3), ("read", 0.15), ("tags", 0.05))
# The answers that start the time to roll back.
COUNTED_BAD: Final = 50


class Host:
    """One entry host.

    Attributes:
        name: Name of the host.
        rollouts: Its decisions.
        loads: In-flight requests that it knows of.
        boot: Number of its start.
        received: When each peer's last heartbeat arrived, and its interval.
        paused_until_ms: Until when it does nothing.
        is_cut_off: Whether it exchanges no heartbeats.
        wall_ahead_ms: Error of its wall clock.
    """

    def __init__(self, name: str, is_active: bool) -> None:
        self.name = name
        self.is_active = is_active
        self.boot = 0
        self.paused_until_ms = 0
        self.is_cut_off = False
        self.wall_ahead_ms = 0
        self.next_heartbeat_ms = 0
        self.heartbeats = 0
        self.waiting: list[Callable[[], None]] = []
        self.received: dict[str, tuple[int, int]] = {}
        self.loads = Loads()
        self.rollouts: Rollouts


class RolloutFleet:
    """Simulation of one rollout.

    Attributes:
        now_ms: Virtual time; the order is written at 0.
        sent: Sends by version.
        requests: Requests that reached the service.
        last_new_ms: Time of the last send to the new version.
        bad_ms: Times of bad answers of the new version.
        record: Record in the store.
        finished_ms: When the final state was written; None before.
        cut_off: Requests at old servers when `completed` was written.
        changes: Changes that hosts returned, with time and host.
    """

    def __init__(
        self,
        hosts: int = 8,
        per_s: float = 300.0,
        duration_ms: int = 12_000,
        kind: Kind = Kind.GOOD,
        seed: int = 1,
        loss: float = 0.05,
        max_delay_ms: int = 40,
        servers: int = 24,
        active_share: float = 1.0,
        make_rollouts: Callable[..., Rollouts] = Rollouts,
    ) -> None:
        self.rng = random.Random(seed)
        self.kind = kind
        self.per_s = per_s
        self.duration_ms = duration_ms
        self.loss = loss
        self.max_delay_ms = max_delay_ms
        self.now_ms = 0
        self.sent: Counter[str] = Counter()
        self.requests = 0
        self.last_new_ms = 0
        self.bad_ms: list[int] = []
        self.order = RolloutOrder(SERVICE, NEW, duration_ms, 7)
        self.record: RolloutRecord | None = None
        self.finished_ms: int | None = None
        self.cut_off = 0
        self.changes: list[tuple[int, str, RolloutChange]] = []
        self._revision = 7
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._make = make_rollouts
        self._in_flight: Counter[str] = Counter()
        self.servers = self._build_servers(servers)
        self.at(SERVERS_MS, functools.partial(self._start_servers, servers))
        self._typical = per_s * ANSWER_MS / 1_000 / servers
        self._routes = [
            Route(
                name,
                "example.test",
                f"/{name}/",
                RouteKind.IDEMPOTENT,
                6_000,
                1_000,
                1,
                ((SERVICE, 1.0),),
                2,
                True,
                False,
            )
            for name, _ in ROUTES
        ]
        active = max(min(hosts, 16), int(hosts * active_share))
        self.hosts = [Host(f"h{n:03}", n < active) for n in range(hosts)]
        self._active = frozenset(h.name for h in self.hosts if h.is_active)
        for host in self.hosts:
            self._start(host)

    def _build_servers(self, count: int) -> Servers:
        servers = Servers()
        for n in range(count):
            servers.put(_build_server(OLD, n), 0)
        return servers

    def _start_servers(self, count: int) -> None:
        for n in range(count):
            self.servers.put(_build_server(NEW, n), self.now_ms)

    def at(self, at_ms: float, act: Callable[[], None]) -> None:
        """Calls `act` at a time."""
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, act))

    def _start(self, host: Host) -> None:
        host.boot += 1
        host.received = {}
        host.loads = Loads()
        host.rollouts = self._make(
            host.name, self.servers, host.loads, lambda server, now_ms: False
        )
        host.rollouts.hosts = [h.name for h in self.hosts]

    def restart(self, host: Host) -> None:
        """Restarts a host, which loses all but what the store has."""
        self._start(host)
        wall_ms = WALL_MS + self.now_ms + host.wall_ahead_ms
        now_ms = self.now_ms
        host.rollouts.set_order(SERVICE, self.order, now_ms, wall_ms)
        host.rollouts.set_record(SERVICE, self.record, now_ms, wall_ms)

    def run(
        self, until_ms: int | None = None, stop_after_ms: int = 20_000
    ) -> RolloutFleet:
        """Runs the rollout and some seconds more; returns this fleet.

        Args:
            until_ms: Virtual time of the end; None for two seconds after
                the time budget.
            stop_after_ms: Time after the final state at which to stop.
        """
        end_ms = until_ms or self.duration_ms + 2_000
        for host in self.hosts:
            self.at(
                self.rng.uniform(0, TICK_MS),
                functools.partial(self._tick, host),
            )
            self.at(
                self.rng.uniform(20, 200), functools.partial(self._order, host)
            )
        self.at(0, self._arrive)
        while self._events and self._events[0][0] <= end_ms:
            if (
                self.finished_ms is not None
                and self.now_ms - self.finished_ms > stop_after_ms
            ):
                break
            at_ms, _, act = heapq.heappop(self._events)
            self.now_ms = int(at_ms)
            act()
        return self

    def _order(self, host: Host) -> None:
        wall_ms = WALL_MS + self.now_ms + host.wall_ahead_ms
        host.rollouts.set_order(SERVICE, self.order, self.now_ms, wall_ms)

    def _is_paused(self, host: Host) -> bool:
        return self.now_ms < host.paused_until_ms

    def _tick(self, host: Host) -> None:
        self.at(self.now_ms + TICK_MS, functools.partial(self._tick, host))
        if self._is_paused(host):
            return
        waiting, host.waiting = host.waiting, []
        for act in waiting:
            act()
        now_ms = self.now_ms
        live = {
            name
            for name, (at_ms, interval_ms) in host.received.items()
            if now_ms - at_ms <= max(2_500, 3 * interval_ms)
        }
        expected = self._active - {host.name}
        longest_ms = max(
            (host.received[n][1] for n in expected if n in host.received),
            default=0,
        )
        changes = host.rollouts.tick(
            now_ms,
            WALL_MS + now_ms + host.wall_ahead_ms,
            live,
            expected,
            max(2_000, int(1.5 * longest_ms)),
        )
        self.changes += [(now_ms, host.name, change) for change in changes]
        is_urgent = host.rollouts.take_urgent()
        if is_urgent or now_ms >= host.next_heartbeat_ms:
            self._send_heartbeat(host, is_urgent)
        if self._is_first(host):
            for outcome in host.rollouts.outcomes(now_ms):
                self.at(
                    now_ms + STORE_MS, functools.partial(self._write, outcome)
                )

    def _is_first(self, host: Host) -> bool:
        for other in self.hosts:
            if not self._is_paused(other) and not other.is_cut_off:
                return other is host
        return False

    def _send_heartbeat(self, host: Host, is_urgent: bool) -> None:
        actives = len(self._active)
        interval_ms = max(200, 8 * (actives - 1))
        if not host.is_active:
            interval_ms = max(200, 20 * len(self.hosts))
        host.next_heartbeat_ms = self.now_ms + interval_ms
        host.heartbeats += 1
        to_all = is_urgent or host.heartbeats % 4 == 0 or not host.is_active
        reports = host.rollouts.reports(self.now_ms)
        loads = dict(host.loads.own)
        for peer in self.hosts:
            if peer is host or not (to_all or peer.is_active):
                continue
            if host.is_cut_off or self.rng.random() < self.loss:
                continue
            told_ms = interval_ms if peer.is_active else 4 * interval_ms
            if not host.is_active:
                told_ms = interval_ms
            self.at(
                self.now_ms + self.rng.uniform(1, self.max_delay_ms),
                functools.partial(
                    self._receive,
                    peer,
                    host.name,
                    host.boot,
                    reports,
                    loads,
                    told_ms,
                ),
            )

    def _receive(
        self,
        host: Host,
        sender: str,
        boot: int,
        reports: tuple[RolloutReport, ...],
        loads: dict[str, int],
        interval_ms: int,
    ) -> None:
        if host.is_cut_off:
            return
        if self._is_paused(host):
            host.waiting.append(
                lambda: self._receive(
                    host, sender, boot, reports, loads, interval_ms
                )
            )
            return
        host.received[sender] = (self.now_ms, interval_ms)
        expires_ms = self.now_ms + 3 * interval_ms
        host.loads.update_peer(sender, PeerLoads(expires_ms, loads, {}))
        host.rollouts.merge(sender, boot, reports, self.now_ms)

    def _write(self, outcome: RolloutOutcome) -> None:
        stored = self.record
        revision = 0 if stored is None else stored.revision
        if outcome.record_revision != revision:
            return
        if outcome.order_revision != self.order.revision:
            return
        self._revision += 1
        plan = outcome.record
        self.record = RolloutRecord(
            plan.service,
            plan.order_revision,
            plan.to,
            plan.baseline,
            plan.started_wall_ms,
            plan.state,
            plan.rejected,
            self._revision,
        )
        if plan.state is not RolloutState.IN_PROGRESS:
            self.finished_ms = self.now_ms
        if plan.state is RolloutState.COMPLETED:
            self.cut_off = sum(
                count
                for server_id, count in self._in_flight.items()
                if server_id.startswith(OLD)
            )
        for host in self.hosts:
            self.at(
                self.now_ms + self.rng.uniform(10, 150),
                functools.partial(self._learn, host, self.record),
            )

    def _learn(self, host: Host, record: RolloutRecord) -> None:
        if self._is_paused(host):
            host.waiting.append(lambda: self._learn(host, record))
            return
        wall_ms = WALL_MS + self.now_ms + host.wall_ahead_ms
        host.rollouts.set_record(SERVICE, record, self.now_ms, wall_ms)

    def _arrive(self) -> None:
        self.at(
            self.now_ms + self.rng.expovariate(self.per_s / 1_000),
            self._arrive,
        )
        active = len(self._active)
        # Reserve hosts serve the few callers that still connect to them.
        index = self.rng.randrange(active)
        if active < len(self.hosts) and self.rng.random() < 0.05:
            index = self.rng.randrange(active, len(self.hosts))
        host = self.hosts[index]
        if self._is_paused(host):
            return
        route = self.rng.choices(self._routes, [share for _, share in ROUTES])[
            0
        ]
        number = self.requests
        if self.now_ms <= self.duration_ms:
            self.requests += 1
        req = CallerRequest(
            f"r{number}",
            "GET",
            f"/{route.name}/x",
            "example.test",
            None,
            None,
            (),
            0,
            None,
            [],
            b"",
        )
        flight = Flight(
            req, route, SERVICE, None, self.now_ms, self.now_ms + 6_000
        )
        self._serve(host, flight)

    def _serve(self, host: Host, flight: Flight) -> None:
        usable = [
            server
            for server in self.servers.usable(SERVICE)
            if server.id not in flight.excluded
        ]
        for _ in range(2):
            servers = host.rollouts.filter(flight, usable, self.now_ms)
            if not servers:
                return
            pair = [self.rng.choice(servers) for _ in range(2)]
            server = min(pair, key=lambda s: self._in_flight[s.id])
            if host.rollouts.may_send(server, self.now_ms):
                break
        else:
            return
        host.rollouts.record_sent(flight, server, self.now_ms)
        flight.sends += 1
        flight.excluded.add(server.id)
        host.loads.start(server.id)
        self._in_flight[server.id] += 1
        self.sent[server.version] += 1
        if server.version == NEW:
            self.last_new_ms = self.now_ms
        is_bad, took_ms = draw_answer(
            self.kind,
            server.id,
            server.version == NEW,
            self._in_flight[server.id] >= max(1, self._typical / 2),
            flight.route.name,
            self.now_ms / self.duration_ms,
            self.rng,
        )
        self.at(
            self.now_ms + took_ms,
            functools.partial(
                self._end, host, host.boot, flight, server, is_bad, self.now_ms
            ),
        )

    def _end(
        self,
        host: Host,
        boot: int,
        flight: Flight,
        server: BackendServer,
        is_bad: bool,
        sent_ms: int,
    ) -> None:
        if self._is_paused(host):
            host.waiting.append(
                lambda: self._end(host, boot, flight, server, is_bad, sent_ms)
            )
            return
        self._in_flight[server.id] -= 1
        took_ms = self.now_ms - sent_ms
        if server.version == NEW and (is_bad or self.kind is Kind.SLOW):
            self.bad_ms.append(self.now_ms)
        if boot != host.boot:
            return
        host.loads.end(server.id)
        host.rollouts.record_answer(
            flight, server, is_bad, took_ms, None, self.now_ms
        )
        if is_bad and flight.sends < 2:
            self._serve(host, flight)

    @property
    def state(self) -> RolloutState | None:
        """State in the store; None if no record was written."""
        return None if self.record is None else self.record.state

    @property
    def exposed(self) -> int:
        """Requests sent to the new version."""
        return self.sent[NEW]

    @property
    def exposure_bound(self) -> float:
        """Most requests that a bad version may get."""
        return 0.1 * self.requests + 50

    def rollback_ms(self) -> int | None:
        """Returns the time from the 50th bad answer to the last request.

        Returns:
            The time in ms; None if there were fewer bad answers.
        """
        if len(self.bad_ms) < COUNTED_BAD:
            return None
        return max(0, self.last_new_ms - self.bad_ms[COUNTED_BAD - 1])


def _build_server(version: str, number: int) -> BackendServer:
    return BackendServer(
        f"{version}-{number}",
        SERVICE,
        "10.0.0.1",
        8_000 + number,
        "a",
        True,
        16,
        0.0,
        1,
        version,
    )
