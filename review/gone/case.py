"""Requesters leave while their long requests are at workers.

No case of the review: see "Shown, but given up" in REPORT.md.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import build_route, CALLER_HOST  # noqa: E402
from common.fleet import Fleet, KEY, run_case, ZONES  # noqa: E402
from common.http import encode_answer, encode_head  # noqa: E402
from common.http import Head, read_body  # noqa: E402
from common.worker import Worker  # noqa: E402

# With TROUBLE=0 the bodies are as long as the longest on the sheet.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
WORKERS = 3
REQUESTERS = 16
# `max_body_bytes` of the example of the pages, and the bodies' length.
MAX_BODY = 4_194_304
LONG, USUAL = 500_000, 110_000
SPAN_S = 30.0
WORK_S = 3.0
TIME_BUDGET_MS = 8_000
# Times after which requesters leave, and what the rule allows from then on.
LEAVE_S = (0.1, 0.3, 0.5)
SLACK_S = 0.5
FEW = 3


class SlowWorker(Worker):
    """A worker that drops a request when its connection closes.

    Attributes:
        runs: Id, begin and end of each run, on the loop's clock.
    """

    runs: list[tuple[str, float, float]]

    async def _handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: Head,
    ) -> None:
        await read_body(reader, head)
        loop = asyncio.get_running_loop()
        id, begin_s = head.headers.get("attempt-id", ""), loop.time()
        self._record.add("run", worker=self.id, id=id)
        while loop.time() < begin_s + WORK_S and not reader.at_eof():
            if reader.exception() is not None:
                break
            await asyncio.sleep(0.01)
        self.runs.append((id, begin_s, loop.time()))
        self._record.add("end", worker=self.id, id=id)
        headers = {"Attempt-Id": id, "Response-Signature": id}
        writer.write(encode_answer(200, headers, b"x"))


class Case:
    """Requesters that leave, and when each of them did."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.left_s: dict[str, float] = {}
        self.body = b"p" * (LONG if fleet.trouble else USUAL)

    async def send(self, place: int, until_s: float) -> None:
        """Sends requests, and leaves each of them."""
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < until_s:
            number += 1
            id = f"read-{place}-{number}"
            host = self.fleet.hosts[(place + number) % HOSTS]
            _, writer = await asyncio.open_connection(*host.front)
            headers = {
                "Host": CALLER_HOST,
                "Authorization": f"Token {KEY}",
                "Attempt-Id": id,
                "Deadline-Ms": str(TIME_BUDGET_MS),
                "Content-Length": str(len(self.body)),
            }
            self.fleet.record.add("sent", id=id, to=host.name)
            line = "POST /saldo/2f HTTP/1.1"
            writer.write(encode_head(line, headers) + self.body)
            await asyncio.sleep(random.choice(LEAVE_S))
            writer.close()
            self.left_s[id] = loop.time()
            self.fleet.record.add("left", id=id)

    def judge(self, workers: list[SlowWorker]) -> bool:
        """Counts what workers got or still did too late."""
        runs = [run for worker in workers for run in worker.runs]
        late = sum(b > self.left_s[id] + SLACK_S for id, b, _ in runs)
        begun = [run for run in runs if run[1] <= self.left_s[run[0]]]
        still = sum(e > self.left_s[id] + SLACK_S for id, _, e in begun)
        say = self.fleet.record.say
        say(f"requests: {len(self.left_s)}, that reached a worker later than")
        say(f"{SLACK_S} s after their requesters had left: {late}")
        say(f"runs: {len(begun)}, still at work {SLACK_S} s later: {still}")
        return late <= FEW and 4 * still <= len(begun)


async def run(fleet: Fleet) -> bool:
    """Runs the case; returns whether the rule held."""
    desired = {
        **pays.DESIRED,
        "routes": [
            build_route(
                "/saldo/",
                "idempotent",
                "cuentas",
                max_attempts=2,
                timeout_ms=TIME_BUDGET_MS,
                target_latency_ms=5_000,
            )
        ],
        "limits": pays.DESIRED["limits"] | {"max_body_bytes": MAX_BODY},
    }
    workers = []
    for number in range(WORKERS):
        worker = SlowWorker(
            f"i-{number}",
            "cuentas",
            fleet.store,
            fleet.record,
            (fleet.allocate(), 8080),
            zone=ZONES[number],
            slots=64,
        )
        worker.runs = []
        fleet.workers[worker.id] = worker
        workers.append(worker)
    await fleet.start(HOSTS, desired)
    case = Case(fleet)
    until_s = asyncio.get_running_loop().time() + SPAN_S
    await asyncio.gather(*[case.send(n, until_s) for n in range(REQUESTERS)])
    await asyncio.sleep(TIME_BUDGET_MS / 1_000)
    return case.judge(workers)


if __name__ == "__main__":
    run_case(__file__, run, 90, TROUBLE)
