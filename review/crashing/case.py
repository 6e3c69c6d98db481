"""A request that crashes workers, beside the usual streams."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common.fleet import (  # noqa: E402
    BOUNDS,
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
WORKERS = 5
POISON = b"the request that crashes workers"
# When the crashing request comes, and how often.
WARM_UP_S = 4.0
PACE_S = 1.6
TIMES = 46
# Time to the first event of a stream, and between two of its events.
WORK_S = 0.1
GAP_S = 0.03
MAX_RETRIES = 3
MINUTE_MS = 60_000


class Kind:
    """A kind of stream on the sheet.

    Attributes:
        name: First part of its path.
        per_s: Requests a second.
        events: Events of a stream.
        budget_s: Time budget.
        parts: Tokens of each shared part of the prompt, and how many
            different ones there are.
        tokens: Tokens of the request's own part.
        size: Length of the body.
    """

    def __init__(
        self,
        name: str,
        per_s: float,
        events: int,
        budget_s: float,
        parts: tuple[tuple[int, int], ...],
        tokens: int,
        size: int,
    ) -> None:
        self.name = name
        self.per_s = per_s
        self.events = events
        self.budget_s = budget_s
        self.parts = parts
        self.tokens = tokens
        self.size = size

    def build_prompt(self, number: int) -> str:
        """Returns the parts of a request's prompt."""
        shared = [
            f"{self.events:x}{place}{number % count:x}:{tokens}"
            for place, (tokens, count) in enumerate(self.parts)
        ]
        return ",".join([*shared, f"f{number:x}:{self.tokens}"])


ESTADO = Kind("estado", 5.3, 17, 6.0, ((2520, 4), (6100, 36)), 580, 18_000)
AVISO = Kind("aviso", 7.0, 8, 4.0, ((341, 20), (1700, 32)), 360, 4_700)
CONSULTA = Kind("consulta", 7.9, 93, 15.0, ((103, 20), (500, 53)), 110, 1_400)
KINDS = (ESTADO, AVISO, CONSULTA)
STREAM = {"session_affinity": True, "target_gap_ms": 400}
RESUMABLE = {"max_attempts": 2, "stream_resumption": True}

DESIRED = {
    "routes": [
        build_route(
            "/estado/",
            "streaming",
            "redactor",
            timeout_ms=6_000,
            target_latency_ms=1_000,
            **STREAM,
            **RESUMABLE,
        ),
        build_route(
            "/aviso/",
            "streaming",
            "redactor",
            timeout_ms=4_000,
            target_latency_ms=800,
            priority=0,
            **STREAM,
        ),
        build_route(
            "/consulta/",
            "streaming",
            "redactor",
            timeout_ms=15_000,
            target_latency_ms=600,
            priority=2,
            **STREAM,
            **RESUMABLE,
        ),
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
    """Sends sound streams and the request that crashes workers.

    Attributes:
        sound: When each sound stream was sent, and what came back at last.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.number = 0
        self.ended = False
        self.sound: list[tuple[int, Reply]] = []

    async def ask(
        self, kind: Kind, id: str, number: int, body: bytes, **more: str
    ) -> Reply:
        """Sends an attempt of a request to the next host."""
        self.number += 1
        tokens = kind.tokens + sum(part[0] for part in kind.parts)
        headers = {
            "Host": CALLER_HOST,
            "Authorization": f"Token {KEY}",
            "Model-Name": "m",
            "Token-Usage": f"{tokens},{3 * kind.events}",
            "Prompt-Prefix": kind.build_prompt(number),
            **more,
        }
        return await ask_once(
            self.fleet.record,
            self.fleet.hosts[self.number % HOSTS].front,
            id,
            f"POST /{kind.name}/2f",
            headers,
            body,
            kind.budget_s,
        )

    async def send_sound(self, kind: Kind) -> None:
        """Sends sound streams of a kind at an even rate."""

        async def send(number: int) -> None:
            sent_ms = self.fleet.record.now_ms()
            id = f"{kind.name}-{number}"
            body = f"{number} ".encode() * (kind.size // 6)
            reply = await self.ask(kind, id, number, body)
            if reply.status == 503:
                wait_s = float(reply.headers.get("retry-after", "1"))
                await asyncio.sleep(wait_s)
                reply = await self.ask(kind, f"{id}-2", number, body)
            elif not reply.complete and kind is not AVISO:
                # The requester takes the stream up again.
                last = {"Last-Event-Id": str(reply.last_event), "Resumes": id}
                more = last if reply.last_event else {}
                reply = await self.ask(kind, f"{id}-2", number, body, **more)
            self.sound.append((sent_ms, reply))

        number = 0
        async with asyncio.TaskGroup() as tasks:
            while not self.ended:
                number += 1
                tasks.create_task(send(number))
                await asyncio.sleep(1 / kind.per_s)

    async def run(self) -> bool:
        """Runs the case; returns whether the rule held."""
        fleet = self.fleet
        for number in range(WORKERS):
            worker = fleet.add_worker(
                f"i-{number}",
                "redactor",
                slots=128,
                lengths={kind.name: kind.events for kind in KINDS},
                gap_s=GAP_S,
                work_s=WORK_S,
            )
            worker.poison.add(POISON)
        await fleet.start(HOSTS, DESIRED)
        sound = [asyncio.create_task(self.send_sound(kind)) for kind in KINDS]
        await asyncio.sleep(WARM_UP_S)
        for number in range(TIMES):
            if fleet.trouble:
                await self.ask(ESTADO, f"poison-{number}", 0, POISON)
            await asyncio.sleep(PACE_S)
        self.ended = True
        await asyncio.gather(*sound)
        return self.judge()

    def judge(self) -> bool:
        """Counts the retries that reached workers too late."""
        say = self.fleet.record.say
        arrivals = sorted(
            (at_ms, worker.id)
            for worker in self.fleet.workers.values()
            for id, at_ms in worker.arrivals
            if id.startswith("poison")
        )
        served = sum(reply.complete for _, reply in self.sound)
        say(f"sound streams: {len(self.sound)}, complete: {served}")
        say(f"crashes: {len(arrivals)}")
        crashed: list[str] = []
        for third_ms, worker_id in arrivals:
            if worker_id not in crashed:
                crashed.append(worker_id)
            if len(crashed) == 3:
                break
        if len(crashed) < 3:
            return True
        last_ms = third_ms + BOUNDS["connectivity_ms"]
        late = [at_ms for at_ms, _ in arrivals if at_ms > last_ms]
        say(f"third worker crashed at {third_ms} ms")
        say(f"retries that reached workers later: {len(late)} at {late}")
        first = sum(at_ms < third_ms + MINUTE_MS for at_ms in late)
        say(f"of these in the first minute: {first}")
        broken = sum(
            not reply.complete and reply.status == 200
            for at_ms, reply in self.sound
            if at_ms > last_ms
        )
        say(f"sound streams broken off in that time: {broken}")
        return len(late) <= MAX_RETRIES


async def run(fleet: Fleet) -> bool:
    """Runs the case."""
    return await Case(fleet).run()


if __name__ == "__main__":
    run_case(__file__, run, 115, TROUBLE)
