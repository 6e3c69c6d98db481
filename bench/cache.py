"""Measures the share of prompt tokens in cache as engines come and go.

Chats return after pauses of about a minute with a longer prompt. Engines
cache prefixes up to a limit; removal from the list empties the cache. During
the run two engines are removed for good, two are added and one flaps five
times; routers learn of each change up to three seconds apart. One request in
ten goes to a random router, as of a caller with an old address. The policy
that knows every cache and every load is the upper limit.
"""

from __future__ import annotations

import argparse
import random
from typing import Any

from driver import (
    build_entries,
    build_servers,
    Loop,
    plot_bars,
    SimServer,
    write_result,
)
from policies import (
    HomeRouters,
    LeastOwnLoad,
    OracleLeastLoaded,
    PlainHash,
    Policy,
    PowerOfTwo,
    RoundRobin,
)

from corianderdoor.core.messages import Req
from corianderdoor.core.topology import Server

LOAD_BOUND = 1.5
MEAN_PAUSE_MS = 60_000
FIRST_TOKENS, TURN_TOKENS, MAX_TOKENS = 400, 300, 8_000
MS_PER_TOKEN = 2.0
MAX_VIEW_LAG_MS = 3_000
STALE_ADDRESS_SHARE = 0.1


class OracleLongestPrefix(OracleLeastLoaded):
    """Most cached tokens within the load bound, else least loaded."""

    name = "all-seeing, cache first"

    def pick(self, router: str, req: Req) -> Server | None:
        """Returns the server with the longest cached prefix."""
        view = self.views[router]
        sims = self.sims
        total = sum(sims[s.name].load_tokens for s in view) + req.weight
        limit = LOAD_BOUND * total / sum(s.capacity for s in view)
        candidates = [
            s
            for s in view
            if sims[s.name].load_tokens + req.weight <= limit * s.capacity
        ]
        if not candidates:
            return super().pick(router, req)
        return max(
            candidates,
            key=lambda s: (
                min(sims[s.name].cache.get(req.chat, 0), req.weight),
                -sims[s.name].load_tokens / s.capacity,
            ),
        )


class Run:
    """Simulation of one policy with one seed."""

    def __init__(self, args: argparse.Namespace, policy_class: type):
        self.args = args
        self.loop = Loop(args.seed, loss=args.loss)
        self.rng = random.Random(args.seed + 1)
        self.routing_rng = random.Random(args.seed + 2)
        infos = build_servers(args.servers, 3, self.rng, (16, 32))
        self.sims = {
            i.name: SimServer(i, self.loop, args.cache_tokens) for i in infos
        }
        entries = build_entries(args.routers, min(3, args.routers))
        self.policy: Policy = policy_class(
            self.loop, entries, list(self.sims.values())
        )
        self.routers = [entry.name for entry in entries]
        self.listed = {i.name: i for i in infos}
        for info in infos[:2]:
            self._change_list(info, removed=True)
        self.tokens = [FIRST_TOKENS] * args.chats
        self.prompt_tokens = self.hit_tokens = self.requests = self.refused = 0
        self.skews: list[float] = []

    def run(self) -> dict[str, Any]:
        """Runs the simulation and returns a row of the table."""
        end_ms = self.args.seconds * 1_000
        for chat in range(self.args.chats):
            self.loop.after(
                self._pause_ms(), lambda c=chat: self._send_turn(c)
            )
        infos = [sim.info for sim in self.sims.values()]
        for number in range(2):
            join, leave = infos[number], infos[2 + number]
            at_ms = end_ms * (0.4 + 0.1 * number)
            self.loop.after(
                at_ms, lambda i=join: self._change_list(i, removed=False)
            )
            self.loop.after(
                at_ms, lambda i=leave: self._change_list(i, removed=True)
            )
        for number in range(10):
            self.loop.after(
                end_ms * (0.6 + 0.03 * number),
                lambda removed=number % 2 == 0: self._change_list(
                    infos[4], removed
                ),
            )
        self.loop.after(
            end_ms * 0.35, lambda: self.loop.every(500, self._sample)
        )
        self.loop.run(end_ms)
        self.skews.sort()
        return {
            "routers": len(self.routers),
            "policy": self.policy.name,
            "found_share": self.hit_tokens / self.prompt_tokens,
            "max_skew": self.skews[-1],
            "p99_skew": self.skews[int(0.99 * len(self.skews))],
            "refused": self.refused,
            "requests": self.requests,
            "asks_per_request": self.policy.permit_requests / self.requests,
        }

    def _pause_ms(self) -> float:
        return self.rng.expovariate(1 / MEAN_PAUSE_MS)

    def _change_list(self, info: Server, removed: bool) -> None:
        if removed:
            self.listed.pop(info.name, None)
            self.sims[info.name].cache.clear()
            self.sims[info.name].cached_tokens = 0
        else:
            self.listed[info.name] = info
        view = list(self.listed.values())
        for name in self.routers:
            self.loop.after(
                self.routing_rng.uniform(
                    0, MAX_VIEW_LAG_MS if self.loop.now_ms else 0
                ),
                lambda name=name: self.policy.set_view(name, view),
            )

    def _send_turn(self, chat: int) -> None:
        self.loop.after(self._pause_ms(), lambda: self._send_turn(chat))
        self.requests += 1
        weight = self.tokens[chat]
        self.tokens[chat] = min(MAX_TOKENS, weight + TURN_TOKENS)
        req = Req(
            str(self.requests),
            "w",
            "/",
            "POST",
            f"chat-{chat}",
            weight=weight,
        )
        router = self.policy.entry_for(req, self.routing_rng)
        if self.routing_rng.random() < STALE_ADDRESS_SHARE:
            router = self.routing_rng.choice(self.routers)
        self.policy.route(router, req, lambda s: self._begin(router, req, s))

    def _begin(self, router: str, req: Req, server: Any) -> None:
        if server is None:
            self.refused += 1
            return
        sim = self.sims[server.name]
        found = sim.begin(req)
        if self.loop.now_ms > self.args.seconds * 350:
            self.prompt_tokens += req.weight
            self.hit_tokens += found
        self.loop.after(
            req.weight * MS_PER_TOKEN, lambda: self._end(router, req, sim)
        )

    def _end(self, router: str, req: Req, sim: SimServer) -> None:
        sim.end(req)
        self.policy.finish(router, req, sim.info, True, 100)

    def _sample(self) -> None:
        live = [self.sims[name] for name in self.listed]
        mean = sum(s.load_tokens for s in live) / sum(
            s.info.capacity for s in live
        )
        self.skews += [
            s.load_tokens / s.info.capacity / mean
            for s in live
            if len(s.in_flight) > 1
        ]


def main() -> None:
    """Runs every policy at each number of routers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, nargs="*", default=[1, 8, 60])
    parser.add_argument("--servers", type=int, default=32)
    parser.add_argument("--chats", type=int, default=6_000)
    parser.add_argument("--cache-tokens", type=int, default=2_000_000)
    parser.add_argument("--seconds", type=int, default=400)
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    policy_classes = (
        RoundRobin,
        LeastOwnLoad,
        PowerOfTwo,
        PlainHash,
        HomeRouters,
        OracleLongestPrefix,
    )
    rows = []
    counts = args.routers
    for args.routers in counts:
        rows += [
            Run(args, policy_class).run()
            for policy_class in policy_classes
            if args.only in policy_class.name
        ]
    write_result("cache", rows)
    plot_bars("cache", rows, "routers", "found_share", 0)


if __name__ == "__main__":
    main()
