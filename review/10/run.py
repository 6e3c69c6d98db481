"""An old write of a worker's entry is executed after it began to drain."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
import time

from fleet2.fleet import build_config, build_route, chat, run_case
from fleet2.worker import Worker

HOSTS = 3
WORKERS = 4
RATE = 60.0
# Share of payments among the requests, as on the site.
PAYMENTS = 0.56
# How late the store executes the write whose answer was lost, when the worker
# begins to drain, and when it exits, all counted from that write.
LATE_S = float(os.environ.get("LATE_S", "5.3"))
DRAIN_AT_S = 3.2
EXIT_AT_S = float(os.environ.get("EXIT_AT_S", "5.9"))
CONNECTIVITY_S = 3.0
DRAIN_S = 2.0


class Callers:
    """Sends payments and readings at a steady rate."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = {}
        self.answers = {}
        self._rng = random.Random()
        self._tasks = set()
        self._number = 0

    async def run(self, seconds):
        """Sends for some seconds and waits for the answers."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.expovariate(RATE))
            task = asyncio.create_task(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _ask(self):
        self._number += 1
        path = "/pay/x" if self._rng.random() < PAYMENTS else "/read/x"
        host = self._rng.choice(self.fleet.hosts)
        attempt = f"{path[1:4]}-{self._number}"
        self.sent[attempt] = time.monotonic()
        self.answers[attempt] = await chat(
            self.fleet, host, attempt, path, deadline_ms=1000
        )


async def disturb(fleet, worker):
    """Lets the store execute a write late, while its worker drains.

    Returns:
        When the store accepted that the worker drains.
    """
    # The answer to the next write is lost; the store executes it later. The
    # worker goes on with its further ones.
    sent = asyncio.Event()
    worker.late = LATE_S, sent
    await sent.wait()
    began = time.monotonic()
    await asyncio.sleep(began + DRAIN_AT_S - time.monotonic())
    worker.drain()
    drained = time.monotonic()
    await asyncio.sleep(began + EXIT_AT_S - time.monotonic())
    worker.leave()
    return drained


async def main(fleet, trouble):
    """Returns whether the rule held."""
    routes = [
        build_route("/pay/", "non_idempotent", "accounts", timeout_ms=1000),
        build_route("/read/", "idempotent", "accounts", timeout_ms=1000),
    ]
    fleet.store.put_json(
        "op/config", build_config(1, routes, {"accounts": {}})
    )
    workers = [
        Worker(
            fleet.record,
            fleet.store,
            f"i-{number}",
            "accounts",
            fleet.allocate_address(),
            slots=6,
        )
        for number in range(WORKERS)
    ]
    for worker in workers:
        worker.plain = True
        worker.work_s = 0.09
        await worker.start()
    await fleet.start_hosts()
    callers = Callers(fleet)
    load = asyncio.create_task(callers.run(14.0))
    await asyncio.sleep(3.0)
    worker = workers[0]
    drained = None
    if trouble:
        drained = await disturb(fleet, worker)
    else:
        worker.drain()
        drained = time.monotonic()
        await asyncio.sleep(EXIT_AT_S - DRAIN_AT_S)
        worker.leave()
    await load
    late = [
        attempt
        for at, attempt, _ in worker.arrivals
        if at > drained + DRAIN_S and callers.sent[attempt] > drained
    ]
    lost = [
        attempt
        for attempt in late
        if attempt.startswith("pay")
        and callers.answers[attempt].status not in (200, 503)
    ]
    for attempt in late:
        fleet.record(
            "reached too late",
            attempt=attempt,
            after_drain_s=f"{callers.sent[attempt] - drained:.3f}",
            status=callers.answers[attempt].status,
        )
    others = sum(answer.status != 200 for answer in callers.answers.values())
    fleet.record(
        "result",
        too_late=len(late),
        payments_cut_off=len(lost),
        not_served=others,
        sent=len(callers.sent),
    )
    print(
        f"{len(late)} requests reached the worker over {DRAIN_S:g} s after it "
        f"drained; {len(lost)} payments among them were cut off"
    )
    return not late


if __name__ == "__main__":
    contracts = ["base", "drain", "config", "cost", "retry", "recover"]
    contracts += ["engine", "stream", "tenants", "places", "platform"]
    folder = pathlib.Path(__file__).resolve().parent
    # TROUBLE=0 leaves the disruption out.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(main, folder, HOSTS, contracts, trouble))
