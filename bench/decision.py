"""Measures the cost of choosing a server among 5, 230 and 3,900.

Compares ways to find a chat's first server in one run: sorting all servers
by rendezvous hash, taking the maximum hash, and taking the first server of a
hash ring. Then measures a complete choice with its release, where the router
is home to its share of the servers, and the memory of the ring and of the
chats.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import random
import sys
import time
from typing import Any

from driver import build_entries, build_servers, POOL, write_result
import xxhash

from corianderdoor.core.affinity import AffinityTable
from corianderdoor.core.home_placement import HomePlacement
from corianderdoor.core.load_report import LoadReport
from corianderdoor.core.messages import Req
from corianderdoor.core.rendezvous import rank, Ring

REMAINING_MS = 10_000
SERVERS_PER_CENTRE = 230
ROUTERS_PER_CENTRE = 19


def measure_us(call: Callable[[str], Any], rounds: int) -> float:
    """Returns the time of one call in us, the best of three runs."""
    best = float("inf")
    for _ in range(3):
        started = time.perf_counter()
        for number in range(rounds):
            call(f"chat-{number}")
        best = min(best, time.perf_counter() - started)
    return best / rounds * 1e6


def measure(count: int, rounds: int) -> dict[str, Any]:
    """Returns a row of the table for `count` servers."""
    rng = random.Random(1)
    centres = max(1, count // SERVERS_PER_CENTRE)
    servers = build_servers(count, centres, rng, (64,))
    names = [server.name for server in servers]
    ring = Ring()
    started = time.perf_counter()
    ring.replace(servers)
    build_ms = (time.perf_counter() - started) * 1e3
    started = time.perf_counter()
    ring.replace(servers[1:])
    change_ms = (time.perf_counter() - started) * 1e3
    core = build_core(servers, centres)

    def choose(chat: str) -> None:
        req = Req(chat, "w", "/", "POST", chat, weight=500)
        chosen = core.choose(req, POOL, (), (), REMAINING_MS, 0)
        core.cancel(req, 0)
        if chosen.is_ok():
            core.release(req, servers[0], 0, True, 50)
        core.take_outbox()

    def find_highest(chat: str) -> str:
        raw = chat.encode()
        return max(
            names, key=lambda n: xxhash.xxh3_64_intdigest(raw + n.encode())
        )

    sort_us = measure_us(
        lambda chat: rank(chat, names), max(5, rounds // count)
    )
    ring_us = measure_us(lambda chat: next(ring.order(chat)), rounds)
    return {
        "servers": count,
        "sort_us": sort_us,
        "max_us": measure_us(find_highest, max(5, rounds // count)),
        "ring_us": ring_us,
        "sort_over_ring": sort_us / ring_us,
        "choose_us": measure_us(choose, rounds),
        "ring_build_ms": build_ms,
        "ring_change_ms": change_ms,
        "ring_kb": sys.getsizeof(ring._points) / 1024,
    }


def build_core(servers: list[Any], centres: int) -> HomePlacement:
    """Returns the placement of one router, with all servers warm.

    The handover of each server's state is ended at once.
    """
    entries = build_entries(ROUTERS_PER_CENTRE * centres, centres)
    core = HomePlacement("router-0", 1.5, random.Random(1))
    core.set_entries(entries, 0)
    core.set_servers(tuple(servers), 0)
    for state in core.admission.states.values():
        report = LoadReport(state.server.name, 1, 900_000, completed=9_999)
        core.apply_report(report, 0)
        state.apply_hand_off(state.hand_off(), 0)
    return core


def main() -> None:
    """Measures each number of servers and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=20_000)
    args = parser.parse_args()
    rows = [measure(count, args.rounds) for count in (5, 230, 3_900)]
    write_result("decision", rows)
    memory = AffinityTable()
    chats = memory.size_bytes // 16
    for number in range(9_100):
        memory.record(f"chat-{number}", "e1", number)
    found_chats = sum(
        bool(memory.find(f"chat-{n}", 9_100)) for n in range(9_100)
    )
    print(
        f"chat memory: {memory.size_bytes} bytes, {chats} slots, "
        f"{found_chats} of 9100 chats kept, "
        f"{memory.size_bytes / found_chats:.1f} bytes a kept chat"
    )


if __name__ == "__main__":
    main()
