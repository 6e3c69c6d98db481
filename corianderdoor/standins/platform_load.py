"""Generates load on a small deployment of stand-ins, with one fault.

Runs a store, workers and real entry hosts in one process, sends returning
chats and short requests, injects one kind of fault, and reports what
callers saw.
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
from ..platform.settings import ROLLOUT_CONTRACT
from .bad_versions import KINDS
from .platform_fleet import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    PlatformFleet,
    Reply,
    run_fleet,
)
from .platform_rollout import GOOD, Rollout

FAULTS: Final = (
    "none",
    "cut",
    "decline",
    "leave",
    "retry-after",
    "store-down",
    "host-stop",
)
NO_ROLLOUT: Final = "none"
# When a new version is ordered, as a share of the run, and its time budget.
ORDER_AT: Final = 0.1
BUDGET_SHARE: Final = 0.7
# Start and end of the fault, as shares of the run.
FAULT_WINDOW: Final = (0.3, 0.6)
TEMPLATES: Final = 4
TEMPLATE_TOKENS: Final = 2_500
CHAT_TOKENS: Final = 6_000
UNIQUE_TOKENS: Final = 500
PATHS: Final = ("/chat/x", "/chat/x", "/pay/x", "/read/x")
PERCENTILES: Final = (50, 99)
RETRIES: Final = 1
# Time that a worker asks for when it turns requests away.
RETRY_AFTER_S: Final = 1.0


class RequestStats:
    """Results of one kind of request, as callers saw them."""

    __slots__ = ("requests", "served", "failed", "ran_twice", "latencies_ms")

    def __init__(self) -> None:
        self.requests = 0
        self.served = 0
        self.failed = 0
        self.ran_twice = 0
        self.latencies_ms: list[float] = []

    def percentile(self, percent: int) -> float:
        """Returns a percentile of the latency of served requests, in ms."""
        if not self.latencies_ms:
            return 0.0
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


class Experiment:
    """One run of the load generator."""

    __slots__ = (
        "_fleet",
        "_args",
        "_rng",
        "_stats",
        "_request_count",
        "_stopped_hosts",
        "_rollout",
    )

    def __init__(self, fleet: PlatformFleet, args: argparse.Namespace) -> None:
        self._fleet = fleet
        self._args = args
        self._rng = random.Random(args.seed)
        self._stats: defaultdict[str, RequestStats] = defaultdict(RequestStats)
        self._request_count = 0
        self._stopped_hosts: set[str] = set()
        self._rollout: Rollout | None = None
        if args.rollout != NO_ROLLOUT:
            self._rollout = Rollout(
                fleet, args.rollout_service, BUDGET_SHARE * args.seconds
            )

    async def run(self) -> dict[str, Any]:
        """Sends the load and returns the report."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._inject_fault)
            if self._rollout is not None:
                tasks.start_soon(self._order, self._rollout)
            total = int(self._args.seconds * self._args.rate)
            for _ in range(total):
                tasks.start_soon(self._send_request)
                await anyio.sleep(self._rng.expovariate(self._args.rate))
        return self._report()

    async def _order(self, rollout: Rollout) -> None:
        await anyio.sleep(ORDER_AT * self._args.seconds)
        await rollout.start(self._args.rollout)
        await rollout.finish()

    async def _inject_fault(self) -> None:
        begin, end = (part * self._args.seconds for part in FAULT_WINDOW)
        await anyio.sleep(begin)
        fault = self._args.trouble
        worker = self._fleet.workers["engine-0"]
        if fault in ("cut", "decline"):
            worker.mode = fault
        elif fault == "retry-after":
            worker.mode, worker.retry_after_s = "decline", RETRY_AFTER_S
        elif fault == "leave":
            worker.leaving = True
        elif fault == "store-down":
            self._fleet.store.fault = "silent"
        elif fault == "host-stop":
            self._stopped_hosts.add("host-0")
            self._fleet.stop_host("host-0")
        await anyio.sleep(end - begin)
        worker.mode = ""
        worker.leaving = False
        worker.retry_after_s = None
        self._fleet.store.fault = ""

    async def _send_request(self) -> None:
        self._request_count += 1
        number = self._request_count
        path = self._rng.choice(PATHS)
        chat = self._rng.randrange(self._args.chats)
        prompt = (
            f"t{chat % TEMPLATES}:{TEMPLATE_TOKENS},"
            f"c{chat}:{CHAT_TOKENS},o{number}:{UNIQUE_TOKENS}"
        )
        headers = {"Prompt_Prefix": prompt} if path == "/chat/x" else {}
        stats = self._stats[path]
        stats.requests += 1
        started_ms = self._fleet.clock.now_ms()
        for attempt in range(RETRIES + 1):
            id = f"{number}-{attempt}"
            reply = await self._fleet.chat(
                self._choose_host(), id, path, **headers
            )
            runs = sum(w.runs[id] for w in self._fleet.workers.values())
            stats.ran_twice += path == "/pay/x" and runs > 1
            if reply.status == 200 and reply.complete:
                stats.served += 1
                latency_ms = self._fleet.clock.now_ms() - started_ms
                stats.latencies_ms.append(latency_ms)
                return
            if not _may_retry(reply, path):
                break
            delay = float(reply.headers.get(b"retry-after", b"0"))
            await anyio.sleep(delay)
        stats.failed += 1

    def _choose_host(self) -> str:
        running = [
            h for h in self._fleet.hosts if h not in self._stopped_hosts
        ]
        return self._rng.choice(running)

    def _report(self) -> dict[str, Any]:
        rows = {
            path.strip("/").partition("/")[0]: {
                "asked": stats.requests,
                "served": stats.served,
                "failed": stats.failed,
                "ran_twice": stats.ran_twice,
                **{f"p{p}_ms": stats.percentile(p) for p in PERCENTILES},
            }
            for path, stats in sorted(self._stats.items())
        }
        workers = self._fleet.workers.values()
        return {
            "seed": self._args.seed,
            "trouble": self._args.trouble,
            "kinds": rows,
            "prompt_tokens_read": sum(w.prompt_tokens_read for w in workers),
            "store_calls": dict(self._fleet.store.calls),
            "rollout": self._rollout.report() if self._rollout else None,
        }


def _may_retry(reply: Reply, path: str) -> bool:
    """Returns whether a caller may retry the request."""
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
    if report["rollout"] is not None:
        rollout = report["rollout"]
        versions = ", ".join(
            f"{v} {n}" for v, n in rollout["requests"].items()
        )
        print(
            f"rollout of {rollout['service']}: {rollout['state']} after "
            f"{rollout['outcome_s']} s; requests: {versions}; "
            f"{rollout['bad_answers']} bad answers, "
            f"{rollout['cut_off']} requests cut off"
        )


async def _run(args: argparse.Namespace) -> dict[str, Any]:
    contracts = () if args.rollout == NO_ROLLOUT else (ROLLOUT_CONTRACT,)
    async with run_fleet(
        args.engines, args.plain, args.hosts, contracts
    ) as fleet:
        return await Experiment(fleet, args).run()


def main(argv: list[str] | None = None) -> int:
    """Runs one experiment; returns 1 if a payment ran more than once."""
    parser = argparse.ArgumentParser(
        prog="corianderdoor-load",
        description="Sends load to entry hosts in front of stand-ins.",
    )
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--plain", type=int, default=3)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--chats", type=int, default=24)
    parser.add_argument(
        "--rate", type=float, default=60.0, help="requests per second"
    )
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--trouble", choices=FAULTS, default="none")
    parser.add_argument(
        "--rollout",
        choices=(NO_ROLLOUT, GOOD, *KINDS),
        default=NO_ROLLOUT,
        help="order a new version during the load: a good or a bad one",
    )
    parser.add_argument(
        "--rollout-service",
        choices=(ENGINE_SERVICE, PLAIN_SERVICE),
        default=PLAIN_SERVICE,
    )
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
