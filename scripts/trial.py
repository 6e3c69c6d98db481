"""A minute of load on a real fleet while parts of it go away.

Starts 8 routers, a controller and 8 backend servers in 3 data centres on
loopback. While callers chat and pay, one router is ended, a data centre is
drained and returned, and the key-value service is stopped. At the end the
backend servers' own records are audited against what the callers were told.
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
CHATTERS = 24
PAYERS = 6
CHATS_EACH = 4
NO_NEW_WORK_S = 3.0
ANSWER_TOKENS = 50
TOKEN_MS = "29"
RETRY_LIMIT = 20
END_MARKER = b"data: [DONE]\n\n"
OUTCOME = "corianderdoor-outcome"


class Ledger:
    """What the callers were told."""

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
    """The callers and the events of one run."""

    def __init__(self, fleet: Fleet, seconds: float, seed: int) -> None:
        self.fleet = fleet
        self.seconds = seconds
        self.seed = seed
        self.began = time.monotonic()
        self.ledger = Ledger()
        self.events: list[tuple[float, str]] = []
        self.out_of_service = ""

    def now(self) -> float:
        """Returns seconds since the start."""
        return time.monotonic() - self.began

    def over(self) -> bool:
        """Tells whether the load has to end."""
        return self.now() >= self.seconds

    def note(self, event: str) -> None:
        """Prints and keeps an event."""
        self.events.append((self.now(), event))
        print(f"{self.now():6.1f} s  {event}", flush=True)

    async def run(self) -> None:
        """Runs callers and events to the end."""
        async with anyio.create_task_group() as tg:
            for number in range(CHATTERS):
                tg.start_soon(self.chat, number)
            for number in range(PAYERS):
                tg.start_soon(self.pay, number)
            tg.start_soon(self.watch_load)
            tg.start_soon(self.cause_events)

    async def chat(self, number: int) -> None:
        """Returns to a few chats again and again."""
        rng = random.Random(self.seed * 1000 + number)
        seeds = [e["address"] for e in self.fleet.listing["entries"]]
        rng.shuffle(seeds)
        client = Client(seeds, f"maule-{number % 4}")
        turns: Counter[str] = Counter()
        while not self.over():
            chat = f"chat-{number}-{rng.randrange(CHATS_EACH)}"
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
        """Sends one turn; comes back when a refusal says so."""
        for attempt in range(RETRY_LIMIT):
            mark = f"{key}-{attempt}"
            wait_s = await self.send_turn(client, mark, body)
            if wait_s is None or self.over():
                return
            await anyio.sleep(wait_s)

    async def send_turn(
        self, client: Client, mark: str, body: dict[str, Any]
    ) -> float | None:
        """Returns how long to wait before sending again, None if done."""
        sent_at = time.monotonic()
        started = False
        try:
            async with client.stream(
                "POST",
                "/v1/chat",
                body["chat"],
                {"idempotency-key": mark, "content-type": "application/json"},
                json.dumps(body).encode(),
            ) as resp:
                if resp.status_code != httpx.codes.OK:
                    return self.take_refusal(resp, mark)
                started = True
                whole = b""
                async for part in resp.aiter_raw():
                    if not whole:
                        first = (time.monotonic() - sent_at) * 1_000
                        self.ledger.first_ms.append((self.now(), first))
                    whole += part
        except httpx.HTTPError as exc:
            kind = "cut, told" if started else "no answer"
            self.ledger.chats[kind] += 1
            self.note(f"chat {mark}: {kind}: {type(exc).__name__} {exc}")
            return None
        kind = "whole" if whole.endswith(END_MARKER) else "cut, not told"
        self.ledger.chats[kind] += 1
        self.ledger.cached += int(resp.headers["x-cached-tokens"])
        self.ledger.prompts += body["prompt_tokens"]
        return None

    def take_refusal(self, resp: httpx.Response, mark: str) -> float:
        """Keeps a refusal and returns when to come back, in s."""
        outcome = resp.headers.get(OUTCOME, "none")
        self.ledger.chats[f"{resp.status_code} {outcome}"] += 1
        self.ledger.refusals.append((self.now(), str(resp.status_code)))
        if outcome == Outcome.NOT_RUN.value:
            self.ledger.not_run.add(mark)
        return float(resp.headers.get("retry-after", "1"))

    async def pay(self, number: int) -> None:
        """Pays again and again, by own and by minted keys."""
        rng = random.Random(self.seed * 2000 + number)
        seeds = [e["address"] for e in self.fleet.listing["entries"]]
        rng.shuffle(seeds)
        client = Client(seeds, f"maule-{number % 4}")
        for count in range(10_000):
            if self.over():
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
                    told = f"{resp.status_code}"
                case Result(error=fault):
                    told = fault.outcome.value
            label = "own key" if own else "minted key"
            self.ledger.payments[name] = f"{label}: {told}"
            await anyio.sleep(rng.uniform(0.05, 0.3))
        await client.close()

    async def watch_load(self) -> None:
        """Samples the engines' requests in progress."""
        servers = self.fleet.listing["servers"]
        async with httpx.AsyncClient(trust_env=False) as http:
            while not self.over():
                loads = [
                    (await http.get(server["address"] + "/load")).json()
                    for server in servers
                    if server["engine"]
                    and server["data_centre"] != self.out_of_service
                ]
                counts = [load["in_flight"] for load in loads]
                self.ledger.loads.append((self.now(), counts))
                await anyio.sleep(0.25)

    async def cause_events(self) -> None:
        """Ends a router, moves a data centre, stops the service."""
        await self.wait_for(0.2)
        self.note("ending router entry-7")
        await anyio.to_thread.run_sync(self.fleet.stop, "entry-7")
        entries = self.fleet.listing["entries"]
        entries[:] = [e for e in entries if e["name"] != "entry-7"]
        await anyio.to_thread.run_sync(self.fleet.publish)
        await self.wait_for(0.35)
        self.out_of_service = "dc-b"
        await self.run_ctl("drain", "data-centre", "dc-b")
        await anyio.sleep(NO_NEW_WORK_S)
        before = await self.count_records("dc-b")
        await self.wait_for(0.6)
        after = await self.count_records("dc-b")
        self.ledger.drained = {"before": before, "after": after}
        self.note(f"new work in dc-b while drained: {after - before}")
        await self.run_ctl("return", "data-centre", "dc-b")
        self.out_of_service = ""
        await self.wait_for(0.75)
        self.note("stopping the key-value service")
        await anyio.to_thread.run_sync(self.fleet.stop, "store")

    async def wait_for(self, share: float) -> None:
        """Waits until `share` of the run is over."""
        await anyio.sleep(max(0.0, share * self.seconds - self.now()))

    async def run_ctl(self, *command: str) -> None:
        """Runs an operator's command and waits for its end."""
        self.note("corianderdoorctl " + " ".join(command))
        code = await anyio.to_thread.run_sync(
            partial(self.fleet.run_ctl, KEYS, *command)
        )
        self.note(f"{command[0]} ended with exit code {code}")

    async def count_records(self, centre: str) -> int:
        """Counts what the servers of a data centre have run so far."""
        found = await read_records(self.fleet)
        names = {
            server["name"]
            for server in self.fleet.listing["servers"]
            if server["data_centre"] == centre
        }
        return sum(len(found[name]) for name in names)


async def read_records(fleet: Fleet) -> dict[str, list[list[str]]]:
    """Returns what each backend server has run, from its own record."""
    found = {}
    async with httpx.AsyncClient(trust_env=False) as http:
        for server in fleet.listing["servers"]:
            resp = await http.get(server["address"] + "/standin/records")
            found[server["name"]] = resp.json()
    return found


def audit(trial: Trial, records: dict[str, list[list[str]]]) -> list[str]:
    """Returns every promise that was broken, as a sentence."""
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
    for name, told in ledger.payments.items():
        runs = payments[name]
        if told.endswith("201") and runs != 1:
            broken.append(f"payment {name} was told 201 and ran {runs} times")
        if told.endswith("not-run") and runs:
            broken.append(f"payment {name} was told not-run and ran")
    broken += [
        f"chat {mark} was told not-run and ran"
        for mark in ledger.not_run
        if ran[mark]
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
    """Returns the figures of the run."""
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
    """Starts every process and puts the rules in force."""
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
    """Runs the trial; exits with 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=pathlib.Path, help="write JSON")
    parser.add_argument("--logs", type=pathlib.Path, help="copy logs here")
    args = parser.parse_args()
    with Fleet() as fleet:
        start(fleet)
        trial = Trial(fleet, args.seconds, args.seed)
        trial.note(f"{len(fleet.procs)} processes are up")
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
