"""Measures the return of a data centre of cold servers under load.

A cold server is slow. It handles one concurrent request, and one more for
each request that it has completed, and crashes when it gets more: its
requests are lost and it restarts cold. The table gives crashes ("falls"),
requests lost in them, the highest number of requests above a server's limit
("beyond"), requests refused although servers elsewhere had unused capacity,
and the time until the data centre carried nine tenths of its share of the
load. The target is no crash and no request above the limit.
"""

from __future__ import annotations

import argparse
import random
from typing import Any

from driver import (
    build_entries,
    build_servers,
    draw_weight,
    Loop,
    mean_weight,
    MS_PER_TOKEN,
    plot_bars,
    SimServer,
    write_result,
)
from policies import HomeRouters, LeastOwnLoad, Policy, PowerOfTwo, RoundRobin

from corianderdoor.core.messages import Req
import corianderdoor.core.slow_start as slow_start

RETURNING_CENTRE = "dc-1"
COLD_SLOWDOWN = 2
DEADLINE_MS = 60_000  # the router cancels a request after it
MAX_VIEW_LAG_MS = 3_000
CARRIED_SHARE = 0.9


class NoSlowStart(HomeRouters):
    """Home routers without slow start.

    `main` raises the initial concurrency limit to the full capacity.
    """

    name = "home routers, no ramp"


class Run:
    """Simulation of one policy with one seed."""

    def __init__(self, args: argparse.Namespace, policy_class: type):
        self.args = args
        self.loop = Loop(args.seed, loss=args.loss)
        self.rng = random.Random(args.seed + 1)
        self.routing_rng = random.Random(args.seed + 2)
        infos = build_servers(args.servers, 3, self.rng, (16,))
        self.sims = {i.name: SimServer(i, self.loop) for i in infos}
        self.cold = [i for i in infos if i.data_centre == RETURNING_CENTRE]
        self.warm = [i for i in infos if i.data_centre != RETURNING_CENTRE]
        entries = build_entries(args.routers, 3)
        self.policy: Policy = policy_class(
            self.loop, entries, list(self.sims.values())
        )
        self.routers = [entry.name for entry in entries]
        for name in self.routers:
            self.policy.set_view(name, self.warm)
        mean_duration_ms = mean_weight() * MS_PER_TOKEN
        self.mean_gap_ms = mean_duration_ms / (args.use * 16 * len(self.warm))
        self.returned_ms = int(args.seconds * 1_000 * 0.125)
        self.generation: dict[str, int] = {}
        self.requests = self.refused = self.lost_requests = self.crashes = 0
        self.max_excess = 0
        self.carried_ms = -1

    def run(self) -> dict[str, Any]:
        """Runs the simulation and returns a row of the table."""
        self.loop.after(0, self._arrive)
        self.loop.after(self.returned_ms, self._return_servers)
        self.loop.run(self.args.seconds * 1_000)
        return {
            "policy": self.policy.name,
            "routers": len(self.routers),
            "falls": self.crashes,
            "lost": self.lost_requests,
            "beyond": self.max_excess,
            "refused": self.refused,
            "requests": self.requests,
            "carried_after_s": self.carried_ms / 1_000,
        }

    def _return_servers(self) -> None:
        for info in self.cold:
            self._start_cold(self.sims[info.name])
        for name in self.routers:
            self.loop.after(
                self.routing_rng.uniform(0, MAX_VIEW_LAG_MS),
                lambda name=name: self.policy.set_view(
                    name, [*self.warm, *self.cold]
                ),
            )
        self.loop.every(200, self._check_carried)

    def _start_cold(self, sim: SimServer) -> None:
        sim.cold = True
        sim.completed = 0
        sim.started_ms = self.loop.now_ms
        sim.in_flight.clear()
        sim.load_tokens = 0

    def _check_carried(self) -> None:
        cold = sum(self.sims[i.name].load_tokens for i in self.cold)
        total = sum(sim.load_tokens for sim in self.sims.values())
        capacity_share = len(self.cold) / len(self.sims)
        if (
            self.carried_ms < 0
            and cold >= CARRIED_SHARE * capacity_share * total
        ):
            self.carried_ms = self.loop.now_ms - self.returned_ms

    def _arrive(self) -> None:
        self.loop.after(
            self.rng.expovariate(1 / self.mean_gap_ms), self._arrive
        )
        self.requests += 1
        chat = f"chat-{self.rng.randrange(50_000)}"
        weight = draw_weight(self.rng)
        req = Req(str(self.requests), "w", "/", "POST", chat, weight=weight)
        router = self.policy.entry_for(req, self.routing_rng)
        self.policy.route(router, req, lambda s: self._begin(router, req, s))

    def _begin(self, router: str, req: Req, server: Any) -> None:
        if server is None:
            self.refused += 1
            return
        sim = self.sims[server.name]
        excess = len(sim.in_flight) + 1 - sim.concurrency_limit()
        if sim.cold and excess > 0:
            self.max_excess = max(self.max_excess, excess)
            self._crash(sim)
            self.policy.finish(router, req, sim.info, False, 0)
            return
        sim.begin(req)
        slow = (
            COLD_SLOWDOWN if sim.cold and sim.concurrency_limit() < 16 else 1
        )
        began = self.generation.get(server.name, 0)
        self.loop.after(
            min(DEADLINE_MS, req.weight * MS_PER_TOKEN * slow),
            lambda: self._end(router, req, sim, began),
        )

    def _crash(self, sim: SimServer) -> None:
        name = sim.info.name
        self.generation[name] = self.generation.get(name, 0) + 1
        self.crashes += 1
        self.lost_requests += len(sim.in_flight) + 1
        self._start_cold(sim)

    def _end(self, router: str, req: Req, sim: SimServer, began: int) -> None:
        ok = began == self.generation.get(sim.info.name, 0)
        if ok:
            sim.end(req)
        slow = (
            COLD_SLOWDOWN if sim.cold and sim.concurrency_limit() < 16 else 1
        )
        self.policy.finish(router, req, sim.info, ok, 100 * slow)


def main() -> None:
    """Runs every policy at each number of routers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, nargs="*", default=[8, 57])
    parser.add_argument("--servers", type=int, default=60)
    parser.add_argument("--seconds", type=int, default=240)
    parser.add_argument("--use", type=float, default=0.5)
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    rows = []
    counts = args.routers
    for args.routers in counts:
        for policy_class in (
            RoundRobin,
            LeastOwnLoad,
            PowerOfTwo,
            NoSlowStart,
            HomeRouters,
        ):
            first = 16 if policy_class is NoSlowStart else 1
            slow_start.INITIAL_LIMIT = first  # type: ignore[misc]
            rows.append(Run(args, policy_class).run())
    write_result("cold", rows)
    plot_bars("cold", rows, "routers", "falls", 0)


if __name__ == "__main__":
    main()
