"""A machine starts after two restores that lost a desired state.

No case of the review: see "Shown, but given up" in REPORT.md.
"""

from __future__ import annotations

import asyncio
import copy
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import BOUNDS, CALLER_HOST, Fleet  # noqa: E402
from common.fleet import run_case, ZONES  # noqa: E402
from common.requester import ask_once  # noqa: E402

# With TROUBLE=0 the store comes back from a copy once.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
WORKERS = 3
# Key of a tenant that the second desired state takes away.
TAKEN_KEY = "k7x2taken9key"
# Age of the copy, how long the store is away, and the time between drills.
COPY_S = 4.0
STORE_DOWN_S = 1.0
NEXT_S = 3.0
PAYMENTS = 10


async def drill(fleet: Fleet, items: tuple[int, dict[str, dict]]) -> int:
    """Brings the store back from a copy; returns when."""
    fleet.store.stop()
    fleet.record.add("store-down")
    await asyncio.sleep(STORE_DOWN_S)
    fleet.store.restore(items)
    return fleet.record.add("store-back")


async def run(fleet: Fleet) -> bool:
    """Runs the case; returns whether the rule held."""
    for number in range(WORKERS):
        fleet.add_worker(f"i-{number}", "cuentas", zone=ZONES[number])
    first = copy.deepcopy(pays.DESIRED)
    first["tenants"].append({"name": "otro", "api_keys": [TAKEN_KEY]})
    await fleet.start(HOSTS, first)
    items = fleet.store.copy()
    await asyncio.sleep(0.2)
    acked_ms = fleet.write_desired(pays.DESIRED)
    await asyncio.sleep(COPY_S)
    back_ms = await drill(fleet, items)
    if fleet.trouble:
        await asyncio.sleep(NEXT_S)
        back_ms = await drill(fleet, fleet.store.copy())
    await asyncio.sleep(1)
    host = fleet.add_host()
    started_ms = fleet.record.now_ms()
    await fleet.wait_ready(host)
    touch_ms = max(back_ms, started_ms) + BOUNDS["connectivity_ms"]
    await asyncio.sleep((touch_ms - fleet.record.now_ms()) / 1_000 + 0.3)
    headers = {"Host": CALLER_HOST, "Authorization": f"Token {TAKEN_KEY}"}
    statuses = []
    for number in range(PAYMENTS):
        reply = await ask_once(
            fleet.record,
            host.front,
            f"pay-{number}",
            "POST /registro/2f",
            headers,
            b"p" * 600,
            pays.TIME_BUDGET_S,
        )
        statuses.append(reply.status)
    since_ms = fleet.record.now_ms() - acked_ms
    fleet.record.say(f"{since_ms} ms after the key was taken away:")
    served = statuses.count(200)
    fleet.record.say(f"payments with it: {PAYMENTS}, answered 200: {served}")
    return not served


if __name__ == "__main__":
    run_case(__file__, run, 60, TROUBLE)
