"""Placement policies that the benches compare, with one interface.

`route(router, req, done)` calls `done` with the chosen server, or None, at
once or later.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Any

from driver import Loop, POOL, SimServer
from expression import Result

from corianderdoor.core.home_placement import HomePlacement, TICK_MS
from corianderdoor.core.load_sums import LoadDigest
from corianderdoor.core.messages import AskPermit, Req
from corianderdoor.core.permits import PermitAnswer
from corianderdoor.core.placement import RetryLater
from corianderdoor.core.rendezvous import rank, Ring
from corianderdoor.core.topology import EntryHost, Server

RouteCallback = Callable[[Server | None], None]
REPORT_LAG_MS = 1_000
DIGEST_MS = 1_000
REMAINING_MS = 60_000


class Policy:
    """Base class with each router's view of the servers and its own load.

    Attributes:
        views: Servers that each router knows.
        own_tokens: Tokens in progress of each router, by server.
        permit_requests: Number of permits requested from home routers.
        digests: Number of load digests sent.
        waits: Number of choices that were delayed.
    """

    name = ""

    def __init__(
        self, loop: Loop, entries: list[EntryHost], servers: list[SimServer]
    ) -> None:
        self.loop = loop
        self.entries = entries
        self.sims = {sim.info.name: sim for sim in servers}
        self.views = {e.name: [s.info for s in servers] for e in entries}
        self.own_tokens: dict[str, dict[str, int]] = {
            e.name: {} for e in entries
        }
        self.permit_requests = 0
        self.digests = 0
        self.waits = 0

    def entry_for(self, req: Req, rng: random.Random) -> str:
        """Returns the entry host that the chat's host list names first."""
        return rank(req.chat, [e.name for e in self.entries])[0]

    def set_view(self, router: str, servers: list[Server]) -> None:
        """Replaces the list of servers of one router."""
        self.views[router] = servers

    def drop_router(self, router: str, at_router: str) -> None:
        """Removes `router` from the list of `at_router`."""

    def route(self, router: str, req: Req, done: RouteCallback) -> None:
        """Chooses a server and adds the request to the router's own load."""
        server = self.pick(router, req)
        if server is not None:
            own_tokens = self.own_tokens[router]
            own_tokens[server.name] = (
                own_tokens.get(server.name, 0) + req.weight
            )
        done(server)

    def pick(self, router: str, req: Req) -> Server | None:
        """Returns the chosen server."""
        raise NotImplementedError

    def finish(
        self, router: str, req: Req, server: Server, ok: bool, ttft_ms: int
    ) -> None:
        """Records the end of a request."""
        self.own_tokens[router][server.name] -= req.weight

    def own_load(self, router: str, server: Server) -> float:
        """Returns the router's own tokens on a server per unit of capacity."""
        return self.own_tokens[router].get(server.name, 0) / server.capacity


class RoundRobin(Policy):
    """Round robin over the router's view, from a random start."""

    name = "round robin"

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.last_index = {
            e.name: self.loop.rng.randrange(999) for e in args[1]
        }

    def pick(self, router: str, req: Req) -> Server | None:
        """Returns the next server in turn."""
        self.last_index[router] += 1
        view = self.views[router]
        return view[self.last_index[router] % len(view)]


class LeastOwnLoad(Policy):
    """Least loaded by the router's own requests, ties at random."""

    name = "least loaded, own sight"

    def pick(self, router: str, req: Req) -> Server | None:
        """Returns the server with the least load from this router."""
        rng = self.loop.rng
        return min(
            self.views[router],
            key=lambda s: (self.own_load(router, s), rng.random()),
        )


class PowerOfTwo(Policy):
    """The less loaded of two by lagged reports and own requests since."""

    name = "power of two, lagged"

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.reported_load: dict[str, float] = {}
        self.tokens_since_report: dict[str, dict[str, int]] = {
            e.name: {} for e in self.entries
        }
        self.loop.every(DIGEST_MS, self._report)

    def _report(self) -> None:
        snapshot = {
            name: sim.load_tokens / sim.info.capacity
            for name, sim in self.sims.items()
        }
        self.loop.after(REPORT_LAG_MS, lambda: self._apply_reports(snapshot))

    def _apply_reports(self, snapshot: dict[str, float]) -> None:
        self.reported_load = snapshot
        for tokens_since_report in self.tokens_since_report.values():
            tokens_since_report.clear()

    def pick(self, router: str, req: Req) -> Server | None:
        """Returns the less loaded of two random servers."""
        tokens_since_report = self.tokens_since_report[router]
        candidates = self.loop.rng.sample(self.views[router], 2)
        best = min(
            candidates,
            key=lambda s: self.reported_load.get(s.name, 0.0)
            + tokens_since_report.get(s.name, 0) / s.capacity,
        )
        tokens_since_report[best.name] = (
            tokens_since_report.get(best.name, 0) + req.weight
        )
        return best


class OracleLeastLoaded(Policy):
    """Least loaded by the actual current load, as an upper limit."""

    name = "all-seeing least loaded"

    def pick(self, router: str, req: Req) -> Server | None:
        """Returns the server with the least load after this request."""
        return min(
            self.views[router],
            key=lambda s: (self.sims[s.name].load_tokens + req.weight)
            / s.capacity,
        )


class PlainHash(Policy):
    """Consistent hashing without regard to load."""

    name = "plain consistent hashing"

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.rings: dict[str, Ring] = {}
        for entry in self.entries:
            self.rings[entry.name] = Ring()
            self.rings[entry.name].replace(self.views[entry.name])

    def set_view(self, router: str, servers: list[Server]) -> None:
        """Replaces the list of servers of one router."""
        self.rings[router].replace(servers)

    def pick(self, router: str, req: Req) -> Server | None:
        """Returns the first server in the chat's ring order."""
        return next(self.rings[router].order(req.chat), None)


class OwnLoadBound(PlainHash):
    """Consistent hashing with a load bound on the router's own requests."""

    name = "bounded hashing, own sight"
    bound = 1.5

    def pick(self, router: str, req: Req) -> Server | None:
        """Returns the first server within the bound by the own load."""
        ring = self.rings[router]
        own_tokens = self.own_tokens[router]
        total = sum(own_tokens.values()) + req.weight
        mean = total / sum(s.capacity for s in ring.servers())
        for server in ring.order(req.chat):
            load = own_tokens.get(server.name, 0)
            if not load or load + req.weight <= (
                self.bound * mean * server.capacity
            ):
                return server
        return min(ring.servers(), key=lambda s: self.own_load(router, s))


class PerRouterShares(PlainHash):
    """Each router may fill 1/n of every server's load bound.

    The mean load arrives with a lag, as for the home routers.
    """

    name = "per-router shares"
    bound = 1.5

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.mean = 0.0
        self.loop.every(DIGEST_MS, self._report)

    def _report(self) -> None:
        load = sum(sim.load_tokens for sim in self.sims.values())
        capacity = sum(sim.info.capacity for sim in self.sims.values())
        mean = load / capacity
        self.loop.after(REPORT_LAG_MS, lambda: setattr(self, "mean", mean))

    def pick(self, router: str, req: Req) -> Server | None:
        """Returns the first server below this router's share of its bound."""
        own_tokens = self.own_tokens[router]
        share = self.bound * self.mean / len(self.entries)
        ring = self.rings[router]
        for server in ring.order(req.chat):
            load = own_tokens.get(server.name, 0)
            if not load or load + req.weight <= share * server.capacity:
                return server
        return min(ring.servers(), key=lambda s: self.own_load(router, s))


class HomeRouters(Policy):
    """The package's own placement, with one instance per router.

    Attributes:
        live: Names of the routers that have not been lost.
        cores: The placement of each router.
        known: Routers that each router knows.
    """

    name = "home routers"
    bound = 1.5

    def __init__(
        self, loop: Loop, entries: list[EntryHost], servers: list[SimServer]
    ) -> None:
        super().__init__(loop, entries, servers)
        self.live = {e.name for e in entries}
        self.cores: dict[str, HomePlacement] = {}
        self.known = {e.name: list(entries) for e in entries}
        for entry in entries:
            core = HomePlacement(entry.name, self.bound, loop.rng)
            core.set_entries(entries, loop.now_ms)
            core.set_servers(tuple(s.info for s in servers), loop.now_ms)
            self.cores[entry.name] = core
            self._schedule_timers(entry.name, core)
            for state in core.admission.states.values():
                sim = self.sims[state.server.name]
                core.apply_report(sim.report(), 0)
                state.apply_hand_off(state.hand_off(), 0)

    def _schedule_timers(self, name: str, core: HomePlacement) -> None:
        loop = self.loop
        loop.every(TICK_MS, lambda: self._tick(name, core))
        loop.every(DIGEST_MS, lambda: self._poll(name, core))

    def _tick(self, name: str, core: HomePlacement) -> None:
        if name not in self.live:
            return
        core.tick(self.loop.now_ms)
        self._send_outbox(name)

    def _send_message(self, name: str, peer: str, message: Any) -> None:
        def receive() -> None:
            if peer in self.live:
                core = self.cores[peer]
                core.handle_message(name, message, self.loop.now_ms)
                self._send_outbox(peer)

        self.loop.send(receive)

    def _poll(self, name: str, core: HomePlacement) -> None:
        for state in list(core.admission.states.values()):
            sim = self.sims.get(state.server.name)
            if sim is not None:
                self.loop.after(
                    REPORT_LAG_MS, self._build_report_callback(core, sim)
                )

    def _build_report_callback(
        self, core: HomePlacement, sim: SimServer
    ) -> Callable[[], None]:
        report = sim.report()
        return lambda: core.apply_report(report, self.loop.now_ms)

    def _send_outbox(self, name: str) -> None:
        for sent in self.cores[name].take_outbox():
            if isinstance(sent.message, PermitAnswer):
                self._deliver_answer(sent.peer, sent.message)
            else:
                self.digests += isinstance(sent.message, LoadDigest)
                self._send_message(name, sent.peer, sent.message)

    def entry_for(self, req: Req, rng: random.Random) -> str:
        """Returns the chat's entry host as seen by a random live router."""
        core = self.cores[rng.choice(sorted(self.live))]
        home = core.first_home(POOL, req.chat)
        return home if home in self.live else rng.choice(sorted(self.live))

    def set_view(self, router: str, servers: list[Server]) -> None:
        """Replaces the list of servers of one router."""
        self.cores[router].set_servers(tuple(servers), self.loop.now_ms)
        self._send_outbox(router)

    def drop_router(self, router: str, at_router: str) -> None:
        """Removes `router` from the list of `at_router`."""
        self.known[at_router] = [
            e for e in self.known[at_router] if e.name != router
        ]
        self.cores[at_router].set_entries(
            self.known[at_router], self.loop.now_ms
        )
        self._send_outbox(at_router)

    def route(self, router: str, req: Req, done: RouteCallback) -> None:
        """Chooses a server, with permit requests over the network."""
        core = self.cores[router]
        chosen = core.choose(req, POOL, (), (), REMAINING_MS, self.loop.now_ms)
        self._handle_choice(router, req, chosen, done)

    def _handle_choice(
        self, router: str, req: Req, chosen: Any, done: RouteCallback
    ) -> None:
        match chosen:
            case Result(tag="ok", ok=AskPermit() as action):
                self.permit_requests += 1
                self._request_permit(router, req, action, done)
            case Result(tag="ok", ok=RetryLater(delay_ms=delay_ms)):
                self.waits += 1
                self.loop.after(
                    delay_ms, lambda: self.route(router, req, done)
                )
            case Result(tag="ok", ok=server):
                done(server)
            case _:
                done(None)

    def _request_permit(
        self, router: str, req: Req, action: AskPermit, done: RouteCallback
    ) -> None:
        unanswered = [True]

        def resume(answer: PermitAnswer | None) -> None:
            if unanswered.pop() if unanswered else False:
                chosen = self.cores[router].resume(
                    req, answer, self.loop.now_ms
                )
                self._send_outbox(router)
                self._handle_choice(router, req, chosen, done)

        self._pending_answers[(router, action.ask.id)] = resume
        self._send_message(router, action.home, action.ask)
        self.loop.after(action.timeout_ms, lambda: resume(None))

    def _deliver_answer(self, router: str, answer: PermitAnswer) -> None:
        resume = self._pending_answers.pop((router, answer.id), None)
        if resume is not None:
            self.loop.send(lambda: resume(answer))

    _pending_answers: dict[Any, Callable[[PermitAnswer | None], None]] = {}

    def finish(
        self, router: str, req: Req, server: Server, ok: bool, ttft_ms: int
    ) -> None:
        """Releases the permit."""
        self.cores[router].release(
            req, server, self.loop.now_ms, ok, ttft_ms, not ok
        )
        self._send_outbox(router)


POLICIES = (
    RoundRobin,
    LeastOwnLoad,
    PowerOfTwo,
    PlainHash,
    OwnLoadBound,
    PerRouterShares,
    HomeRouters,
    OracleLeastLoaded,
)
