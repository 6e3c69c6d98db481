"""A faulty worker sends a broken-off second answer before the next one."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import build_route, Fleet, run_case, ZONES  # noqa: E402
from common.http import encode_head, Head  # noqa: E402
from common.worker import Worker  # noqa: E402

# With TROUBLE=0 the case does the same without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
WORKERS = 3
# Site file: garble, how = "extra late", share 0.6, x 0.03.
FAULTY = 1
ONE_IN = 34
SPAN_S = 85.0
KEEP_ALIVE_S = 10
# With 24 connections each, 5.05 payments and 4 reads a second as on the
# sheet.
PAY_PACE_S = 4.75
READ_PACE_S = 6.0
# The workers fail 14 in 100 reads by themselves.
FAILING = {"saldo": 7}
LINES = {
    200: "HTTP/1.1 200 OK",
    500: "HTTP/1.1 500 Internal Server Error",
}
# Bytes after which the second answer is broken off.
EXTRA_BYTES = 14

pays.DESIRED["routes"].append(
    build_route("/saldo/", "idempotent", "cuentas", max_attempts=2)
)


class PlainWorker(Worker):
    """A worker that fails one in so many requests by itself.

    Attributes:
        faulty: Whether it sends second answers.
        extras: Second answers that it began.
        statuses: Status of its answer to each request.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.faulty = False
        self.extras = 0
        self.statuses: dict[str, int] = {}
        # Status of the last answer on each connection.
        self._last: dict[asyncio.StreamWriter, int] = {}
        self._counts: dict[str, int] = {}

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        head: Head,
        common: dict[str, str],
        id: str,
    ) -> None:
        kind = head.line.split("/")[1]
        count = self._counts[kind] = self._counts.get(kind, 0) + 1
        status = 500 if count % self.failing.get(kind, count + 1) == 0 else 200
        before = self._last.get(writer)
        due = len(self.statuses) >= ONE_IN * (self.extras + 1)
        if self.faulty and due and before not in (None, status):
            # Late, at the point where the next answer is expected.
            self.extras += 1
            self._record.add("extra", worker=self.id, before=id)
            writer.write(LINES[before].encode()[:EXTRA_BYTES])
        await asyncio.sleep(self.work_s)
        body = b"x" * 800 if status == 200 else b"own error"
        common["Response-Signature"] = f"{id}.{self.id}"
        common["Content-Length"] = str(len(body))
        writer.write(encode_head(LINES[status], common) + body)
        self.statuses[id] = self._last[writer] = status
        self._record.add("answered", worker=self.id, id=id, status=status)


async def run(fleet: Fleet) -> bool:
    """Runs the case; returns whether the rule held."""
    workers = []
    for number in range(WORKERS):
        id = f"i-{number}"
        worker = PlainWorker(
            id,
            "cuentas",
            fleet.store,
            fleet.record,
            (fleet.allocate(), 8080),
            zone=ZONES[number],
            failing=FAILING,
        )
        worker.keep_alive_s = KEEP_ALIVE_S
        fleet.workers[id] = worker
        workers.append(worker)
    await fleet.start(HOSTS, pays.DESIRED)
    for worker in workers[:FAULTY]:
        worker.faulty = fleet.trouble
    payments = pays.Payments(fleet)
    reads = pays.Payments(fleet, "read", "GET /saldo/2f", b"")
    payments.start(PAY_PACE_S)
    reads.start(READ_PACE_S)
    await asyncio.sleep(SPAN_S)
    await payments.stop()
    await reads.stop()
    return judge(fleet, workers, payments, reads)


def judge(
    fleet: Fleet,
    workers: list[PlainWorker],
    payments: pays.Payments,
    reads: pays.Payments,
) -> bool:
    """Compares what requesters got with what the workers answered."""
    say = fleet.record.say
    by_id = {worker.id: worker for worker in workers}
    wrong: dict[int, list[str]] = {200: [], 500: []}
    for id, reply in (payments.replies | reads.replies).items():
        signature = reply.headers.get("response-signature", "")
        worker = by_id.get(signature.partition(".")[2])
        if worker is not None and worker.statuses.get(id) != reply.status:
            wrong[reply.status].append(id)
    say(f"payments: {len(payments.replies)}, reads: {len(reads.replies)}")
    faulty = workers[0]
    say(f"answers of the faulty worker: {len(faulty.statuses)}")
    say(f"broken-off second answers: {faulty.extras}")
    successes, failures = wrong[200], wrong[500]
    say(f"200 where the worker answered 500: {len(successes)}: {successes}")
    say(f"500 where the worker answered 200: {len(failures)}: {failures}")
    return not (successes or failures)


if __name__ == "__main__":
    run_case(__file__, run, 115, TROUBLE)
