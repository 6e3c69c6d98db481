"""Workers ask for a pause of 90 s, and get requests after 60 s.

No case of the review: see "Shown, but given up" in REPORT.md.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import Fleet, run_case, ZONES  # noqa: E402
from common.http import encode_answer, Head, read_body  # noqa: E402
from common.worker import Worker  # noqa: E402

# With TROUBLE=0 no worker turns a request away.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
WORKERS = 3
PACE_S = 1.0
# How long the workers turn requests away, and the pause that they ask for.
TURNING_S = 4.0
PAUSE_S = 90
REST_S = 92.0
# Time after an answer in which requests may still arrive, and their number.
SLACK_MS = 500
MAX_REQUESTS = 2


class PausingWorker(Worker):
    """A worker that turns requests away for a while.

    Attributes:
        is_turning: Whether it turns requests away.
        turned: Id and time in ms of each request that it has turned away.
    """

    is_turning = False
    turned: list[tuple[str, int]]

    async def _handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: Head,
    ) -> None:
        id = head.headers.get("attempt-id", "")
        if not (self.is_turning and id):
            await super()._handle(reader, writer, head)
            return
        await read_body(reader, head)
        self.turned.append((id, self._record.add("turned", id=id)))
        headers = {
            "Attempt-Id": id,
            "Not-Executed": "1",
            "Retry-After": str(PAUSE_S),
        }
        writer.write(encode_answer(503, headers, b""))


def find_early(worker: PausingWorker, hosts: dict[str, str]) -> dict[str, int]:
    """Returns the requests by host that came before a pause was over.

    Args:
        worker: The worker.
        hosts: Name of the host that each request was sent to.
    """
    asked: dict[str, int] = {}
    for id, at_ms in worker.turned:
        asked.setdefault(hosts[id], at_ms)
    early: dict[str, int] = {}
    for id, at_ms in worker.arrivals:
        name = hosts[id]
        if name not in asked:
            continue
        passed_ms = at_ms - asked[name]
        if SLACK_MS < passed_ms < PAUSE_S * 1_000:
            early[name] = early.get(name, 0) + 1
    return early


async def run(fleet: Fleet) -> bool:
    """Runs the case; returns whether the rule held."""
    workers = []
    for number in range(WORKERS):
        worker = PausingWorker(
            f"i-{number}",
            "cuentas",
            fleet.store,
            fleet.record,
            (fleet.allocate(), 8080),
            zone=ZONES[number],
        )
        worker.turned = []
        fleet.workers[worker.id] = worker
        workers.append(worker)
    await fleet.start(HOSTS, pays.DESIRED)
    payments = pays.Payments(fleet)
    payments.start(PACE_S)
    await asyncio.sleep(pays.WARM_UP_S)
    for worker in workers:
        worker.is_turning = fleet.trouble
    await asyncio.sleep(TURNING_S)
    for worker in workers:
        worker.is_turning = False
    await asyncio.sleep(REST_S)
    await payments.stop()
    held = True
    for worker in workers:
        early = find_early(worker, payments.hosts)
        fleet.record.say(f"{worker.id}: requests in the pause: {early}")
        held = held and max(early.values(), default=0) <= MAX_REQUESTS
    return held


if __name__ == "__main__":
    run_case(__file__, run, 118, TROUBLE)
