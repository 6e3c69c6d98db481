"""Servers that read nothing for a second or two while a request is sent."""

from __future__ import annotations

import asyncio
import socket

import anyio
from entry_builders import build_pool, build_server
import h11
import pytest

from corianderdoor.adapters.http1 import H11Protocol
from corianderdoor.core.clock import SystemClock
from corianderdoor.platform.store_answers import read_full_answer

# A second or so, as the operators say, with a margin.
PAUSE_MS = 1_800
# Longest silence of a server that runs well.
SILENCE_MS = 2_000
LONG_BODY = b"x" * 1_000_000
SMALL_BUFFER_BYTES = 4_096


async def serve_after_pause(reader, writer) -> None:
    """Answers one request, of which it reads nothing for `PAUSE_MS`."""
    await anyio.sleep(PAUSE_MS / 1_000)
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(len(LONG_BODY))
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    await writer.drain()
    writer.close()


async def send_long_request(address: tuple[str, int]) -> bytes:
    """Returns the answer to a request with `LONG_BODY`."""
    pool = build_pool(SystemClock())
    server = build_server("s", host=address[0], port=address[1])
    protocol = await pool.acquire(server, fresh=True)
    assert isinstance(protocol, H11Protocol)
    length = ("Content-Length", str(len(LONG_BODY)))
    protocol.write(
        h11.Request(method="POST", target="/", headers=[("Host", "x"), length])
    )
    protocol.write(h11.Data(data=LONG_BODY))
    protocol.write(h11.EndOfMessage())
    _, body = await read_full_answer(protocol)
    protocol.abort()
    return body


# Guards against LOST: a server that reads nothing for a second or so closes
# its window, and TCP_USER_TIMEOUT ended the connection then.
@pytest.mark.anyio
async def test_connection_survives_a_server_that_reads_nothing_for_a_while():
    listening = socket.socket()
    listening.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
    )
    listening.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve_after_pause, sock=listening)
    async with server:
        with anyio.fail_after(10):
            assert await send_long_request(listening.getsockname()) == b"ok"


# Guards against LOST: with TCP_USER_TIMEOUT set, the operating system also
# gives up keep-alive probing after that time, whatever their number.
@pytest.mark.anyio
async def test_no_option_of_a_connection_ends_it_within_two_seconds():
    async with await asyncio.start_server(
        lambda reader, writer: None, "127.0.0.1", 0
    ) as server:
        address = server.sockets[0].getsockname()
        pool = build_pool(SystemClock())
        protocol = await pool.acquire(
            build_server("s", host=address[0], port=address[1]), fresh=True
        )
        sock = protocol._transport.get_extra_info("socket")

        def read(option: int) -> int:
            return sock.getsockopt(socket.IPPROTO_TCP, option)

        assert read(socket.TCP_USER_TIMEOUT) > SILENCE_MS
        probing_s = read(socket.TCP_KEEPIDLE) + read(
            socket.TCP_KEEPINTVL
        ) * read(socket.TCP_KEEPCNT)
        assert probing_s * 1_000 > SILENCE_MS
        protocol.abort()
