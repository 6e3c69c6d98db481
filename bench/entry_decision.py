"""Measures what an entry host's decisions cost, by hosts and servers.

Drives the decisions of one host with the reports of its peers: choosing a
server for a request of a chat, reading and merging a heartbeat, and what
each tick decides about the fleet.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import random
import time
from typing import Any, Final

from driver import write_result

from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.loads import PeerLoads
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.planner import Planner
from corianderdoor.core.entry.requests import CallerRequest, PromptPart
from corianderdoor.core.entry.routing import (
    DEFAULT_LIMITS,
    DesiredState,
    Route,
    RouteKind,
    Service,
)
from corianderdoor.core.entry.servers import BackendServer, digest_id
from corianderdoor.core.entry.windows import ColdRateLimiter, RetryBudget
from corianderdoor.entry.peer_codec import decode_heartbeat, encode_heartbeat

# Hosts and servers of the small, grown, large and two-year deployments.
SIZES: Final = ((8, 5), (66, 65), (195, 59), (330, 230))
CHATS: Final = 100
SERVERS_IN_USE: Final = 15
PARTS_PER_HEARTBEAT: Final = 3
US_PER_S: Final = 1e6


def build_planner(servers: int) -> Planner:
    """Returns a planner that knows `servers` warm servers."""
    planner = Planner(
        "own",
        "a",
        ColdRateLimiter(1.5, 5),
        RetryBudget(0.2, 56, 10_000),
        random.Random(1),
    )
    route = Route(
        *("chat", "host", "/", RouteKind.STREAM, 6_000, 1_000, 1),
        *((("llm", 1.0),), 2, True, True),
    )
    service = Service("llm", 1_400, 9.0, 200_000, 3_000)
    planner.set_desired(
        DesiredState(1, [route], [service], DEFAULT_LIMITS, {}, False)
    )
    for number in range(servers):
        place = "abcde"[number % 5]
        planner.servers.put(
            BackendServer(
                *(f"s{number}", "llm", "10.0.0.1", 8_000 + number, place),
                *(True, 48, 0.0, 1),
            ),
            0,
        )
    return planner


def build_heartbeat(name: str, servers: int, rng: random.Random) -> Heartbeat:
    """Returns a heartbeat of a host with requests in progress."""
    used = rng.sample(range(servers), min(servers, SERVERS_IN_USE))
    return Heartbeat(
        *(name, 1, 1, 0, False),
        tuple((digest_id(f"s{n}"), 2, 300) for n in used),
        tuple(
            (rng.getrandbits(64), digest_id(f"s{used[0]}"))
            for _ in range(PARTS_PER_HEARTBEAT)
        ),
        interval_ms=60_000,
    )


def build_request(number: int) -> CallerRequest:
    """Returns a request of one of `CHATS` chats."""
    parts = (
        PromptPart(f"shared{number % 4}", 2_500),
        PromptPart(f"chat{number % CHATS}", 3_700),
        PromptPart(f"own{number}", 500),
    )
    return CallerRequest(
        *(f"r{number}", "POST", "/x", "host", None, 6_000.0, parts, 6_700),
        *(None, [], b""),
    )


def measure_us(call: Callable[[int], Any], rounds: int) -> float:
    """Returns the time of one call in us, the best of three runs."""
    best = float("inf")
    for _ in range(3):
        started = time.perf_counter()
        for number in range(rounds):
            call(number)
        best = min(best, time.perf_counter() - started)
    return best / rounds * US_PER_S


def measure(hosts: int, servers: int, rounds: int) -> dict[str, Any]:
    """Returns a row of the table for a fleet of `hosts`."""
    rng = random.Random(1)
    planner = build_planner(servers)
    peers = Peers("own", 100.0, "a")
    beats = []
    for number in range(hosts - 1):
        name = f"h{number}"
        address = ("10.0.0.2", 9_000 + number)
        peers.add_listed(
            name, address, address, "abcde"[number % 5], 0, 10.0 * number
        )
        beats.append(build_heartbeat(name, servers, rng))
        peers.record_heartbeat(beats[-1], 0)

    def merge(number: int) -> None:
        beat = beats[number % len(beats)]
        loads = {f"s{n}": 2 for n in range(min(servers, SERVERS_IN_USE))}
        peers.record_heartbeat(beat, 0)
        planner.loads.update_peer(beat.sender, PeerLoads(60_000, loads, loads))

    def decide(number: int) -> None:
        flight = planner.admit(build_request(number), 0)
        step = planner.choose(flight, 0)
        planner.record_sent(flight, step.server, 0)
        planner.record_complete_answer(flight)

    def tick(number: int) -> None:
        planner.tick(0)
        peers.hosts_sharing_limits(0)
        peers.choose_active(0, True, False)
        peers.should_watch(0)

    merge_us = measure_us(merge, rounds)
    data = encode_heartbeat(beats[0])
    return {
        "hosts": hosts,
        "servers": servers,
        "decision_us": measure_us(decide, rounds),
        "merge_us": merge_us,
        "write_us": measure_us(lambda n: encode_heartbeat(beats[0]), rounds),
        "read_us": measure_us(lambda n: decode_heartbeat(data), rounds),
        "heartbeat_bytes": len(data),
        "tick_us": measure_us(tick, rounds),
    }


def main() -> None:
    """Measures each size and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=2_000)
    args = parser.parse_args()
    rows = [measure(hosts, servers, args.rounds) for hosts, servers in SIZES]
    write_result("entry_decision", rows)


if __name__ == "__main__":
    main()
