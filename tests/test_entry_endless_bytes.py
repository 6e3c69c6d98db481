"""Servers that send bytes without an end that are no answer."""

from __future__ import annotations

import anyio
import pytest
from test_entry_path import run, wait_for

from corianderdoor.adapters.answer_meter import MAX_FRAMING_BYTES
from corianderdoor.adapters.http1 import ConnectionBrokenError
from corianderdoor.adapters.http1_connect import connect
from corianderdoor.core.entry import answer_memory
from corianderdoor.core.entry.answer_memory import AnswerMemory
from corianderdoor.core.entry.events import EventSplitter
from corianderdoor.entry.answer_reader import MAX_ANSWER_BYTES
from corianderdoor.platform.store_answers import read_full_answer
from corianderdoor.standins.platform_fleet import METRICS_PORT, send_request
from corianderdoor.standins.raw_server import (
    add_raw_server,
    build_answer,
    CHUNKED,
    RawServer,
    SIGNED,
)

# What the operating system may hold between two processes.
SYSTEM_BYTES = 12_000_000
OTHER = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n" + CHUNKED
# Bytes sent once after an own head ("own"), and bytes sent endlessly.
ATTACKS = {
    "head": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 4_096),
    "header-lines": (b"HTTP/1.1 200 OK\r\n", b"X: a\r\n" * 512),
    "chunk-size": (b"own", b"0" * 4_096),
    "chunk-extension": (b"own1;", b"x" * 4_096),
    "chunk-extensions": (b"own", b"1;%b\r\na\r\n" % (b"x" * 8_000)),
    "tiny-chunks": (b"own", b"1\r\na\r\n" * 512),
    "trailers": (b"own0\r\n", b"X: a\r\n" * 512),
    "informational": (b"", b"HTTP/1.1 103 Hint\r\nX: a\r\n\r\n" * 64),
    "skipped-body": (OTHER, b"1000\r\n%b\r\n" % (b"a" * 4_096)),
    "skipped-answers": (b"", OTHER + b"0\r\n\r\n"),
    "body": (b"own", b"1000\r\n%b\r\n" % (b"a" * 4_096)),
    "no-answer": (b"", b"\0" * 4_096),
    "length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: %b\r\n\r\n" % (b"9" * 5_000),
        b"a" * 4_096,
    ),
    "after-answer": (b"whole", b"a" * 4_096),
    "empty-lines": (b"own", b"1000\r\n%b\r\n" % (b"\n" * 4_096)),
    "comments": (b"own", b"c00\r\n%b\r\n" % (b":\n\n" * 1_024)),
    "same-event": (b"own", b"1000\r\n%b\r\n" % (b"id: 10\n\n" * 512)),
}


def build_start(start: bytes, req) -> bytes:
    """Returns what a server sends first."""
    own = b"HTTP/1.1 200 OK\r\n" + SIGNED % (req.id, req.id) + CHUNKED
    whole = b"".join(build_answer(req))
    return start.replace(b"own", own).replace(b"whole", whole)


# Guards against a server that fills the memory or keeps the processor busy:
# the host stops reading, closes the connection and asks another server.
@pytest.mark.parametrize("path", ["/read/x", "/chat/x", "/pay/x"])
@pytest.mark.parametrize("attack", ATTACKS)
def test_endless_bytes_are_cut_off_and_the_request_goes_elsewhere(
    attack, path
):
    start, endless = ATTACKS[attack]

    async def scenario(fleet):
        async def script(req, writer):
            writer.write(build_start(start, req))
            await bad.send_endlessly(writer, endless)

        async def answer(req, writer):
            writer.write(b"".join(build_answer(req)))

        bad, good = RawServer(script), RawServer(answer)
        engine = path == "/chat/x"
        await add_raw_server(fleet, "bad", engine, bad)
        await add_raw_server(fleet, "good", engine, good)
        await anyio.sleep(0.6)
        for number in range(8):
            reply = await fleet.chat("host-0", f"id-{number}", path)
            if path != "/pay/x":
                assert (reply.status, reply.complete) == (200, True)
        # One connection may be idle here, and is closed within a second.
        await wait_for(lambda: bad.ended == bad.opened > 0)
        most = MAX_ANSWER_BYTES + MAX_FRAMING_BYTES + SYSTEM_BYTES
        assert bad.sent_bytes < most * bad.opened
        # Two failures in a row eject the server.
        assert len(bad.runs) < 6

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against an event of 1 MiB that takes minutes of processor time, as
# each byte that arrives copies and searches all bytes before it.
def test_event_that_arrives_byte_by_byte_is_searched_once():
    splitter = EventSplitter()
    splitter.feed(b"a" * 1_000_000)
    start = splitter.rest
    for _ in range(200_000):
        assert not splitter.feed(b"b")
    assert splitter.rest is start
    assert splitter.feed(b"\n") == []
    (event,) = splitter.feed(b"\nrest")
    assert len(event) == 1_200_002
    assert splitter.rest == b"rest"


# Guards against a store or peer whose answer has no end.
def test_answer_of_the_store_or_a_peer_is_bounded():
    async def script(req, writer):
        writer.write(OTHER)
        await server.send_endlessly(writer, b"8000\r\n%b\r\n" % bytes(32_768))

    async def scenario(fleet):
        await add_raw_server(fleet, "raw", False, server)
        address = (f"{fleet._network}.{fleet._next_address}", 18_080)
        protocol = await connect(address, 1_000, 0)
        protocol.write_raw(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        with pytest.raises(ConnectionBrokenError):
            await read_full_answer(protocol)
        protocol.abort()

    server = RawServer(script)
    run(scenario, engines=0, plain=0, hosts=0)


REQUESTS = 40
# A small machine: an eighth of it is less than two of the longest answers.
MEMORY_MB = 160.0


async def read_held(fleet) -> float:
    """Returns how many bytes of answers host-0 holds."""
    address = (fleet.hosts["host-0"][0], METRICS_PORT)
    text = (await send_request(address, "/metrics")).body.decode()
    lines = [one for one in text.splitlines() if one[:1] != "#"]
    found = [one.split()[-1] for one in lines if "held_answer_bytes" in one]
    return float(found[0])


# Guards against a host that runs out of memory as each of many answers without
# an end is held up to the bound of one (report of other operators).
@pytest.mark.parametrize("path", ["/read/x", "/chat/x"])
def test_many_endless_answers_together_take_a_bounded_share(path, monkeypatch):
    monkeypatch.setattr(answer_memory, "DEFAULT_MEMORY_MB", MEMORY_MB)
    most = AnswerMemory(MEMORY_MB).limit
    held: list[float] = []

    async def scenario(fleet):
        async def script(req, writer):
            writer.write(build_start(b"own", req))
            for _ in range(64):
                writer.write(b"8000\r\n%b\r\n" % (b"a" * 32_768))
                await writer.drain()
                await anyio.sleep(0.02)
            await anyio.sleep_forever()

        await add_raw_server(
            fleet, "bad", path == "/chat/x", RawServer(script)
        )
        await anyio.sleep(0.6)
        async with anyio.create_task_group() as tasks:
            for number in range(REQUESTS):
                tasks.start_soon(fleet.chat, "host-0", f"id-{number}", path)
            for _ in range(20):
                await anyio.sleep(0.1)
                held.append(await read_held(fleet))
            tasks.cancel_scope.cancel()
        while await read_held(fleet):
            await anyio.sleep(0.05)
        assert 0 < max(held) <= most

    run(scenario, engines=0, plain=0, hosts=1)


def test_short_answers_find_room_beside_endless_ones():
    memory = AnswerMemory(MEMORY_MB)
    endless = [memory.open() for _ in range(REQUESTS)]
    while all([one.add(10_000) for one in endless]):
        assert memory.held <= memory.limit
    short = memory.open()
    assert short.add(100_000)
    short.release()
    for one in endless:
        one.release()
    assert memory.held == 0
    alone = memory.open()
    assert alone.add(memory.limit // 2)
    assert not alone.add(2)


def test_only_the_incomplete_event_of_a_stream_is_held():
    memory = AnswerMemory(MEMORY_MB)
    stream = memory.open()
    assert stream.set_event(500) and memory.held == 500
    assert stream.set_event(200) and memory.held == 200
    assert not stream.set_event(memory.limit)
    assert stream.set_event(0) and memory.held == 0
