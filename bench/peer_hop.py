"""Cost of a connection through a peer, beside a direct one.

One host of a small deployment reaches the servers itself, another one only
through the first; both send the same requests in turn.
"""

from __future__ import annotations

import argparse
import statistics
import time

import anyio
from driver import write_result
from loguru import logger

from corianderdoor.standins.platform_fleet import PlatformFleet, run_fleet

WARM_UP_REQUESTS = 40
DIRECT, RELAYED = "host-0", "host-1"


async def measure(fleet: PlatformFleet, host: str, id: str) -> float:
    """Returns the time of one read in ms."""
    started = time.perf_counter()
    reply = await fleet.chat(host, id, "/read/x")
    assert reply.status == 200, reply.status
    return 1_000 * (time.perf_counter() - started)


async def run(count: int) -> None:
    """Measures and prints the table."""
    times: dict[str, list[float]] = {DIRECT: [], RELAYED: []}
    async with run_fleet(engines=0, plain=2, hosts=2) as fleet:
        fleet.links[RELAYED].cut("refuse")
        for number in range(WARM_UP_REQUESTS + count):
            for host, found in times.items():
                found.append(await measure(fleet, host, f"{host}-{number}"))
    rows = []
    for host, name in ((DIRECT, "direct"), (RELAYED, "peer")):
        found = sorted(times[host][WARM_UP_REQUESTS:])
        rows.append(
            {
                "way": name,
                "requests": count,
                "median_ms": round(statistics.median(found), 2),
                "p95_ms": round(found[int(0.95 * len(found))], 2),
            }
        )
    write_result("peer_hop", rows)


def main() -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=400)
    args = parser.parse_args()
    logger.remove()
    anyio.run(run, args.count, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
