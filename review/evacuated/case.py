"""A machine is added after the store has lost an evacuation.

No case of the review: see "Shown, but given up" in REPORT.md.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import BOUNDS, CALLER_HOST, Fleet  # noqa: E402
from common.fleet import KEY, run_case, ZONES  # noqa: E402
from common.requester import ask_once  # noqa: E402

# With TROUBLE=0 the store doesn't come back from a copy.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
WORKERS = 3
ZONE = ZONES[1]
# Age of the copy, and how long the store is away.
COPY_S = 4.0
STORE_DOWN_S = 1.0
# Time from the store's return until the operator writes again.
AGAIN_S = 6.0
PAYMENTS = 10


async def pay(fleet: Fleet, address: tuple[str, int], id: str) -> None:
    """Sends a payment on a new connection."""
    headers = {"Host": CALLER_HOST, "Authorization": f"Token {KEY}"}
    line = "POST /registro/2f"
    rest = (headers, b"p" * 600, pays.TIME_BUDGET_S)
    await ask_once(fleet.record, address, id, line, *rest)


async def run(fleet: Fleet) -> bool:
    """Runs the case; returns whether the rule held."""
    for number in range(WORKERS):
        # The others are of one zone, so that most hosts have none near.
        zone = ZONE if number else ZONES[0]
        fleet.add_worker(f"i-{number}", "cuentas", zone=zone)
    await fleet.start(HOSTS, pays.DESIRED)
    copy = fleet.store.copy()
    await asyncio.sleep(0.2)
    fleet.store.put(f"op/evacuate/{ZONE}", {})
    acked_ms = fleet.record.add("evacuate", zone=ZONE)
    await asyncio.sleep(COPY_S)
    if fleet.trouble:
        fleet.store.stop()
        fleet.record.add("store-down")
        await asyncio.sleep(STORE_DOWN_S)
        fleet.store.restore(copy)
    back_ms = fleet.record.add("store-back")
    host = fleet.add_host()
    started_ms = fleet.record.now_ms()
    await fleet.wait_ready(host)
    touch_ms = max(back_ms, started_ms) + BOUNDS["connectivity_ms"]
    await asyncio.sleep((touch_ms - fleet.record.now_ms()) / 1_000 + 0.3)
    for number in range(PAYMENTS):
        await pay(fleet, host.front, f"pay-{number}")
    asked_ms = fleet.record.now_ms()
    await asyncio.sleep(AGAIN_S - (asked_ms - back_ms) / 1_000)
    fleet.store.put(f"op/evacuate/{ZONE}", {})
    fleet.record.add("evacuate-again", zone=ZONE)
    bound_ms = acked_ms + BOUNDS["evacuation_ms"]
    late = [
        id
        for worker in fleet.workers.values()
        for id, at_ms in worker.arrivals
        if worker.zone == ZONE and at_ms > bound_ms
    ]
    fleet.record.say(f"payments: {PAYMENTS}, in the zone: {len(late)}")
    return not late


if __name__ == "__main__":
    run_case(__file__, run, 60, TROUBLE)
