"""Routers, a service and a store in one process, on free ports."""

from contextlib import asynccontextmanager, AsyncExitStack
import json
import random

import anyio
from builders import build_config
from controls import enforce_stored
import httpx

from corianderdoor.adapters.backend_http import HttpBackend
from corianderdoor.adapters.caller_http import CallerApp
from corianderdoor.adapters.hosts_http import HttpHosts
from corianderdoor.adapters.once import build_gate
from corianderdoor.adapters.serving import bind_socket, serve
from corianderdoor.adapters.store_http import HttpStore
from corianderdoor.core.clock import SystemClock
from corianderdoor.core.config import CONFIG_KEY, encode_config
from corianderdoor.daemons.router import Router, RouterSettings
from corianderdoor.standins.hosts import HostsStandin
from corianderdoor.standins.service import ServiceStandin
from corianderdoor.standins.store import StoreStandin

PAYMENT = b'{"family": "f-9", "amount": 41000}'


@asynccontextmanager
async def serving(app, sock=None):
    """Serves `app` on a free port and yields its URL."""
    sock = sock or bind_socket("127.0.0.1", 0)
    url = f"http://127.0.0.1:{sock.getsockname()[1]}"
    stop = anyio.Event()
    async with anyio.create_task_group() as tg:
        tg.start_soon(serve, app, sock, stop.wait, 0.05)
        try:
            yield url
        finally:
            stop.set()


class OnceFleet:
    """Routers in front of one service that is not an engine."""

    def __init__(self):
        self.clock = SystemClock()
        self.store = StoreStandin(self.clock)
        self.hosts = HostsStandin(self.clock)
        self.service = ServiceStandin("s1")
        self.urls = {}
        self._apps = {}
        self._views = {}
        self._gates = {}

    async def start(self, stack, names):
        """Starts the stand-ins and the routers `names`."""
        self.store.write(CONFIG_KEY, encode_config(build_config()), 0)
        self._stack = stack
        enter = stack.enter_async_context
        self.store_url = await enter(serving(self.store.app()))
        self.hosts_url = await enter(serving(self.hosts.app()))
        self.service_url = await enter(serving(self.service.app()))
        self.http = await enter(httpx.AsyncClient(trust_env=False))
        for name in names:
            self.urls[name] = await enter(serving(self._route_to(name)))
        self.list_routers(names)
        tg = await enter(anyio.create_task_group())
        stack.callback(tg.cancel_scope.cancel)
        self._tg = tg
        for name in names:
            await self.replace(name)

    def list_routers(self, names):
        """Publishes a host list with exactly these routers."""
        entries = [
            {
                "name": name,
                "data_centre": "dc-a",
                "region": "region-1",
                "address": self.urls[name],
                "control": "127.0.0.1:9",
            }
            for name in names
        ]
        server = {"name": "s1", "host": "h1", "data_centre": "dc-a"}
        server |= {"pool": "cuentas", "address": self.service_url}
        server |= {"incarnation": 1, "capacity": 8, "engine": False}
        self.hosts.put(
            json.dumps({"entries": entries, "servers": [server]}).encode()
        )

    async def replace(self, name):
        """Replaces a router by a new incarnation without state."""
        settings = RouterSettings(
            fleet_keys=("a key for tests only",),
            name=name,
            data_centre="dc-a",
            region="region-1",
            listen="127.0.0.1",
            port=0,
            store_url=self.store_url,
            hosts_url=self.hosts_url,
        )
        router = Router(
            settings,
            self.clock,
            HttpStore(self.store_url),
            HttpHosts(self.hosts_url),
            random.Random(1),
        )
        gate = build_gate(
            name,
            router.dispatcher,
            router.entries,
            self.clock,
            router.drain,
            HttpStore(self.store_url),
        )
        self._tg.start_soon(gate.run)
        self._views[name] = router.entries
        self._gates[name] = gate
        backend = HttpBackend()
        self._stack.push_async_callback(backend.close)
        self._apps[name] = CallerApp(
            router.dispatcher,
            backend,
            self.clock,
            router.entries,
            router.drain,
            gate,
        )
        self._tg.start_soon(router.poll_hosts)
        await enforce_stored(router, HttpStore(self.store_url))
        with anyio.fail_after(10):
            while not (router.dispatcher.cfg.revision and router.entries()):
                await anyio.sleep(0.01)

    async def list_and_wait(self, names):
        """Lists exactly these routers and waits until each router has it."""
        self.list_routers(names)
        wanted = {self.urls[name] for name in names}
        with anyio.fail_after(10):
            for entries in self._views.values():
                while {entry.address for entry in entries()} != wanted:
                    await anyio.sleep(0.05)

    async def stop_and_replace(self, name):
        """Replaces a router after it has stored its outcomes."""
        await self._gates[name].flush()
        await self.replace(name)

    async def mint(self, name):
        """Returns a key minted by the router `name`."""
        resp = await self.http.get(
            self.urls[name] + "/corianderdoor/v1/ticket",
            headers={"corianderdoor-workspace": "w1"},
        )
        return resp.json()["key"]

    async def pay(self, name, key, body=PAYMENT, query="", **headers):
        """Sends a payment to the router `name` and follows redirects."""
        return await self.http.post(
            self.urls[name] + "/payments" + query,
            headers={
                "corianderdoor-workspace": "w1",
                "idempotency-key": key,
                **headers,
            },
            content=body,
            follow_redirects=True,
            timeout=10,
        )

    def _route_to(self, name):
        async def app(scope, receive, send):
            if scope["type"] == "http":
                await self._apps[name](scope, receive, send)

        return app


@asynccontextmanager
async def once_fleet(*names):
    """Yields a running fleet with the routers `names`."""
    async with AsyncExitStack() as stack:
        fleet = OnceFleet()
        await fleet.start(stack, names)
        yield fleet
