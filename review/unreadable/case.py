"""An entry of another writer has an address that can't be read."""

from __future__ import annotations

import asyncio
from collections import Counter
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import build_route, Fleet, run_case, ZONES  # noqa: E402

# With TROUBLE=0 the case does the same without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
WORKERS = 3
WARM_UP_S = 6.0
SPAN_S = 75.0
KEEP_ALIVE_S = 5
# With 24 connections each, 5.05 payments and 4 reads a second as on the
# sheet.
PAY_PACE_S = 4.75
READ_PACE_S = 6.0
# The workers fail 14 in 100 reads by themselves.
FAILING = {"saldo": 7}
MAX_CLOSED = 3

pays.DESIRED["routes"].append(
    build_route("/saldo/", "idempotent", "cuentas", max_attempts=2)
)


async def run(fleet: Fleet) -> bool:
    """Runs the case; returns whether the rule held."""
    for number in range(WORKERS):
        worker = fleet.add_worker(
            f"i-{number}", "cuentas", zone=ZONES[number], failing=FAILING
        )
        worker.keep_alive_s = KEEP_ALIVE_S
    await fleet.start(HOSTS, pays.DESIRED)
    payments = pays.Payments(fleet)
    reads = pays.Payments(fleet, "read", "GET /saldo/2f", b"")
    payments.start(PAY_PACE_S)
    reads.start(READ_PACE_S)
    await asyncio.sleep(WARM_UP_S)
    begun_ms = fleet.record.now_ms()
    if fleet.trouble:
        entry = {
            "service": "cuentas",
            "address": "127..0.1:8080",
            "zone": ZONES[0],
            "slots": 6,
            "state": "available",
        }
        fleet.store.put("servers/i-other", entry)
        fleet.record.add("other-writer", entry=entry)
    await asyncio.sleep(SPAN_S)
    await payments.stop()
    await reads.stop()
    return judge(fleet, payments, reads, begun_ms)


def judge(
    fleet: Fleet, payments: pays.Payments, reads: pays.Payments, begun_ms: int
) -> bool:
    """Counts the requests whose connections were closed without an answer."""
    say = fleet.record.say
    ran = {
        id for worker in fleet.workers.values() for id, _ in worker.arrivals
    }
    closed: Counter[str] = Counter()
    for name, sent in (("payments", payments), ("reads", reads)):
        ids = [id for id, at_ms in sent.sent_ms.items() if at_ms >= begun_ms]
        open_ids = [id for id in ids if not sent.replies[id].status]
        passed = [id for id in open_ids if id in ran and id in sent.kept]
        closed.update(sent.hosts[id] for id in passed)
        say(f"{name}: {len(ids)}, closed without an answer: {len(open_ids)}")
        say(f"of these passed on from a kept connection: {len(passed)}")
    say(f"such requests by machine: {dict(closed)}")
    return max(closed.values(), default=0) <= MAX_CLOSED


if __name__ == "__main__":
    run_case(__file__, run, 110, TROUBLE)
