"""Tests that a stopping router completes the answers in progress."""

import random

import anyio
from builders import build_config
from fakes import find_id, raw_server, read_http
import httpx
import pytest

from corianderdoor.adapters.backend_http import HttpBackend
from corianderdoor.adapters.caller_http import CallerApp
from corianderdoor.adapters.hosts_http import HttpHosts
from corianderdoor.adapters.serving import bind_socket, serve
from corianderdoor.adapters.store_http import HttpStore
from corianderdoor.core.clock import SystemClock
from corianderdoor.core.topology import EntryHost
from corianderdoor.daemons.router import Router, RouterSettings

WORKSPACE = {"corianderdoor-workspace": "w1"}
OTHER = EntryHost("r2", "dc-b", "region-1", "http://127.0.0.1:9", "")
NOWHERE = "http://127.0.0.1:9"
READY = b"GET /corianderdoor/v1/ready HTTP/1.1\r\nhost: x\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-request-id: "


def build_router(server):
    """Returns a router in service with one server."""
    settings = RouterSettings(
        fleet_keys=("a key for tests only",),
        name="r1",
        data_centre="dc-a",
        region="region-1",
        listen="127.0.0.1",
        port=0,
        store_url=NOWHERE,
        hosts_url=NOWHERE,
        linger_ms=0,
    )
    stores = HttpStore(NOWHERE), HttpHosts(NOWHERE)
    router = Router(settings, SystemClock(), *stores, random.Random(1))
    router.dispatcher.set_config(build_config())
    router._placement.set_servers((server,), 0)
    return router


@pytest.mark.anyio
async def test_stopped_router_ends_after_its_last_answer():
    go_on, stopped, ended = anyio.Event(), anyio.Event(), anyio.Event()

    async def script(conn):
        head = await conn.read_request()
        await conn.send(HEAD + find_id(head) + b"\r\n\r\n5\r\nhello\r\n")
        await go_on.wait()
        await conn.send(b"4\r\n you\r\n0\r\n\r\n")

    async with raw_server(script) as fake, anyio.create_task_group() as tg:
        router, backend = build_router(fake.server(False)), HttpBackend()
        app = CallerApp(
            router.dispatcher,
            backend,
            SystemClock(),
            lambda: (OTHER,),
            router.drain,
        )
        sock = bind_socket("127.0.0.1", 0)
        port = sock.getsockname()[1]
        url = f"http://127.0.0.1:{port}/v1/chat"

        async def stop():
            await stopped.wait()
            await router.finish()

        async def run():
            await serve(app, sock, stop, 5.0)
            ended.set()

        tg.start_soon(run)
        kept = await anyio.connect_tcp("127.0.0.1", port)
        async with httpx.AsyncClient(trust_env=False) as client, kept:
            await kept.send(READY)
            assert (await read_http(kept))[0] == 200
            async with client.stream("POST", url, headers=WORKSPACE) as resp:
                chunks = resp.aiter_raw()
                assert await anext(chunks) == b"hello"
                stopped.set()
                while not router.drain.stopping:
                    await anyio.sleep(0)
                moved = await client.post(url, headers=WORKSPACE)
                assert moved.status_code == 307
                assert not ended.is_set()
                go_on.set()
                assert await anext(chunks) == b" you"
                with pytest.raises(StopAsyncIteration):
                    await anext(chunks)
            with anyio.fail_after(5):
                await ended.wait()
                with pytest.raises(anyio.EndOfStream):
                    await kept.receive()
            with pytest.raises(httpx.ConnectError):
                await client.post(url, headers=WORKSPACE)
        await backend.close()
