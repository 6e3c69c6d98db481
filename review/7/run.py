"""A late part of long prompts crashes each worker that answers on it."""

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
WORKERS = 6
RATE = 15.0
BAD_RATE = 1.0
SECONDS = 50.0
# Parts that the requests share before the one that crashes workers.
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "9"))
BAD_PART = "bad0"
DOWN_S = 2.5
CONNECTIVITY_S = 3.0
ALLOWED = 3


class FragileWorker(Worker):
    """Crashes when it begins to answer on the bad part.

    Attributes:
        fragile: Whether the bad part crashes it.
        crashes: Times of its crashes.
        reached: Times at which requests with the bad part reached it.
    """

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.fragile = False
        self.crashes = []
        self.reached = []
        self.restarts = set()

    async def _answer(self, request, writer):
        if f"{BAD_PART}:" in request.get("prompt-prefix"):
            self.reached.append(time.monotonic())
            if self.fragile:
                await asyncio.sleep(self.work_s)
                self.crashes.append(time.monotonic())
                task = asyncio.create_task(self._come_back())
                self.restarts.add(task)
                self.crash()
                return
        await super()._answer(request, writer)

    async def _come_back(self):
        await asyncio.sleep(DOWN_S)
        await self.start()


class Callers:
    """Sends sound requests, and some with the bad part."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.statuses = []
        self._rng = random.Random()
        self._tasks = set()
        self._number = 0

    async def run(self, rate, part, seconds):
        """Sends requests whose last shared part is `part`."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.expovariate(rate))
            task = asyncio.create_task(self._ask(part))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.gather(*self._tasks)

    async def _ask(self, part):
        self._number += 1
        number = self._number
        name = part or f"f{self._rng.randrange(8):x}"
        parts = [f"d{n:x}:120" for n in range(SHARED_PARTS)]
        parts += [f"{name}:150", f"e{number:x}:80"]
        headers = [
            ("Model-Name", "m"),
            ("Token-Usage", f"{120 * SHARED_PARTS + 230},40"),
            ("Prompt-Prefix", ",".join(parts)),
        ]
        answer = await chat(
            self.fleet,
            self._rng.choice(self.fleet.hosts),
            f"{'bad' if part else 'sound'}-{number}",
            headers=headers,
            deadline_ms=4000,
            body=f"question {number}".encode(),
        )
        if not part:
            self.statuses.append(answer.status if answer.complete else 0)


async def main(fleet, trouble):
    """Returns whether the rule held."""
    route = build_route("/chat/", "streaming", "engines", timeout_ms=4000)
    fleet.store.put_json(
        "op/config", build_config(1, [route], {"engines": {}})
    )
    workers = [
        FragileWorker(
            fleet.record,
            fleet.store,
            f"i-{number}",
            "engines",
            fleet.allocate_address(),
        )
        for number in range(WORKERS)
    ]
    for worker in workers:
        worker.fragile = trouble
        worker.events = 10
        await worker.start()
    await fleet.start_hosts()
    callers = Callers(fleet)
    sound = asyncio.create_task(callers.run(RATE, "", SECONDS + 6.0))
    await asyncio.sleep(5.0)
    await callers.run(BAD_RATE, BAD_PART, SECONDS)
    await sound
    crashes = sorted(sum((worker.crashes for worker in workers), []))
    reached = sorted(sum((worker.reached for worker in workers), []))
    late = []
    if len(crashes) >= 5:
        late = [at for at in reached if at > crashes[4] + CONNECTIVITY_S]
    served = sum(status == 200 for status in callers.statuses)
    fleet.record(
        "result",
        crashes=len(crashes),
        reached=len(reached),
        reached_too_late=len(late),
        sound_served=served,
        sound=len(callers.statuses),
    )
    print(
        f"{len(crashes)} crashes; {len(late)} requests reached workers later "
        f"than {CONNECTIVITY_S:g} s after the fifth, {ALLOWED} allowed; "
        f"{served} of {len(callers.statuses)} sound ones served"
    )
    return len(late) <= ALLOWED


if __name__ == "__main__":
    contracts = ["base", "drain", "config", "cost", "retry", "recover"]
    contracts += ["engine", "stream", "tenants", "places", "platform"]
    folder = pathlib.Path(__file__).resolve().parent
    # TROUBLE=0 leaves the disruption out.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(main, folder, HOSTS, contracts, trouble))
