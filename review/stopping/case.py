"""Streams that a machine takes on late in a planned stop, and cuts."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common.fleet import (  # noqa: E402
    BOUNDS,
    build_route,
    CALLER_HOST,
    DIRECTORY,
    Fleet,
    FRONT,
    Host,
    KEY,
    run_case,
    ZONES,
)
from common.http import encode_head, read_body, read_head  # noqa: E402
from common.requester import Connection, Reply  # noqa: E402

# With TROUBLE=0 no machine is stopped.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
WORKERS = 5
# consulta-apoderado: 7.9 a second, 93 events, time budget 15 s.
PER_S = 7.9
EVENTS = 93
GAP_S = 0.08
WORK_S = 0.1
BUDGET_S = 15.0
# Connections that streams are in progress on at that rate.
LANES = int(PER_S * (EVENTS * GAP_S + WORK_S))
# Requesters, in three zones; each keeps its answer of the directory by
# itself. Two in five keep it three times as long.
APPS = 20
PATIENT = (0, 2)
PATIENT_OF = 5
PAUSE_S = 0.2
WARM_UP_S = 9.0
STOPS_UNTIL_S = 78.0
# Time between the end of a process and its next start, and between the
# return of a machine and the next stop.
DOWN_S = 0.3
STOP_GAP_S = 1.0
# Requests sent no later than this after the signal don't count.
EXCUSED_MS = 3_000

DESIRED = {
    "routes": [
        build_route(
            "/consulta/",
            "streaming",
            "redactor",
            timeout_ms=15_000,
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
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "hule930", "api_keys": [KEY]}],
}


class Request:
    """One stream that was asked for.

    Attributes:
        host: Address of the machine.
        sent_ms: When it was sent.
        ended_ms: When its answer or connection ended; 0 until then.
        reply: What came back.
        kept: Whether it was not the first on its connection.
    """

    def __init__(self, host: str, sent_ms: int, kept: bool) -> None:
        self.host = host
        self.sent_ms = sent_ms
        self.ended_ms = 0
        self.reply = Reply()
        self.kept = kept


class App:
    """A requester with an answer of the directory and some connections."""

    def __init__(self, case: Case, number: int) -> None:
        self.zone = ZONES[number % len(ZONES)]
        self.hold = 3 if number % PATIENT_OF in PATIENT else 1
        self.addresses: list[str] = []
        self._case = case
        self._number = number

    async def follow(self) -> None:
        """Asks the directory again each time that its answer has expired."""
        await asyncio.sleep(random.random() * 2)
        while not self._case.ended:
            ttl_s = await self._resolve()
            await asyncio.sleep(ttl_s * self.hold if ttl_s else 0.1)

    async def _resolve(self) -> float:
        """Asks up to three daemons; returns for how long the answer counts.

        Returns:
            The time in seconds; 0 without an answer.
        """
        hosts = list(self._case.fleet.hosts)
        random.shuffle(hosts)
        hosts.sort(key=lambda host: host.zone != self.zone)
        for host in hosts[:3]:
            try:
                async with asyncio.timeout(1.0):
                    found = await self._ask(host)
            except (OSError, TimeoutError):
                continue
            if found.get("addresses"):
                self.addresses = [
                    address.partition(":")[0] for address in found["addresses"]
                ]
                ttl_s = min(float(found["ttl_s"]), float(BOUNDS["ttl_max_s"]))
                self._case.fleet.record.add(
                    "resolved",
                    app=self._number,
                    addresses=",".join(self.addresses),
                    ttl_s=ttl_s,
                )
                return ttl_s
        return 0.0

    async def _ask(self, host: Host) -> dict[str, object]:
        reader, writer = await asyncio.open_connection(host.ip, DIRECTORY)
        try:
            path = "/corianderdoor/resolution"
            query = f"name={CALLER_HOST}&region=santiago&zone={self.zone}"
            line = f"GET {path}?{query} HTTP/1.1"
            writer.write(encode_head(line, {"Host": "directory"}))
            head = await read_head(reader)
            if head is None or head.line.split(" ")[1] != "200":
                return {}
            found: dict[str, object] = json.loads(
                await read_body(reader, head)
            )
            return found
        finally:
            writer.close()

    async def chat(self, lane: int) -> None:
        """Asks for one stream after the other over a kept connection."""
        case = self._case
        record = case.fleet.record
        conn: Connection | None = None
        address = ""
        number = 0
        await asyncio.sleep(2 + random.random() * EVENTS * GAP_S)
        while not case.ended:
            if not self.addresses:
                await asyncio.sleep(0.1)
                continue
            if conn is not None and address not in self.addresses:
                conn.close()
                conn = None
            kept = conn is not None
            if conn is None:
                address = random.choice(self.addresses)
                conn = Connection(record, address, FRONT)
                if not await conn.open():
                    conn = None
                    await asyncio.sleep(0.1)
                    continue
            number += 1
            id = f"chat-{self._number}-{lane}-{number}"
            sent = Request(address, record.now_ms(), kept)
            case.sent[id] = sent
            await conn.ask(
                id,
                "POST /consulta/2f",
                {
                    "Host": CALLER_HOST,
                    "Authorization": f"Token {KEY}",
                    "Model-Name": "m",
                    "Token-Usage": "713,280",
                    "Prompt-Prefix": f"{lane % 4:x}a0:103,{lane:x}b1:500,"
                    f"{number:x}c2:110",
                },
                b"q" * 1_400,
                BUDGET_S,
                sent.reply,
            )
            sent.ended_ms = record.now_ms()
            closes = sent.reply.headers.get("connection", "").lower()
            if not sent.reply.complete or closes == "close":
                conn.close()
                conn = None
            await asyncio.sleep(random.random() * PAUSE_S)
        if conn is not None:
            conn.close()


class Case:
    """Stops the machines in turn beside streams, and judges the streams.

    Attributes:
        sent: The streams that were asked for, by id.
        stops: Address of each stopped machine, and when the signal was sent
            and its process had ended.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.sent: dict[str, Request] = {}
        self.stops: list[tuple[str, int, int]] = []
        self.ended = False

    async def stop_in_turn(self) -> None:
        """Stops and starts one machine after the other."""
        until_s = time.monotonic() + STOPS_UNTIL_S
        turn = 0
        while time.monotonic() < until_s:
            host = self.fleet.hosts[turn % HOSTS]
            turn += 1
            if not self.fleet.trouble:
                await asyncio.sleep(8)
                continue
            await self._stop(host)
            await asyncio.sleep(STOP_GAP_S)

    async def _stop(self, host: Host) -> None:
        begun_ms = self.fleet.signal(host, signal.SIGTERM)
        assert host.process is not None
        until_s = time.monotonic() + BOUNDS["grace_period_s"]
        while host.process.poll() is None:
            if time.monotonic() >= until_s:
                host.process.kill()
            await asyncio.sleep(0.01)
        ended_ms = self.fleet.record.add("exit", host=host.name)
        self.stops.append((host.ip, begun_ms, ended_ms))
        await asyncio.sleep(DOWN_S)
        self.fleet.start_host(host)
        await self.fleet.wait_ready(host)

    async def run(self) -> bool:
        """Runs the case; returns whether the rule held."""
        for number in range(WORKERS):
            self.fleet.add_worker(
                f"i-{number}",
                "redactor",
                slots=128,
                events=EVENTS,
                gap_s=GAP_S,
                work_s=WORK_S,
            )
        await self.fleet.start(HOSTS, DESIRED)
        apps = [App(self, number) for number in range(APPS)]
        tasks = [asyncio.create_task(app.follow()) for app in apps]
        for lane in range(LANES):
            app = apps[lane % APPS]
            tasks.append(asyncio.create_task(app.chat(lane)))
        await asyncio.sleep(WARM_UP_S)
        await self.stop_in_turn()
        self.ended = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self.judge()

    def judge(self) -> bool:
        """Counts the streams that were cut after a late request."""
        say = self.fleet.record.say
        ran = {
            id
            for worker in self.fleet.workers.values()
            for id, _ in worker.arrivals
        }
        late = broken = excused = 0
        for id, sent in self.sent.items():
            if not sent.ended_ms:
                continue
            took_ms = sent.ended_ms - sent.sent_ms
            is_cut = not sent.reply.complete and id in ran
            is_cut = is_cut and took_ms < BUDGET_S * 1_000 - 500
            for host, begun_ms, ended_ms in self.stops:
                if host != sent.host or not begun_ms <= sent.ended_ms:
                    continue
                if sent.sent_ms > ended_ms + 100:
                    continue
                if sent.sent_ms - begun_ms <= EXCUSED_MS:
                    excused += is_cut
                    continue
                late += id in ran
                if not is_cut:
                    continue
                broken += 1
                say(
                    f"cut: {id} sent {sent.sent_ms - begun_ms} ms after the"
                    f" signal, kept connection: {sent.kept}, event"
                    f" {sent.reply.last_event} of {EVENTS}, status"
                    f" {sent.reply.status}"
                )
        done = sum(sent.reply.complete for sent in self.sent.values())
        say(f"streams: {len(self.sent)}, complete {done}")
        say(f"stops: {len(self.stops)}")
        say(f"cut, sent up to 3 s after the signal (don't count): {excused}")
        say(f"run, sent later than that: {late}; of these cut: {broken}")
        return broken == 0


async def run(fleet: Fleet) -> bool:
    """Runs the case."""
    return await Case(fleet).run()


if __name__ == "__main__":
    run_case(__file__, run, 117, TROUBLE)
