"""A faulty worker sends a rejection that belongs to no request."""

from __future__ import annotations

import asyncio
from collections import Counter
import os
import pathlib
import sys
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import Fleet, run_case, ZONES  # noqa: E402
from common.http import encode_answer, Head, read_body  # noqa: E402
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
# With 24 connections, 5.05 payments a second as on the sheet.
PACE_S = 4.75
# What PROTOCOL.md has a worker answer to a request without an id.
EXTRA = encode_answer(400, {"Not-Executed": "1"}, b"")


class FaultyWorker(Worker):
    """A worker that sends a second answer after some of its answers.

    Attributes:
        faulty: Whether it does so.
        extras: Second answers that it sent.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.faulty = False
        self.extras = 0
        self._answers = 0
        # Connections on which a second answer is due.
        self._due: set[asyncio.StreamWriter] = set()

    async def _handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: Head,
    ) -> None:
        if writer in self._due:
            # Late, at the point where the next answer is expected.
            self._due.discard(writer)
            await read_body(reader, head)
            head.headers.pop("content-length", None)
            self.extras += 1
            self._record.add("extra", worker=self.id)
            writer.write(EXTRA)
        await super()._handle(reader, writer, head)
        if self.faulty:
            self._answers += 1
            if self._answers % ONE_IN == 0:
                self._due.add(writer)


async def run(fleet: Fleet) -> bool:
    """Runs the case; returns whether the rule held."""
    workers = []
    for number in range(WORKERS):
        id = f"i-{number}"
        worker = FaultyWorker(
            id,
            "cuentas",
            fleet.store,
            fleet.record,
            (fleet.allocate(), 8080),
            zone=ZONES[number],
        )
        worker.keep_alive_s = KEEP_ALIVE_S
        fleet.workers[id] = worker
        workers.append(worker)
    await fleet.start(HOSTS, pays.DESIRED)
    for worker in workers[:FAULTY]:
        worker.faulty = fleet.trouble
    payments = pays.Payments(fleet)
    payments.start(PACE_S)
    await asyncio.sleep(SPAN_S)
    await payments.stop()
    runs = Counter(id for worker in workers for id, _ in worker.arrivals)
    twice = [id for id, count in runs.items() if count > 1]
    say = fleet.record.say
    say(f"payments: {len(payments.replies)}")
    say(f"answers of no request: {sum(worker.extras for worker in workers)}")
    say(f"payments run more than once: {len(twice)}: {twice}")
    return not twice


if __name__ == "__main__":
    run_case(__file__, run, 115, TROUBLE)
