"""Deployment of a soak run: real entry hosts, stand-ins behind proxies."""

from __future__ import annotations

import argparse
import pathlib
import subprocess
import sys
from typing import TextIO

import anyio
import anyio.abc

from corianderdoor.adapters.http1_server import listen, ReceivedRequest
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
ENTRY_COMMAND = ("-m", "corianderdoor.entry")
SECOND_KEY = "key-2"
PROBE_ROUTE = build_route("/probe/", "idempotent", PLAIN_SERVICE)
# Low enough that the load of a run reaches both limits.
COLD_PER_S = 1.0
RETRY_SLACK = 4
LEASE_EXPIRY_POLL_MS = 100
PROCESS_POLL_MS = 250
# The platform requires normal service this long after the last fault.
RECOVERY_MS = 15_000


class Host:
    """One entry host as a child process.

    Attributes:
        name: Name of the host.
        address: Its IP address.
        under_fault: Whether a fault is being applied to the host or its
            process has exited. Other steps skip it, and its exit is not
            reported.
        peak_kb: Highest memory use seen, in KB.
        proc: The process.
    """

    def __init__(
        self,
        name: str,
        address: str,
        settings: pathlib.Path,
        log: TextIO,
        command: tuple[str, ...] = ENTRY_COMMAND,
    ) -> None:
        self.name = name
        self.address = address
        self.under_fault = False
        self.peak_kb = 0
        self._settings = settings
        self._log = log
        self._command = command
        self.proc = self.start()

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the process."""
        self.proc = subprocess.Popen(
            [
                sys.executable,
                *self._command,
                "--settings",
                str(self._settings),
            ],
            cwd=ROOT,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        return self.proc

    def record_peak_memory(self) -> None:
        """Updates `peak_kb` from the process status."""
        path = pathlib.Path(f"/proc/{self.proc.pid}/status")
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return  # the process has just exited
        peaks = [int(x.split()[1]) for x in lines if x.startswith("VmHWM")]
        self.peak_kb = max([self.peak_kb, *peaks])


class Deployment:
    """The processes and stand-ins that faults are injected into.

    Attributes:
        ledger: Observations of the run.
        fleet: The store and the workers.
        clock: The clock of the run.
        hosts: The entry hosts.
        store_links: Proxies in front of the store, by host.
        worker_links: Proxies in front of workers, by worker.
        worker_locations: Address and data centre of each worker.
        cold_until_ms: When each worker stops being cold.
        probe_route_enabled: Whether the desired state has the route of the
            probes.
        second_key_enabled: Whether the desired state has the second API key.
        desired_accepted_ms: When the store accepted the desired state.
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
        """Starts stand-ins and hosts and waits until the hosts are ready."""
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
        """Restarts an exited host and waits until it is ready.

        Gives up waiting after `RECOVERY_MS`.
        """
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
        self, worker: Worker, req: ReceivedRequest, ran: bool
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
        """Kills every entry host that still runs."""
        for host in self.hosts:
            host.under_fault = True  # this exit is not a failure
            if host.proc.poll() is None:
                host.proc.kill()
                host.proc.wait()
