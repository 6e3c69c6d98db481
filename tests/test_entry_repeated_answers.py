"""Servers that repeat whole answers on connections in use again."""

from __future__ import annotations

import asyncio

import anyio
import pytest
from test_entry_path import run, wait_for

from corianderdoor.core.entry.answered_ids import (
    AnsweredIds,
    MAX_IDS,
    REPEATED_ANSWER_MS,
)
from corianderdoor.standins.raw_server import (
    add_raw_server,
    build_answer,
    EVENTS,
    RawServer,
    REPEAT_POINTS,
    RepeatingServer,
)

REQUESTS = 6
PATHS = {"/chat/x": True, "/read/x": False, "/pay/x": False}


def expect(id: str, path: str) -> bytes:
    """Returns the body of the right answer."""
    if not PATHS[path]:
        return id.encode() * EVENTS
    return b"".join(
        b"id: %d\ndata: %b\n\n" % (number + 1, id.encode())
        for number in range(EVENTS)
    )


async def send_all(fleet, servers, path: str, gap_s: float = 0.0) -> None:
    """Sends requests, and checks that each gets its own answer, if any."""
    answered = refused = 0
    for number in range(REQUESTS):
        id = f"id-{number}"
        reply = await fleet.chat("host-0", id, path)
        if reply.status == 200 and reply.complete:
            assert reply.body == expect(id, path)
            assert reply.headers[b"attempt-id"] == id.encode()
            answered += 1
        refused += reply.status == 503
        runs = sum(server.runs.count(id.encode()) for server in servers)
        assert runs <= 1 or path != "/pay/x"
        await anyio.sleep(gap_s)
    if path != "/pay/x":
        # Both servers may refuse the first request.
        assert answered + refused == REQUESTS and refused <= 1


async def start(fleet, path: str, point: str, delay_s=None):
    """Starts two servers that repeat answers."""
    servers = [RepeatingServer(point, delay_s) for _ in range(2)]
    for number, server in enumerate(servers):
        await add_raw_server(fleet, f"raw-{number}", PATHS[path], server)
    await anyio.sleep(0.6)  # until the host has read the entries
    return servers


# Guards against MIXED: a caller gets a repeated answer to another request,
# and a payment runs twice because a repeated refusal counts as its own.
@pytest.mark.parametrize("hosts", [1, 2])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("point", REPEAT_POINTS)
def test_caller_gets_its_own_answer_wherever_another_is_repeated(
    point, path, hosts
):
    async def scenario(fleet):
        servers = await start(fleet, path, point)
        if hosts == 2:
            fleet.links["host-0"].cut("refuse")
        await send_all(fleet, servers, path)

    run(scenario, engines=0, plain=0, hosts=hosts)


# Guards against MIXED: answers that are repeated some time later, at any
# point of another exchange.
@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.1])
def test_caller_gets_its_own_answer_whenever_another_is_repeated(delay_s):
    async def scenario(fleet):
        servers = await start(fleet, "/chat/x", "", delay_s)
        await send_all(fleet, servers, "/chat/x", gap_s=delay_s / 4)

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against MIXED: a caller uses an id again, and gets the repeated
# answer to its first request.
def test_id_that_is_used_again_gets_a_new_connection():
    async def scenario(fleet):
        servers = await start(fleet, "/read/x", "")
        for _ in range(REQUESTS):
            await fleet.chat("host-0", "id-1", "/read/x")
        await wait_for(
            lambda: sum(server.opened for server in servers) == REQUESTS
        )

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against unbounded growth, and against ids that are dropped early.
def test_answered_ids_are_bounded_in_time_and_number():
    ids = AnsweredIds()
    for number in range(MAX_IDS + 5):
        ids.record(f"r{number}", 0)
    assert not ids.is_recent("r4", 0)
    assert ids.is_recent("r5", REPEATED_ANSWER_MS)
    assert not ids.is_recent("r5", REPEATED_ANSWER_MS + 1)


STRAYS = {
    "bad request, no id": b"HTTP/1.1 400 X\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "refusal, no id": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "cut reason": b"HTTP/1.1 503 Service Una",
    "cut statement": b"HTTP/1.1 503 Busy\r\nNot-Executed: ",
    "cut load": b"HTTP/1.1 429 Busy\r\nInstance-Load: 3,0",
    "cut failure": b"HTTP/1.1 500 Int",
}


class StrayServer(RawServer):
    """Sends bytes of no request before answers on kept connections."""

    def __init__(self, stray: bytes) -> None:
        super().__init__()
        self.strays = 0
        self._stray = stray
        self._used: set[asyncio.StreamWriter] = set()

    async def answer(self, req, writer) -> None:
        """Answers correctly, with other bytes before."""
        if writer in self._used:
            self.strays += 1
            writer.write(self._stray)
        self._used.add(writer)
        writer.write(b"".join(build_answer(req)))


# Guards against REFUSED, TWICE and MIXED: a payment that a server ran is
# answered "not run", or runs again, as a part of another answer came first.
@pytest.mark.parametrize("hosts", [1, 2])
@pytest.mark.parametrize("stray", STRAYS)
def test_payment_is_not_refused_or_repeated_after_stray_bytes(stray, hosts):
    async def scenario(fleet):
        servers = [StrayServer(STRAYS[stray]) for _ in range(2)]
        for number, server in enumerate(servers):
            await add_raw_server(fleet, f"raw-{number}", False, server)
        await anyio.sleep(0.6)
        if hosts == 2:
            fleet.links["host-0"].cut("refuse")
        for number in range(2 * REQUESTS):
            id = f"id-{number}"
            reply = await fleet.chat("host-0", id, "/pay/x")
            runs = sum(server.runs.count(id.encode()) for server in servers)
            assert runs == 1
            if reply.status == 200:
                assert reply.body == expect(id, "/pay/x")
            else:
                assert reply.status == 502 and "cut" in stray
        assert sum(server.strays for server in servers)

    run(scenario, engines=0, plain=0, hosts=hosts)


# Guards against MIXED: the end of another answer ends this one.
def test_answer_that_ends_with_the_trailers_of_another_is_not_delivered():
    async def script(req, writer):
        whole = b"".join(build_answer(req))
        writer.write(
            whole.replace(b"0\r\nAttempt-Id: ", b"0\r\nAttempt-Id: x")
        )

    async def scenario(fleet):
        await add_raw_server(fleet, "raw-0", False, RawServer(script))
        await anyio.sleep(0.6)
        reply = await fleet.chat("host-0", "id-1", "/pay/x")
        assert reply.status == 502

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against REFUSED: a stream that may be resumed, or a read, is answered
# "not run" after a server ran it, as another's rejection came first.
@pytest.mark.parametrize("path", ["/chat/x", "/read/x"])
@pytest.mark.parametrize("stray", STRAYS)
def test_request_that_may_run_twice_is_not_refused_after_stray_bytes(
    stray, path
):
    async def scenario(fleet):
        server = StrayServer(STRAYS[stray])
        await add_raw_server(fleet, "raw-0", PATHS[path], server)
        await anyio.sleep(0.6)
        for number in range(REQUESTS):
            id = f"id-{number}"
            reply = await fleet.chat("host-0", id, path)
            assert server.runs.count(id.encode())
            if "cut" in stray:
                assert reply.status in (200, 502)
            else:
                assert (reply.status, reply.body) == (200, expect(id, path))
        assert server.strays

    run(scenario, engines=0, plain=0, hosts=1)
