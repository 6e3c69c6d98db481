"""Streams that are taken up again while machines get the present build."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common.fleet import (  # noqa: E402
    BOUNDS,
    build_route,
    CALLER_HOST,
    CannotRunError,
    Fleet,
    Host,
    KEY,
    ROOT,
    run_case,
)
from common.requester import ask_once  # noqa: E402

# With TROUBLE=replace all machines have the present build from the start, and
# are replaced in the same way.
TROUBLE = os.environ.get("TROUBLE") == "upgrade"
# Written by build.sh: the build that `production` of the deploy file names.
OLD_BUILD = pathlib.Path(__file__).resolve().parent / "target"
HOSTS = 8
WORKERS = 5
# consulta-apoderado: 93 events, time budget 15 s.
EVENTS = 93
GAP_S = 0.12
BUDGET_MS = 15_000
PER_S = 7.9
WARM_UP_S = 8.0
# Time between the stops of two machines.
REPLACE_S = 2.0
AFTER_S = 12.0
# Pause of a requester before it takes a stream up again.
RETRY_S = 1.0
MIN_STREAMS = 12

DESIRED = {
    "routes": [
        build_route(
            "/consulta/",
            "streaming",
            "redactor",
            timeout_ms=BUDGET_MS,
            target_latency_ms=600,
            max_attempts=2,
            stream_resumption=True,
            session_affinity=True,
            target_gap_ms=400,
        )
    ],
    "services": [
        {
            "name": "redactor",
            "health_check_path": "/health",
            "connection_limit": 620,
            "cold_per_s": 9.0,
            "cold_start_s": 3.0,
            "inference_engine": {"kv_cache_tokens": 223900},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "hule930", "api_keys": [KEY]}],
}


class Case:
    """Sends streams and takes them up again, once each.

    Attributes:
        new: Whether each stream sent to a machine in touch began.
        resumed: Whether the machine, in touch, to which each stream was sent
            again has been replaced, and whether the stream went on.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.new: list[bool] = []
        self.resumed: list[tuple[bool, bool]] = []
        self._ended = False
        self._stopping: set[str] = set()
        # When the new process of each replaced machine was ready.
        self._replaced_ms: dict[str, int] = {}

    def _choose(self) -> tuple[Host, bool]:
        """Returns a machine that takes requests, and if it is in touch."""
        running = [h for h in self.fleet.hosts if h.name not in self._stopping]
        host = random.choice(running)
        since_ms = self._replaced_ms.get(host.name)
        if since_ms is None:
            return host, True
        passed_ms = self.fleet.record.now_ms() - since_ms
        return host, passed_ms > BOUNDS["connectivity_ms"]

    async def chat(self, number: int) -> None:
        """Asks for a stream; takes it up again once when it breaks off."""
        record = self.fleet.record
        headers = {
            "Host": CALLER_HOST,
            "Authorization": f"Token {KEY}",
            "Model-Name": "m",
            "Token-Usage": "713,280",
            "Prompt-Prefix": f"{number % 20:x}a0:103,{number % 53:x}b1:500,"
            f"{number:x}c2:110",
        }
        line, body = "POST /consulta/2f", b"q" * 1_400
        until_ms = record.now_ms() + BUDGET_MS
        host, in_touch = self._choose()
        id = f"chat-{number}-0"
        left_s = BUDGET_MS / 1_000
        first = await ask_once(
            record, host.front, id, line, headers, body, left_s
        )
        if in_touch:
            self.new.append(first.status == 200 and first.last_event > 0)
        if first.complete or not first.last_event:
            return
        await asyncio.sleep(RETRY_S)
        left_s = (until_ms - record.now_ms()) / 1_000
        if left_s < 1:
            return
        host, in_touch = self._choose()
        headers["Last-Event-Id"] = str(first.last_event)
        headers["Resumes"] = id
        id = f"chat-{number}-1"
        again = await ask_once(
            record, host.front, id, line, headers, body, left_s
        )
        if in_touch:
            went_on = again.status == 200 and (
                again.last_event > first.last_event or again.complete
            )
            is_replaced = host.name in self._replaced_ms
            self.resumed.append((is_replaced, went_on))

    async def send(self) -> None:
        """Sends streams at an even rate."""
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while not self._ended:
                number += 1
                tasks.create_task(self.chat(number))
                await asyncio.sleep(1 / PER_S)

    async def replace(self, host: Host) -> None:
        """Gives a machine the present build."""
        self._stopping.add(host.name)
        await self.fleet.replace(host, ROOT)
        self._replaced_ms[host.name] = self.fleet.record.now_ms()
        self._stopping.discard(host.name)

    async def run(self, old: pathlib.Path) -> bool:
        """Runs the case; returns whether the rule held."""
        fleet = self.fleet
        for number in range(WORKERS):
            fleet.add_worker(
                f"i-{number}",
                "redactor",
                slots=128,
                events=EVENTS,
                gap_s=GAP_S,
                work_s=0.1,
            )
        await fleet.start(HOSTS, DESIRED, build=old)
        sending = asyncio.create_task(self.send())
        await asyncio.sleep(WARM_UP_S)
        async with asyncio.TaskGroup() as tasks:
            for host in fleet.hosts:
                tasks.create_task(self.replace(host))
                await asyncio.sleep(REPLACE_S)
        await asyncio.sleep(AFTER_S)
        self._ended = True
        await sending
        return self.judge()

    def judge(self) -> bool:
        """Compares the shares of streams that begin and that go on."""
        say = self.fleet.record.say
        begun = sum(self.new)
        say(f"new streams in touch: {len(self.new)}, begun {begun}")
        goes_on = sum(went_on for _, went_on in self.resumed)
        say(f"taken up again in touch: {len(self.resumed)}, go on {goes_on}")
        new = [went_on for is_replaced, went_on in self.resumed if is_replaced]
        say(f"of these at replaced machines: {len(new)}, go on {sum(new)}")
        if len(self.resumed) < MIN_STREAMS:
            return True
        new_share = begun / len(self.new)
        return goes_on / len(self.resumed) >= new_share / 2


async def run(fleet: Fleet) -> bool:
    """Runs the case."""
    if not fleet.trouble:
        return await Case(fleet).run(ROOT)
    if not (OLD_BUILD / "corianderdoor").is_dir():
        raise CannotRunError("build.sh could not write the former build")
    return await Case(fleet).run(OLD_BUILD)


if __name__ == "__main__":
    run_case(__file__, run, 110, TROUBLE)
