"""Streams that begin in an outage of the store can't be taken up after it."""

from __future__ import annotations

import asyncio
from collections import Counter
import os
import pathlib
import random
import re
import sys
import time

from fleet2.fleet import build_config, build_route, chat, run_case
from fleet2.worker import Worker

HOSTS = 3
# Workers and streams a second as in the sheet.
WORKERS = 5
RATE = 20.2
# Share of the answers that a worker loses, and for how long: three of five
# workers do so, and later the other two. LOSE=0 leaves this out.
LOSE = os.environ.get("LOSE", "1") != "0"
LOST_SHARE = float(os.environ.get("LOST_SHARE", "0.4"))
LOST_S = 4.0
CALM_S = 6.0
STORE_DOWN_S = 8.0
# The streams begin this long after the store went down, and one worker goes
# down this long after the store is back: calm hosts are in touch from 3 s on.
BEGIN_S = 2.0
CRASH_AFTER_S = 3.8
WORKER_DOWN_S = 3.5
EVENTS = 120
GAP_S = 0.1
TIME_S = 15.0
TRIES = 4
FEWEST = 12


class LossyWorker(Worker):
    """Runs requests and loses some of the answers.

    Attributes:
        lost_share: Share of the answers that it loses.
    """

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.lost_share = 0.0
        self._rng = random.Random()

    async def _answer(self, request, writer):
        if self._rng.random() >= self.lost_share:
            await super()._answer(request, writer)
            return
        attempt = request.get("attempt-id")
        self.arrivals.append((time.monotonic(), attempt, request.target))
        self.runs.append((attempt, self.version))
        self._record("answer lost", worker=self.id, attempt=attempt)
        await asyncio.sleep(self.work_s)
        writer.transport.abort()


class Stream:
    """One stream of a requester, with its tries.

    Attributes:
        first: Attempt that brought the first event; empty before it.
        numbers: Ids of the events so far.
        taken_up: When it was taken up first; 0 if it was not.
        went_on: Whether a later try brought an event.
        whole: Whether it has come to its end.
    """

    def __init__(self, fleet, name, rng):
        self.name = name
        self.first = ""
        self.numbers = []
        self.taken_up = 0.0
        self.went_on = False
        self.whole = False
        self._fleet = fleet
        self._rng = rng

    async def run(self, events=EVENTS):
        """Asks until the stream is whole, or the tries or the time end."""
        end = time.monotonic() + TIME_S
        for turn in range(TRIES):
            left_s = end - time.monotonic()
            if left_s <= 0.3:
                return
            if turn and self.first and not self.taken_up:
                self.taken_up = time.monotonic()
            answer = await self._ask(turn, events, left_s)
            found = re.findall(rb"id: (\d+)\n[^\n]*\n\n", answer.body)
            if answer.status == 200 and found:
                if self.first:
                    self.went_on = True
                self.first = self.first or f"{self.name}-{turn}"
                self.numbers += map(int, found)
            if answer.status == 200 and answer.complete:
                self.whole = True
                return
            wait_s = float(answer.headers.get("retry-after", "0.05"))
            await asyncio.sleep(min(wait_s, (end - time.monotonic()) / 3))

    async def _ask(self, turn, events, left_s):
        headers = [
            ("Model-Name", "m"),
            ("Token-Usage", "650,360"),
            ("Prompt-Prefix", f"f0:100,{self.name.encode().hex()}:550"),
            ("X-Events", str(events)),
        ]
        if self.first:
            headers.append(("Resumes", self.first))
            headers.append(("Last-Event-Id", str(self.numbers[-1])))
        return await chat(
            self._fleet,
            self._rng.choice(self._fleet.hosts),
            f"{self.name}-{turn}",
            headers=headers,
            deadline_ms=int(left_s * 1000),
        )


class Callers:
    """Begin streams at a steady rate."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._rng = random.Random()

    async def begin(self, name, seconds, events=EVENTS):
        """Begins streams for some seconds; returns them and their tasks."""
        streams = []
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.expovariate(RATE))
            stream = Stream(self._fleet, f"{name}{len(streams)}", self._rng)
            streams.append(stream)
            tasks.append(asyncio.create_task(stream.run(events)))
        return streams, tasks


async def wait_for_ledger(fleet):
    """Waits until the hosts have recorded the version in service."""
    for _ in range(200):
        value = fleet.store.get("corianderdoor/streams/versions")
        if value and b"drafts" in value:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("the hosts have recorded no version")


async def start_workers(fleet):
    """Starts the workers of the service, all of one version."""
    route = build_route("/chat/", "streaming", "drafts")
    fleet.store.put_json("op/config", build_config(1, [route], {"drafts": {}}))
    workers = []
    for number in range(WORKERS):
        address = fleet.allocate_address()
        worker = LossyWorker(
            fleet.record, fleet.store, f"i-{number}", "drafts", address
        )
        worker.gap_s = GAP_S
        await worker.start()
        workers.append(worker)
    return workers


async def lose_answers(callers, workers, share):
    """Short streams; some workers lose answers, and then the others."""
    for faulty in (workers[::2], workers[1::2]):
        for worker in faulty:
            worker.lost_share = share
        _, tasks = await callers.begin(f"early{faulty[0].id}x", LOST_S, 3)
        for worker in faulty:
            worker.lost_share = 0.0
        await asyncio.gather(*tasks)


async def begin_streams(fleet, callers, trouble):
    """Begins streams while the store is down."""
    if trouble:
        fleet.record("store down")
        fleet.store.down = "reset"
    await asyncio.sleep(BEGIN_S)
    begun = await callers.begin("s", STORE_DOWN_S - BEGIN_S)
    fleet.store.down = ""
    fleet.record("store up")
    return begun


async def crash_fullest(callers, workers, trouble):
    """Takes a worker down for some seconds, in which new streams begin."""
    running = Counter({worker: worker.running for worker in workers})
    fullest = running.most_common()[0][0]
    if trouble:
        fullest.crash()
    begun = await callers.begin("late", WORKER_DOWN_S, 20)
    if trouble:
        await fullest.start()
    return begun


def judge(fleet, streams, late):
    """Returns whether the rule held."""
    for stream in streams + late:
        fleet.record(
            "stream",
            name=stream.name,
            taken_up=bool(stream.taken_up),
            went_on=stream.went_on,
            events=len(stream.numbers),
            whole=stream.whole,
        )
    taken_up = [stream for stream in streams if stream.taken_up]
    went_on = sum(stream.went_on for stream in taken_up)
    began = sum(bool(stream.first) for stream in late)
    whole = sum(stream.whole for stream in streams)
    fleet.record(
        "result",
        streams=len(streams),
        whole=whole,
        taken_up=len(taken_up),
        went_on=went_on,
        new=len(late),
        began=began,
    )
    print(
        f"{went_on} of {len(taken_up)} streams that were taken up went on, "
        f"{began} of {len(late)} new ones began; "
        f"{whole} of {len(streams)} are whole"
    )
    if len(taken_up) < FEWEST:
        return True
    return went_on / len(taken_up) >= began / len(late) / 2


async def main(fleet, trouble):
    """Returns whether the rule held."""
    workers = await start_workers(fleet)
    await fleet.start_hosts()
    await wait_for_ledger(fleet)
    callers = Callers(fleet)
    share = LOST_SHARE if trouble and LOSE else 0.0
    await lose_answers(callers, workers, share)
    await asyncio.sleep(CALM_S)
    streams, tasks = await begin_streams(fleet, callers, trouble)
    await asyncio.sleep(CRASH_AFTER_S)
    late, late_tasks = await crash_fullest(callers, workers, trouble)
    await asyncio.gather(*tasks, *late_tasks)
    whole = sum(stream.whole for stream in streams)
    if not trouble and whole < len(streams):
        raise RuntimeError("streams broke off without trouble")
    return judge(fleet, streams, late)


if __name__ == "__main__":
    contracts = ["base", "drain", "config", "cost", "retry", "recover"]
    contracts += ["engine", "stream", "tenants", "places", "platform"]
    folder = pathlib.Path(__file__).resolve().parent
    # TROUBLE=0 leaves the disruption out.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(main, folder, HOSTS, contracts, trouble))
