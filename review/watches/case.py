"""Workers leave while the store cuts watches that wait."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import BOUNDS, Fleet, run_case, ZONES  # noqa: E402
from common.worker import Worker  # noqa: E402

# With TROUBLE=0 the store cuts no watch.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
PACE_S = 2.4
WARM_UP_S = 4.0
SPAN_S = 75.0
# Times between two cuts of all watches that wait, evenly spread.
CUT_S = (0.5, 1.5)
# A worker goes on serving for `drain_ms` and a little longer.
LINGER_S = 2.5


class SteadyWorker(Worker):
    """A worker whose entry changes only with more than its number."""

    _known: dict[str, object] | None = None

    def register(self) -> None:
        """Writes the entry if anything but the number has changed."""
        entry = self.build_entry()
        rest = {k: v for k, v in entry.items() if k != "sequence_number"}
        if rest != self._known:
            self._known = rest
            self._store.put(f"servers/{self.id}", entry)


class Case:
    """Replaces workers, and counts what reaches them too late."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ended = False
        self.left: list[tuple[Worker, int]] = []

    def add(self, number: int) -> Worker:
        """Adds a worker of the payments' service."""
        worker = SteadyWorker(
            f"i-{number}",
            "cuentas",
            self.fleet.store,
            self.fleet.record,
            (self.fleet.allocate(), 8080),
            zone=ZONES[number % len(ZONES)],
        )
        self.fleet.workers[worker.id] = worker
        return worker

    async def cut(self) -> None:
        """Cuts all watches that wait, again and again."""
        while not self.ended:
            await asyncio.sleep(random.uniform(*CUT_S))
            for writer in list(self.fleet.store.watches):
                writer.transport.abort()
            self.fleet.record.add("watches-cut")

    async def leave(self, worker: Worker) -> None:
        """Makes a worker leave without a word but its entry's removal."""
        worker.leave()
        at_ms = self.fleet.record.add("removed", worker=worker.id)
        self.left.append((worker, at_ms))
        await asyncio.sleep(LINGER_S)
        worker.end()

    async def run(self) -> bool:
        """Runs the case; returns whether the rule held."""
        live = [self.add(number) for number in range(pays.WORKERS)]
        await self.fleet.start(HOSTS, pays.DESIRED)
        payments = pays.Payments(self.fleet)
        payments.start(PACE_S)
        await asyncio.sleep(WARM_UP_S)
        tasks = []
        if self.fleet.trouble:
            tasks.append(asyncio.create_task(self.cut()))
        until_s = time.monotonic() + SPAN_S
        number = pays.WORKERS
        while time.monotonic() < until_s:
            worker = self.add(number)
            number += 1
            await worker.start()
            live.append(worker)
            await asyncio.sleep(1.5 + random.random())
            tasks.append(asyncio.create_task(self.leave(live.pop(0))))
            await asyncio.sleep(2.5)
        self.ended = True
        await payments.stop()
        await asyncio.gather(*tasks)
        return self.judge()

    def judge(self) -> bool:
        """Counts the requests that came later than `drain_ms`."""
        say = self.fleet.record.say
        late = []
        for worker, at_ms in self.left:
            bound_ms = at_ms + BOUNDS["drain_ms"]
            late += [at - at_ms for _, at in worker.arrivals if at > bound_ms]
        say(f"workers that left: {len(self.left)}")
        say(f"requests later than drain_ms: {len(late)}, after ms: {late}")
        return not late


async def run(fleet: Fleet) -> bool:
    """Runs the case."""
    return await Case(fleet).run()


if __name__ == "__main__":
    run_case(__file__, run, 110, TROUBLE)
