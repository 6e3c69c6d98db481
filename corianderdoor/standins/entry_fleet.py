"""A simulated fleet of entry hosts before backend servers of one service.

Hosts, servers and heartbeats run on a virtual clock. Requests with a crashing
part of the prompt crash the server that begins to answer them. Heartbeats may
be lost, and hosts may restart, be cut off or get no heartbeats of some peers.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import Counter
import functools
import heapq
import random
from typing import cast, Final

from ..core.clock import ManualClock
from ..core.entry.flights import (
    Again,
    AnswerProgress,
    Ending,
    Flight,
    Hold,
    Refuse,
    Send,
)
from ..core.entry.heartbeat import Heartbeat
from ..core.entry.limit_hosts import list_limit_hosts
from ..core.entry.peers import Peers, RESERVE_HEARTBEAT_EVERY
from ..core.entry.planner import Planner
from ..core.entry.replica import Replica
from ..core.entry.server_limits import StatedLimit
from ..core.entry.servers import BackendServer
from ..core.entry.windows import ColdRateLimiter, RetryBudget
from ..entry.peer_codec import decode_heartbeat
from ..entry.peering import Peering
from ..entry.tunnels import TunnelService
from .entry_fleet_callers import Callers
from .entry_fleet_loads import LoadAudit
from .entry_fleet_servers import build_desired, is_crashing, Server, SERVICE

TICK_MS: Final = 100
LINK_MS: Final = 2
# Time until the first event, and from there to the end of the answer.
PREFILL_MS: Final = (60, 250)
ANSWER_MS: Final = (300, 1_500)
# Mean and deviation of the logarithm of the work, whose mean is 1.
WORK_SPREAD: Final = (-0.125, 0.5)
# How long a crashed server is away, and when hosts learn of its return.
DOWN_MS: Final = 3_000
LISTED_AFTER_MS: Final = 300
# Time in which a failed connection is noticed.
CONNECT_MS: Final = 3


class Host:
    """One entry host.

    Attributes:
        name: Name of the host.
        planner: Its decisions.
        peers: Its peers.
        peering: Its heartbeats.
        is_cut_off: Whether it exchanges no heartbeats.
        boot: Number of its start.
    """

    def __init__(self, fleet: EntryFleet, name: str, boot: int) -> None:
        self.name = name
        self.boot = boot
        self.is_cut_off = False
        self.turn = 0
        self._fleet = fleet
        self.planner = Planner(
            name,
            "a",
            ColdRateLimiter(1.5, 5),
            RetryBudget(0.2, 60, 10_000),
            random.Random(f"{name} {boot}"),
        )
        self.planner.set_desired(fleet.desired)
        self.peers = Peers(name, data_centre="a")
        self.peering = Peering(
            name,
            boot,
            self.planner,
            self.peers,
            Replica(),
            fleet.clock,
            lambda: 0,
            lambda: None,
            cast(TunnelService, None),
        )
        self.peering.connection_made(self)  # type: ignore[arg-type]

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram."""
        self._fleet.pass_on(self, data, address[0])

    def tick(self) -> None:
        """Does what the host's tasks do at each tick."""
        now_ms = self._fleet.clock.now_ms()
        self.planner.tick(now_ms)
        self.planner.restarts.update_contact(now_ms, now_ms)
        hosts = self.peers.hosts_sharing_limits(now_ms)
        self.planner.hosts = hosts
        self.peers.choose_active(now_ms, True, False)
        self.planner.selection.set_serving_hosts(
            list_limit_hosts(hosts, self.peers, now_ms)
        )


class EntryFleet:
    """The fleet, its callers and its servers.

    Attributes:
        clock: The virtual clock.
        callers: The callers.
        load_audit: Loads that requests met at the servers.
        crashes: When servers crashed under such requests.
        crashing_sends: When such requests reached servers.
        first_tries: Time of each sound request, and whether its answer began
            at the first server that it was sent to.
        refused: Reasons of refusals of sound requests, with their times.
        counts: Totals of datagrams, their bytes, answers and new servers.
        blocked: Pairs of hosts; heartbeats of the first do not reach the
            second.
        servers: The servers by id.
        hosts: The hosts by name.
    """

    def __init__(
        self,
        hosts: int = 8,
        servers: int = 5,
        per_s: float = 20.0,
        crashing_share: float = 0.05,
        crashing_from_ms: int = 4_000,
        loss: float = 0.0,
        seed: int = 1,
        slots: int = 64,
        work_ms: int | None = None,
    ) -> None:
        """Creates the fleet.

        Args:
            hosts: Number of hosts.
            servers: Number of servers.
            per_s: Requests per second.
            crashing_share: Share of requests that crash their servers.
            crashing_from_ms: When these begin.
            loss: Share of the datagrams that is lost.
            seed: Seed of all random numbers.
            slots: Requests that a server processes at once.
            work_ms: Mean time that a slot takes for a request, whose answer
                then comes at once; None for streams, which need no slot.
        """
        self.clock = ManualClock(wall_ms=1_800_000_000_000)
        self.rng = random.Random(seed)
        self.desired = build_desired()
        self.load_audit = LoadAudit()
        self.crashes: list[int] = []
        self.crashing_sends: list[int] = []
        self.first_tries: list[tuple[int, bool]] = []
        self.refused: list[tuple[int, str]] = []
        self.counts: Counter[str] = Counter()
        self.blocked: set[tuple[str, str]] = set()
        self.callers = Callers(
            self.rng, per_s, hosts, crashing_share, crashing_from_ms
        )
        self._loss = loss
        self._slots = slots
        self._work_ms = work_ms
        self._decoded: tuple[bytes, Heartbeat] | None = None
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self.servers: dict[str, Server[Host]] = {}
        for number in range(servers):
            self._add_server(f"s{number}", 0)
        self.hosts: dict[str, Host] = {}
        for number in range(hosts):
            self.hosts[f"h{number}"] = Host(self, f"h{number}", 1)
        for host in self.hosts.values():
            self._introduce(host)
            self.at(self.rng.randrange(TICK_MS), self._tick, host)
            self.at(self.rng.randrange(200), self._send_heartbeats, host)
        self.at(0, self._arrive)

    def at(
        self, time_ms: int, job: Callable[..., None], *args: object
    ) -> None:
        """Runs `job` at a time of the virtual clock."""
        self._sequence += 1
        call: Callable[[], None] = functools.partial(job, *args)
        heapq.heappush(self._events, (time_ms, self._sequence, call))

    def after(
        self, delay_ms: int, job: Callable[..., None], *args: object
    ) -> None:
        """Runs `job` after a delay."""
        self.at(self.clock.now_ms() + delay_ms, job, *args)

    def run(self, until_ms: int) -> EntryFleet:
        """Plays until `until_ms`; returns the fleet."""
        while self._events and self._events[0][0] <= until_ms:
            time_ms, _, job = heapq.heappop(self._events)
            self.clock.advance(time_ms - self.clock.now_ms())
            job()
        return self

    def restart(self, name: str) -> None:
        """Replaces a host by one that knows nothing but the store's items."""
        host = Host(self, name, self.hosts[name].boot + 1)
        self.hosts[name] = host
        self._introduce(host)

    def _introduce(self, host: Host) -> None:
        for name in self.hosts:
            host.peers.add_listed(name, (name, 1), (name, 2), "a", 0)
        now_ms = self.clock.now_ms()
        for server in self.servers.values():
            host.planner.servers.put(server.entry, now_ms)
        host.tick()

    def _tick(self, host: Host) -> None:
        self.hosts[host.name].tick()
        self.after(TICK_MS, self._tick, host)

    def _send_heartbeats(self, host: Host) -> None:
        current = self.hosts[host.name]
        current.turn = (current.turn + 1) % RESERVE_HEARTBEAT_EVERY
        current.peering.send_heartbeats(to_reserve=current.turn == 0)
        interval_ms = current.peers.heartbeat_interval_ms()
        self.after(interval_ms, self._send_heartbeats, host)

    def pass_on(self, sender: Host, data: bytes, name: str) -> None:
        """Passes a datagram on, unless it is lost."""
        target = self.hosts.get(name)
        if target is None or target.name == sender.name:
            return
        if sender.is_cut_off or target.is_cut_off:
            return
        if (
            sender.name,
            name,
        ) in self.blocked or self.rng.random() < self._loss:
            return
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(data)
        self.after(LINK_MS, self._deliver, name, data)

    def _deliver(self, name: str, data: bytes) -> None:
        if self._decoded is None or self._decoded[0] is not data:
            self._decoded = (data, decode_heartbeat(data))
        self.hosts[name].peering._merge_heartbeat(
            self._decoded[1], (self._decoded[1].sender, 2)
        )

    def _arrive(self) -> None:
        self.after(self.callers.next_gap_ms(), self._arrive)
        now_ms = self.clock.now_ms()
        self._sequence += 1
        req = self.callers.build_request(f"r{self._sequence}", now_ms)
        active = [h for h in self.hosts.values() if h.peers.is_active]
        host = self.rng.choice(active or list(self.hosts.values()))
        flight = host.planner.admit(req, now_ms)
        assert isinstance(flight, Flight)
        self._choose(host, flight)

    def _choose(self, host: Host, flight: Flight) -> None:
        now_ms = self.clock.now_ms()
        step = host.planner.choose(flight, now_ms)
        if isinstance(step, Hold):
            self.after(step.delay_ms, self._choose, host, flight)
        elif isinstance(step, Refuse):
            if not is_crashing(flight):
                self.refused.append((flight.arrived_ms, step.reason))
                if not flight.sends:
                    self.first_tries.append((flight.arrived_ms, False))
            host.planner.record_end(flight)
        else:
            self._send(host, flight, step)

    def _send(self, host: Host, flight: Flight, step: Send) -> None:
        now_ms = self.clock.now_ms()
        server = self.servers[step.server.id]
        if not server.is_up:
            self.after(
                CONNECT_MS, self._fail, host, flight, server, Ending.UNREACHED
            )
            return
        host.planner.record_sent(flight, step.server, now_ms)
        self.load_audit.record(server, self.servers.values(), now_ms)
        server.running[flight] = host
        server.arrivals.append((now_ms, host))
        if is_crashing(flight):
            self.crashing_sends.append(now_ms)
        if self._work_ms is None:
            delay_ms = self.rng.randint(*PREFILL_MS)
        else:
            work_ms = self._work_ms * self.rng.lognormvariate(*WORK_SPREAD)
            delay_ms = server.take_slot(now_ms, 1 + int(work_ms))
        self.after(delay_ms, self._begin, host, flight, server)

    def _begin(self, host: Host, flight: Flight, server: Server[Host]) -> None:
        if flight not in server.running:
            return
        now_ms = self.clock.now_ms()
        flight.progress = AnswerProgress.BEGUN
        self._tell_limit(host, flight, server)
        if is_crashing(flight):
            self.crash(server)
            return
        host.planner.crashing_requests.record_progress(flight, now_ms)
        host.planner.record_answer_begun(flight, now_ms)
        if flight.sends == 1:
            self.first_tries.append((flight.arrived_ms, True))
        flight.answer_started = True
        delay_ms = self.rng.randint(*ANSWER_MS) if self._work_ms is None else 0
        self.after(delay_ms, self._finish, host, flight, server)

    def _tell_limit(
        self, host: Host, flight: Flight, server: Server[Host]
    ) -> None:
        now_ms = self.clock.now_ms()
        per_s = server.limit_per_s
        if per_s is not None:
            server.told.setdefault(host, now_ms)
        host.planner.selection.limits.record_answer(
            server.entry.id,
            StatedLimit(per_s, per_s is None),
            flight.sent_ms,
            now_ms,
        )

    def limit(self, count: int, per_s: float | None) -> None:
        """Has the first servers name a limit from now on, or none."""
        for number in range(count):
            self.servers[f"s{number}"].limit_per_s = per_s

    def _finish(
        self, host: Host, flight: Flight, server: Server[Host]
    ) -> None:
        if server.running.pop(flight, None) is not None:
            host.planner.record_complete_answer(flight)
            host.planner.crashing_requests.record_sound_answer(
                flight, flight.first_event_ms or 0
            )
            self.counts["served"] += 1

    def crash(self, server: Server[Host]) -> None:
        """Ends a server; another one takes its place after a while."""
        server.is_up = False
        self.crashes.append(self.clock.now_ms())
        for flight, host in server.running.items():
            if flight.sends == 1 and not flight.answer_started:
                if not is_crashing(flight):
                    self.first_tries.append((flight.arrived_ms, False))
            self.after(
                CONNECT_MS, self._fail, host, flight, server, Ending.BROKEN
            )
        server.running.clear()
        self.after(DOWN_MS, self._replace, server)

    def _fail(
        self, host: Host, flight: Flight, server: Server[Host], ending: Ending
    ) -> None:
        now_ms = self.clock.now_ms()
        planner = host.planner
        step = planner.handle_failure(flight, server.entry, ending, now_ms)
        # The host finds out by a connection of its own.
        planner.crashing_requests.confirm_crash(server.entry.id, now_ms)
        host.peering.send_heartbeats()
        if isinstance(step, Again):
            self._choose(host, flight)
        else:
            planner.record_end(flight)

    def _replace(self, server: Server[Host]) -> None:
        self.counts["replaced"] += 1
        name = f"n{self.counts['replaced']}"
        entry = self._add_server(name, self.clock.now_ms()).entry
        self.after(LISTED_AFTER_MS, self._list, server.entry.id, entry)

    def _list(self, old: str, entry: BackendServer) -> None:
        now_ms = self.clock.now_ms()
        del self.servers[old]
        for host in self.hosts.values():
            host.planner.servers.remove(old, now_ms)
            host.planner.servers.put(entry, now_ms)

    def _add_server(self, id: str, started_ms: int) -> Server[Host]:
        entry = BackendServer(
            id, SERVICE, id, 8_000, "a", True, self._slots, 0.0, started_ms
        )
        server = self.servers[id] = Server[Host](entry)
        return server
