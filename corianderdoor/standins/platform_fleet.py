"""A small deployment in one process: store, workers and entry hosts.

Each part has its own loopback address, so that all parts can use the same
ports, as on the platform.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import os
import pathlib
import random
from typing import Any, Final

import anyio
import anyio.abc
import msgspec

from ..adapters.http1_connect import connect
from ..adapters.http1_server import listen
from ..core.clock import SystemClock
from ..entry.host import EntryHost
from ..platform.settings import decode_settings
from .platform_caller import read_answer, write_request
from .platform_links import ServerLinks
from .platform_store import StoreServer, StoreState
from .platform_worker import FIRST_VERSION, Worker

PORT: Final = 18_080
READY_PORT: Final = 18_081
METRICS_PORT: Final = 18_079
PEER_PORT: Final = 18_082
CONNECT_TIMEOUT_MS: Final = 2_000
CALLER_HOST: Final = "chat.example"
KEY: Final = "key-1"
# Limits from the platform's documentation for small deployments.
GRACE_PERIOD_S: Final = 6
COLD_PER_S: Final = 9.0
COLD_START_S: Final = 3.0
COLD_FACTOR: Final = 1.5
COLD_SLACK: Final = 5
RETRY_BUDGET_RATIO: Final = 0.2
RETRY_BUDGET_SLACK: Final = 50
TIMEOUT_MS: Final = 3_000
MAX_ATTEMPTS: Final = 2
MAX_BODY_BYTES: Final = 65_536
MAX_HEADER_BYTES: Final = 16_384
ENGINE_SERVICE: Final = "engines"
PLAIN_SERVICE: Final = "accounts"
READY_TIMEOUT_S: Final = 20.0
READY_POLL_S: Final = 0.02


class Reply:
    """Answer that a caller received.

    Attributes:
        status: HTTP status; 0 if there was no answer.
        headers: Headers with names in lower case.
        body: The part of the body that arrived.
        complete: Whether the end of the answer arrived.
    """

    __slots__ = ("status", "headers", "body", "complete")

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.complete = False


def build_route(path: str, kind: str, service: str, **changes: Any) -> Any:
    """Returns a route of the desired state; `changes` override fields."""
    return {
        "name": path.strip("/"),
        "host": CALLER_HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": MAX_ATTEMPTS if kind != "non_idempotent" else 1,
        "public": False,
        "stream_resumption": kind == "streaming",
        **changes,
    }


ROUTES: Final = (
    build_route("/chat/", "streaming", ENGINE_SERVICE),
    build_route(
        "/draft/", "streaming", ENGINE_SERVICE, stream_resumption=False
    ),
    build_route("/pay/", "non_idempotent", PLAIN_SERVICE),
    build_route("/read/", "idempotent", PLAIN_SERVICE),
)


def build_config(
    version: int,
    routes: Any = ROUTES,
    keys: tuple[str, ...] = (KEY,),
    cold_per_s: float = COLD_PER_S,
    max_body_bytes: int = MAX_BODY_BYTES,
    max_header_bytes: int = MAX_HEADER_BYTES,
) -> bytes:
    """Returns an encoded desired state."""
    service = {"health_check_path": "/health", "connection_limit": 200}
    return msgspec.json.encode(
        {
            "version": version,
            "routes": list(routes),
            "services": [
                {
                    "name": ENGINE_SERVICE,
                    "cold_per_s": cold_per_s,
                    "cold_start_s": COLD_START_S,
                    **service,
                },
                {"name": PLAIN_SERVICE, "cold_per_s": 0.0, **service},
            ],
            "limits": {
                "max_header_bytes": max_header_bytes,
                "max_body_bytes": max_body_bytes,
                "header_timeout_ms": 1_000,
                "idle_timeout_ms": 5_000,
            },
            "tenants": [{"name": "acme", "api_keys": list(keys)}],
        }
    )


def build_settings(
    name: str,
    address: str,
    store: tuple[str, int],
    data_centre: str = "a",
    retry_budget_slack: int = RETRY_BUDGET_SLACK,
    contracts: tuple[str, ...] = (),
    first_start: bool = False,
    limits: dict[str, float] | None = None,
) -> bytes:
    """Returns the settings file of an entry host at `address`."""
    return msgspec.json.encode(
        {
            "node_name": name,
            "zone": data_centre,
            "ip_address": address,
            "listen_addresses": {
                "frontend": f"{address}:{PORT}",
                "ready": f"{address}:{READY_PORT}",
                "directory_service": f"{address}:{READY_PORT}",
            },
            "internal_port_range": [PEER_PORT, PEER_PORT + 5],
            "platform": {"address": f"{store[0]}:{store[1]}"},
            "initial_start": first_start,
            "contracts": list(contracts),
            "bounds": {
                "grace_period_s": GRACE_PERIOD_S,
                "cold_factor": COLD_FACTOR,
                "cold_slack": COLD_SLACK,
                "retry_budget_ratio": RETRY_BUDGET_RATIO,
                "retry_budget_slack": retry_budget_slack,
            },
            "limits": limits or {},
        }
    )


class PlatformFleet:
    """A deployment of stand-ins and real entry hosts.

    Attributes:
        clock: The clock of all parts.
        store: The stand-in store.
        store_address: Address of the store; set by `start`.
        workers: Workers by id.
        hosts: Address for callers of each entry host, by name.
        links: Links of each entry host to the workers, by name.
        contracts: Duties that the settings ask the entry hosts for.
    """

    def __init__(
        self, tasks: anyio.abc.TaskGroup, contracts: tuple[str, ...] = ()
    ) -> None:
        self.contracts = contracts
        self.clock = SystemClock()
        self.store = StoreServer(StoreState(self.clock))
        self.workers: dict[str, Worker] = {}
        self.hosts: dict[str, tuple[str, int]] = {}
        self.links: dict[str, ServerLinks] = {}
        self._stop_events: dict[str, anyio.Event] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._tasks = tasks
        self._next_address = 1
        pid = os.getpid()
        self._network = f"127.{1 + pid // 250 % 250}.{1 + pid % 250}"

    def allocate_address(self) -> str:
        """Returns a loopback address that no other part uses."""
        self._next_address += 1
        return f"{self._network}.{self._next_address}"

    async def start(self, engines: int, plain: int, hosts: int) -> None:
        """Starts all parts and waits until the entry hosts are ready."""
        self.store_address = (self.allocate_address(), PORT)
        await listen(self.store_address, self._tasks, self.store.serve)
        self.store.state.put("op/config", build_config(1))
        for number in range(engines):
            await self.add_worker(f"engine-{number}", True)
        for number in range(plain):
            await self.add_worker(f"plain-{number}", False)
        for number in range(hosts):
            await self.add_host(f"host-{number}", first_start=True)

    async def add_worker(
        self,
        id: str,
        engine: bool,
        version: str = FIRST_VERSION,
        **changes: Any,
    ) -> Worker:
        """Starts a worker and registers it in the store.

        Args:
            id: Id of the worker.
            engine: Whether it is a model engine.
            version: Version of its software.
            **changes: Override fields of its entry.
        """
        worker = self.workers[id] = Worker(id, engine)
        worker.version = version
        address = self.allocate_address()
        await listen((address, PORT), self._tasks, worker.serve)
        self.register_worker(id, address, **changes)
        return worker

    def close_at_end(self, listener: asyncio.Server) -> None:
        """Closes a listening socket when the deployment ends."""

        async def close() -> None:
            try:
                await anyio.sleep_forever()
            finally:
                listener.close()

        self._tasks.start_soon(close)

    def drain_worker(self, id: str) -> None:
        """Writes in a worker's entry that it drains."""
        key = f"servers/{id}"
        entry = msgspec.json.decode(self.store.state.read_value(key) or b"{}")
        entry["state"] = "draining"
        self.store.state.put(key, msgspec.json.encode(entry))

    def register_worker(
        self, id: str, address: str, state: str = "available", **changes: Any
    ) -> None:
        """Writes a worker's entry; `changes` override fields."""
        engine = self.workers[id].engine
        entry = {
            "service": ENGINE_SERVICE if engine else PLAIN_SERVICE,
            "address": f"{address}:{PORT}",
            "zone": "a",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence_number": 1,
            "born": 1,
            "version": self.workers[id].version,
            **changes,
        }
        value = msgspec.json.encode(entry)
        self.store.state.put(f"servers/{id}", value)

    async def add_host(self, name: str, first_start: bool = False) -> None:
        """Starts an entry host and waits until it is ready.

        Args:
            name: Name of the host.
            first_start: Whether no host has served before.
        """
        address = self.allocate_address()
        settings = build_settings(
            name,
            address,
            self.store_address,
            contracts=self.contracts,
            first_start=first_start,
        )
        self.links[name] = ServerLinks()
        host = EntryHost(
            decode_settings(settings),
            pathlib.Path(),
            self.clock,
            random.Random(name),
            METRICS_PORT,
            self.links[name].connect,
        )
        self._stop_events[name] = anyio.Event()
        self.hosts[name] = (address, PORT)
        scope = self._scopes[name] = anyio.CancelScope()

        async def run_host(stop: anyio.Event) -> None:
            with scope:
                await host.run(stop)

        self._tasks.start_soon(run_host, self._stop_events[name])
        await self.wait_ready(name)

    async def wait_ready(self, name: str) -> None:
        """Waits until the readiness check of a host succeeds.

        Raises:
            TimeoutError: It did not succeed within `READY_TIMEOUT_S`.
        """
        ready_address = (self.hosts[name][0], READY_PORT)
        with anyio.fail_after(READY_TIMEOUT_S):
            while True:
                reply = await send_request(
                    ready_address, "/corianderdoor/readiness"
                )
                if reply.status == 200:
                    return
                await anyio.sleep(READY_POLL_S)

    def stop_host(self, name: str) -> None:
        """Starts the graceful shutdown of a host, as SIGTERM does."""
        self._stop_events[name].set()

    def kill_host(self, name: str) -> None:
        """Ends a host at once, as SIGKILL does; its record stays."""
        self._scopes[name].cancel()

    async def chat(
        self, host: str, id: str, path: str = "/chat/x", **headers: str
    ) -> Reply:
        """Sends one chat request to a host; `headers` override defaults."""
        return await send_request(
            self.hosts[host],
            path,
            {
                "Host": CALLER_HOST,
                "Attempt-Id": id,
                "Authorization": f"Token {KEY}",
                "Deadline-Ms": "3000",
                **{k.replace("_", "-"): v for k, v in headers.items()},
            },
            b"hello",
        )


async def send_request(
    address: tuple[str, int],
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Reply:
    """Sends one request on a new connection and returns the answer."""
    reply = Reply()
    protocol = await connect(address, CONNECT_TIMEOUT_MS, 0)
    if protocol is None:
        return reply
    all_headers = {"Host": "test", **(headers or {})}
    try:
        write_request(
            protocol, "POST" if body else "GET", target, all_headers, body
        )
        await read_answer(protocol, reply)
    finally:
        protocol.abort()
    return reply


@asynccontextmanager
async def run_fleet(
    engines: int = 3,
    plain: int = 2,
    hosts: int = 2,
    contracts: tuple[str, ...] = (),
) -> AsyncIterator[PlatformFleet]:
    """Runs a deployment for the duration of the `async with` block."""
    async with anyio.create_task_group() as tasks:
        fleet = PlatformFleet(tasks, contracts)
        try:
            await fleet.start(engines, plain, hosts)
            yield fleet
        finally:
            tasks.cancel_scope.cancel()
