"""Measures how well workspace limits hold over many routers, and their cost.

Simulates the cores with lag, loss and a seed. The baseline splits each limit
evenly over the routers. Bounds: never more than the limit; at most 14 KB/s
for all control traffic of a daemon.
"""

from __future__ import annotations

import heapq
import json
import pathlib
import random
import sys
import time
from typing import Any

from corianderdoor.adapters.keyring import Keyring
import corianderdoor.adapters.peer_capnp  # noqa: F401 - registers codecs
from corianderdoor.adapters.peer_codec import DatagramEncoder
from corianderdoor.core.placement import rank
from corianderdoor.core.quota import ASK_RETRY_MS, Quota, Verdict
from corianderdoor.core.quota_home import MIN_BURST, QuotaHome
from corianderdoor.core.rules import Rule

STEP_MS = 10
SECONDS = 15
LAG_MS = (1, 60)
LOSS = 0.01
ROUTERS = (8, 24, 72)
REQUESTS_PER_ROUTER_S = 70
SURGE_EVERY = 20  # one in so many offers SURGE_FACTOR times its limit
SURGE_FACTOR = 3.0
CALM_SHARE = 0.4
DATAGRAM_OVERHEAD_BYTES = 28


class Fleet:
    """Routers with quotas and quota homes over a lossy, delaying network."""

    def __init__(self, routers: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.names = [f"entry-{number}" for number in range(routers)]
        self.quotas = [Quota() for _ in self.names]
        self.homes = [QuotaHome() for _ in self.names]
        for limiter in (*self.quotas, *self.homes):
            limiter.set_routers(routers)
        self.now_ms = 0
        self.in_transit: list[tuple[int, int, Any]] = []
        self.messages_sent = [0] * routers
        self.bytes_sent = [0] * routers
        self.home_numbers: dict[str, int] = {}
        self.encoder = DatagramEncoder(Keyring(["k" * 32]), "entry-0", 1)

    def send(self, sender: int, message: Any, deliver: Any) -> None:
        """Sends a message, which arrives after a lag or is lost."""
        raw = self.encoder.encode("entry-1", message).default_value(b"")
        self.messages_sent[sender] += 1
        self.bytes_sent[sender] += len(raw) + DATAGRAM_OVERHEAD_BYTES
        if self.rng.random() >= LOSS:
            at_ms = self.now_ms + self.rng.randint(*LAG_MS)
            heapq.heappush(
                self.in_transit, (at_ms, sum(self.messages_sent), deliver)
            )

    def step(self) -> None:
        """Advances time by one step and delivers messages that are due."""
        self.now_ms += STEP_MS
        while self.in_transit and self.in_transit[0][0] <= self.now_ms:
            heapq.heappop(self.in_transit)[2]()
        for number, quota in enumerate(self.quotas):
            if self.now_ms % ASK_RETRY_MS == 0:
                quota.tick(self.now_ms)
            for ask in quota.take_outgoing():
                self.ask(number, ask)

    def ask(self, number: int, ask: Any) -> None:
        """Sends a router's request to the home of its limit."""
        key = ask.limit.key()
        if key not in self.home_numbers:
            self.home_numbers[key] = self.names.index(rank(key, self.names)[0])
        home = self.home_numbers[key]

        def answer() -> None:
            name = self.names[number]
            grant = self.homes[home].answer(name, 1, ask, self.now_ms)
            if grant is not None:
                apply = self.quotas[number].apply_grant
                self.send(home, grant, lambda: apply(grant, self.now_ms))

        self.send(number, ask, answer)


def run_load(fleet: Fleet, rules: list[Rule], weights: list[float]) -> Any:
    """Runs the peak load.

    Returns:
        Requests admitted by workspace, requests refused, requests that were
        pending at first, and CPU time in s.
    """
    routers = len(fleet.names)
    admitted = [0] * len(rules)
    refused, delayed, waiting = 0, 0, []
    started = time.process_time()
    for _ in range(SECONDS * 1_000 // STEP_MS):
        fleet.step()
        offers = [(number, w, True) for number, w in waiting]
        waiting = []
        count = REQUESTS_PER_ROUTER_S * routers * STEP_MS // 1_000
        chosen = fleet.rng.choices(range(len(rules)), weights, k=count)
        for workspace in chosen:
            # A workspace's chats are spread unevenly over the routers.
            position = fleet.rng.random() ** 3
            number = (workspace * 7 + int(position * routers)) % routers
            offers.append((number, workspace, False))
        for number, workspace, is_retry in offers:
            quota, rule = fleet.quotas[number], rules[workspace]
            verdict = quota.admit(
                f"w{workspace}", rule, fleet.now_ms, is_retry
            )
            if verdict is Verdict.ADMITTED:
                admitted[workspace] += 1
                quota.release(f"w{workspace}", rule)
            elif verdict is Verdict.PENDING:
                delayed += not is_retry
                waiting.append((number, workspace))
            else:
                refused += 1
    cpu_s = time.process_time() - started
    return admitted, refused, delayed, cpu_s


def split_evenly(rules: list[Rule], demand: Any, surging: Any) -> float:
    """Returns the share of calm workspaces' requests an even split admits."""
    served = offered = 0.0
    for number, rates in enumerate(demand):
        if number in surging:
            continue
        router_limit = rules[number].rate / len(rates)
        served += sum(min(router_limit, rate) for rate in rates)
        offered += sum(rates)
    return served / offered


def spread_demand(
    fleet: Fleet, weights: list[float], total: int
) -> list[list[float]]:
    """Returns requests/s by workspace and router, spread as in `run_load`."""
    routers = len(fleet.names)
    boundaries = [
        (number / routers) ** (1 / 3) for number in range(routers + 1)
    ]
    router_shares = [boundaries[i + 1] - boundaries[i] for i in range(routers)]
    total_weight = sum(weights)
    return [
        [total * weight / total_weight * p for p in router_shares]
        for weight in weights
    ]


def measure(routers: int) -> dict[str, float]:
    """Runs one size: some workspaces surge, the rest use 40% of the limit."""
    fleet = Fleet(routers, seed=routers)
    workspaces = min(700, routers * 10)
    total = REQUESTS_PER_ROUTER_S * routers
    weights = [1 / (1 + number) ** 0.8 for number in range(workspaces)]
    rules = []
    for weight in weights:
        rule = Rule(1)
        rule.pool = "redactor"
        rate = total * weight / sum(weights)
        surges = len(rules) % SURGE_EVERY == SURGE_EVERY // 2
        rule.rate = max(
            1, int(rate / (SURGE_FACTOR if surges else CALM_SHARE))
        )
        rules.append(rule)
    admitted, refused, delayed, cpu_s = run_load(fleet, rules, weights)
    ratios = [
        count / max(rule.rate * (SECONDS + 2), rule.rate * SECONDS + MIN_BURST)
        for count, rule in zip(admitted, rules, strict=True)
    ]
    surging = range(SURGE_EVERY // 2, len(rules), SURGE_EVERY)
    limit = sum(rules[number].rate for number in surging)
    calm = sum(admitted) - sum(admitted[number] for number in surging)
    calm_offered = sum(
        total * weight / sum(weights)
        for number, weight in enumerate(weights)
        if number not in surging
    )
    demand = spread_demand(fleet, weights, total)
    return {
        "routers": routers,
        "workspaces": workspaces,
        "worst_over_limit": max(ratios),
        "surge_used": sum(admitted[number] for number in surging)
        / (limit * SECONDS),
        "calm_served": calm / (calm_offered * SECONDS),
        "calm_even_split": split_evenly(rules, demand, surging),
        "bytes_s_mean": sum(fleet.bytes_sent) / routers / SECONDS,
        "bytes_s_worst": max(fleet.bytes_sent) / SECONDS,
        "us_a_request": cpu_s / (total * SECONDS) * 1e6,
    }


def main() -> int:
    """Prints a table and writes JSON to the path given, if any."""
    rows = [measure(routers) for routers in ROUTERS]
    print("  ".join(f"{name:>16}" for name in rows[0]))
    for row in rows:
        print("  ".join(f"{value:16.3f}" for value in row.values()))
    if len(sys.argv) > 1:
        pathlib.Path(sys.argv[1]).write_text(json.dumps(rows), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
