"""Requests on connections that their requesters keep for long."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import build_route, CALLER_HOST  # noqa: E402
from common.fleet import Fleet, KEY, run_case, ZONES  # noqa: E402
from common.requester import ask_once, Connection, Reply  # noqa: E402

# With TROUBLE=0 each request gets a connection of its own.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
CONNS = 10
DURATION_S = 92
# Time in which an answer is due after the route's time-out.
DUE_MS = 500
MIN_REQUESTS = 8


class Kind:
    """A kind of request on the sheet.

    Attributes:
        path: Path of its route.
        per_s: Requests a second.
        size: Length of the body.
        budget_s: How long the requester waits without an answer: its time
            budget, or for a stream the gap after which it leaves, whichever
            is shorter.
        timeout_ms: Time-out of its route.
        prompt: Parts of its prompt; empty for none.
    """

    def __init__(
        self,
        path: str,
        per_s: float,
        size: int,
        budget_s: float,
        timeout_ms: int,
        prompt: str,
    ) -> None:
        self.path = path
        self.per_s = per_s
        self.size = size
        self.budget_s = budget_s
        self.timeout_ms = timeout_ms
        self.prompt = prompt


# Rates, mean sizes and time budgets of the sheet.
AVISO = Kind("/aviso/", 7.0, 4_700, 3.2, 2_500, "d1:341,e1:1700,f1:360")
PAGO = Kind("/registro/", 5.05, 600, 1.0, 400, "")
KINDS = (AVISO, PAGO)
PACE_S = CONNS / sum(kind.per_s for kind in KINDS)

SERVICE = pays.DESIRED["services"][0]
DESIRED = {
    **pays.DESIRED,
    "routes": [
        build_route(
            AVISO.path,
            "streaming",
            "redactor",
            timeout_ms=AVISO.timeout_ms,
            target_latency_ms=800,
            priority=0,
            session_affinity=True,
            target_gap_ms=400,
        ),
        build_route(
            PAGO.path,
            "non_idempotent",
            "cuentas",
            timeout_ms=PAGO.timeout_ms,
        ),
    ],
    "services": [
        SERVICE,
        {
            "name": "redactor",
            "health_check_path": "/health",
            "connection_limit": 620,
            "cold_per_s": 9.0,
            "cold_start_s": 3.0,
            "inference_engine": {"kv_cache_tokens": 223900},
        },
    ],
}


class Case:
    """Sends the requests of the sheet, and judges their answers.

    Attributes:
        sent: Kind, time and answer of each request, by id.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.sent: dict[str, tuple[Kind, int, Reply]] = {}
        self.ended = False

    async def send(self, place: int) -> None:
        """Sends requests, one after the other."""
        record = self.fleet.record
        address = self.fleet.hosts[place % HOSTS].front
        rng = random.Random(place)
        weights = [kind.per_s for kind in KINDS]
        conn: Connection | None = None
        start_s = time.monotonic() + PACE_S * place / CONNS
        number = 0
        while not self.ended:
            due_s = start_s + PACE_S * number - time.monotonic()
            await asyncio.sleep(max(0.0, due_s))
            number += 1
            kind = rng.choices(KINDS, weights)[0]
            id = f"{kind.path.strip('/')}-{place}-{number}"
            headers = {"Host": CALLER_HOST, "Authorization": f"Token {KEY}"}
            if kind.prompt:
                headers["Model-Name"] = "m"
                headers["Prompt-Prefix"] = kind.prompt
            line = f"POST {kind.path}2f"
            body = b"p" * kind.size
            reply = Reply()
            self.sent[id] = kind, record.now_ms(), reply
            rest = (id, line, headers, body, kind.budget_s, reply)
            if not self.fleet.trouble:
                await ask_once(record, address, *rest)
            else:
                if conn is None:
                    conn = Connection(record, *address)
                    await conn.open()
                await conn.ask(*rest)
                closes = reply.headers.get("connection", "").lower()
                if not reply.complete or closes == "close":
                    conn.close()
                    conn = None
        if conn is not None:
            conn.close()

    async def run(self) -> bool:
        """Runs the case; returns whether the rule held."""
        for number in range(pays.WORKERS):
            self.fleet.add_worker(f"i-{number}", "cuentas", zone=ZONES[number])
        for number in range(5):
            self.fleet.add_worker(
                f"m-{number}",
                "redactor",
                slots=128,
                events=8,
                gap_s=0.03,
                work_s=0.1,
            )
        await self.fleet.start(HOSTS, DESIRED)
        tasks = [asyncio.create_task(self.send(n)) for n in range(CONNS)]
        await asyncio.sleep(DURATION_S)
        self.ended = True
        await asyncio.gather(*tasks)
        return self.judge()

    def judge(self) -> bool:
        """Counts the requests without an answer at their time-outs."""
        say = self.fleet.record.say
        late: list[str] = []
        unanswered: list[str] = []
        for id, (kind, sent_ms, reply) in self.sent.items():
            took_ms = reply.answered_ms - sent_ms
            if not reply.status or took_ms > kind.timeout_ms:
                late.append(id)
            if not reply.status or took_ms > kind.timeout_ms + DUE_MS:
                unanswered.append(id)
        arrived = {
            id
            for worker in self.fleet.workers.values()
            for id, _ in worker.arrivals
        }
        never = [id for id, row in self.sent.items() if not row[2].status]
        served = sum(row[2].complete for row in self.sent.values())
        say(f"requests: {len(self.sent)}, served: {served}")
        say(f"never answered: {len(never)}")
        say(f"of these run by a worker: {len(arrived.intersection(never))}")
        say(f"without an answer at the route's timeout_ms: {len(late)}")
        say(f"of these without one {DUE_MS} ms later: {len(unanswered)}")
        if len(unanswered) < MIN_REQUESTS:
            return True
        return 2 * len(unanswered) <= len(late)


async def run(fleet: Fleet) -> bool:
    """Runs the case."""
    return await Case(fleet).run()


if __name__ == "__main__":
    run_case(__file__, run, 115, TROUBLE)
