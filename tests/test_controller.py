"""The controller over real HTTP, with all stand-ins in one process."""

from contextlib import asynccontextmanager
import json
import random

import anyio
import msgspec
import pytest
from starlette.applications import Starlette
from test_path import serving

from corianderdoor.adapters.engines_http import HttpEngines, HttpWeights
from corianderdoor.adapters.hosts_http import HttpHosts
from corianderdoor.adapters.settings import load_settings
from corianderdoor.adapters.store_http import HttpStore
from corianderdoor.core.clock import SystemClock
from corianderdoor.core.desired import DESIRED_KEY
from corianderdoor.core.errors import Kind
from corianderdoor.core.orders import Order, OrderKind, Step
from corianderdoor.core.topology import Server
from corianderdoor.core.weight_loads import LoadLimits
from corianderdoor.daemons import controller as controller_daemon
from corianderdoor.daemons.controller import Controller, ControllerSettings
from corianderdoor.standins.engine_orders import EngineOrders
from corianderdoor.standins.faults import Faults
from corianderdoor.standins.hosts import HostsStandin
from corianderdoor.standins.store import StoreStandin
from corianderdoor.standins.weights import WeightsStandin
from corianderdoor.tools.ctl import main as ctl

DESIRED = {
    "pools": {
        "redactor": {"models": {"redactor": "v7"}, "adapters": {"m": "v1"}},
        "cuentas": {"models": {"cuentas": "v2"}},
    }
}
TEST_SETTINGS = {
    "lease_ttl_ms": 1_500,
    "lease_margin_ms": 200,
    "lease_renew_ms": 300,
    "lease_poll_ms": 100,
    "longest_order_ms": 500,
    "reread_ms": 500,
    "fencing_pools": ["redactor"],
    "controllers": 1,
}


class SlowStore(HttpStore):
    """A store that delays reads of the desired state."""

    delay_s = 0.0

    async def read(self, key):
        if key == DESIRED_KEY:
            await anyio.sleep(self.delay_s)
        return await super().read(key)


class Platform:
    """The stand-ins that a controller connects to."""

    def __init__(self):
        self.clock = SystemClock()
        self.store = StoreStandin(self.clock)
        self.hosts = HostsStandin(self.clock)
        limits = LoadLimits(10**6, 10**6, 1, 1)
        self.weights = WeightsStandin(self.clock, limits, 1_000)
        self.faults = Faults()
        self.engines = {}
        self.urls = {}

    def add_engine(self, name, fenced):
        self.engines[name] = EngineOrders(
            self.clock,
            self.faults,
            int,
            fenced=fenced,
            weights_url=self.urls["weights"],
        )
        return Starlette(routes=self.engines[name].routes())

    def build(self, name, **settings):
        """Returns a controller that uses these stand-ins."""
        urls = {f"{kind}_url": url for kind, url in self.urls.items()}
        cfg = ControllerSettings(
            name=name, **urls, **{**TEST_SETTINGS, **settings}
        )
        return Controller(
            cfg,
            self.clock,
            SlowStore(cfg.store_url),
            HttpHosts(cfg.hosts_url),
            HttpEngines(cfg.longest_order_ms),
            HttpWeights(cfg.weights_url),
            random.Random(1),
        )


def list_servers(urls):
    pools = {"e1": "redactor", "e2": "cuentas"}
    servers = [
        {"name": name, "host": name, "data_centre": "dc-a", "pool": pool}
        | {"address": urls[name], "incarnation": 1, "capacity": 4}
        | {"engine": True}
        for name, pool in pools.items()
    ]
    return json.dumps({"entries": [], "servers": servers}).encode()


@asynccontextmanager
async def running_platform():
    """Yields stand-ins with two engines; only e1 checks fencing tokens."""
    platform = Platform()
    async with (
        serving(platform.store.app()) as platform.urls["store"],
        serving(platform.hosts.app()) as platform.urls["hosts"],
        serving(platform.weights.app()) as platform.urls["weights"],
    ):
        async with (
            serving(platform.add_engine("e1", True)) as first,
            serving(platform.add_engine("e2", False)) as second,
        ):
            platform.hosts.put(list_servers({"e1": first, "e2": second}))
            yield platform


async def wait_for(check):
    """Polls until `check` is true; fails after 20 s."""
    with anyio.fail_after(20):
        while not check():
            await anyio.sleep(0.02)


def has_converged(platform):
    first, second = platform.engines["e1"], platform.engines["e2"]
    return first.models == {"redactor": "v7"} and second.models == {
        "cuentas": "v2"
    }


@pytest.mark.anyio
async def test_engines_converge_to_the_desired_state(tmp_path, capsys):
    path = tmp_path / "desired.json"
    path.write_text(json.dumps(DESIRED), encoding="utf-8")
    async with running_platform() as platform, anyio.create_task_group() as tg:
        tg.start_soon(platform.build("c1").run)
        urls = ["--store", platform.urls["store"]]
        set_args = ["orders", "set", str(path), *urls]
        assert await anyio.to_thread.run_sync(ctl, set_args) == 0
        await wait_for(lambda: has_converged(platform))
        await wait_for(lambda: platform.engines["e1"].adapters == {"m": "v1"})
        list_args = [
            "orders",
            "list",
            "--hosts",
            platform.urls["hosts"],
            *urls,
        ]
        assert await anyio.to_thread.run_sync(ctl, list_args) == 0
        tg.cancel_scope.cancel()
    out = capsys.readouterr().out
    assert "leader: c1 (fence " in out
    assert "redactor@v7  redactor@v7" in out


@pytest.mark.anyio
async def test_lost_order_and_store_answers_repeat_no_load():
    async with running_platform() as platform, anyio.create_task_group() as tg:
        platform.store.write(DESIRED_KEY, json.dumps(DESIRED).encode(), 0)
        platform.faults.set("lose-order", 3)
        platform.store.faults.set("lose-answer", 1)
        tg.start_soon(platform.build("c1").run)
        await wait_for(lambda: has_converged(platform))
        tg.cancel_scope.cancel()
    for engine in platform.engines.values():
        loads = [item for item in engine.applied if "load" in item[1]]
        assert len(loads) == len(set(loads))


@pytest.mark.anyio
async def test_next_controller_leads_after_the_first_resigned():
    async with running_platform() as platform:
        platform.store.write(DESIRED_KEY, json.dumps(DESIRED).encode(), 0)
        first = platform.build("c1", lease_ttl_ms=60_000)
        async with anyio.create_task_group() as tg:
            tg.start_soon(first.run)
            await wait_for(lambda: has_converged(platform))
            tg.cancel_scope.cancel()
        before = first.fence
        await first.stop()
        second = platform.build("c2")
        async with anyio.create_task_group() as tg:
            tg.start_soon(second.run)
            await wait_for(lambda: second.fence is not None)
            assert second.fence > before
            tg.cancel_scope.cancel()


@pytest.mark.anyio
async def test_no_order_is_written_after_the_lease_ended():
    async with running_platform() as platform:
        engines = HttpEngines(1_000)
        url = json.loads(platform.hosts._pending[-1][1])["servers"][1][
            "address"
        ]
        server = Server("e2", "e2", "dc-a", "cuentas", url, 1, 1)
        order = Order(1, Step(OrderKind.SET_ROLE, "idle"), 1, 0)
        while (await engines.read_state(server)).is_error():
            await anyio.sleep(0.02)
        result = await engines.send_order(server, order, lambda: False)
        assert result.swap().default_value(None).kind is Kind.LEASE_LOST
        assert platform.engines["e2"].applied == []
        assert (await engines.send_order(server, order, lambda: True)).is_ok()
        await engines.close()


def test_settings_with_a_lease_too_short_for_an_order_are_refused(
    tmp_path,
):
    path = tmp_path / "controller.json"
    values = {
        "name": "c1",
        "store_url": "",
        "hosts_url": "",
        "weights_url": "",
    }
    path.write_bytes(msgspec.json.encode({**values, "lease_ttl_ms": 6_000}))
    fault = load_settings(path, ControllerSettings).swap().default_value(None)
    assert "lease_ttl_ms must exceed" in fault.detail


@pytest.mark.anyio
async def test_new_leader_reads_the_desired_state_before_any_order(
    monkeypatch,
):
    monkeypatch.setattr(SlowStore, "delay_s", 4.0)
    monkeypatch.setattr(controller_daemon, "WATCH_MS", 200)
    async with running_platform() as platform, anyio.create_task_group() as tg:
        version = platform.store.write(
            DESIRED_KEY, json.dumps(DESIRED).encode(), 0
        )
        controller = platform.build("c1")
        tg.start_soon(controller.run)
        await wait_for(lambda: has_converged(platform))
        platform.store.faults.set("down", -1)
        await wait_for(lambda: controller.fence is None)
        newer = json.dumps(DESIRED).replace("v7", "v8")
        platform.store.write(DESIRED_KEY, newer.encode(), version)
        engine = platform.engines["e1"]
        engine.models.clear()
        engine.applied.clear()
        platform.store.faults.set("down", 0)
        await wait_for(lambda: engine.models == {"redactor": "v8"})
        assert "v7" not in {item[3] for item in engine.applied}
        tg.cancel_scope.cancel()
