"""Tests of the complete request path over real HTTP in one process."""

from contextlib import asynccontextmanager
import json
import random

import anyio
from builders import build_config
from controls import run_control
import pytest

from corianderdoor.adapters.backend_http import HttpBackend
from corianderdoor.adapters.caller_http import CallerApp
from corianderdoor.adapters.hosts_http import HttpHosts
from corianderdoor.adapters.serving import bind_socket, serve
from corianderdoor.adapters.store_http import HttpStore
from corianderdoor.client import Client
from corianderdoor.core.clock import SystemClock
from corianderdoor.core.config import CONFIG_KEY, encode_config
from corianderdoor.core.errors import Kind, Outcome
from corianderdoor.daemons.router import Router, RouterSettings
from corianderdoor.ports.telemetry import NoTelemetry
from corianderdoor.standins.engine import EngineStandin
from corianderdoor.standins.hosts import HostsStandin
from corianderdoor.standins.store import StoreStandin

GRACEFUL_S = 0.05
CHAT = {"model": "redactor", "chat": "c1", "prompt_tokens": 300}


@asynccontextmanager
async def serving(app):
    """Serves `app` on a free port and yields its URL."""
    sock = bind_socket("127.0.0.1", 0)
    url = f"http://127.0.0.1:{sock.getsockname()[1]}"
    stop = anyio.Event()
    async with anyio.create_task_group() as tg:
        tg.start_soon(serve, app, sock, stop.wait, GRACEFUL_S)
        try:
            yield url
        finally:
            stop.set()


@asynccontextmanager
async def running_fleet(telemetry=None, resumes=False):
    """Yields an engine and the URL of a router in front of it."""
    clock = SystemClock()
    store, hosts = StoreStandin(clock), HostsStandin(clock)
    engine = EngineStandin("e1", clock, token_ms=0.0, resumes=resumes)
    store.write(CONFIG_KEY, encode_config(build_config()), 0)
    async with (
        serving(store.app()) as store_url,
        serving(hosts.app()) as hosts_url,
        serving(engine.app()) as engine_url,
    ):
        settings = RouterSettings(
            fleet_keys=("a key for tests only",),
            name="r1",
            data_centre="dc-a",
            region="region-1",
            listen="127.0.0.1",
            port=0,
            store_url=store_url,
            hosts_url=hosts_url,
        )
        router = Router(
            settings,
            clock,
            HttpStore(store_url),
            HttpHosts(hosts_url),
            random.Random(1),
        )
        backend = HttpBackend()
        app = CallerApp(
            router.dispatcher,
            backend,
            clock,
            router.entries,
            telemetry=telemetry,
        )
        async with serving(app) as url, anyio.create_task_group() as tg:
            hosts.put(list_hosts(url, engine_url))
            tg.start_soon(router.poll_hosts)
            tg.start_soon(run_control, router, settings, clock)
            with anyio.fail_after(10):
                while not (
                    router.dispatcher.cfg.revision and router.entries()
                ):
                    await anyio.sleep(0.01)
            yield engine, url
            tg.cancel_scope.cancel()
            await backend.close()


def list_hosts(router_url, engine_url):
    """Returns a host list with one router and one engine."""
    entry = {"name": "r1", "data_centre": "dc-a", "region": "region-1"}
    entry |= {"address": router_url, "control": "127.0.0.1:9"}
    server = {"name": "e1", "host": "h1", "data_centre": "dc-a"}
    server |= {"pool": "redactor", "address": engine_url, "incarnation": 1}
    server |= {"capacity": 4, "engine": True}
    return json.dumps({"entries": [entry], "servers": [server]}).encode()


@pytest.mark.anyio
async def test_chat_answer_is_complete_and_the_next_one_is_a_cache_hit():
    async with running_fleet() as (engine, url):
        client = Client([url], "w1")
        for cached in ("0", "300"):
            resp = await client.request(
                "POST", "/v1/chat", "c1", content=json.dumps(CHAT).encode()
            )
            assert resp.status_code == 200
            assert resp.content.endswith(b"data: [DONE]\n\n")
            assert resp.headers["x-cached-tokens"] == cached
        assert len(engine.records) == 2
        await client.close()


@pytest.mark.anyio
async def test_answer_to_another_request_is_not_relayed():
    async with running_fleet() as (engine, url):
        engine.faults.set("cross", 1)
        client = Client([url], "w1")
        resp = await client.request(
            "POST", "/v1/chat", content=json.dumps(CHAT).encode()
        )
        assert resp.json()["outcome"] == "unknown"
        await client.close()


@pytest.mark.anyio
async def test_truncated_answer_reaches_the_caller_as_an_error():
    async with running_fleet() as (engine, url):
        engine.faults.set("cut", 1)
        client = Client([url], "w1")
        with pytest.raises(Exception, match="(?i)incomplete|closed"):
            await client.request(
                "POST", "/v1/chat", content=json.dumps(CHAT).encode()
            )
        await client.close()


class EndRecorder(NoTelemetry):
    """Records the ends of requests."""

    def __init__(self):
        self.ends = []

    def record_end(self, end):
        self.ends.append(end)


@pytest.mark.anyio
async def test_every_request_end_is_recorded_once_with_its_timing():
    telemetry = EndRecorder()
    async with running_fleet(telemetry) as (engine, url):
        client = Client([url], "w1")
        body = json.dumps(CHAT).encode()
        await client.request("POST", "/v1/chat", "c1", content=body)
        engine.faults.set("cut", 1)
        with pytest.raises(Exception, match="(?i)incomplete|closed"):
            await client.request("POST", "/v1/chat", content=body)
        await client.request("GET", "/nowhere")
        await client.close()
    complete, truncated, no_rule = telemetry.ends
    assert (complete.pool, complete.fault) == ("redactor", None)
    assert complete.first_chunk_ms is not None and complete.gap_ms is not None
    assert truncated.fault is Kind.SERVER_FAILED
    assert truncated.outcome is Outcome.UNKNOWN
    assert (no_rule.pool, no_rule.fault) == ("", Kind.NO_RULE)


@pytest.mark.anyio
async def test_truncated_answer_is_completed_by_resumption():
    async with running_fleet(resumes=True) as (engine, url):
        client = Client([url], "w1")
        bodies = []
        for cuts in (0, 1):
            engine.faults.set("cut", cuts)
            resp = await client.request(
                "POST", "/v1/chat", content=json.dumps(CHAT).encode()
            )
            bodies.append(resp.content)
        assert bodies[0] == bodies[1]
        assert len(engine.records) == 2
        await client.close()
