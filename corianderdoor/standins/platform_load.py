"""Load and experiments on a small deployment of stand-ins.

Runs a store, workers and real entry hosts in one process, sends chats that
return beside short calls, brings about one kind of trouble, and reports
what callers saw.
"""

from __future__ import annotations

import argparse
from collections import defaultdict
import json
import random
import sys
from typing import Any, Final

import anyio

from ..adapters.logs import set_up_entry_logs
from ..core.clock import SystemClock
from .platform_fleet import PlatformFleet, Reply, run_fleet

FAULTS: Final = ("none", "cut", "decline", "store-down", "host-stop")
TROUBLE_SHARE: Final = (0.3, 0.6)
TEMPLATES: Final = 4
TEMPLATE_TOKENS: Final = 2_500
CHAT_TOKENS: Final = 6_000
OWN_TOKENS: Final = 500
PATHS: Final = ("/chat/x", "/chat/x", "/pay/x", "/read/x")
PERCENTS: Final = (50, 99)
RETRIES: Final = 1


class Outcome:
    """What callers saw of one kind of request."""

    __slots__ = ("asked", "served", "failed", "doubled", "took_ms")

    def __init__(self) -> None:
        self.asked = 0
        self.served = 0
        self.failed = 0
        self.doubled = 0
        self.took_ms: list[float] = []

    def percentile(self, percent: int) -> float:
        """Returns a percentile of the times of served requests, in ms."""
        if not self.took_ms:
            return 0.0
        ordered = sorted(self.took_ms)
        return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


class Experiment:
    """One run of load."""

    __slots__ = ("_fleet", "_args", "_rng", "_outcomes", "_number", "_stopped")

    def __init__(self, fleet: PlatformFleet, args: argparse.Namespace) -> None:
        self._fleet = fleet
        self._args = args
        self._rng = random.Random(args.seed)
        self._outcomes: defaultdict[str, Outcome] = defaultdict(Outcome)
        self._number = 0
        self._stopped: set[str] = set()

    async def run(self) -> dict[str, Any]:
        """Returns the report."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._bring_trouble)
            total = int(self._args.seconds * self._args.rate)
            for _ in range(total):
                tasks.start_soon(self._ask)
                await anyio.sleep(self._rng.expovariate(self._args.rate))
        return self._report()

    async def _bring_trouble(self) -> None:
        begin, end = (part * self._args.seconds for part in TROUBLE_SHARE)
        await anyio.sleep(begin)
        trouble = self._args.trouble
        worker = self._fleet.workers["engine-0"]
        if trouble in ("cut", "decline"):
            worker.mode = trouble
        elif trouble == "store-down":
            self._fleet.store.fault = "silent"
        elif trouble == "host-stop":
            self._stopped.add("host-0")
            self._fleet.stop_host("host-0")
        await anyio.sleep(end - begin)
        worker.mode = ""
        self._fleet.store.fault = ""

    async def _ask(self) -> None:
        self._number += 1
        number = self._number
        path = self._rng.choice(PATHS)
        chat = self._rng.randrange(self._args.chats)
        prompt = (
            f"t{chat % TEMPLATES}:{TEMPLATE_TOKENS},"
            f"c{chat}:{CHAT_TOKENS},o{number}:{OWN_TOKENS}"
        )
        headers = {"Prompt_Prefix": prompt} if path == "/chat/x" else {}
        outcome = self._outcomes[path]
        outcome.asked += 1
        begun_ms = self._fleet.clock.now_ms()
        for attempt in range(RETRIES + 1):
            id = f"{number}-{attempt}"
            reply = await self._fleet.chat(self._host(), id, path, **headers)
            runs = sum(w.runs[id] for w in self._fleet.workers.values())
            outcome.doubled += path == "/pay/x" and runs > 1
            if reply.status == 200 and reply.complete:
                outcome.served += 1
                took_ms = self._fleet.clock.now_ms() - begun_ms
                outcome.took_ms.append(took_ms)
                return
            if not _may_ask_again(reply, path):
                break
            delay = float(reply.headers.get(b"retry-after", b"0"))
            await anyio.sleep(delay)
        outcome.failed += 1

    def _host(self) -> str:
        open_hosts = [h for h in self._fleet.hosts if h not in self._stopped]
        return self._rng.choice(open_hosts)

    def _report(self) -> dict[str, Any]:
        rows = {
            path.strip("/").partition("/")[0]: {
                "asked": found.asked,
                "served": found.served,
                "failed": found.failed,
                "ran_twice": found.doubled,
                **{f"p{p}_ms": found.percentile(p) for p in PERCENTS},
            }
            for path, found in sorted(self._outcomes.items())
        }
        workers = self._fleet.workers.values()
        return {
            "seed": self._args.seed,
            "trouble": self._args.trouble,
            "kinds": rows,
            "prompt_tokens_read": sum(w.read_tokens for w in workers),
            "store_calls": dict(self._fleet.store.calls),
        }


def _may_ask_again(reply: Reply, path: str) -> bool:
    """Returns whether a caller may send the request again."""
    return path != "/pay/x" or reply.status in (0, 429, 503)


def print_report(report: dict[str, Any]) -> None:
    """Prints a report as a table."""
    rows = report["kinds"]
    columns = list(next(iter(rows.values()))) if rows else []
    print("kind".ljust(8) + "".join(name.rjust(11) for name in columns))
    for kind, row in rows.items():
        cells = "".join(f"{row[name]:11g}" for name in columns)
        print(kind.ljust(8) + cells)
    print(f"prompt tokens read: {report['prompt_tokens_read']}")
    calls = ", ".join(f"{k} {n}" for k, n in report["store_calls"].items())
    print(f"store calls: {calls}")


async def _run(args: argparse.Namespace) -> dict[str, Any]:
    async with run_fleet(args.engines, args.plain, args.hosts) as fleet:
        return await Experiment(fleet, args).run()


def main(argv: list[str] | None = None) -> int:
    """Runs one experiment; returns 1 if a payment ran twice."""
    parser = argparse.ArgumentParser(
        prog="corianderdoor-load",
        description="Sends load to entry hosts before stand-ins.",
    )
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--plain", type=int, default=3)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--chats", type=int, default=24)
    parser.add_argument("--rate", type=float, default=60.0, help="a second")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--trouble", choices=FAULTS, default="none")
    parser.add_argument("--json", default="", help="also write JSON here")
    parser.add_argument("--logs", action="store_true", help="show log lines")
    args = parser.parse_args(argv)
    level = "INFO" if args.logs else "ERROR"
    set_up_entry_logs("load", level, SystemClock())
    report = anyio.run(_run, args, backend_options={"use_uvloop": True})
    print_report(report)
    if args.json:
        with open(args.json, "w", encoding="utf-8") as file:
            json.dump(report, file, indent=2)
    return int(any(row["ran_twice"] for row in report["kinds"].values()))


if __name__ == "__main__":
    sys.exit(main())
