"""Event loop in virtual time, simulated servers and output of results."""

from __future__ import annotations

import collections
from collections.abc import Callable
import heapq
import itertools
import json
import pathlib
import random
from typing import Any

from corianderdoor.core.load_report import LoadReport
from corianderdoor.core.messages import Req
from corianderdoor.core.topology import EntryHost, Server

OUT = pathlib.Path(__file__).parent / "out"
POOL = "redactor"
MS_PER_TOKEN = 10.0
WARM_UPTIME_MS, WARM_COMPLETED = 600_000, 10_000
MIN_TOKENS, MAX_TOKENS, PARETO_SHAPE = 200, 30_000, 1.3


class Loop:
    """Event loop in virtual time with a lossy, delaying network."""

    def __init__(self, seed: int, lag_ms: float = 1.5, loss: float = 0.0):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self._lag_ms = lag_ms
        self._loss = loss
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Calls `callback` after `delay_ms`."""
        at_ms = self.now_ms + max(0.0, delay_ms)
        heapq.heappush(self._queue, (at_ms, next(self._sequence), callback))

    def every(self, period_ms: float, callback: Callable[[], None]) -> None:
        """Calls `callback` every `period_ms`, from a random phase."""

        def run_and_reschedule() -> None:
            callback()
            self.after(period_ms, run_and_reschedule)

        self.after(self.rng.uniform(0, period_ms), run_and_reschedule)

    def send(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after the network lag, or never if lost."""
        if self.rng.random() >= self._loss:
            self.after(self.rng.uniform(0.3, 1.7) * self._lag_ms, callback)

    def run(self, until_ms: float) -> None:
        """Runs callbacks that are due until `until_ms`."""
        while self._queue and self._queue[0][0] <= until_ms:
            at_ms, _, callback = heapq.heappop(self._queue)
            self.now_ms = int(at_ms)
            callback()
        self.now_ms = int(until_ms)


class SimServer:
    """Simulated backend server with a prefix cache and a cold start.

    Attributes:
        info: The server as listed.
        in_flight: Tokens of each request in progress, by request id.
        load_tokens: Tokens of all requests in progress.
        completed: Requests completed since its start.
        started_ms: Time of its start, in ms.
        cold: Whether its concurrency limit starts at one.
        overloaded: Number of requests begun above the limit.
        cache: Cached tokens by chat, least recently used first.
        cache_capacity_tokens: Tokens that fit into the cache.
        cached_tokens: Tokens in the cache.
    """

    def __init__(
        self, info: Server, loop: Loop, cache_capacity_tokens: int = 400_000
    ):
        self.info = info
        self.loop = loop
        self.in_flight: dict[str, int] = {}
        self.load_tokens = 0
        self.peak = 0
        self.completed = WARM_COMPLETED
        self.started_ms = loop.now_ms - WARM_UPTIME_MS
        self.cold = False
        self.overloaded = 0
        self.cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.cache_capacity_tokens = cache_capacity_tokens
        self.cached_tokens = 0
        self._reports: list[tuple[int, LoadReport]] = []

    def concurrency_limit(self) -> int:
        """Returns the number of requests that it can handle at once.

        While cold this is one, and one more for each completed request.
        """
        if not self.cold:
            return self.info.capacity
        return min(self.info.capacity, 1 + self.completed)

    def begin(self, req: Req) -> int:
        """Begins a request; returns its prompt tokens found in cache."""
        self.in_flight[req.id] = req.weight
        self.load_tokens += req.weight
        if len(self.in_flight) > self.concurrency_limit():
            self.overloaded += 1
        return self._update_cache(req.chat, req.weight)

    def end(self, req: Req) -> None:
        """Ends a request."""
        if req.id in self.in_flight:
            self.load_tokens -= self.in_flight.pop(req.id)
            self.completed += 1

    def report(self) -> LoadReport:
        """Returns its current load report."""
        return LoadReport(
            self.info.name,
            self.info.incarnation,
            self.loop.now_ms - self.started_ms,
            len(self.in_flight),
            self.load_tokens,
            self.completed,
        )

    def _update_cache(self, chat: str, tokens: int) -> int:
        found = self.cache.pop(chat, 0)
        self.cached_tokens += max(found, tokens) - found
        self.cache[chat] = max(found, tokens)
        while self.cached_tokens > self.cache_capacity_tokens:
            self.cached_tokens -= self.cache.popitem(last=False)[1]
        return min(found, tokens)


def build_servers(
    count: int, centres: int, rng: random.Random, capacities: tuple[int, ...]
) -> list[Server]:
    """Returns servers of unequal capacity, spread over data centres."""
    return [
        Server(
            f"engine-{number}",
            f"host-{number}",
            f"dc-{number % centres}",
            POOL,
            "",
            1,
            rng.choice(capacities),
        )
        for number in range(count)
    ]


def build_entries(count: int, centres: int) -> list[EntryHost]:
    """Returns entry hosts spread over data centres of one region."""
    return [
        EntryHost(f"router-{number}", f"dc-{number % centres}", "r", "", "")
        for number in range(count)
    ]


def draw_weight(rng: random.Random) -> int:
    """Returns a number of tokens from a heavy-tailed distribution."""
    return int(min(MAX_TOKENS, MIN_TOKENS * rng.paretovariate(PARETO_SHAPE)))


def mean_weight() -> float:
    """Returns the mean of `draw_weight` in a sample of fixed seed."""
    rng = random.Random(0)
    return sum(draw_weight(rng) for _ in range(100_000)) / 100_000


def write_result(name: str, rows: list[dict[str, Any]]) -> None:
    """Prints the rows as a table and writes them as JSON."""
    OUT.mkdir(exist_ok=True)
    path = OUT / f"{name}.json"
    path.write_text(json.dumps(rows, indent=1), encoding="utf-8")
    heads = list(rows[0])
    cells = [
        [_format_cell(row.get(head, "")) for head in heads] for row in rows
    ]
    widths = [
        max(len(head), *(len(line[i]) for line in cells))
        for i, head in enumerate(heads)
    ]
    for line in [heads, *cells]:
        print("  ".join(c.rjust(w) for c, w in zip(line, widths)))


def plot_bars(
    name: str, rows: list[dict[str, Any]], group: str, value: str, bound: float
) -> None:
    """Writes a bar plot of `value` by policy, grouped by `group`.

    A positive `bound` is drawn as a dashed line.
    """
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    groups = list(dict.fromkeys(row[group] for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for number, policy in enumerate(policies):
        heights = [
            next(
                (
                    row[value]
                    for row in rows
                    if row["policy"] == policy and row[group] == item
                ),
                0,
            )
            for item in groups
        ]
        positions = [
            i + number / (len(policies) + 1) for i in range(len(groups))
        ]
        axes.bar(positions, heights, 1 / (len(policies) + 1), label=policy)
    axes.set_xticks(range(len(groups)), [f"{group}={g}" for g in groups])
    axes.set_ylabel(value)
    if bound:
        axes.axhline(bound, color="black", linestyle="--", label="bound")
    axes.legend(fontsize=7)
    figure.savefig(OUT / f"{name}.svg")
    pyplot.close(figure)


def _format_cell(cell: Any) -> str:
    return f"{cell:.3f}" if isinstance(cell, float) else str(cell)
