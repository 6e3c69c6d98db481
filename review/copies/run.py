"""A second copy of an answer arrives after an answer without a length."""

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
from fleet2.http import build_answer, build_head
from fleet2.worker import Worker

HOSTS = 3
WORKERS = 3
# Two of three workers are faulty, 0.6 of them rounded.
FAULTY = (1, 2)
RATE = 60.0
SECONDS = 45.0
# Share of its answers of which the faulty worker sends a second copy.
EXTRA_SHARE = 0.03


class MixedWorker(Worker):
    """Answers some requests with a length or chunks, and some without.

    Attributes:
        faulty: Whether it sends second copies of some answers. One comes
            late: where the next answer on the connection is expected, after
            the one to the request in between.
        bodies: The body of each answer.
    """

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.faulty = False
        self.bodies = {}
        self._late = {}
        self._rng = random.Random()

    def _build_body(self, request):
        text = request.body.decode()
        if self.service == "accounts":
            return f"balance of {text}\n".encode()
        count = int(request.get("x-events"))
        first = int(request.get("last-event-id", "0")) + 1
        return "".join(
            f"id: {n}\ndata: {text}, word {n}\n\n"
            for n in range(first, count + 1)
        ).encode()

    async def _answer(self, request, writer):
        attempt = request.get("attempt-id")
        expected = request.get("expected-instance", self.id)
        if expected != self.id:
            headers = [("Not-Executed", "1"), *self._headers(attempt)]
            writer.write(build_answer(421, headers))
            return
        now = time.monotonic()
        self.arrivals.append((now, attempt, request.target))
        self._record("run", worker=self.id, attempt=attempt)
        await asyncio.sleep(self.work_s)
        body = self._build_body(request)
        self.bodies.setdefault(attempt, body)
        signature = ("Response-Signature", f"{self.id}.{attempt}")
        headers = [*self._headers(attempt), signature]
        late = self._late.pop(writer, None)
        if request.get("x-framed") == "no":
            writer.write(build_head(200, headers) + body)
            self._send_late(writer, late)
            await writer.drain()
            # The answer ends with its connection.
            writer.close()
            return
        answer = build_answer(200, headers, body)
        writer.write(answer)
        self._send_late(writer, late)
        if self.faulty and self._rng.random() < EXTRA_SHARE:
            self._late[writer] = attempt, answer
        await writer.drain()

    def _send_late(self, writer, late):
        if late is not None:
            self._record("second copy", worker=self.id, attempt=late[0])
            writer.write(late[1])


class Callers:
    """Sends readings and reports at a steady rate."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers = {}
        self._rng = random.Random()
        self._tasks = set()

    async def run(self):
        """Sends for some seconds and waits for the answers."""
        end = time.monotonic() + SECONDS
        number = 0
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.expovariate(RATE))
            number += 1
            task = asyncio.create_task(self._ask(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _ask(self, number):
        path = self._rng.choice(("/read/x", "/chat/x"))
        attempt = f"{path.split('/')[1]}-{number}"
        self.answers[attempt] = await chat(
            self.fleet,
            self._rng.choice(self.fleet.hosts),
            attempt,
            path,
            [
                ("X-Framed", self._rng.choice(("yes", "no"))),
                ("X-Events", str(self._rng.randrange(4, 17))),
            ],
            deadline_ms=2000,
            body=f"family {number}".encode(),
        )


def find_foreign(attempt, answer):
    """Returns the lines of an answer that speak of another request."""
    own = f"family {attempt.split('-')[1]}"
    return [
        line
        for line in answer.body.decode("latin-1").split("\n")
        if "family" in line and own not in re.findall("family [0-9]+", line)
    ]


async def main(fleet, trouble):
    """Returns whether the rule held."""
    routes = [
        build_route("/read/", "idempotent", "accounts", timeout_ms=2000),
        build_route("/chat/", "streaming", "engines", timeout_ms=2000),
    ]
    services = {"accounts": {}, "engines": {}}
    fleet.store.put_json("op/config", build_config(1, routes, services))
    workers = {
        (service, number): MixedWorker(
            fleet.record,
            fleet.store,
            f"i-{service}-{number}",
            service,
            fleet.allocate_address(),
        )
        for service in services
        for number in range(WORKERS)
    }
    for worker in workers.values():
        await worker.start()
    for service in services:
        for number in FAULTY:
            workers[service, number].faulty = trouble
    await fleet.start_hosts()
    callers = Callers(fleet)
    await callers.run()
    by_id = {worker.id: worker for worker in workers.values()}
    counts = Counter()
    for attempt, answer in callers.answers.items():
        kind = attempt.split("-")[0]
        if answer.status != 200 or not answer.complete:
            continue
        counts["served", kind] += 1
        signed = answer.headers.get("response-signature", "").split(".")[0]
        if answer.body == by_id[signed].bodies[attempt]:
            continue
        foreign = find_foreign(attempt, answer)
        counts["foreign" if foreign else "other", kind] += 1
        fleet.record(
            "not the body of its worker",
            attempt=attempt,
            foreign=foreign,
            bytes=repr(answer.body[-400:]),
        )
    for kind in ("read", "chat"):
        text = f"{counts['foreign', kind]} of {counts['served', kind]}"
        print(f"{kind}: {text} answers hold that to another request")
    fleet.record("result", **{" ".join(k): n for k, n in counts.items()})
    if sum(n for k, n in counts.items() if k[0] == "served") < (
        0.9 * len(callers.answers)
    ):
        raise RuntimeError("too few requests were served")
    return not any(n for k, n in counts.items() if k[0] != "served")


if __name__ == "__main__":
    contracts = ["base", "drain", "config", "cost", "retry", "recover"]
    contracts += ["engine", "stream", "tenants", "places", "platform"]
    folder = pathlib.Path(__file__).resolve().parent
    # TROUBLE=0 leaves the disruption out.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(main, folder, HOSTS, contracts, trouble))
