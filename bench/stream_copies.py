"""Measures what a host does for streams that may be resumed, by hosts.

Tells peers of a stream that begins, reads such a message, and keeps the ring
of hosts up to date. The messages are handed on without a network.
"""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import Any, cast, Final

from driver import write_result
from entry_decision import build_planner, US_PER_S

from corianderdoor.core.clock import SystemClock
from corianderdoor.core.entry.flights import Flight
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.requests import CallerRequest
from corianderdoor.core.entry.stream_homes import COPIES
from corianderdoor.entry.stream_registry import StreamRegistry

SIZES: Final = (8, 101, 330)
DATA_CENTRES: Final = 5
ROUNDS: Final = 2_000
TICKS_PER_S: Final = 10
# Streams that begin in a second at all hosts of the two-year size.
STREAMS_PER_S: Final = 23_000


class Network:
    """Takes datagrams and keeps the last one."""

    def __init__(self) -> None:
        self.data = b""

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Keeps a datagram."""
        self.data = data


def time_us(action: Callable[[int], object], rounds: int = ROUNDS) -> float:
    """Returns the mean time of an action in us."""
    begun = time.perf_counter()
    for number in range(rounds):
        action(number)
    return (time.perf_counter() - begun) / rounds * US_PER_S


def measure(hosts: int) -> dict[str, Any]:
    """Returns the costs at a host of a fleet of this size."""
    planner = build_planner(30)
    peers, clock, network = Peers("own"), SystemClock(), Network()
    for number in range(hosts - 1):
        address = (f"10.0.{number // 250}.{number % 250}", 1)
        centre = str(number % DATA_CENTRES)
        peers.add_listed(f"h{number}", address, address, centre, 0)
    registry = StreamRegistry(planner, peers, clock)
    registry.connection_made(cast(Any, network))
    registry.tick(clock.now_ms())
    server = next(iter(planner.servers.all()))
    assert planner.desired is not None
    (route,) = planner.desired.routes_of("llm")

    def begin(number: int) -> None:
        req = CallerRequest(
            *(f"r{number}", "POST", "/x", "host", None, 6_000.0),
            *((), 0, None, [], b""),
        )
        flight = Flight(req, route, "llm", None, clock.now_ms(), 1 << 60)
        flight.server = server
        registry.record_begun(flight)

    begin_us = time_us(begin)
    receive_us = time_us(
        lambda _: registry.datagram_received(network.data, ("h1", 2))
    )
    tick_us = time_us(lambda _: registry.tick(clock.now_ms()), 200)
    begun_per_s = STREAMS_PER_S / SIZES[-1]
    per_s_us = begun_per_s * (begin_us + COPIES * receive_us)
    per_s_us += tick_us * TICKS_PER_S
    return {
        "hosts": hosts,
        "bytes": len(network.data),
        "begin_us": round(begin_us, 1),
        "receive_us": round(receive_us, 1),
        "tick_us": round(tick_us, 1),
        "core_percent": round(per_s_us / US_PER_S * 100, 2),
    }


def main() -> None:
    """Measures each size and prints the results."""
    write_result("stream_copies", [measure(hosts) for hosts in SIZES])


if __name__ == "__main__":
    main()
