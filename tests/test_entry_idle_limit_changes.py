"""Changes of the limits that hold for idle connections of callers."""

from __future__ import annotations

import anyio
import h11
import msgspec
import pytest
from test_entry_path import run, wait_for

from corianderdoor.adapters.http1 import H11Protocol
from corianderdoor.adapters.http1_connect import connect
from corianderdoor.adapters.http1_server import (
    ReceivedRequest,
    ServerConnection,
    UnreadableRequest,
)
from corianderdoor.core.entry.routing import CallerLimits
from corianderdoor.standins.platform_caller import read_answer, write_request
from corianderdoor.standins.platform_fleet import (
    build_config,
    CALLER_HOST,
    KEY,
    Reply,
)

SHORT_IDLE_MS = 400
LONG_IDLE_MS = 5_000


def build_config_with_idle_limit(version: int, idle_ms: int) -> bytes:
    """Returns a desired state with that limit for idle connections."""
    config = msgspec.json.decode(build_config(version))
    config["limits"]["idle_timeout_ms"] = idle_ms
    return msgspec.json.encode(config)


async def send_read(protocol, id: str) -> Reply:
    """Returns the answer to a read on an open connection."""
    headers = {
        "Host": CALLER_HOST,
        "Attempt-Id": id,
        "Authorization": f"Token {KEY}",
    }
    write_request(protocol, "GET", "/read/x", headers, b"")
    reply = Reply()
    await read_answer(protocol, reply)
    return reply


# Guards against LOST: a connection that was idle before the change was still
# closed after the former, shorter time, under a request that was on its way.
def test_idle_connection_gets_the_longer_time_that_came_into_force():
    async def scenario(fleet):
        put = fleet.store.state.put
        put("op/config", build_config_with_idle_limit(2, SHORT_IDLE_MS))
        await anyio.sleep(SHORT_IDLE_MS / 1_000)
        protocol = await connect(fleet.hosts["host-0"], 1_000, 0)
        assert (await send_read(protocol, "id-1")).status == 200
        protocol.reset_cycle()
        put("op/config", build_config_with_idle_limit(3, LONG_IDLE_MS))
        await anyio.sleep(3 * SHORT_IDLE_MS / 1_000)
        assert protocol.reusable
        assert (await send_read(protocol, "id-2")).status == 200
        protocol.abort()

    run(scenario, engines=0, plain=1, hosts=1)


def test_shorter_time_holds_for_connections_that_become_idle_after_it():
    async def scenario(fleet):
        config = build_config_with_idle_limit(2, SHORT_IDLE_MS)
        fleet.store.state.put("op/config", config)
        await anyio.sleep(SHORT_IDLE_MS / 1_000)
        protocol = await connect(fleet.hosts["host-0"], 1_000, 0)
        assert (await send_read(protocol, "id-1")).status == 200
        protocol.reset_cycle()
        await wait_for(lambda: protocol.eof)

    run(scenario, engines=0, plain=1, hosts=1)


# Guards against DENIED: the next request on a connection that was idle when
# the limit rose got 413.
@pytest.mark.parametrize(
    ("before", "after", "kind"),
    [(10, 100, ReceivedRequest), (100, 10, UnreadableRequest)],
)
def test_limit_in_force_at_the_first_bytes_holds(before, after, kind):
    async def scenario():
        in_force = CallerLimits(16_384, before, 1_000, 1_000)
        protocol = H11Protocol(h11.SERVER)
        received = []

        async def read():
            conn = ServerConnection(protocol)
            received.append(
                await conn.read_request(in_force, lambda: in_force)
            )

        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read)
                await anyio.wait_all_tasks_blocked()
                in_force = CallerLimits(16_384, after, 1_000, 1_000)
                head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50"
                protocol.data_received(head + b"\r\n\r\n" + 50 * b"x")
        assert isinstance(received[0], kind)

    anyio.run(scenario)
