"""Measures the slopes behind docs/CAPACITY.md and rewrites its tables.

Each quantity is measured at four sizes, fitted by a line and evaluated at
the target size. Memory is what Python allocates (`tracemalloc`), without
the interpreter and the libraries. Times are CPU times of this process.

    python bench/capacity.py                 # prints the tables
    python bench/capacity.py --write         # also rewrites docs/CAPACITY.md
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import gc
import pathlib
import random
import resource
import sys
import time
import tracemalloc
from typing import Any

from driver import build_entries, build_servers, POOL
import numpy

from corianderdoor.adapters.keyring import Keyring
from corianderdoor.adapters.otel import OtelTelemetry
import corianderdoor.adapters.peer_capnp  # noqa: F401 - registers codecs
from corianderdoor.adapters.peer_codec import DatagramEncoder
from corianderdoor.core.affinity import AffinityTable
from corianderdoor.core.config import Config
from corianderdoor.core.dispatch import Dispatcher
from corianderdoor.core.errors import Outcome
from corianderdoor.core.home_placement import HomePlacement
from corianderdoor.core.limits import Limits
from corianderdoor.core.membership import Membership
from corianderdoor.core.membership_events import HostsListed
from corianderdoor.core.membership_messages import State, Update
from corianderdoor.core.messages import Arrived, Req
from corianderdoor.core.permits import Ask
from corianderdoor.core.placement import BoundedPlacement
from corianderdoor.core.quota import Quota
from corianderdoor.core.quota_messages import QuotaAsk, WorkspaceLimit
from corianderdoor.core.retry import RetryBudget
from corianderdoor.core.rules import Rule
from corianderdoor.core.rules_text import parse_rules
from corianderdoor.core.tickets import TicketIssuer
from corianderdoor.ports.telemetry import RequestEnd

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- tables: begin -->", "<!-- tables: end -->"
ROUTERS, SERVERS, CENTRES = 330, 3_900, 17
REQUESTS_S, TOKENS_S = 23_000, 8_300_000
CHATS, WORKSPACES = 3_000_000, 700
RULES = 1_000
HEADER_BYTES = 28  # IPv4 and UDP


class Slope:
    """A line fitted to measured points.

    Attributes:
        name: What was measured.
        unit: Unit of the values.
        sizes: The sizes measured.
        values: The value measured at each size.
        target: The size in a large fleet.
    """

    __slots__ = ("name", "unit", "sizes", "values", "target", "_line")

    def __init__(
        self,
        name: str,
        unit: str,
        sizes: list[int],
        values: list[float],
        target: int,
    ) -> None:
        self.name = name
        self.unit = unit
        self.sizes = sizes
        self.values = values
        self.target = target
        self._line = numpy.polyfit(sizes, values, 1)

    def error(self) -> float:
        """Returns the worst deviation relative to the largest value."""
        fitted = numpy.polyval(self._line, self.sizes)
        spread = max(abs(value) for value in self.values) or 1.0
        return float(max(abs(fitted - self.values)) / spread)

    def row(self) -> str:
        """Returns a row of the table."""
        measured = " / ".join(f"{value:.4g}" for value in self.values)
        sizes = " / ".join(f"{size:,}" for size in self.sizes)
        large = numpy.polyval(self._line, self.target)
        return (
            f"| {self.name} | {sizes} | {measured} | "
            f"{self._line[0]:.3g} {self.unit} | {self.error():.1%} | "
            f"{self.target:,} | {large:,.0f} {self.unit} |"
        )


def measure_kb(build: Callable[[], Any]) -> float:
    """Returns the memory of what `build` returns, in KB."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return (after - before) / 1e3


def measure_cpu_us(call: Callable[[int], Any], rounds: int) -> float:
    """Returns the CPU time of one call in us, the best of three runs."""
    best = float("inf")
    for _ in range(3):
        started = time.process_time()
        for number in range(rounds):
            call(number)
        best = min(best, time.process_time() - started)
    return best / rounds * 1e6


def build_placement(servers: int) -> HomePlacement:
    """Returns a router's placement in a fleet scaled to `servers`."""
    rng = random.Random(1)
    centres = max(1, round(servers * CENTRES / SERVERS))
    routers = max(2, round(servers * ROUTERS / SERVERS))
    core = HomePlacement("entry-0", 1.5, rng, 1)
    core.set_entries(build_entries(routers, centres), 0)
    listed = build_servers(servers, centres, rng, (64,))
    core.set_servers(tuple(listed), 0)
    return core


def build_members(count: int) -> Membership:
    """Returns a membership with `count` daemons."""
    entries = build_entries(count, max(1, count * CENTRES // ROUTERS))
    own = entries[0]
    update = Update(
        own.name, 1, 0, State.ALIVE, own.control, own.data_centre, own.region
    )
    members = Membership(update, random.Random(1), 0)
    members.handle(HostsListed(tuple(entries)), 0)
    return members


def build_dispatcher(count: int) -> Dispatcher:
    """Returns a dispatcher with `count` requests in progress."""
    placement = BoundedPlacement(1.5)
    placement.set_servers(
        tuple(build_servers(4, 1, random.Random(1), (count,))), 0
    )
    core = Dispatcher(
        placement, Limits("entry-0"), RetryBudget(random.Random(1))
    )
    text = f"path=/v1/* -> {POOL} idempotent=yes # bench"
    rules = parse_rules(text).default_value(None)  # type: ignore[arg-type]
    core.set_config(Config(1, "c", "bench", text, rules))
    for number in range(count):
        req = Req(f"r{number}", "w", "/v1/chat", "POST", f"chat-{number}")
        core.handle(Arrived(req), 0, 0)
    return core


def build_tickets(count: int) -> TicketIssuer:
    """Returns a ticket issuer whose `count` tickets are in use."""
    issuer = TicketIssuer("entry-0", 1, b"s" * 32, random.Random(1), count)
    for _ in range(count):
        key = issuer.mint("w", 0)
        issuer.admit("w", key, b"d" * 16, frozenset({"entry-0"}), 0)
    return issuer


def build_quota(count: int) -> Quota:
    """Returns a quota with `count` slots in use."""
    quota, rule = Quota(), Rule(1)
    rule.pool, rule.rate, rule.concurrency = POOL, 50, 20
    for number in range(count):
        quota.admit(f"workspace-{number}", rule, 0)
    return quota


def build_telemetry(count: int) -> OtelTelemetry:
    """Returns metrics after requests of `count` workspaces and an export."""
    telemetry = OtelTelemetry("router", "entry-0", 1, "dc-0")
    for number in range(count):
        telemetry.record_end(
            RequestEnd(
                f"workspace-{number}",
                POOL,
                "POST",
                200,
                Outcome.RUN,
                None,
                500,
                200,
                20.0,
            )
        )
    for _ in telemetry.export_protobuf():
        pass
    return telemetry


def measure_choice_us(servers: int) -> float:
    """Returns the CPU time of one choice of a server and its cancellation."""
    core = build_placement(servers)

    def choose(number: int) -> None:
        chat = f"chat-{number}"
        req = Req(chat, "w", "/", "POST", chat, weight=500)
        core.choose(req, POOL, (), (), 10_000, 0)
        core.cancel(req, 0)
        core.take_outbox()

    return measure_cpu_us(choose, 3_000)


def measure_match_us(rules: int) -> float:
    """Returns the CPU time of matching the last of `rules` rules."""
    lines = [f"workspace=w{n} -> p # bench" for n in range(rules)]
    found = parse_rules("\n".join(lines)).default_value(None)  # type: ignore
    last = f"w{rules - 1}"
    return measure_cpu_us(lambda _: found.find(last, "/", "GET", "", 0), 200)


def measure(name: str, unit: str, build: Any, target: int, *sizes: int) -> Any:
    """Returns the slope of the values that `build` returns by size."""
    return Slope(name, unit, list(sizes), [build(s) for s in sizes], target)


def measure_memory() -> list[Slope]:
    """Returns the slopes of memory, in KB."""

    def kb(build: Callable[[int], Any]) -> Callable[[int], float]:
        return lambda size: measure_kb(lambda: build(size))

    return [
        measure(
            "router: view of the servers and routers, per server",
            "KB",
            kb(build_placement),
            SERVERS,
            *(250, 500, 1_000, 2_000),
        ),
        measure(
            "router: membership, per daemon",
            "KB",
            kb(build_members),
            ROUTERS,
            *(40, 80, 160, 320),
        ),
        measure(
            "router: memory of chats, per slot",
            "KB",
            kb(lambda size: AffinityTable(size // 4)),
            16_384,
            *(1_024, 4_096, 8_192, 16_384),
        ),
        measure(
            "router: requests in progress, each, without bodies",
            "KB",
            kb(build_dispatcher),
            1_000,
            *(250, 500, 1_000, 2_000),
        ),
        measure(
            "router: minted keys in use, each",
            "KB",
            kb(build_tickets),
            5_000,
            *(500, 1_000, 2_000, 4_000),
        ),
        measure(
            "router: limits in use, each",
            "KB",
            kb(build_quota),
            WORKSPACES,
            *(100, 200, 400, 700),
        ),
        measure(
            "router: metrics, per workspace and pool seen",
            "KB",
            kb(build_telemetry),
            1_333,
            *(100, 200, 400, 800),
        ),
    ]


def measure_cpu() -> list[Slope]:
    """Returns the slopes of CPU time, in us."""
    return [
        measure(
            "choice of a server and release, per server",
            "us",
            measure_choice_us,
            SERVERS,
            *(500, 1_000, 2_000, 3_900),
        ),
        measure(
            "match of the last rule, per rule",
            "us",
            measure_match_us,
            RULES,
            *(125, 250, 500, 1_000),
        ),
    ]


def measure_messages() -> list[str]:
    """Returns the table rows of datagram sizes, as encoded."""
    encoder = DatagramEncoder(
        Keyring(["k" * 32]), "entry-0", 1_796_000_000_000
    )
    limit = WorkspaceLimit("workspace-17", POOL, 50, 20)
    bodies = {
        "permit asked": Ask(1 << 60, "server-0001", 500, 60_000),
        "limit asked": QuotaAsk(limit, 77, 3, 5, 2, 1_500),
    }
    return [
        f"| {name} | "
        f"{len(encoder.encode('entry-1', body).ok) + HEADER_BYTES} B |"
        for name, body in bodies.items()
    ]


def render() -> str:
    """Measures everything and returns the tables."""
    head = (
        "| what | sizes | measured | slope | worst error | large size | "
        "there |\n|---|---|---|---|---|---|---|"
    )
    build_dispatcher(1)  # loads the rules parser
    measure_choice_us(250)  # warm-up
    rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3
    memory = "\n".join(slope.row() for slope in measure_memory())
    cpu = "\n".join(slope.row() for slope in measure_cpu())
    messages = "\n".join(measure_messages())
    return (
        f"### Memory\n\n{head}\n{memory}\n\n"
        f"The interpreter with every library of the router and of this "
        f"bench: {rss_mb:.0f} MB resident before anything is built.\n\n"
        f"### CPU\n\n{head}\n{cpu}\n\n"
        f"### Datagrams, with IP and UDP headers\n\n"
        f"| message | size |\n|---|---|\n{messages}\n"
    )


def main() -> int:
    """Prints the tables; `--write` puts them into docs/CAPACITY.md."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    tables = render()
    print(tables)
    if args.write:
        text = PAGE.read_text(encoding="utf-8")
        head, _, rest = text.partition(BEGIN)
        _, _, tail = rest.partition(END)
        PAGE.write_text(f"{head}{BEGIN}\n\n{tables}\n{END}{tail}", "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
