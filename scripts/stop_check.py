"""Checks planned stops of entry hosts under load with real processes.

Callers send requests to every host, on new and on kept connections. Some stop
using a host 2 s after its stop, as with an old directory answer; others use a
connection for as long as it lasts. Answers last up to most of the timeouts of
their routes, servers fall silent for up to two seconds, hosts get SIGHUP at
any time and SIGTERM again during their stops, stops overlap, and some come
right after a start. Exits with 1 if the rule for planned work was broken, if
a host is still there at the end of its grace period, or if it ends by a
signal.
"""

from __future__ import annotations

import argparse
from collections import Counter
import pathlib
import random
import re
import signal
import sys
import tempfile
import time

import anyio
import anyio.abc
from soak_deployment import ENTRY_COMMAND, Host, ROOT
from stop_check_callers import ALL_ROUTES, Callers
from stop_check_servers import VariedWorker

from corianderdoor.adapters.http1_server import listen
from corianderdoor.adapters.logs import set_up_entry_logs
from corianderdoor.core.clock import MS_PER_SECOND, SystemClock
from corianderdoor.standins.platform_fleet import (
    build_config,
    build_settings,
    GRACE_PERIOD_S,
    PlatformFleet,
    PORT,
)

MAX_STOPS = 200
ENGINES = 4
PLAIN = 3
SLOTS = 64
# How long a server is silent, and the time between two silences.
SILENT_MS = (1_000, 2_000)
SILENCE_GAP_S = (0.5, 4.0)
HUP_GAP_S = (0.1, 0.8)
SECOND_TERM_S = (0.0, 5.0)
EARLY_STOP_S = (0.5, 1.5)
EARLY_STOP_SHARE = 0.25
# Events of the hosts' logs that tell causes of a cut answer apart.
LOGGED = re.compile(
    r"event=(request_cut_by_stop|server_reached_by_peer|connection_failed"
    r"|send_failed .*begun=True|task_failed|stopped)"
)


class StopCheck:
    """One run: stand-ins, host processes, callers and stops."""

    def __init__(self, args: argparse.Namespace, folder: pathlib.Path) -> None:
        self._args = args
        self._folder = folder
        self._rng = random.Random(args.seed)
        self._hosts: list[Host] = []
        self._started_s: dict[str, float] = {}
        self._starts: Counter[str] = Counter()
        self.exit_times_s: list[float] = []

    async def run(self) -> None:
        """Stops hosts under load, `stops` times in all."""
        async with anyio.create_task_group() as tasks:
            self._fleet = PlatformFleet(tasks)
            self.callers = Callers(self._fleet, self._rng, self._args.think)
            try:
                await self._start(tasks)
                for host in self._hosts:
                    for number in range(self._args.callers):
                        tasks.start_soon(
                            self.callers.call,
                            host,
                            number % 4 != 0,
                            number % 4 > 1,
                        )
                tasks.start_soon(self._expire_leases)
                tasks.start_soon(self._silence_servers)
                tasks.start_soon(self._send_hups)
                left = self._args.stops
                while left > 0:
                    batch = self._hosts[1:][:left]
                    await self._stop_all(batch)
                    left -= len(batch)
            finally:
                self.callers.done = True
                for host in self._hosts:
                    if host.proc.poll() is None:
                        host.proc.kill()
                        host.proc.wait()
                tasks.cancel_scope.cancel()

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        fleet = self._fleet
        await fleet.start(0, 0, 0)
        fleet.store.state.put("op/config", build_config(2, ALL_ROUTES))
        for number in range(ENGINES + PLAIN):
            engine = number < ENGINES
            id = f"{'engine' if engine else 'plain'}-{number}"
            worker = fleet.workers[id] = VariedWorker(id, engine)
            address = fleet.allocate_address()
            await listen((address, PORT), tasks, worker.serve)
            fleet.register_worker(id, address, slots=SLOTS)
        command = ENTRY_COMMAND
        args = self._args
        if args.slow_links or args.busy:
            script = str(ROOT / "scripts" / "stop_check_host.py")
            command = (script, str(args.slow_links), str(args.busy))
        for number in range(self._args.hosts):
            name = f"host-{number}"
            address = fleet.allocate_address()
            path = self._folder / f"{name}.json"
            path.write_bytes(
                build_settings(name, address, fleet.store_address)
            )
            log = (self._folder / f"{name}.log").open("a")
            fleet.hosts[name] = (address, PORT)
            self._hosts.append(Host(name, address, path, log, command))
            self._started_s[name] = time.monotonic()
            self._starts[name] += 1
        for host in self._hosts:
            await fleet.wait_ready(host.name)

    async def _expire_leases(self) -> None:
        while True:
            await anyio.sleep(0.1)
            self._fleet.store.state.expire_leases()

    async def _silence_servers(self) -> None:
        while True:
            await anyio.sleep(self._rng.uniform(*SILENCE_GAP_S))
            worker = self._rng.choice(list(self._fleet.workers.values()))
            assert isinstance(worker, VariedWorker)
            worker.fall_silent(self._rng.randint(*SILENT_MS))

    async def _send_hups(self) -> None:
        while True:
            await anyio.sleep(self._rng.uniform(*HUP_GAP_S))
            host = self._rng.choice(self._hosts)
            if host.proc.poll() is None and _holds_hup(host.proc.pid):
                host.proc.send_signal(signal.SIGHUP)

    async def _stop_all(self, batch: list[Host]) -> None:
        """Stops hosts, each at its own time, and starts them again."""
        self._fleet.store.fault = self._args.store_fault
        async with anyio.create_task_group() as stops:
            for host in batch:
                delay_s = self._rng.uniform(0, self._args.spread)
                stops.start_soon(self._stop, host, delay_s)
        self._fleet.store.fault = ""
        for host in batch:
            self._restart(host)
        async with anyio.create_task_group() as stops:
            for host in batch:
                if self._rng.random() < EARLY_STOP_SHARE:
                    delay_s = self._rng.uniform(*EARLY_STOP_S)
                    stops.start_soon(self._stop_early, host, delay_s)
        for host in batch:
            await self._wait_ready(host)
            self.callers.signal_ms.pop(host.name, None)
            self.callers.starting.discard(host.name)

    async def _wait_ready(self, host: Host) -> None:
        try:
            await self._fleet.wait_ready(host.name)
        except TimeoutError:
            self._fail(f"{host.name}: not ready, {host.proc.poll()}")
            if host.proc.poll() is not None:
                self._restart(host)
                await self._fleet.wait_ready(host.name)

    def _restart(self, host: Host) -> None:
        self.callers.starting.add(host.name)
        host.start()
        self._starts[host.name] += 1
        self._started_s[host.name] = time.monotonic()

    async def _stop_early(self, host: Host, delay_s: float) -> None:
        """Stops a host that has just been started, and starts it again."""
        await self._stop(host, delay_s)
        self._restart(host)

    async def _stop(self, host: Host, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        began_s = time.monotonic()
        second_s = began_s + self._rng.uniform(*SECOND_TERM_S)
        self.callers.signal_ms[host.name] = self._fleet.clock.now_ms()
        host.proc.send_signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_PERIOD_S):
            while host.proc.poll() is None:
                if time.monotonic() > second_s:
                    second_s += GRACE_PERIOD_S
                    host.proc.send_signal(signal.SIGTERM)
                await anyio.sleep(0.01)
        self.exit_times_s.append(time.monotonic() - began_s)
        if host.proc.poll() is None:
            self._fail(f"{host.name}: still there at the end")
            host.proc.kill()
            host.proc.wait()
        elif host.proc.returncode == -signal.SIGTERM and not self._served(
            host
        ):
            # The default action of the signal, before it could be handled.
            self.callers.outcomes["host ended in its start"] += 1
        elif host.proc.returncode:
            age_ms = (began_s - self._started_s[host.name]) * MS_PER_SECOND
            self._fail(
                f"{host.name}: {host.proc.returncode}, {age_ms:.0f} ms old"
            )

    def _served(self, host: Host) -> bool:
        """Returns whether the last process of a host had begun to serve."""
        log = (self._folder / f"{host.name}.log").read_text()
        return log.count("event=started") == self._starts[host.name]

    def _fail(self, failure: str) -> None:
        self.callers.failures.append(failure)

    def count_logged(self) -> Counter[str]:
        """Returns how often the hosts logged what tells causes apart."""
        found: Counter[str] = Counter()
        for path in sorted(self._folder.glob("*.log")):
            for match in LOGGED.finditer(path.read_text()):
                found[match[1].partition(" ")[0]] += 1
        return found


def _holds_hup(pid: int) -> bool:
    """Returns whether a process has blocked SIGHUP once, or handles it.

    Nothing can while the interpreter starts.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    masks = re.findall(r"Sig(?:Blk|Cgt):\s*([0-9a-f]+)", status)
    bit = 1 << (signal.SIGHUP - 1)
    return any(int(mask, 16) & bit for mask in masks)


def main() -> int:
    """Runs the check and prints what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stops", type=int, default=60)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--callers", type=int, default=8, help="per host")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--spread",
        type=float,
        default=8.0,
        help="seconds within which stops of several hosts begin",
    )
    parser.add_argument(
        "--slow-links",
        type=float,
        default=0.0,
        help="share of the hosts' connections to servers that fail",
    )
    parser.add_argument(
        "--busy",
        type=float,
        default=0.0,
        help="seconds for which the hosts' event loops are busy at most",
    )
    parser.add_argument(
        "--think",
        type=float,
        default=0.2,
        help="longest time in seconds between two requests of a caller",
    )
    parser.add_argument(
        "--store-fault", default="", help="fault of the store at the stops"
    )
    args = parser.parse_args()
    args.stops = min(MAX_STOPS, args.stops)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="stops-"))
    set_up_entry_logs("stops", "ERROR", SystemClock())
    check = StopCheck(args, folder)
    anyio.run(check.run, backend_options={"use_uvloop": True})
    failures = check.callers.failures
    print(f"{len(check.exit_times_s)} stops, seed {args.seed}")
    print(f"outcomes: {dict(check.callers.outcomes)}")
    print(f"logged: {dict(check.count_logged())}")
    print(f"longest stop: {max(check.exit_times_s):.2f} s")
    for line in failures[:20]:
        print(f"  {line}")
    print(f"{len(failures)} failures, logs in {folder}")
    return int(bool(failures))


if __name__ == "__main__":
    sys.exit(main())
