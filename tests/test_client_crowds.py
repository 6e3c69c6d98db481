"""Crowds of callers that make an entry host keep bytes or descriptors.

Each test shows that the process lives, that its memory and descriptors stay
under the limits of its settings, and that an ordinary request is answered.
"""

from __future__ import annotations

from collections.abc import Callable
import pathlib

import anyio
from crowds import (
    BODY_BYTES,
    build_head,
    Crowd,
    DESCRIPTORS,
    HostProcess,
    MEMORY_MB,
    NAME,
    run_host,
)
import pytest

from corianderdoor.standins import platform_worker
from corianderdoor.standins.platform_fleet import (
    METRICS_PORT,
    PEER_PORT,
    PORT,
    READY_PORT,
)

pytestmark = pytest.mark.crowd

CHUNKED = b"Transfer-Encoding: chunked"
EXPECT = b"Expect: 100-continue"
# Body limit of the listeners that follow no desired state.
OWN_BODY_BYTES = 4_000_000
OTHER_PORTS = (READY_PORT, METRICS_PORT, PEER_PORT)


def announce(size: int, sent: int, path: str = "/read/x") -> bytes:
    """Returns a request that announces `size` bytes and has `sent`."""
    length = b"Content-Length: %d" % size
    return build_head(path, length) + bytes(sent)


def send_large_chunk() -> bytes:
    """Returns a request with one chunk that lacks its last byte."""
    head = build_head("/read/x", CHUNKED)
    return head + b"%x\r\n" % BODY_BYTES + bytes(BODY_BYTES - 1)


def send_tiny_chunks(count: int) -> bytes:
    """Returns a request with chunks of one byte, without an end."""
    return build_head("/read/x", CHUNKED) + b"1\r\nx\r\n" * count


def send_extension() -> bytes:
    """Returns a request whose chunk has an extension without an end."""
    return build_head("/read/x", CHUNKED) + b"1;" + b"e" * 60_000


def send_extensions() -> bytes:
    """Returns a request of tiny chunks with long extensions."""
    chunk = b"1;" + b"e" * 4_000 + b"\r\nx\r\n"
    return build_head("/read/x", CHUNKED) + chunk * 60


def send_trailers() -> bytes:
    """Returns a request with trailers that lack their end."""
    trailers = b"a:\r\n" * 15_000
    return build_head("/read/x", CHUNKED) + b"0\r\n" + trailers


def send_small_headers() -> bytes:
    """Returns a request of very many headers that lacks its body."""
    names = [b"a:"] * 15_000
    return build_head("/read/x", *names, b"Content-Length: 10")


def send_part_of_head() -> bytes:
    """Returns a head that lacks its end."""
    return b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 15_000


def send_next_requests() -> bytes:
    """Returns a request and many more behind it."""
    first = announce(5, 5, "/pay/x")
    return first + announce(BODY_BYTES, BODY_BYTES - 1) * 2


CROWDS: dict[str, tuple[int, Callable[[], bytes]]] = {
    "short-bodies": (400, lambda: announce(BODY_BYTES, BODY_BYTES - 1)),
    "too-long-bodies": (400, lambda: announce(10**10, 4 * BODY_BYTES)),
    "large-chunks": (400, send_large_chunk),
    "tiny-chunks": (300, lambda: send_tiny_chunks(8_000)),
    "extensions": (400, send_extension),
    "many-extensions": (400, send_extensions),
    "trailers": (400, send_trailers),
    "small-headers": (300, send_small_headers),
    "part-of-heads": (400, send_part_of_head),
    "next-requests": (400, send_next_requests),
    "silent": (900, lambda: b""),
}


async def check(
    host: HostProcess, port: int, count: int, build: Callable[[], bytes]
) -> None:
    """Checks a host while a crowd is there, and after it has left."""
    await host.check_service()
    crowd = Crowd()
    try:
        await crowd.join(host.address(port), count, build)
        usage = host.measure()
        assert usage.descriptors <= DESCRIPTORS
        await host.check_service()
    finally:
        crowd.leave()
    await host.check_service()
    assert host.measure().peak_mb <= MEMORY_MB


@pytest.mark.parametrize("kind", CROWDS)
def test_callers_take_no_more_than_the_limits(
    kind: str, tmp_path: pathlib.Path
) -> None:
    async def run() -> None:
        count, build = CROWDS[kind]
        async with run_host(tmp_path) as host:
            await check(host, PORT, count, build)

    anyio.run(run)


@pytest.mark.parametrize("port", OTHER_PORTS)
@pytest.mark.parametrize("kind", ["bodies", "silent"])
def test_callers_of_other_listeners_take_no_more_than_the_limits(
    port: int, kind: str, tmp_path: pathlib.Path
) -> None:
    async def run() -> None:
        async with run_host(tmp_path) as host:
            if kind == "silent":
                await check(host, port, 900, lambda: b"")
                return
            data = announce(OWN_BODY_BYTES, OWN_BODY_BYTES - 1)
            await check(host, port, 40, lambda: data)

    anyio.run(run)


def test_all_listeners_at_once_take_no_more_than_the_limits(
    tmp_path: pathlib.Path,
) -> None:
    async def run() -> None:
        async with run_host(tmp_path) as host:
            crowd = Crowd()
            data = announce(BODY_BYTES, BODY_BYTES - 1)
            for port in (*OTHER_PORTS, PORT):
                await crowd.join(host.address(port), 250, lambda: data)
                assert host.measure().descriptors <= DESCRIPTORS
            await host.check_service()
            assert host.measure().peak_mb <= MEMORY_MB
            crowd.leave()

    anyio.run(run)


# Answers that their callers do not read: large ones, and many small ones that
# fit into a buffer each.
@pytest.mark.parametrize("size", [8_000_000, 60_000])
@pytest.mark.parametrize("path", ["/read/x", "/chat/x"])
def test_unread_answers_take_no_more_than_the_limits(
    size: int,
    path: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(platform_worker, "LARGE_BODY_BYTES", size)

    async def run() -> None:
        async with run_host(tmp_path, engines=1) as host:
            for worker in host.fleet.workers.values():
                worker.mode = "large"
            crowd = Crowd()
            data = announce(5, 5, path) * 10
            try:
                await crowd.join(host.address(PORT), 300, lambda: data)
                assert host.measure().descriptors <= DESCRIPTORS
                for worker in host.fleet.workers.values():
                    worker.mode = ""
                await host.check_service()
            finally:
                crowd.leave()
            await host.check_service()
            assert host.measure().peak_mb <= MEMORY_MB

    anyio.run(run)


# An id may be as long as a head, and is remembered for some seconds.
def test_ids_of_requests_take_no_more_than_the_limits(
    tmp_path: pathlib.Path,
) -> None:
    async def run() -> None:
        async with run_host(tmp_path) as host:
            await host.check_service()

            async def send(first: int) -> None:
                for number in range(first, 3_000, 10):
                    id = f"{number:030000d}"
                    reply = await host.fleet.chat(NAME, id, "/read/x")
                    assert reply.status in (200, 503)

            async with anyio.create_task_group() as tasks:
                for first in range(10):
                    tasks.start_soon(send, first)
            await host.check_service()
            assert host.measure().peak_mb <= MEMORY_MB

    anyio.run(run)


# A list of very many parts in one header costs much more than its length.
def test_parts_of_prompts_take_no_more_than_the_limits(
    tmp_path: pathlib.Path,
) -> None:
    async def run() -> None:
        async with run_host(tmp_path, engines=1) as host:
            host.fleet.workers["engine-0"].mode = "silent"
            parts = b"Prompt-Prefix: " + b"a:1," * 14_000 + b"b:1"
            length = b"Content-Length: 1"
            await check(
                host,
                PORT,
                130,
                lambda: build_head("/chat/x", parts, length) + b"x",
            )

    anyio.run(run)


# Guards against a host that runs out of memory (review/13): the body of a
# connection that was closed for its memory lived on in the task that read it.
def test_large_bodies_that_stop_short_take_no_more_than_the_limits(tmp_path):
    memory_mb = 300
    body_bytes = 4_194_304
    chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"

    async def scenario() -> None:
        async with run_host(
            tmp_path, memory_mb=memory_mb, body_bytes=body_bytes
        ) as host:
            crowd = Crowd()
            request = build_head("/read/x", CHUNKED) + 62 * chunk
            await crowd.come_again(host.address(PORT), 200, request)
            usage = host.measure()
            assert usage.peak_mb <= memory_mb
            await host.check_service()
            crowd.leave()

    anyio.run(scenario)
