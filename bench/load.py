"""Measures load skew over servers with 1, 8 and 330 routers' partial views.

Each policy runs against the same arrivals: requests of heavy-tailed size, a
share of them from a few surging chats, to servers of unequal capacity with
load reports a second old. One router is removed, and a tenth of the servers
is removed and added back; routers learn of each change up to three seconds
apart. Skew is a server's load per capacity over the mean of the pool,
sampled in virtual time. Servers with at most one request do not count, as no
placement can split a request.
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
from policies import POLICIES, Policy

from corianderdoor.core.messages import Req

LOAD_BOUND = 1.5
MAX_VIEW_LAG_MS = 3_000
SAMPLE_MS = 100
STALE_ADDRESS_SHARE = 0.1
SURGE_CHATS = 40


class Run:
    """Simulation of one policy with one seed."""

    def __init__(
        self, args: argparse.Namespace, routers: int, policy_class: type
    ):
        self.args = args
        self.loop = Loop(args.seed, loss=args.loss)
        self.rng = random.Random(args.seed + 1)
        self.routing_rng = random.Random(args.seed + 2)
        infos = build_servers(
            args.servers, args.centres, self.rng, tuple(args.capacities)
        )
        self.sims = [SimServer(info, self.loop) for info in infos]
        entries = build_entries(routers, min(args.centres, routers))
        self.policy: Policy = policy_class(self.loop, entries, self.sims)
        self.by_name = {sim.info.name: sim for sim in self.sims}
        self.routers = [entry.name for entry in entries]
        self.lost_router = ""
        capacity = sum(info.capacity for info in infos)
        mean_duration_ms = mean_weight() * MS_PER_TOKEN
        self.mean_gap_ms = mean_duration_ms / (args.use * capacity)
        self.requests = 0
        self.refused = 0
        self.skews: list[float] = []
        self.max_any_skew = 0.0
        self.over_bound = 0
        self.samples = 0

    def run(self) -> dict[str, Any]:
        """Runs the simulation and returns a row of the table."""
        end_ms = self.args.seconds * 1_000
        self.loop.after(0, self._arrive)
        self.loop.after(end_ms * 0.4, self._lose_router)
        self.loop.after(end_ms * 0.6, lambda: self._flap(removed=True))
        self.loop.after(end_ms * 0.7, lambda: self._flap(removed=False))
        self.loop.after(
            end_ms * 0.35, lambda: self.loop.every(SAMPLE_MS, self._sample)
        )
        self.loop.run(end_ms)
        self.skews.sort()
        return {
            "routers": len(self.routers),
            "policy": self.policy.name,
            "max_skew": self.skews[-1],
            "p99_skew": self.skews[int(len(self.skews) * 0.99)],
            "over_share": self.over_bound / self.samples,
            "max_with_single": self.max_any_skew,
            "refused": self.refused,
            "requests": self.requests,
            "waits": self.policy.waits,
            "asks_per_request": self.policy.permit_requests / self.requests,
            "digests": self.policy.digests,
        }

    def _arrive(self) -> None:
        self.loop.after(
            self.rng.expovariate(1 / self.mean_gap_ms), self._arrive
        )
        self.requests += 1
        surging = self.args.seconds * 300 < self.loop.now_ms and (
            self.rng.random() < self.args.surge
        )
        chats = SURGE_CHATS if surging else self.args.chats
        chat = f"{'hot' if surging else 'chat'}-{self.rng.randrange(chats)}"
        weight = draw_weight(self.rng)
        req = Req(str(self.requests), "w", "/", "POST", chat, weight=weight)
        router = self.policy.entry_for(req, self.routing_rng)
        if (
            router == self.lost_router
            or self.routing_rng.random() < STALE_ADDRESS_SHARE
        ):
            router = self.routing_rng.choice(
                [name for name in self.routers if name != self.lost_router]
            )
        self.policy.route(router, req, lambda s: self._begin(router, req, s))

    def _begin(self, router: str, req: Req, server: Any) -> None:
        if server is None:
            self.refused += 1
            return
        sim = self.by_name[server.name]
        sim.begin(req)
        self.loop.after(
            req.weight * MS_PER_TOKEN, lambda: self._end(router, req, sim)
        )

    def _end(self, router: str, req: Req, sim: SimServer) -> None:
        sim.end(req)
        if router != self.lost_router:
            self.policy.finish(router, req, sim.info, True, 100)

    def _lose_router(self) -> None:
        if len(self.routers) == 1:
            return
        self.lost_router = self.routers[0]
        live = getattr(self.policy, "live", set())
        live.discard(self.lost_router)
        for name in self.routers[1:]:
            self.loop.after(
                self.routing_rng.uniform(0, MAX_VIEW_LAG_MS),
                lambda name=name: self.policy.drop_router(
                    self.lost_router, name
                ),
            )

    def _flap(self, removed: bool) -> None:
        infos = [sim.info for sim in self.sims]
        if removed:
            infos = infos[len(infos) // 10 :]
        for name in self.routers:
            if name != self.lost_router:
                self.loop.after(
                    self.routing_rng.uniform(0, MAX_VIEW_LAG_MS),
                    lambda name=name: self.policy.set_view(name, infos),
                )

    def _sample(self) -> None:
        total = sum(sim.load_tokens for sim in self.sims)
        capacity = sum(sim.info.capacity for sim in self.sims)
        mean = total / capacity
        for sim in self.sims:
            skew = sim.load_tokens / sim.info.capacity / mean
            self.max_any_skew = max(self.max_any_skew, skew)
            if len(sim.in_flight) > 1:
                self.skews.append(skew)
                self.samples += 1
                self.over_bound += skew > LOAD_BOUND


def main() -> None:
    """Runs every policy at each number of routers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, nargs="*", default=[1, 8, 330])
    parser.add_argument("--servers", type=int, default=120)
    parser.add_argument(
        "--capacities", type=int, nargs="*", default=[32, 64, 128]
    )
    parser.add_argument("--centres", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--chats", type=int, default=100_000)
    parser.add_argument("--use", type=float, default=0.5)
    parser.add_argument("--surge", type=float, default=0.2)
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    rows = [
        Run(args, routers, policy_class).run()
        for routers in args.routers
        for policy_class in POLICIES
        if args.only in policy_class.name
    ]
    write_result("load", rows)
    plot_bars("load", rows, "routers", "max_skew", LOAD_BOUND)


if __name__ == "__main__":
    main()
