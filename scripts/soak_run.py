"""One soak run: callers, probes, faults and the report.

The store and the workers are stand-ins behind proxies. Entry hosts are child
processes, which faults pause, kill and restart while callers go on sending
requests.
"""

from __future__ import annotations

import argparse
import pathlib
import random
from typing import Any

import anyio
import anyio.abc
from soak_deployment import (
    COLD_PER_S,
    Deployment,
    Host,
    RECOVERY_MS,
    RETRY_SLACK,
    SECOND_KEY,
)
from soak_faults import FaultInjector

from corianderdoor.adapters.http1_connect import connect
from corianderdoor.soak.callers import Caller
from corianderdoor.soak.checks import (
    AT_MOST_ONCE_KINDS,
    find_violations,
    Limits,
    Violation,
)
from corianderdoor.soak.ledger import Attempt
from corianderdoor.soak.plan import draw_plan, draw_theme
from corianderdoor.standins.platform_caller import read_answer, write_chat
from corianderdoor.standins.platform_fleet import (
    CALLER_HOST,
    COLD_FACTOR,
    COLD_SLACK,
    KEY,
    MAX_ATTEMPTS,
    PORT,
    READY_PORT,
    RETRY_BUDGET_RATIO,
    TIMEOUT_MS,
)
from corianderdoor.standins.platform_worker import EVENT_COUNT

LIMITS = Limits(
    TIMEOUT_MS,
    EVENT_COUNT,
    MAX_ATTEMPTS,
    RETRY_BUDGET_RATIO,
    RETRY_SLACK,
    COLD_PER_S * COLD_FACTOR + COLD_SLACK,
)
PROBE_INTERVAL_MS = 250
# Consecutive served requests that count as recovery.
RECOVERY_REQUESTS = 24
# Memory of the smallest host that the platform documents.
MEMORY_LIMIT_KB = 200 * 1024


class Soak:
    """One soak run."""

    def __init__(
        self, args: argparse.Namespace, seed: int, folder: pathlib.Path
    ) -> None:
        self._args = args
        self._seed = seed
        self._folder = folder
        self._rng = random.Random(f"run {seed}")
        self._recovered = False

    async def run(self) -> dict[str, Any]:
        """Injects the faults of the seed and returns the report."""
        async with anyio.create_task_group() as tasks:
            self._deployment = Deployment(self._args, self._folder, tasks)
            self._clock = self._deployment.clock
            self._ledger = self._deployment.ledger
            try:
                await self._deployment.start()
                await self._run_load_and_faults()
            finally:
                with anyio.CancelScope(shield=True):
                    self._deployment.kill_hosts()
                tasks.cancel_scope.cancel()
        return self._report()

    async def _run_load_and_faults(self) -> None:
        """Injects the faults while callers and probes send requests."""
        stop = anyio.Event()
        plan = draw_plan(self._seed, self._args.seconds * 1_000)
        async with anyio.create_task_group() as callers:
            for number in range(self._args.callers):
                callers.start_soon(self._caller(f"c{number}").run, stop)
            callers.start_soon(self._probe, callers, stop)
            await FaultInjector(self._deployment).run_steps(plan)
            await self._await_recovery()
            stop.set()

    def _caller(self, name: str) -> Caller:
        names = {
            f"{host.address}:{PORT}": host.name
            for host in self._deployment.hosts
        }
        return Caller(
            name,
            self._ledger,
            self._clock,
            random.Random(f"{self._seed} {name}"),
            [(host.address, READY_PORT) for host in self._deployment.hosts],
            lambda address: names.get(address, address),
        )

    async def _probe(
        self, tasks: anyio.abc.TaskGroup, stop: anyio.Event
    ) -> None:
        number = 0
        while not stop.is_set():
            await anyio.sleep(PROBE_INTERVAL_MS / 1_000)
            number += 1
            host = self._rng.choice(self._deployment.hosts)
            if number % 2:
                path, key = "/probe/x", KEY
                allowed = 200 if self._deployment.probe_route_enabled else 404
            else:
                path, key = "/read/x", SECOND_KEY
                allowed = 200 if self._deployment.second_key_enabled else 401
            tasks.start_soon(
                self._send_probe, number, host, path, key, allowed
            )

    async def _send_probe(
        self, number: int, host: Host, path: str, key: str, allowed: int
    ) -> None:
        accepted_ms = self._deployment.desired_accepted_ms
        protocol = await connect((host.address, PORT), TIMEOUT_MS, 0)
        if protocol is None:
            return
        now_ms = self._clock.now_ms()
        attempt = Attempt(f"p{number}", "probe", host.name, now_ms, True)
        self._ledger.attempts[attempt.id] = attempt
        write_chat(
            protocol, CALLER_HOST, attempt.id, path, key, "", TIMEOUT_MS
        )
        with anyio.move_on_after(2 * TIMEOUT_MS / 1_000):
            await read_answer(protocol, attempt)
        protocol.abort()
        attempt.ended_ms = self._clock.now_ms()
        if accepted_ms == self._deployment.desired_accepted_ms:
            self._ledger.probes.append(
                (attempt.id, accepted_ms, frozenset({allowed}))
            )

    async def _await_recovery(self) -> None:
        """Waits until `RECOVERY_REQUESTS` requests in a row are served.

        Gives up after `RECOVERY_MS`; the report then has a violation.
        """
        checker = self._caller("recovery")
        consecutive = 0
        with anyio.move_on_after(RECOVERY_MS / 1_000):
            while consecutive < RECOVERY_REQUESTS:
                await checker.refresh_addresses()
                attempt = await checker.call(
                    "chat" if consecutive % 2 else "pay"
                )
                served = attempt is not None and attempt.served
                consecutive = consecutive + 1 if served else 0
        self._recovered = consecutive >= RECOVERY_REQUESTS

    def _report(self) -> dict[str, Any]:
        found = find_violations(self._ledger, LIMITS)
        if not self._recovered:
            found.append(Violation("recover", "no row of served requests"))
        for host in self._deployment.hosts:
            if host.peak_kb > MEMORY_LIMIT_KB:
                found.append(
                    Violation("memory", f"{host.name}: {host.peak_kb} KB")
                )
        attempts = self._ledger.attempts.values()
        return {
            "seed": self._seed,
            "theme": draw_theme(self._seed),
            "steps": len(self._ledger.spans),
            "asked": len(attempts),
            "served": sum(attempt.served for attempt in attempts),
            "once": sum(
                attempt.kind in AT_MOST_ONCE_KINDS for attempt in attempts
            ),
            "arrivals": len(self._ledger.arrivals),
            "probes": len(self._ledger.probes),
            "peak_mb": max(host.peak_kb for host in self._deployment.hosts)
            // 1024,
            "violations": [f"{item.check}: {item.detail}" for item in found],
            "spans": [
                [span.begin_ms, span.end_ms, span.scope, span.kind]
                for span in self._ledger.spans
            ],
        }
