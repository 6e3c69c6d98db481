"""Connections of callers that were idle and then carry a request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import socket
import time

import anyio
import pytest
from test_entry_busy_host import ANSWER_END, receive

from corianderdoor.adapters.http1_server import (
    listen,
    ReceivedRequest,
    ServerConnection,
)
from corianderdoor.core.entry.routing import CallerLimits

IDLE_MS = 300
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


async def answer_requests(conn: ServerConnection) -> None:
    """Answers each request until the connection has been idle too long."""
    limits = CallerLimits(16_384, 65_536, 1_000, IDLE_MS)
    while isinstance(await conn.read_request(limits), ReceivedRequest):
        await conn.respond(200, [], b"ok")
        if not await conn.finish():
            return


def run_on_idle_connection(
    scenario: Callable[[socket.socket], Awaitable[None]], uvloop: bool
) -> None:
    """Runs `scenario` with a connection that has had one answer."""

    async def run() -> None:
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                server = await listen(("127.0.0.1", 0), tasks, answer_requests)
                caller = socket.create_connection(
                    server.sockets[0].getsockname()
                )
                caller.settimeout(2)
                caller.sendall(REQUEST)
                assert (await receive(caller)).endswith(ANSWER_END)
                await scenario(caller)
                caller.close()
                tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": uvloop})


# Guards against LOST: a busy process saw the request and the end of the idle
# time at once, and closed the connection over the request.
@pytest.mark.parametrize("uvloop", [False, True])
def test_request_that_arrived_before_the_idle_time_ended_is_answered(uvloop):
    async def scenario(caller):
        await anyio.sleep(IDLE_MS / 2_000)
        caller.sendall(REQUEST)
        # The process is busy until after the idle time.
        time.sleep(IDLE_MS / 1_000)
        assert (await receive(caller)).startswith(b"HTTP/1.1 200")

    run_on_idle_connection(scenario, uvloop)


@pytest.mark.parametrize("uvloop", [False, True])
def test_connection_without_a_request_is_closed_after_the_idle_time(uvloop):
    async def scenario(caller):
        assert await receive(caller) == b""

    run_on_idle_connection(scenario, uvloop)
