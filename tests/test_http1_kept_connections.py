"""Connections that carry many or long requests, one after the other."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import h11
import pytest

from corianderdoor.adapters.http1 import H11Protocol, READ_HIGH_WATER_BYTES
from corianderdoor.adapters.http1_connect import connect
from corianderdoor.adapters.http1_server import (
    listen,
    ReceivedRequest,
    ServerConnection,
)
from corianderdoor.core.entry.routing import CallerLimits
from corianderdoor.platform.store_answers import read_full_answer
from corianderdoor.standins.platform_caller import write_request

WAIT_S = 5.0
# Time after which a busy host gets to a request, which has arrived by then.
BUSY_S = 0.1
LIMITS = CallerLimits(
    head_bytes=16_384, body_bytes=4_194_304, head_ms=3_000, idle_ms=15_000
)
Serve = Callable[[ServerConnection], Awaitable[None]]


async def answer_all(conn: ServerConnection) -> None:
    """Answers each request with the length of its body."""
    while True:
        await conn.protocol.wait_for_bytes()
        await anyio.sleep(BUSY_S)
        received = await conn.read_request(LIMITS)
        if not isinstance(received, ReceivedRequest):
            return
        await conn.respond(200, [], str(len(received.body)).encode())
        if not await conn.finish():
            return


@asynccontextmanager
async def run_server(serve: Serve) -> AsyncIterator[tuple[str, int]]:
    """Runs a server; returns its address."""
    async with anyio.create_task_group() as tasks:
        server = await listen(("127.0.0.1", 0), tasks, serve)
        yield server.sockets[0].getsockname()
        tasks.cancel_scope.cancel()


async def open_connection(address: tuple[str, int]) -> H11Protocol:
    """Returns a connection to `address`."""
    protocol = await connect(address, 1_000, 0)
    assert protocol is not None
    return protocol


async def ask(protocol: H11Protocol, size: int) -> None:
    """Sends a body of `size` bytes and reads the answer."""
    write_request(protocol, "POST", "/", {"Host": "x"}, b"x" * size)
    with anyio.fail_after(WAIT_S):
        _, body = await read_full_answer(protocol)
    assert body == str(size).encode()
    assert protocol.reset_cycle()


# Guards against CONFIG: the bytes of requests that had been read counted as
# unread, so reading stopped for good once they had added up to the mark.
@pytest.mark.anyio
@pytest.mark.parametrize("size", [20_000, 60_000, 200_000])
async def test_kept_connection_answers_more_requests_than_the_mark(size):
    async with run_server(answer_all) as address:
        protocol = await open_connection(address)
        for _ in range(3 * READ_HIGH_WATER_BYTES // size + 2):
            await ask(protocol, size)
        protocol.abort()


# Guards against CONFIG: reading that was paused inside a long request stayed
# so after its end.
@pytest.mark.anyio
@pytest.mark.parametrize("size", [300_000, 500_000, 600_000, 4_000_000])
async def test_request_after_a_long_one_is_answered(size):
    async with run_server(answer_all) as address:
        protocol = await open_connection(address)
        for _ in range(3):
            await ask(protocol, size)
            await ask(protocol, 100)
        protocol.abort()


# Guards against GONE: while reading is paused, nobody learns that the caller
# has left.
@pytest.mark.anyio
@pytest.mark.parametrize("size", [300_000, 500_000, 1_200_000])
async def test_close_is_noticed_while_a_long_request_is_handled(size):
    left = anyio.Event()

    async def handle(conn: ServerConnection) -> None:
        await anyio.sleep(BUSY_S)
        await conn.read_request(LIMITS)
        conn.protocol.on_peer_closed = left.set
        await anyio.sleep_forever()

    async with run_server(handle) as address:
        protocol = await open_connection(address)
        write_request(protocol, "POST", "/", {"Host": "x"}, b"x" * size)
        while protocol.unsent_bytes():
            await anyio.sleep(0.01)
        protocol.close()
        with anyio.fail_after(WAIT_S):
            await left.wait()


# Guards against an end of the bound: a caller that sends on while its request
# is handled must not fill the memory.
@pytest.mark.anyio
async def test_bytes_that_nobody_reads_are_bounded():
    taken: list[ServerConnection] = []

    async def handle(conn: ServerConnection) -> None:
        await conn.read_request(LIMITS)
        taken.append(conn)
        await anyio.sleep_forever()

    async with run_server(handle) as address:
        protocol = await open_connection(address)
        write_request(protocol, "POST", "/", {"Host": "x"}, b"x" * 100)
        protocol.write_raw(b"y" * 40_000_000)
        with anyio.move_on_after(1):
            while protocol.unsent_bytes():
                await anyio.sleep(0.01)
        assert protocol.unsent_bytes() > 0
        held = len(taken[0].protocol.get_unparsed())
        assert held < 3 * READ_HIGH_WATER_BYTES
        protocol.abort()


@pytest.mark.anyio
async def test_answers_longer_than_the_mark_are_read_one_after_the_other():
    body = b"z" * (2 * READ_HIGH_WATER_BYTES)

    async def answer_long(conn: ServerConnection) -> None:
        while isinstance(await conn.read_request(LIMITS), ReceivedRequest):
            await conn.respond(200, [], body)
            if not await conn.finish():
                return

    async with run_server(answer_long) as address:
        protocol = await open_connection(address)
        for _ in range(4):
            protocol.write(
                h11.Request(method="GET", target="/", headers=[("Host", "x")])
            )
            protocol.write(h11.EndOfMessage())
            with anyio.fail_after(WAIT_S):
                assert (await read_full_answer(protocol))[1] == body
            assert protocol.reset_cycle()
        protocol.abort()
