"""Tests of two routers that share engines over real HTTP and UDP."""

from contextlib import asynccontextmanager
import json
import random

import anyio
from builders import build_config
from controls import run_control
import pytest
from test_path import serving

from corianderdoor.adapters.backend_http import HttpBackend
from corianderdoor.adapters.caller_http import CallerApp
from corianderdoor.adapters.hosts_http import HttpHosts
from corianderdoor.adapters.keyring import Keyring
from corianderdoor.adapters.loads_http import HttpLoads
from corianderdoor.adapters.peer_capnp import bind_datagrams, UdpPeers
from corianderdoor.adapters.store_http import HttpStore
from corianderdoor.client import Client
from corianderdoor.core import admission_state
from corianderdoor.core.clock import SystemClock
from corianderdoor.core.config import CONFIG_KEY, encode_config
from corianderdoor.core.home_placement import HomePlacement
from corianderdoor.daemons.load_sharing import LoadSharing
from corianderdoor.daemons.router import Router, RouterSettings
from corianderdoor.standins.engine import EngineStandin
from corianderdoor.standins.hosts import HostsStandin
from corianderdoor.standins.store import StoreStandin

CAPACITY = 4


def list_entry(name, url, control):
    """Returns an entry host as the platform lists it."""
    entry = {"name": name, "data_centre": "dc-a", "region": "region-1"}
    return entry | {"address": url, "control": control}


def list_engine(name, url):
    """Returns an engine as the platform lists it."""
    server = {"name": name, "host": f"h-{name}", "data_centre": "dc-a"}
    server |= {"pool": "redactor", "address": url, "incarnation": 1}
    return server | {"capacity": CAPACITY, "engine": True}


@asynccontextmanager
async def running_router(name, store_url, hosts_url):
    """Yields a router's URL, control address, placement and itself."""
    clock = SystemClock()
    settings = RouterSettings(
        fleet_keys=("a key for tests only",),
        name=name,
        data_centre="dc-a",
        region="region-1",
        listen="127.0.0.1",
        port=0,
        store_url=store_url,
        hosts_url=hosts_url,
    )
    placement = HomePlacement(name, 1.5, random.Random(1), clock.wall_ms())
    stores, hosts = HttpStore(store_url), HttpHosts(hosts_url)
    rng = random.Random(2)
    router = Router(settings, clock, stores, hosts, rng, placement)
    peers = UdpPeers(Keyring(["key"]), name, clock.wall_ms())
    sharing = LoadSharing(name, placement, peers, HttpLoads(), clock)
    router.share_load(sharing)
    sock = bind_datagrams("127.0.0.1", 0)
    control = f"127.0.0.1:{sock.getsockname()[1]}"
    await peers.open(sock)
    backend = HttpBackend()
    app = CallerApp(
        router.dispatcher,
        backend,
        clock,
        router.entries,
        permits=sharing,
    )
    async with serving(app) as url, anyio.create_task_group() as tg:
        for task in (
            router.poll_hosts,
            sharing.run_ticks,
            sharing.run_reports,
        ):
            tg.start_soon(task)
        tg.start_soon(run_control, router, settings, clock, peers, control)
        yield url, control, placement, router
        tg.cancel_scope.cancel()
    peers.close()
    await backend.close()


def is_ready(running):
    """Returns whether a router has reports and a configuration in force."""
    _, _, placement, router = running
    return has_all_reports(placement) and router.dispatcher.cfg.revision > 0


@asynccontextmanager
async def running_fleet(engines):
    """Yields the URLs and placements of two routers for `engines`."""
    clock = SystemClock()
    store, hosts = StoreStandin(clock), HostsStandin(clock)
    store.write(CONFIG_KEY, encode_config(build_config()), 0)
    async with (
        serving(store.app()) as store_url,
        serving(hosts.app()) as hosts_url,
        serving(engines[0].app()) as first,
        serving(engines[1].app()) as second,
        running_router("r1", store_url, hosts_url) as r1,
        running_router("r2", store_url, hosts_url) as r2,
    ):
        entries = [list_entry("r1", *r1[:2]), list_entry("r2", *r2[:2])]
        servers = [list_engine("e1", first), list_engine("e2", second)]
        listing = {"entries": entries, "servers": servers}
        hosts.put(json.dumps(listing).encode())
        with anyio.fail_after(10):
            while not (is_ready(r1) and is_ready(r2)):
                await anyio.sleep(0.02)
        yield (r1[0], r2[0]), (r1[2], r2[2])


def has_all_reports(placement):
    """Returns whether r2 is known and all own servers have reported."""
    states = placement.admission.states.values()
    return placement.homes.entry("r2") is not None and all(
        state.has_report for state in states
    )


def body(tokens=4):
    chat = {"model": "redactor", "chat": "c", "prompt_tokens": 50}
    return json.dumps({**chat, "answer_tokens": tokens}).encode()


@pytest.mark.anyio
async def test_two_routers_do_not_overload_cold_engines(monkeypatch):
    monkeypatch.setattr(admission_state, "HANDOVER_MS", 0)
    falls = []
    engines = [
        EngineStandin(
            name, SystemClock(), CAPACITY, crash=lambda: falls.append(1)
        )
        for name in ("e1", "e2")
    ]
    for engine in engines:
        engine.faults.set("cold", -1)
    async with running_fleet(engines) as (urls, _):
        clients = [Client([url], f"w{i}") for i, url in enumerate(urls)]
        statuses = []

        async def call(number):
            url = urls[number % 2]
            resp = await clients[number % 2]._http.post(
                f"{url}/v1/chat",
                content=body(),
                headers={
                    "corianderdoor-workspace": "w",
                    "corianderdoor-chat": f"chat-{number}",
                },
                timeout=20,
            )
            statuses.append(resp.status_code)

        async with anyio.create_task_group() as tg:
            for number in range(12):
                tg.start_soon(call, number)
                await anyio.sleep(0.05)
        assert falls == []
        assert statuses.count(200) >= 8
        for client in clients:
            await client.close()
