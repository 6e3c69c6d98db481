"""Streams that requesters take up again after all machines lost power."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common.fleet import (  # noqa: E402
    build_route,
    CALLER_HOST,
    Fleet,
    KEY,
    run_case,
)
from common.requester import ask_once, Reply  # noqa: E402

# With TROUBLE=0 the case does the same without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
STREAMS = 40
# consulta-apoderado: 93 events, time budget 15 s.
EVENTS = 93
BUDGET_MS = 15_000
GAP_S = 0.08
LOSS_AT_S = 2.0
DOWN_S = 0.54
CONNECTIVITY_MS = 3_000
# Gap after which a requester leaves a stream: eight times the pause that the
# sheet allows. It then tries once more, as the sheet says, after a pause that
# leaves slow processes time to start.
LEAVE_AFTER_MS = 3_200
PAUSE_S = 1.0
NEW_EVERY_S = 0.25
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
    """Counts the streams that are begun and taken up again."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.in_touch_ms = 0
        self.new: list[Reply] = []
        # Streams taken up again in touch, and whether they went on.
        self.resumed: dict[int, bool] = {}
        self.number = 0

    def headers(self, number: int) -> dict[str, str]:
        """Returns the headers of a chat's request."""
        return {
            "Host": CALLER_HOST,
            "Authorization": f"Token {KEY}",
            "Model-Name": "m",
            "Token-Usage": "713,280",
            "Prompt-Prefix": f"{number % 4:x}a0:103,{number:x}b1:500,"
            f"{number:x}c2:110",
        }

    async def chat(self, counts_as_new: bool) -> None:
        """Asks for a stream, and takes it up again when it breaks off.

        A machine without power closes nothing: the requester waits for the
        next event, as long as it may.
        """
        self.number += 1
        number = self.number
        first_id = f"chat-{number}-0"
        started_ms = self.fleet.record.now_ms()
        reply = Reply()
        if counts_as_new:
            self.new.append(reply)
        read_s = None
        if not counts_as_new and not self.fleet.trouble:
            # The requester's own connection breaks.
            read_s = LOSS_AT_S
        await self.ask(first_id, number, 0, {}, started_ms, reply, read_s)
        if counts_as_new:
            return
        if reply.complete or not reply.last_event:
            return
        known = reply.last_event
        passed_ms = self.fleet.record.now_ms() - reply.event_ms
        await asyncio.sleep(max(0, LEAVE_AFTER_MS - passed_ms) / 1_000)
        await asyncio.sleep(PAUSE_S)
        sent_ms = self.fleet.record.now_ms()
        more = {"Last-Event-Id": str(known), "Resumes": first_id}
        reply = Reply()
        id = f"chat-{number}-1"
        await self.ask(id, number, 1, more, started_ms, reply)
        goes_on = reply.status == 200 and (
            reply.last_event > known or reply.complete
        )
        if self.in_touch_ms and sent_ms > self.in_touch_ms:
            self.resumed[number] = goes_on

    def left_ms(self, started_ms: int) -> int:
        """Returns what is left of a requester's time budget."""
        return BUDGET_MS - (self.fleet.record.now_ms() - started_ms)

    async def ask(
        self,
        id: str,
        number: int,
        attempt: int,
        more: dict[str, str],
        started_ms: int,
        reply: Reply,
        read_s: float | None = None,
    ) -> None:
        """Sends one attempt to a host; stops reading after `read_s`."""
        hosts = self.fleet.hosts
        host = hosts[(number + attempt) % len(hosts)]
        await ask_once(
            self.fleet.record,
            host.front,
            id,
            "POST /consulta/2f",
            self.headers(number) | more,
            b"q" * 1_400,
            self.left_ms(started_ms) / 1_000,
            reply,
            read_s,
        )

    async def run(self) -> bool:
        """Runs the case; returns whether the rule held."""
        fleet = self.fleet
        for number in range(5):
            fleet.add_worker(
                f"i-{number}",
                "redactor",
                slots=128,
                events=EVENTS,
                gap_s=GAP_S,
                work_s=0.1,
            )
        await fleet.start(HOSTS, DESIRED)
        if not fleet.trouble:
            # All machines are in touch all the while.
            self.in_touch_ms = fleet.record.now_ms()
        tasks = [asyncio.create_task(self.chat(False)) for _ in range(STREAMS)]
        await asyncio.sleep(LOSS_AT_S)
        if fleet.trouble:
            for host in fleet.hosts:
                fleet.kill(host)
            await asyncio.sleep(DOWN_S)
            for host in fleet.hosts:
                fleet.start_host(host)
            started_ms = fleet.record.now_ms()
            self.in_touch_ms = started_ms + CONNECTIVITY_MS
        while self.number < STREAMS + 40:
            if fleet.record.now_ms() > self.in_touch_ms:
                tasks.append(asyncio.create_task(self.chat(True)))
            await asyncio.sleep(NEW_EVERY_S)
        await asyncio.gather(*tasks)
        return self.judge()

    def judge(self) -> bool:
        """Compares the shares of streams that begin and that go on."""
        begun = sum(r.status == 200 and r.last_event > 0 for r in self.new)
        new_share = begun / len(self.new)
        self.fleet.record.say(f"new streams: {len(self.new)}, begun {begun}")
        goes_on = sum(self.resumed.values())
        self.fleet.record.say(
            f"taken up again in touch: {len(self.resumed)}, go on {goes_on}"
        )
        if len(self.resumed) < MIN_STREAMS:
            return True
        return goes_on / len(self.resumed) >= new_share / 2


async def run(fleet: Fleet) -> bool:
    """Runs the case."""
    return await Case(fleet).run()


if __name__ == "__main__":
    run_case(__file__, run, 110, TROUBLE)
