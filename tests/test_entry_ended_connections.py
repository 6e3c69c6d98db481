"""Connections of callers whose answer was given up are read no more."""

from __future__ import annotations

import asyncio
import socket

import anyio
import pytest
from test_entry_path import run, wait_for

from corianderdoor.adapters.http1_server import listen, ServerConnection
from corianderdoor.standins.platform_fleet import CALLER_HOST, KEY
from corianderdoor.standins.raw_server import (
    add_raw_server,
    RawServer,
    SIGNED,
)

ANSWER_BYTES = 8_000_000
DEADLINE_MS = 600
RECEIVE_BYTES = 4_096
# Answers of more would take more memory than a host has for them.
CALLERS = 2


def build_head(id: str, path: str, deadline_ms: int = DEADLINE_MS) -> bytes:
    """Returns the head of a request without a body."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nAttempt-Id: {id}\r\n"
        f"Authorization: Token {KEY}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n"
    ).encode()


async def answer_long(req, writer) -> None:
    """Answers with a body that is larger than all buffers on its way."""
    head = b"HTTP/1.1 200 OK\r\n" + SIGNED % (req.id, req.id)
    length = b"Content-Length: %d\r\n\r\n" % ANSWER_BYTES
    writer.write(head + length + bytes(ANSWER_BYTES))
    await writer.drain()


async def send_unread(address, data: bytes) -> socket.socket:
    """Sends bytes on a new connection, of which nothing is read."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, address)
    await loop.sock_sendall(sock, data)
    return sock


# Guards against LOST (review/11): a caller that had not read its answer by
# the deadline, and had sent something behind its request, ended the process.
@pytest.mark.parametrize("behind", [build_head("next", "/none/x"), b"\r\n"])
def test_host_outlasts_a_caller_that_reads_no_answer(behind):
    async def scenario(fleet):
        await add_raw_server(fleet, "long", False, RawServer(answer_long))
        await anyio.sleep(0.6)
        first = build_head("first", "/read/x")
        sock = await send_unread(fleet.hosts["host-0"], first + behind)
        await anyio.sleep(2 * DEADLINE_MS / 1000)
        reply = await fleet.chat("host-0", "other", "/none/x")
        assert reply.status == 404
        sock.close()

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against LOST (review/14): a request behind one whose answer was given
# up was still sent to a server, though its connection had been closed.
def test_request_behind_an_answer_that_was_given_up_does_not_run():
    async def scenario(fleet):
        async def answer(req, writer):
            if not req.id.startswith(b"pay"):
                await answer_long(req, writer)
                return
            head = b"HTTP/1.1 200 OK\r\n" + SIGNED % (req.id, req.id)
            writer.write(head + b"Content-Length: 0\r\n\r\n")

        server = RawServer(answer)
        await add_raw_server(fleet, "long", False, server)
        await anyio.sleep(0.6)
        socks = [
            await send_unread(
                fleet.hosts["host-0"],
                build_head(f"first-{number}", "/read/x")
                + build_head(f"pay-{number}", "/pay/x", 3_000),
            )
            for number in range(CALLERS)
        ]
        await wait_for(lambda: len(server.runs) == CALLERS)
        # They leave idle connections, so that sending needs no wait.
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                id = f"payed-{number}"
                tasks.start_soon(fleet.chat, "host-0", id, "/pay/x")
        await anyio.sleep(2 * DEADLINE_MS / 1000)
        assert not [id for id in server.runs if id.startswith(b"pay-")]
        for sock in socks:
            sock.close()

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against a listener that ends all connections when what one of them
# waited for was cancelled.
@pytest.mark.anyio
async def test_cancelled_future_ends_its_own_connection_alone():
    served: list[ServerConnection] = []
    checked = False

    async def handle(conn: ServerConnection) -> None:
        served.append(conn)
        if len(served) == 1:
            fut = asyncio.get_running_loop().create_future()
            fut.cancel()
            await fut
        await anyio.sleep_forever()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            address = ("127.0.0.1", 0)
            server = await listen(address, tasks, handle)
            address = server.sockets[0].getsockname()
            reader, _ = await asyncio.open_connection(*address)
            # The host closes it.
            with pytest.raises((ConnectionResetError, EOFError)):
                await reader.readexactly(1)
            await asyncio.open_connection(*address)
            while len(served) < 2:
                await anyio.sleep(0.01)
            checked = True
            tasks.cancel_scope.cancel()
    # A group that was cancelled leaves its block without an error.
    assert checked
