"""Loads a real fleet for a minute while parts of it fail.

Starts 8 routers, a controller and 8 backend servers in 3 data centres on
loopback. While callers send chats and payments, stops a router, drains and
returns a data centre, and stops the key-value service. At the end compares
the records of the backend servers with the answers that callers received.
"""

from __future__ import annotations

import argparse
from collections import Counter
from functools import partial
import json
import pathlib
import random
import signal
import sys
import time
from typing import Any

import anyio
import anyio.to_thread
from expression import Result
from fleet import CENTRES, Fleet
import httpx

from corianderdoor.client import Client
from corianderdoor.core.errors import Outcome

RULES = """\
path=/v1/chat method=POST -> redactor idempotent=yes deadline=30s # trial
path=/payments method=POST -> cuentas idempotent=no deadline=20s # trial
"""
KEYS = ["a key for trials only"]
ROUTERS = 8
ENGINES = 5
SERVICES = 3
CHAT_CALLERS = 24
PAYMENT_CALLERS = 6
CHATS_PER_CALLER = 4
DRAIN_SETTLE_S = 3.0
ANSWER_TOKENS = 50
TOKEN_MS = "29"
RETRY_LIMIT = 20
END_MARKER = b"data: [DONE]\n\n"
OUTCOME = "corianderdoor-outcome"


class Ledger:
    """Answers that the callers received, and load samples."""

    def __init__(self) -> None:
        self.chats: Counter[str] = Counter()
        self.payments: dict[str, str] = {}
        self.not_run: set[str] = set()
        self.first_ms: list[tuple[float, float]] = []
        self.refusals: list[tuple[float, str]] = []
        self.cached = 0
        self.prompts = 0
        self.loads: list[tuple[float, list[int]]] = []
        self.drained: dict[str, int] = {}


class Trial:
    """The callers and the injected faults of one run."""

    def __init__(self, fleet: Fleet, seconds: float, seed: int) -> None:
        self.fleet = fleet
        self.seconds = seconds
        self.seed = seed
        self.started_s = time.monotonic()
        self.ledger = Ledger()
        self.events: list[tuple[float, str]] = []
        self.drained_centre = ""

    def now(self) -> float:
        """Returns the time since the start, in s."""
        return time.monotonic() - self.started_s

    def is_over(self) -> bool:
        """Returns whether callers must stop."""
        return self.now() >= self.seconds

    def record_event(self, event: str) -> None:
        """Prints an event and adds it to the report."""
        self.events.append((self.now(), event))
        print(f"{self.now():6.1f} s  {event}", flush=True)

    async def run(self) -> None:
        """Runs callers and faults until the run is over."""
        async with anyio.create_task_group() as tg:
            for number in range(CHAT_CALLERS):
                tg.start_soon(self.chat, number)
            for number in range(PAYMENT_CALLERS):
                tg.start_soon(self.pay, number)
            tg.start_soon(self.sample_load)
            tg.start_soon(self.inject_faults)

    async def chat(self, number: int) -> None:
        """Sends turns of a few chats until the run is over."""
        rng = random.Random(self.seed * 1000 + number)
        seeds = [e["address"] for e in self.fleet.listing["entries"]]
        rng.shuffle(seeds)
        client = Client(seeds, f"maule-{number % 4}")
        turns: Counter[str] = Counter()
        while not self.is_over():
            chat = f"chat-{number}-{rng.randrange(CHATS_PER_CALLER)}"
            turns[chat] += 1
            body: dict[str, Any] = {"chat": chat, "model": "redactor"}
            body["answer_tokens"] = ANSWER_TOKENS
            body["prompt_tokens"] = 100 * turns[chat]
            await self.send_chat(client, f"{chat}-{turns[chat]}", body)
            await anyio.sleep(rng.uniform(0.0, 0.3))
        await client.close()

    async def send_chat(
        self, client: Client, key: str, body: dict[str, Any]
    ) -> None:
        """Sends one turn; retries it after the delay that a refusal names."""
        for attempt in range(RETRY_LIMIT):
            idempotency_key = f"{key}-{attempt}"
            wait_s = await self.send_turn(client, idempotency_key, body)
            if wait_s is None or self.is_over():
                return
            await anyio.sleep(wait_s)

    async def send_turn(
        self, client: Client, idempotency_key: str, body: dict[str, Any]
    ) -> float | None:
        """Sends one turn once.

        Returns:
            The delay before a retry, in s; None if the turn has ended.
        """
        sent_at = time.monotonic()
        started = False
        try:
            async with client.stream(
                "POST",
                "/v1/chat",
                body["chat"],
                {
                    "idempotency-key": idempotency_key,
                    "content-type": "application/json",
                },
                json.dumps(body).encode(),
            ) as resp:
                if resp.status_code != httpx.codes.OK:
                    return self.record_refusal(resp, idempotency_key)
                started = True
                received = b""
                async for part in resp.aiter_raw():
                    if not received:
                        first = (time.monotonic() - sent_at) * 1_000
                        self.ledger.first_ms.append((self.now(), first))
                    received += part
        except httpx.HTTPError as exc:
            kind = "cut, told" if started else "no answer"
            self.ledger.chats[kind] += 1
            self.record_event(
                f"chat {idempotency_key}: {kind}: {type(exc).__name__} {exc}"
            )
            return None
        kind = "whole" if received.endswith(END_MARKER) else "cut, not told"
        self.ledger.chats[kind] += 1
        self.ledger.cached += int(resp.headers["x-cached-tokens"])
        self.ledger.prompts += body["prompt_tokens"]
        return None

    def record_refusal(
        self, resp: httpx.Response, idempotency_key: str
    ) -> float:
        """Records a refusal and returns the delay before a retry, in s."""
        outcome = resp.headers.get(OUTCOME, "none")
        self.ledger.chats[f"{resp.status_code} {outcome}"] += 1
        self.ledger.refusals.append((self.now(), str(resp.status_code)))
        if outcome == Outcome.NOT_RUN.value:
            self.ledger.not_run.add(idempotency_key)
        return float(resp.headers.get("retry-after", "1"))

    async def pay(self, number: int) -> None:
        """Sends payments with own and minted keys until the run is over."""
        rng = random.Random(self.seed * 2000 + number)
        seeds = [e["address"] for e in self.fleet.listing["entries"]]
        rng.shuffle(seeds)
        client = Client(seeds, f"maule-{number % 4}")
        for count in range(10_000):
            if self.is_over():
                break
            name = f"pay-{number}-{count}"
            own = f"own-{name}" if count % 2 else ""
            result = await client.request_once(
                "POST",
                "/payments",
                own,
                {"x-operation": name},
                json.dumps({"payment": name}).encode(),
                timeout_s=10.0,
            )
            match result:
                case Result(tag="ok", ok=resp):
                    outcome = f"{resp.status_code}"
                case Result(error=fault):
                    outcome = fault.outcome.value
            label = "own key" if own else "minted key"
            self.ledger.payments[name] = f"{label}: {outcome}"
            await anyio.sleep(rng.uniform(0.05, 0.3))
        await client.close()

    async def sample_load(self) -> None:
        """Samples the number of in-flight requests of each engine."""
        servers = self.fleet.listing["servers"]
        async with httpx.AsyncClient(trust_env=False) as http:
            while not self.is_over():
                loads = [
                    (await http.get(server["address"] + "/load")).json()
                    for server in servers
                    if server["engine"]
                    and server["data_centre"] != self.drained_centre
                ]
                counts = [load["in_flight"] for load in loads]
                self.ledger.loads.append((self.now(), counts))
                await anyio.sleep(0.25)

    async def inject_faults(self) -> None:
        """Stops a router, drains and returns a centre, stops the store."""
        await self.wait_until_share(0.2)
        self.record_event("ending router entry-7")
        await anyio.to_thread.run_sync(self.fleet.stop, "entry-7")
        entries = self.fleet.listing["entries"]
        entries[:] = [e for e in entries if e["name"] != "entry-7"]
        await anyio.to_thread.run_sync(self.fleet.publish)
        await self.wait_until_share(0.35)
        self.drained_centre = "dc-b"
        await self.run_ctl("drain", "data-centre", "dc-b")
        await anyio.sleep(DRAIN_SETTLE_S)
        before = await self.count_records("dc-b")
        await self.wait_until_share(0.6)
        after = await self.count_records("dc-b")
        self.ledger.drained = {"before": before, "after": after}
        self.record_event(f"new work in dc-b while drained: {after - before}")
        await self.run_ctl("return", "data-centre", "dc-b")
        self.drained_centre = ""
        await self.wait_until_share(0.75)
        self.record_event("stopping the key-value service")
        await anyio.to_thread.run_sync(self.fleet.stop, "store")

    async def wait_until_share(self, share: float) -> None:
        """Waits until `share` of the run's duration has passed."""
        await anyio.sleep(max(0.0, share * self.seconds - self.now()))

    async def run_ctl(self, *command: str) -> None:
        """Runs a command of the operators' tool and waits for its exit."""
        self.record_event("corianderdoorctl " + " ".join(command))
        code = await anyio.to_thread.run_sync(
            partial(self.fleet.run_ctl, KEYS, *command)
        )
        self.record_event(f"{command[0]} ended with exit code {code}")

    async def count_records(self, centre: str) -> int:
        """Returns how many requests the servers of a data centre have run."""
        found = await read_records(self.fleet)
        names = {
            server["name"]
            for server in self.fleet.listing["servers"]
            if server["data_centre"] == centre
        }
        return sum(len(found[name]) for name in names)


async def read_records(fleet: Fleet) -> dict[str, list[list[str]]]:
    """Returns the requests that each backend server recorded as run."""
    found = {}
    async with httpx.AsyncClient(trust_env=False) as http:
        for server in fleet.listing["servers"]:
            resp = await http.get(server["address"] + "/standin/records")
            found[server["name"]] = resp.json()
    return found


def audit(trial: Trial, records: dict[str, list[list[str]]]) -> list[str]:
    """Returns a sentence for each violated guarantee."""
    ledger = trial.ledger
    ran = Counter(row[2] for rows in records.values() for row in rows)
    payments = Counter(
        row[3]
        for name, rows in records.items()
        for row in rows
        if name.startswith("accounts") and len(row) > 3
    )
    broken = [
        f"payment {name} ran {count} times"
        for name, count in payments.items()
        if count > 1
    ]
    for name, outcome in ledger.payments.items():
        runs = payments[name]
        if outcome.endswith("201") and runs != 1:
            broken.append(f"payment {name} was told 201 and ran {runs} times")
        if outcome.endswith("not-run") and runs:
            broken.append(f"payment {name} was told not-run and ran")
    broken += [
        f"chat {idempotency_key} was told not-run and ran"
        for idempotency_key in ledger.not_run
        if ran[idempotency_key]
    ]
    for kind in ("cut, told", "cut, not told", "no answer"):
        if ledger.chats[kind]:
            broken.append(f"{ledger.chats[kind]} chats: {kind}")
    moved = ledger.drained.get("after", 0) - ledger.drained.get("before", 0)
    if moved:
        broken.append(f"{moved} requests ran in the drained data centre")
    if not ledger.drained:
        broken.append("the drained data centre was not observed")
    return broken


def summarise(trial: Trial) -> dict[str, Any]:
    """Returns the statistics of the run."""
    ledger = trial.ledger
    times = sorted(value for _, value in ledger.first_ms)
    skews = [
        max(counts) * len(counts) / sum(counts)
        for _, counts in ledger.loads
        if sum(counts) >= 2 * len(counts)
    ]
    return {
        "chats": dict(ledger.chats),
        "payments": dict(Counter(ledger.payments.values())),
        "first_chunk_ms_p50": times[len(times) // 2] if times else None,
        "first_chunk_ms_p95": (
            times[int(len(times) * 0.95)] if times else None
        ),
        "prompt_tokens_cached": ledger.cached / max(1, ledger.prompts),
        "skew_p95": (sorted(skews)[int(len(skews) * 0.95)] if skews else None),
        "refusals": len(ledger.refusals),
        "drained": ledger.drained,
    }


def start(fleet: Fleet) -> None:
    """Starts every process and applies the routing rules."""
    for number in range(ENGINES):
        centre = CENTRES[number % len(CENTRES)]
        fleet.add_server(
            "engine",
            f"redactor-{number}",
            "redactor",
            centre,
            args=["--token-ms", TOKEN_MS],
        )
    for number in range(SERVICES):
        centre = CENTRES[number % len(CENTRES)]
        fleet.add_server("service", f"accounts-{number}", "cuentas", centre)
    for number in range(ROUTERS):
        centre = CENTRES[number % len(CENTRES)]
        fleet.add_router(f"entry-{number}", centre, fleet_keys=KEYS)
    fleet.publish()
    fleet.start_weights()
    fleet.add_controller("controller-0")
    rules = fleet.folder / "routing.rules"
    rules.write_text(RULES, encoding="utf-8")
    if fleet.run_ctl(KEYS, "apply", str(rules)) != 0:
        raise RuntimeError(fleet.logs("ctl-apply"))
    fleet.wait_ready()


def main() -> int:
    """Runs the trial; returns 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=pathlib.Path, help="write a JSON report")
    parser.add_argument(
        "--logs", type=pathlib.Path, help="copy the logs to this folder"
    )
    args = parser.parse_args()
    with Fleet() as fleet:
        start(fleet)
        trial = Trial(fleet, args.seconds, args.seed)
        trial.record_event(f"{len(fleet.procs)} processes are up")
        anyio.run(trial.run)
        records = anyio.run(read_records, fleet)
        if args.logs:
            for path in fleet.folder.glob("*.log"):
                (args.logs / path.name).write_bytes(path.read_bytes())
        for name in list(fleet.procs):
            fleet.stop(name, signal.SIGTERM)
    figures = summarise(trial)
    for name, value in figures.items():
        print(f"{name}: {value}")
    broken = audit(trial, records)
    for line in broken:
        print(f"BROKEN: {line}")
    print(f"audit: {len(broken)} promises broken")
    if args.out:
        args.out.write_text(
            json.dumps(
                {
                    "figures": figures,
                    "broken": broken,
                    "events": trial.events,
                    "loads": trial.ledger.loads,
                    "first_chunk_ms": trial.ledger.first_ms,
                }
            ),
            "utf-8",
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
