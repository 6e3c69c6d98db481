"""Measures falls of brittle servers and served requests, by fleet size.

Each scenario runs with hosts that ignore the servers' announcement and with
hosts that use it.
"""

from __future__ import annotations

import argparse
import time
from typing import Any, Final

from driver import write_result

from corianderdoor.standins.brittle_fleet import BrittleFleet
from corianderdoor.standins.brittle_scenario import Scenario

# Hosts and servers of the small, grown and large deployments.
SIZES: Final = ((8, 5), (66, 24), (195, 24))
# Rejections in a second that a server bears.
LIMITS: Final = (2, 6)
SURGES: Final = (0.6, 1.5)


def measure(scenario: Scenario) -> dict[str, Any]:
    """Returns a row of the table."""
    started = time.perf_counter()
    result = BrittleFleet(scenario).run()
    return {
        "hosts": scenario.hosts,
        "servers": scenario.servers,
        "limit": scenario.limit,
        "surge": scenario.surge,
        "brittle": scenario.brittle,
        "policy": "rooms" if scenario.uses_signs else "none",
        "falls": result.falls,
        "allowed": result.allowed,
        "rejections": result.rejections,
        "served_percent": round(
            100 * result.served_brittle / result.arrived_brittle, 1
        ),
        "run_s": round(time.perf_counter() - started, 1),
    }


def main() -> None:
    """Measures each scenario and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, nargs="*")
    args = parser.parse_args()
    rows = [
        measure(
            Scenario(
                *(hosts, servers, limit),
                uses_signs=uses_signs,
                surge=surge,
                seed=args.seed,
            )
        )
        for hosts, servers in SIZES
        if not args.hosts or hosts in args.hosts
        for limit in LIMITS
        for surge in SURGES
        for uses_signs in (False, True)
    ]
    write_result("brittle", rows)


if __name__ == "__main__":
    main()
