"""Measures whom entry hosts serve in time when servers have too much work.

Simulates callers and servers around the planners of many hosts that hear of
each other's requests late. Servers prefill one prompt after the other, which
is simpler than real ones. Compares the planner with the same one without
refusals on arrival, and with the least loaded server for each request.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import random
from types import SimpleNamespace
from typing import Any, Final

from corianderdoor.core.entry.admission import Admission
from corianderdoor.core.entry.flights import Ending, Flight, Hold, Send
from corianderdoor.core.entry.loads import PeerLoads
from corianderdoor.core.entry.planner import Planner
from corianderdoor.core.entry.requests import CallerRequest, PromptPart
from corianderdoor.core.entry import routing
from corianderdoor.core.entry.server_selection import ServerSelection
from corianderdoor.core.entry.servers import BackendServer
from corianderdoor.core.entry.windows import ColdRateLimiter, RetryBudget

SERVERS, SLOTS, WORKSPACES = 12, 32, 8
RATE: Final = 40.8
DECODE_MS, TARGET_MS, TIMEOUT_MS = 1_500, 1_500, 6_000
LENGTHS: Final = (300, 800, 2_000, 4_000, 9_200)
CAPACITY_PER_S: Final = SERVERS * RATE * 1_000 / (sum(LENGTHS) / 5 + 100)
DARK: Final = ("s0", "s1", "s2", "s3")
FROM_MS, UNTIL_MS, END_MS = 4_000, 12_000, 18_000
POLICIES: Final = ("this", "no-refusals", "least-loaded")
# Hosts, interval of reports in ms, requests as multiples of the capacity by
# priority outside and inside of the pattern's time, and what is special.
PATTERNS: Final[dict[str, tuple[Any, ...]]] = {
    "late reports": (100, 1_000, (0.3, 0.2, 0.2), (0.5, 0.5, 0.5), ""),
    "lesser burst": (16, 250, (0.2, 0.2, 0.2), (0.2, 0.2, 1.2), ""),
    "workspace surge": (16, 250, (0.2, 0.2, 0.2), (0.2, 1.2, 0.2), "surge"),
    "hot key": (16, 250, (0.2, 0.2, 0.2), (0.8, 0.8, 0.8), "hot"),
    "dark servers": (16, 250, (0.3, 0.3, 0.3), (0.3, 0.3, 0.3), "dark"),
    "repeats at once": (16, 250, (0.2, 0.2, 0.2), (0.5, 0.5, 0.5), "repeat"),
}


class _OpenAdmission(Admission):
    __slots__ = ()

    def check(self, flight: Flight, servers: Any, now_ms: int) -> None:
        """Refuses nothing."""


class _LeastLoaded(ServerSelection):
    __slots__ = ()

    def rank(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> list[BackendServer]:
        """Returns the servers, those with the fewest requests first."""
        return sorted(servers, key=lambda s: self.loads.of(s.id, now_ms))


class Simulation:
    """One load pattern with one policy."""

    def __init__(self, pattern: str, policy: str, seed: int) -> None:
        hosts, interval_ms, *pattern_values = PATTERNS[pattern]
        self.calm, self.busy, self.special = pattern_values
        self.rng = random.Random(seed)
        self.servers = {
            f"s{n}": SimpleNamespace(free_ms=0.0, active=0, cache=set())
            for n in range(SERVERS)
        }
        self.planners = [self._build(n, hosts, policy) for n in range(hosts)]
        self.calls: list[SimpleNamespace] = []
        self.events: list[tuple[float, int, Callable[[int], None]]] = []
        self.attempts = self.number = 0
        for number in range(hosts):
            self._report(number, interval_ms, number * interval_ms // hosts)
        self._at(0, self._arrive)

    def _at(self, at_ms: float, call: Callable[[int], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (at_ms, self.number, call))

    def _build(self, number: int, hosts: int, policy: str) -> Planner:
        planner = Planner(
            f"h{number}",
            "a",
            ColdRateLimiter(1.5, 5),
            RetryBudget(0.2, 56, 10_000),
            random.Random(number),
        )
        planner.hosts = [f"h{n}" for n in range(hosts)]
        stream = routing.RouteKind.STREAM
        routes = [
            routing.Route(
                *(f"r{p}", "host", f"/{p}/", stream, TIMEOUT_MS),
                *(TARGET_MS, p, (("llm", 1.0),), 2, False, True, 400),
            )
            for p in range(3)
        ]
        keys = {
            f"w{n}": routing.Workspace(f"w{n}", None)
            for n in range(WORKSPACES)
        }
        service = routing.Service("llm", 10_000, 0.0, 200_000, 0)
        planner.set_desired(
            routing.DesiredState(
                1, routes, [service], routing.DEFAULT_LIMITS, keys, True
            )
        )
        for name in self.servers:
            rest = ("llm", "10.0.0.1", 1, "a", True, SLOTS, 0.0, 1)
            planner.servers.put(BackendServer(name, *rest), 0)
        if policy != "this":
            planner._refusals.admission.__class__ = _OpenAdmission
        if policy == "least-loaded":
            planner.selection.__class__ = _LeastLoaded
        return planner

    def _report(self, number: int, interval_ms: int, now_ms: int) -> None:
        loads = self.planners[number].loads
        requests, unread = dict(loads.own), dict(loads.own_unread)
        for other, planner in enumerate(self.planners):
            if other != number:
                report = PeerLoads(now_ms + 3_000, requests, unread)
                planner.loads.update_peer(f"h{number}", report, now_ms)
        again = now_ms + interval_ms
        self._at(again, lambda now: self._report(number, interval_ms, now))

    def _arrive(self, now_ms: int) -> None:
        busy = FROM_MS <= now_ms < UNTIL_MS
        shares = self.busy if busy else self.calm
        rate = CAPACITY_PER_S * sum(shares) / 1_000
        self._at(now_ms + self.rng.expovariate(rate), self._arrive)
        priority = self.rng.choices(range(3), shares)[0]
        workspace = f"w{self.rng.randrange(WORKSPACES)}"
        if busy and self.special == "surge" and priority == 1:
            if self.rng.random() < 1 - shares[0] / shares[1]:
                workspace = "w0"
        chat = PromptPart(f"c{self.number}", self.rng.choice(LENGTHS))
        if busy and self.special == "hot" and self.rng.random() < 0.4:
            chat = PromptPart("hot", 9_200)
        own = PromptPart(f"o{self.number}", 100)
        template = PromptPart(f"t{self.rng.randrange(4)}", 2_500)
        call = SimpleNamespace(priority=priority, workspace=workspace)
        call.parts, call.left, call.late = (template, chat, own), 3, True
        call.until_ms = now_ms + TIMEOUT_MS
        if busy:
            self.calls.append(call)
        self._attempt(call, now_ms)

    def _attempt(self, call: SimpleNamespace, now_ms: int) -> None:
        self.attempts += 1
        planner = self.rng.choice(self.planners)
        req = CallerRequest(
            *(f"r{self.number}", "POST", f"/{call.priority}/x", "host"),
            *(call.workspace, float(call.until_ms - now_ms), call.parts),
            *(0, None, [], b""),
        )
        f = planner.admit(req, now_ms)
        self._step(SimpleNamespace(p=planner, f=f, call=call), now_ms)

    def _step(self, run: SimpleNamespace, now_ms: int) -> None:
        step = run.p.choose(run.f, now_ms)
        if isinstance(step, Hold):
            then = now_ms + step.delay_ms
            self._at(then, lambda now: self._step(run, now))
        elif isinstance(step, Send):
            run.p.record_sent(run.f, step.server, now_ms)
            busy = FROM_MS <= now_ms < UNTIL_MS
            if busy and self.special == "dark" and step.server.id in DARK:
                ending = Ending.UNREACHED
                run.p.handle_failure(run.f, step.server, ending, now_ms)
                self._step(run, now_ms)
            else:
                self._run(run, self.servers[step.server.id], now_ms)
        else:
            run.p.record_end(run.f)
            run.call.left -= 1
            wait_ms = step.retry_after_ms or 0
            if self.special == "repeat":
                wait_ms = 10
            if run.call.left and wait_ms <= (run.call.until_ms - now_ms) / 3:
                then = now_ms + wait_ms
                self._at(then, lambda now: self._attempt(run.call, now))

    def _run(
        self, run: SimpleNamespace, server: SimpleNamespace, now_ms: int
    ) -> None:
        parts = [p for p in run.call.parts if p.id not in server.cache]
        work_ms = sum(part.tokens for part in parts) / RATE
        server.cache.update(part.id for part in parts)
        server.free_ms = max(server.free_ms, now_ms + 5.0) + work_ms
        server.active += 1

        def begin(now: int) -> None:
            waiting = server.active - SLOTS
            run.p.selection.waiting.record(run.f.server.id, waiting, now)
            run.p.record_answer_begun(run.f, now)
            run.call.late = now - run.f.arrived_ms > TARGET_MS

        def end(now: int) -> None:
            server.active -= 1
            run.p.record_complete_answer(run.f)

        self._at(server.free_ms + 5, begin)
        self._at(server.free_ms + 5 + DECODE_MS, end)

    def play(self) -> None:
        """Runs until the end."""
        while self.events and self.events[0][0] < END_MS:
            at_ms, _, call = heapq.heappop(self.events)
            call(int(at_ms))


def measure(pattern: str, policy: str, seed: int) -> dict[str, Any]:
    """Returns the shares of requests served in time; "w0" may surge."""
    (simulation := Simulation(pattern, policy, seed)).play()
    groups: dict[str, list[bool]] = {}
    for call in simulation.calls:
        names = ["all", f"p{call.priority}", call.workspace]
        if call.priority == 1:
            names.append("p1_w0" if call.workspace == "w0" else "p1_others")
        for name in names:
            groups.setdefault(name, []).append(not call.late)
    shares = {name: sum(g) / len(g) for name, g in groups.items()}
    columns = ("all", "p0", "p1", "p2", "p1_w0", "p1_others")
    return {
        "pattern": pattern,
        "policy": policy,
        **{name: shares[name] for name in columns},
        "worst_workspace": min(shares[f"w{n}"] for n in range(WORKSPACES)),
        "attempts": simulation.attempts / len(simulation.calls),
    }


def main() -> None:
    """Measures all patterns and policies and prints the results."""
    from driver import write_result

    pairs = [(pattern, policy) for pattern in PATTERNS for policy in POLICIES]
    write_result("overload", [measure(*pair, 1) for pair in pairs])


if __name__ == "__main__":
    main()
