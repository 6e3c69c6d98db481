"""Entry hosts before brittle servers, in virtual time.

Runs the real planners of many hosts, which learn of each other only by
heartbeats, against a model of the servers.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
import functools
import heapq
import itertools
import random
from typing import Final

from ..core.entry.flights import Again, Ending, Flight, Hold, Send
from ..core.entry.heartbeat import HEARTBEAT_MS, HEARTBEAT_MS_PER_ACTIVE
from ..core.entry.loads import PeerLoads
from ..core.entry.peer import MISSED_HEARTBEATS, PEER_TIMEOUT_MS
from ..core.entry.planner import Planner
from ..core.entry.requests import CallerRequest
from ..core.entry.routing import (
    DEFAULT_LIMITS,
    DesiredState,
    Route,
    RouteKind,
    Service,
)
from ..core.entry.servers import BackendServer
from ..core.entry.windows import ColdRateLimiter, RetryBudget
from .brittle_scenario import Result, Scenario
from .brittleness import Brittleness

SERVICE: Final = "accounts"
CONNECTION_LIMIT: Final = 200
WAITING: Final = 12
MEAN_WORK_MS: Final = 150.0
LAG_MS: Final = 1.0
TICK_MS: Final = 100
# When the load surges, and when the servers announce that they are brittle.
SURGE_MS: Final = (9_000, 13_000)
ANNOUNCED_MS: Final = 3_000
RUN_MS: Final = 18_000
TIMEOUT_MS: Final = 3_000
TARGET_LATENCY_MS: Final = 600
# Tries of a caller that is refused, each at any host.
MAX_TRIES: Final = 2


class _Request:
    """A request of a caller, with its host in this try."""

    __slots__ = ("req", "tries", "planner", "flight", "server", "late")

    def __init__(self, req: CallerRequest, late: bool) -> None:
        self.req = req
        self.late = late
        self.tries = 0
        self.planner: Planner | None = None
        self.flight: Flight | None = None
        self.server: _ModelServer | None = None


class _ModelServer:
    """A server with slots and a queue."""

    __slots__ = ("record", "brittle", "running", "queue")

    def __init__(self, record: BackendServer, brittle: Brittleness) -> None:
        self.record = record
        self.brittle = brittle
        self.running: set[_Request] = set()
        self.queue: deque[_Request] = deque()

    def count(self) -> int:
        """Returns the number of requests that run and wait."""
        return len(self.running) + len(self.queue)


class BrittleFleet:
    """Hosts, servers and callers of one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._now = 0.0
        self._capacity = scenario.capacity
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._result = Result(scenario.servers)
        self._servers: dict[str, _ModelServer] = {}
        for number in range(scenario.servers):
            record = BackendServer(
                *(f"p{number}", SERVICE, "10.0.0.1", 8_000 + number, "a"),
                *(True, scenario.slots, 0.0, 1),
            )
            brittle = Brittleness(
                scenario.limit, scenario.capacity, WAITING, scenario.waiting
            )
            self._servers[record.id] = _ModelServer(record, brittle)
        names = [f"h{number}" for number in range(scenario.hosts)]
        self._planners = {name: self._build_planner(name) for name in names}
        for planner in self._planners.values():
            planner.hosts = names
        self._interval_ms = max(
            HEARTBEAT_MS, HEARTBEAT_MS_PER_ACTIVE * (scenario.hosts - 1)
        )

    def _build_planner(self, name: str) -> Planner:
        planner = Planner(
            name,
            "a",
            ColdRateLimiter(1.5, 5),
            RetryBudget(0.2, 56, 10_000),
            random.Random(f"{self._scenario.seed} {name}"),
        )
        route = Route(
            "read",
            "example.test",
            "/",
            RouteKind.IDEMPOTENT,
            TIMEOUT_MS,
            TARGET_LATENCY_MS,
            1,
            ((SERVICE, 1.0),),
            2,
            True,
            False,
        )
        service = Service(SERVICE, CONNECTION_LIMIT, 0.0, 0)
        planner.set_desired(
            DesiredState(1, [route], [service], DEFAULT_LIMITS, {}, False)
        )
        for server in self._servers.values():
            planner.servers.put(server.record, 0)
        return planner

    def run(self) -> Result:
        """Runs the scenario and returns what it led to."""
        for name in self._planners:
            phase_ms = self._rng.uniform(0, self._interval_ms)
            self._after(phase_ms, functools.partial(self._beat, name))
        self._after(TICK_MS, self._tick)
        self._after(0, lambda: self._arrive(0))
        while self._events and self._events[0][0] <= RUN_MS:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        for server in self._servers.values():
            self._result.falls += len(server.brittle.falls)
        return self._result

    def _after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        at_ms = self._now + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._sequence), callback))

    @property
    def _now_ms(self) -> int:
        return int(self._now)

    def _tick(self) -> None:
        for planner in self._planners.values():
            planner.tick(self._now_ms)
        self._after(TICK_MS, self._tick)

    def _beat(self, name: str) -> None:
        planner = self._planners[name]
        requests = dict(planner.loads.own)
        reports = tuple(planner.rooms.take_reports(self._now_ms))

        def deliver() -> None:
            valid_ms = max(
                PEER_TIMEOUT_MS, MISSED_HEARTBEATS * self._interval_ms
            )
            loads = PeerLoads(self._now_ms + valid_ms, requests, {})
            for other, peer in self._planners.items():
                if other != name:
                    peer.loads.update_peer(name, loads)
                    peer.rooms.merge_reports(name, reports, self._now_ms)

        self._after(LAG_MS, deliver)
        self._after(self._interval_ms, functools.partial(self._beat, name))

    def _arrive(self, number: int) -> None:
        scenario = self._scenario
        surge = SURGE_MS[0] <= self._now < SURGE_MS[1]
        load = scenario.surge if surge else scenario.load
        per_ms = load * scenario.servers * self._capacity / MEAN_WORK_MS
        req = CallerRequest(
            *(f"r{number}", "GET", "/x", "example.test", None, TIMEOUT_MS),
            *((), 0, None, [], b""),
        )
        late = ANNOUNCED_MS + 3_000 <= self._now < RUN_MS - TIMEOUT_MS
        self._result.arrived_brittle += late
        self._try(_Request(req, late))
        self._after(
            self._rng.expovariate(per_ms), lambda: self._arrive(number + 1)
        )

    def _try(self, request: _Request) -> None:
        request.tries += 1
        request.planner = self._rng.choice(list(self._planners.values()))
        flight = request.planner.admit(request.req, self._now_ms)
        assert isinstance(flight, Flight)
        request.flight = flight
        self._choose(request)

    def _choose(self, request: _Request) -> None:
        planner, flight = request.planner, request.flight
        assert planner is not None and flight is not None
        step = planner.choose(flight, self._now_ms)
        if isinstance(step, Hold):
            self._after(step.delay_ms, lambda: self._choose(request))
        elif isinstance(step, Send):
            self._send(request, self._servers[step.server.id])
        elif request.tries < MAX_TRIES and step.retry_after_ms is not None:
            self._after(step.retry_after_ms, lambda: self._try(request))
        else:
            self._result.outcomes["refused"] += 1

    def _send(self, request: _Request, server: _ModelServer) -> None:
        planner, flight = request.planner, request.flight
        assert planner is not None and flight is not None
        request.server = server
        if self._is_down(server):
            self._fail(request, Ending.UNREACHED)
            return
        planner.record_sent(flight, server.record, self._now_ms)
        self._after(LAG_MS, lambda: self._reach(request, server))

    def _brittle_ms(self) -> float:
        return self._now - ANNOUNCED_MS

    def _is_down(self, server: _ModelServer) -> bool:
        return self._is_brittle() and server.brittle.is_down(
            self._brittle_ms()
        )

    def _is_brittle(self) -> bool:
        return self._scenario.brittle and self._now >= ANNOUNCED_MS

    def _reach(self, request: _Request, server: _ModelServer) -> None:
        if self._is_down(server):
            self._break(request)
            return
        room = server.brittle.room(
            self._brittle_ms() if self._is_brittle() else -1.0
        )
        if server.count() >= room:
            self._reject(request, server)
        elif len(server.running) < self._capacity:
            self._start(request, server)
        else:
            server.queue.append(request)

    def _reject(self, request: _Request, server: _ModelServer) -> None:
        self._result.rejections += 1
        falls = self._is_brittle() and server.brittle.reject(
            self._brittle_ms()
        )
        load = server.count()

        def answer() -> None:
            self._read_head(request, server, True, load)
            self._fail(request, Ending.NOT_RUN)

        self._after(LAG_MS, answer)
        if falls:
            lost = [*server.running, *server.queue]
            server.running.clear()
            server.queue.clear()
            for other in lost:
                self._break(other)

    def _start(self, request: _Request, server: _ModelServer) -> None:
        server.running.add(request)
        work_ms = self._rng.expovariate(1 / MEAN_WORK_MS)

        def finish() -> None:
            if request in server.running:
                server.running.remove(request)
                if server.queue:
                    self._start(server.queue.popleft(), server)
                self._after(LAG_MS, lambda: self._serve(request, server))

        self._after(work_ms, finish)

    def _serve(self, request: _Request, server: _ModelServer) -> None:
        planner, flight = request.planner, request.flight
        assert planner is not None and flight is not None
        self._read_head(request, server, False, server.count())
        planner.record_complete_answer(flight)
        in_time = self._now <= flight.deadline_ms
        self._result.outcomes["served" if in_time else "failed"] += 1
        self._result.served_brittle += request.late and in_time

    def _read_head(
        self,
        request: _Request,
        server: _ModelServer,
        rejected: bool,
        load: int,
    ) -> None:
        assert request.planner is not None
        signs = self._is_brittle() and self._scenario.uses_signs
        states_load = self._scenario.states_load
        request.planner.rooms.record_answer(
            server.record.id,
            self._scenario.limit if signs else None,
            rejected,
            load if signs and states_load else None,
            self._now_ms,
            min(load, self._capacity) if signs and states_load else None,
        )

    def _break(self, request: _Request) -> None:
        """Ends a request whose server fell over."""
        assert request.planner is not None and request.server is not None
        server_id = request.server.record.id
        request.planner.rooms.record_no_answer(server_id, self._now_ms)
        self._fail(request, Ending.BROKEN)

    def _fail(self, request: _Request, ending: Ending) -> None:
        planner, flight = request.planner, request.flight
        assert planner is not None and flight is not None
        assert request.server is not None
        step = planner.handle_failure(
            flight, request.server.record, ending, self._now_ms
        )
        if isinstance(step, Again):
            self._choose(request)
        else:
            self._result.outcomes["failed"] += 1
