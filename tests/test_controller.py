"""The controller over real HTTP, in one process on port 0."""

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
SHORT = {
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
    """A store from which the desired state is read after all else."""

    delay_s = 0.0

    async def read(self, key):
        if key == DESIRED_KEY:
            await anyio.sleep(self.delay_s)
        return await super().read(key)


class Place:
    """The stand-ins that a controller works with."""

    def __init__(self):
        self.clock = SystemClock()
        self.store = StoreStandin(self.clock)
        self.hosts = HostsStandin(self.clock)
        limits = LoadLimits(10**6, 10**6, 1, 1)
        self.weights = WeightsStandin(self.clock, limits, 1_000)
        self.faults = Faults()
        self.engines = {}
        self.urls = {}

    def add_engine(self, name, checks):
        self.engines[name] = EngineOrders(
            self.clock,
            self.faults,
            int,
            fenced=checks,
            weights_url=self.urls["weights"],
        )
        return Starlette(routes=self.engines[name].routes())

    def build(self, name, **settings):
        """Returns a controller before these stand-ins."""
        urls = {f"{kind}_url": url for kind, url in self.urls.items()}
        cfg = ControllerSettings(name=name, **urls, **{**SHORT, **settings})
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
async def running_place():
    """Yields stand-ins with two engines, of which one checks numbers."""
    place = Place()
    async with (
        serving(place.store.app()) as place.urls["store"],
        serving(place.hosts.app()) as place.urls["hosts"],
        serving(place.weights.app()) as place.urls["weights"],
    ):
        async with (
            serving(place.add_engine("e1", True)) as first,
            serving(place.add_engine("e2", False)) as second,
        ):
            place.hosts.put(list_servers({"e1": first, "e2": second}))
            yield place


async def wait_for(check):
    """Polls until `check` is true; fails after a while."""
    with anyio.fail_after(20):
        while not check():
            await anyio.sleep(0.02)


def in_place(place):
    first, second = place.engines["e1"], place.engines["e2"]
    return first.models == {"redactor": "v7"} and second.models == {
        "cuentas": "v2"
    }


@pytest.mark.anyio
async def test_engines_come_to_what_the_operator_set(tmp_path, capsys):
    path = tmp_path / "desired.json"
    path.write_text(json.dumps(DESIRED), encoding="utf-8")
    async with running_place() as place, anyio.create_task_group() as tg:
        tg.start_soon(place.build("c1").run)
        urls = ["--store", place.urls["store"]]
        set_it = ["orders", "set", str(path), *urls]
        assert await anyio.to_thread.run_sync(ctl, set_it) == 0
        await wait_for(lambda: in_place(place))
        await wait_for(lambda: place.engines["e1"].adapters == {"m": "v1"})
        show = ["orders", "list", "--hosts", place.urls["hosts"], *urls]
        assert await anyio.to_thread.run_sync(ctl, show) == 0
        tg.cancel_scope.cancel()
    out = capsys.readouterr().out
    assert "leader: c1 (fence " in out
    assert "redactor@v7  redactor@v7" in out


@pytest.mark.anyio
async def test_lost_order_answers_and_lost_store_answers_together():
    async with running_place() as place, anyio.create_task_group() as tg:
        place.store.write(DESIRED_KEY, json.dumps(DESIRED).encode(), 0)
        place.faults.set("lose-order", 3)
        place.store.faults.set("lose-answer", 1)
        tg.start_soon(place.build("c1").run)
        await wait_for(lambda: in_place(place))
        tg.cancel_scope.cancel()
    for engine in place.engines.values():
        loads = [item for item in engine.applied if "load" in item[1]]
        assert len(loads) == len(set(loads))


@pytest.mark.anyio
async def test_next_controller_leads_once_the_first_has_resigned():
    async with running_place() as place:
        place.store.write(DESIRED_KEY, json.dumps(DESIRED).encode(), 0)
        first = place.build("c1", lease_ttl_ms=60_000)
        async with anyio.create_task_group() as tg:
            tg.start_soon(first.run)
            await wait_for(lambda: in_place(place))
            tg.cancel_scope.cancel()
        before = first.fence
        await first.stop()
        second = place.build("c2")
        async with anyio.create_task_group() as tg:
            tg.start_soon(second.run)
            await wait_for(lambda: second.fence is not None)
            assert second.fence > before
            tg.cancel_scope.cancel()


@pytest.mark.anyio
async def test_no_byte_of_an_order_is_written_once_the_lease_is_over():
    async with running_place() as place:
        engines = HttpEngines(1_000)
        url = json.loads(place.hosts._pending[-1][1])["servers"][1]["address"]
        server = Server("e2", "e2", "dc-a", "cuentas", url, 1, 1)
        order = Order(1, Step(OrderKind.SET_ROLE, "idle"), 1, 0)
        while (await engines.read_state(server)).is_error():
            await anyio.sleep(0.02)
        result = await engines.give(server, order, lambda: False)
        assert result.swap().default_value(None).kind is Kind.LEASE_LOST
        assert place.engines["e2"].applied == []
        assert (await engines.give(server, order, lambda: True)).is_ok()
        await engines.close()


def test_settings_under_which_no_order_fits_into_the_lease_are_refused(
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
async def test_change_set_while_no_one_led_comes_before_any_order(
    monkeypatch,
):
    monkeypatch.setattr(SlowStore, "delay_s", 4.0)
    monkeypatch.setattr(controller_daemon, "WATCH_MS", 200)
    async with running_place() as place, anyio.create_task_group() as tg:
        version = place.store.write(
            DESIRED_KEY, json.dumps(DESIRED).encode(), 0
        )
        controller = place.build("c1")
        tg.start_soon(controller.run)
        await wait_for(lambda: in_place(place))
        place.store.faults.set("down", -1)
        await wait_for(lambda: controller.fence is None)
        newer = json.dumps(DESIRED).replace("v7", "v8")
        place.store.write(DESIRED_KEY, newer.encode(), version)
        engine = place.engines["e1"]
        engine.models.clear()
        engine.applied.clear()
        place.store.faults.set("down", 0)
        await wait_for(lambda: engine.models == {"redactor": "v8"})
        assert "v7" not in {item[3] for item in engine.applied}
        tg.cancel_scope.cancel()
