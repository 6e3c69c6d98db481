"""Checks planned stops of entry hosts under load with real processes.

Callers send requests to every host, on new and on kept connections, until
`CALLER_TTL_MS` after its stop, as with an old directory answer. Exits with 1
if a request that a host accepted ends without a complete answer, or if a host
is still there at the end of its grace period.
"""

from __future__ import annotations

import argparse
from collections import Counter
import pathlib
import random
import signal
import sys
import tempfile
import time

import anyio
import anyio.abc
from soak_deployment import Host

from corianderdoor.adapters.http1 import H11Protocol
from corianderdoor.adapters.http1_connect import connect
from corianderdoor.adapters.logs import set_up_entry_logs
from corianderdoor.core.clock import SystemClock
from corianderdoor.standins.platform_caller import read_answer, write_chat
from corianderdoor.standins.platform_fleet import (
    build_settings,
    CALLER_HOST,
    GRACE_PERIOD_S,
    KEY,
    PlatformFleet,
    PORT,
    Reply,
    TIMEOUT_MS,
)

MAX_STOPS = 200
# Callers use a directory answer for up to two seconds.
CALLER_TTL_MS = 2_000
MAX_DELAY_S = 0.5
THINK_S = 0.02
PATHS = ("/chat/x", "/pay/x", "/read/x")
# Times that the plain services take.
WORK_MS = (5, 120, 900)


class StopCheck:
    """One run: stand-ins, host processes, callers and stops."""

    def __init__(self, args: argparse.Namespace, folder: pathlib.Path) -> None:
        self._args = args
        self._folder = folder
        self._rng = random.Random(args.seed)
        self._hosts: list[Host] = []
        # When callers stop using a host, in ms; 0 while it serves.
        self._unused_ms: Counter[str] = Counter()
        self._number = 0
        self._done = False
        self.outcomes: Counter[str] = Counter()
        self.failures: list[str] = []
        self.exit_times_s: list[float] = []

    async def run(self) -> None:
        """Stops hosts under load, `stops` times in all."""
        async with anyio.create_task_group() as tasks:
            self._fleet = PlatformFleet(tasks)
            try:
                await self._start()
                for host in self._hosts:
                    for number in range(self._args.callers):
                        tasks.start_soon(self._call, host, number % 2 == 0)
                tasks.start_soon(self._expire_leases)
                left = self._args.stops
                while left > 0:
                    batch = self._hosts[1:][:left]
                    self._fleet.store.fault = self._args.store_fault
                    async with anyio.create_task_group() as stops:
                        for host in batch:
                            stops.start_soon(self._stop, host)
                    self._fleet.store.fault = ""
                    for host in batch:
                        host.start()
                    for host in batch:
                        await self._fleet.wait_ready(host.name)
                        self._unused_ms[host.name] = 0
                    left -= len(batch)
            finally:
                self._done = True
                for host in self._hosts:
                    if host.proc.poll() is None:
                        host.proc.kill()
                        host.proc.wait()
                tasks.cancel_scope.cancel()

    async def _start(self) -> None:
        fleet = self._fleet
        await fleet.start(2, len(WORK_MS), 0)
        for number, work_ms in enumerate(WORK_MS):
            fleet.workers[f"plain-{number}"].work_ms = work_ms
        for number in range(self._args.hosts):
            name = f"host-{number}"
            address = fleet.allocate_address()
            path = self._folder / f"{name}.json"
            path.write_bytes(
                build_settings(name, address, fleet.store_address)
            )
            log = (self._folder / f"{name}.log").open("a")
            fleet.hosts[name] = (address, PORT)
            self._hosts.append(Host(name, address, path, log))
        for host in self._hosts:
            await fleet.wait_ready(host.name)

    async def _expire_leases(self) -> None:
        while True:
            await anyio.sleep(0.1)
            self._fleet.store.state.expire_leases()

    async def _stop(self, host: Host) -> None:
        await anyio.sleep(self._rng.uniform(0, MAX_DELAY_S))
        began_s = time.monotonic()
        self._unused_ms[host.name] = self._fleet.clock.now_ms() + CALLER_TTL_MS
        host.proc.send_signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_PERIOD_S):
            while host.proc.poll() is None:
                await anyio.sleep(0.01)
        self.exit_times_s.append(time.monotonic() - began_s)
        if host.proc.poll() is None:
            self.failures.append(f"{host.name}: still there at the end")
            host.proc.kill()
            host.proc.wait()
        elif host.proc.returncode:
            self.failures.append(f"{host.name}: {host.proc.returncode}")

    async def _call(self, host: Host, keeps: bool) -> None:
        """Sends requests to a host, one after the other."""
        kept: H11Protocol | None = None
        while True:
            unused_ms = self._unused_ms[host.name]
            now_ms = self._fleet.clock.now_ms()
            if unused_ms and now_ms > unused_ms:
                kept = None
                await anyio.sleep(THINK_S)
                continue
            reused = kept is not None and kept.reusable
            protocol = kept if reused else None
            if protocol is None:
                protocol = await connect((host.address, PORT), 1_000, 0)
            if protocol is None:
                self.outcomes["not accepted"] += 1
                if unused_ms:
                    self.failures.append(f"{host.name}: refused connection")
                await anyio.sleep(THINK_S)
                continue
            await self._send(host, protocol, reused)
            kept = protocol if keeps and protocol.reset_cycle() else None
            if kept is None:
                protocol.abort()
            await anyio.sleep(self._rng.choice((0, 0, THINK_S)))

    async def _send(
        self, host: Host, protocol: H11Protocol, reused: bool
    ) -> None:
        self._number += 1
        id = f"r{self._number}"
        reply = Reply()
        path = self._rng.choice(PATHS)
        sent_ms = self._fleet.clock.now_ms()
        write_chat(protocol, CALLER_HOST, id, path, KEY, "", TIMEOUT_MS)
        await read_answer(protocol, reply)
        if self._done:
            return
        if reply.complete:
            self.outcomes[f"status {reply.status}"] += 1
            return
        way = "kept" if reused else "new"
        begun = "cut" if reply.status else "unanswered"
        self.outcomes[f"{begun} on a {way} connection"] += 1
        left_ms = self._unused_ms[host.name] - sent_ms
        self.failures.append(
            f"{host.name}: {id} {path} {begun} on a {way} connection, sent "
            f"{CALLER_TTL_MS - left_ms} ms after the stop"
        )


def main() -> int:
    """Runs the check and prints what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stops", type=int, default=60)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--callers", type=int, default=8, help="per host")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--store-fault", default="", help="fault of the store at the stops"
    )
    args = parser.parse_args()
    args.stops = min(MAX_STOPS, args.stops)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="stops-"))
    set_up_entry_logs("stops", "ERROR", SystemClock())
    check = StopCheck(args, folder)
    anyio.run(check.run, backend_options={"use_uvloop": True})
    print(f"{len(check.exit_times_s)} stops, seed {args.seed}")
    print(f"outcomes: {dict(check.outcomes)}")
    print(f"longest stop: {max(check.exit_times_s):.2f} s")
    for line in check.failures[:20]:
        print(f"  {line}")
    print(f"{len(check.failures)} failures, logs in {folder}")
    return int(bool(check.failures))


if __name__ == "__main__":
    sys.exit(main())
