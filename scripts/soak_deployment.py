"""The deployment of a soak run: stand-ins behind proxies, real hosts."""

from __future__ import annotations

import argparse
import pathlib
import subprocess
import sys
from typing import TextIO

import anyio
import anyio.abc

from corianderdoor.adapters.http1_server import listen, Received
from corianderdoor.soak.ledger import Arrival, Ledger
from corianderdoor.soak.proxy import Proxy
from corianderdoor.standins.platform_fleet import (
    build_config,
    build_route,
    build_settings,
    KEY,
    PLAIN_SERVICE,
    PlatformFleet,
    PORT,
    ROUTES,
)
from corianderdoor.standins.platform_worker import Worker

ROOT = pathlib.Path(__file__).parents[1]
CENTRES = ("a", "b")
SECOND_KEY = "key-2"
PROBE_ROUTE = build_route("/probe/", "idempotent", PLAIN_SERVICE)
# Small enough that the load of a run reaches them.
COLD_PER_S = 1.0
RETRY_SLACK = 4
LEASE_EXPIRY_POLL_MS = 100
PROCESS_POLL_MS = 250
# Service must be back this long after the last fault (platform's pages).
RECOVERY_MS = 15_000


class Host:
    """One entry host as a child process."""

    def __init__(
        self, name: str, address: str, settings: pathlib.Path, log: TextIO
    ) -> None:
        self.name = name
        self.address = address
        self.under_fault = False
        self.peak_kb = 0
        self._settings = settings
        self._log = log
        self.proc = self.start()

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the process."""
        self.proc = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "corianderdoor.entry",
                "--settings",
                str(self._settings),
            ],
            cwd=ROOT,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        return self.proc

    def record_peak_memory(self) -> None:
        """Reads the peak of the process's memory."""
        path = pathlib.Path(f"/proc/{self.proc.pid}/status")
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return  # it has just ended
        peaks = [int(x.split()[1]) for x in lines if x.startswith("VmHWM")]
        self.peak_kb = max([self.peak_kb, *peaks])


class Deployment:
    """Everything that faults strike.

    Attributes:
        ledger: What was seen.
        fleet: The store and the workers.
        clock: The clock of the run.
        hosts: The entry hosts.
        store_links: Proxies before the store, by host.
        worker_links: Proxies before workers, by worker.
        places: Address and data centre of each worker.
        cold_until: When workers stop being cold.
        extra_on: Whether the desired state has the route of probes.
        second_key: Whether it has the second key.
        accepted_ms: When the store took it.
    """

    def __init__(
        self,
        args: argparse.Namespace,
        folder: pathlib.Path,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self.ledger = Ledger()
        self.fleet = PlatformFleet(tasks)
        self.clock = self.fleet.clock
        self.hosts: list[Host] = []
        self.store_links: dict[str, Proxy] = {}
        self.worker_links: dict[str, Proxy] = {}
        self.worker_locations: dict[str, tuple[str, str]] = {}
        self.cold_until_ms: dict[str, int] = {}
        self.probe_route_enabled = False
        self.second_key_enabled = False
        self.desired_accepted_ms = 0
        self._args = args
        self._folder = folder
        self._tasks = tasks
        self._version = 0

    async def start(self) -> None:
        """Starts everything and waits until the hosts are ready."""
        await self.fleet.start(0, 0, 0)
        self.put_desired()
        for number in range(self._args.engines):
            await self._add_worker(f"engine-{number}", True, number)
        for number in range(self._args.plain):
            await self._add_worker(f"plain-{number}", False, number)
        for number in range(self._args.hosts):
            await self._add_host(f"host-{number}", number)
        for host in self.hosts:
            await self.fleet.wait_ready(host.name)
        self._tasks.start_soon(self._expire_leases)
        self._tasks.start_soon(self._watch_hosts)
        self.desired_accepted_ms = self.clock.now_ms()

    def put_desired(self) -> None:
        """Writes the next version of the desired state."""
        self._version += 1
        routes = (*ROUTES, PROBE_ROUTE) if self.probe_route_enabled else ROUTES
        keys = (KEY, SECOND_KEY) if self.second_key_enabled else (KEY,)
        value = build_config(self._version, routes, keys, COLD_PER_S)
        self.fleet.store.state.put("op/config", value)
        self.desired_accepted_ms = self.clock.now_ms()

    async def restart_host(self, host: Host) -> None:
        """Starts a host that has ended, and waits until it is ready."""
        host.start()
        with anyio.move_on_after(RECOVERY_MS / 1_000):
            await self.fleet.wait_ready(host.name)

    async def _expire_leases(self) -> None:
        while True:
            await anyio.sleep(LEASE_EXPIRY_POLL_MS / 1_000)
            if not self.fleet.store.fault:
                self.fleet.store.state.expire_leases()

    async def _add_worker(self, id: str, engine: bool, number: int) -> None:
        worker = self.fleet.workers[id] = Worker(id, engine)
        worker.on_request = self._record_arrival
        at = (self.fleet.allocate_address(), PORT)
        await listen(at, self._tasks, worker.serve)
        proxy = self.worker_links[id] = Proxy(at)
        proxy_host = self.fleet.allocate_address()
        await proxy.listen((proxy_host, PORT))
        centre = CENTRES[number % len(CENTRES)]
        self.worker_locations[id] = (proxy_host, centre)
        self.fleet.register_worker(id, proxy_host, zone=centre)

    async def _add_host(self, name: str, number: int) -> None:
        proxy = self.store_links[name] = Proxy(self.fleet.store_address)
        store_at = (self.fleet.allocate_address(), PORT)
        await proxy.listen(store_at)
        address = self.fleet.allocate_address()
        path = self._folder / f"{name}.json"
        centre = CENTRES[number % len(CENTRES)]
        settings = build_settings(name, address, store_at, centre, RETRY_SLACK)
        path.write_bytes(settings)
        log = (self._folder / f"{name}.log").open("a")
        self.fleet.hosts[name] = (address, PORT)
        self.hosts.append(Host(name, address, path, log))

    def _record_arrival(
        self, worker: Worker, req: Received, ran: bool
    ) -> None:
        fields = dict(req.headers)
        now_ms = self.clock.now_ms()
        self.ledger.arrivals.append(
            Arrival(
                now_ms,
                worker.id,
                worker.engine,
                fields[b"attempt-id"].decode(),
                req.target,
                req.body,
                fields.get(b"tenant-name", b""),
                b"authorization" in fields,
                ran,
                now_ms < self.cold_until_ms.get(worker.id, 0),
            )
        )

    async def _watch_hosts(self) -> None:
        while True:
            await anyio.sleep(PROCESS_POLL_MS / 1_000)
            for host in self.hosts:
                host.record_peak_memory()
                if host.under_fault or host.proc.poll() is None:
                    continue
                self.ledger.unexpected_exits.append(
                    (host.name, host.proc.returncode)
                )
                host.under_fault = True

    def kill_hosts(self) -> None:
        """Ends every process that was started."""
        for host in self.hosts:
            host.under_fault = True  # its end is no finding
            if host.proc.poll() is None:
                host.proc.kill()
                host.proc.wait()
