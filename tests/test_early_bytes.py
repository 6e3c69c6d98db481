"""Bytes that a server sends on a new connection before any request."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import anyio
import h11
import pytest
from test_entry_path import run
from test_server_exchange import build_flight, Transport

from corianderdoor.adapters.http1 import H11Protocol
from corianderdoor.adapters.tunnel import open_tunnel, pass_on
from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.planner import Planner
from corianderdoor.entry.backends import ConnectionPool
from corianderdoor.entry.server_links import ServerLinks
from corianderdoor.entry.server_request import begin_exchange
from corianderdoor.standins.platform_fleet import (
    CALLER_HOST,
    KEY,
    Reply,
    send_request,
)
from corianderdoor.standins.raw_server import (
    add_raw_server,
    build_answer,
    EVENTS,
    HEAD_END,
    RawRequest,
    RawServer,
)

TARGET = ("127.0.0.9", 80)
PEER = ("127.0.0.2", 7340)
REFUSAL = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
LARGE_BODY_BYTES = 60_000
EARLY = {"refusal": REFUSAL, "cut": REFUSAL[:9], "no answer": b"\0"}


async def answer(req, writer) -> None:
    """Answers correctly."""
    writer.write(b"".join(build_answer(req)))


class EarlyServer(RawServer):
    """Sends bytes as soon as a connection is open."""

    def __init__(self, early: bytes) -> None:
        super().__init__(answer)
        self._early = early

    async def serve(self, reader, writer) -> None:
        """Serves one connection until it ends."""
        writer.write(self._early)
        await super().serve(reader, writer)


@pytest.fixture
def unreached(monkeypatch) -> list[str]:
    """Has hosts see early bytes before they send, and returns lost servers.

    Without the wait the bytes and the request may cross.
    """
    open_link = ServerLinks.open
    servers: list[str] = []

    async def open_and_wait(links: ServerLinks, server: Any) -> Any:
        protocol = await open_link(links, server)
        if protocol is not None and server.id.startswith("early"):
            with anyio.fail_after(5):
                await protocol.wait_for_bytes()
        return protocol

    monkeypatch.setattr(ServerLinks, "open", open_and_wait)
    monkeypatch.setattr(
        Planner,
        "record_unreached",
        lambda planner, flight, server, now_ms: servers.append(server.id),
    )
    return servers


# Guards against a server that counts as lost or crashed though it is up, and
# against REFUSED: its early bytes are no answer to a payment.
@pytest.mark.parametrize("hosts", [1, 2])
@pytest.mark.parametrize("early", EARLY)
def test_server_with_early_bytes_fails_and_is_not_lost(
    early, hosts, unreached
):
    async def scenario(fleet):
        faulty, sound = EarlyServer(EARLY[early]), RawServer(answer)
        await add_raw_server(fleet, "early-0", False, faulty)
        await anyio.sleep(0.6)
        if hosts == 2:
            fleet.links["host-0"].cut("refuse")
        alone = await fleet.chat("host-0", "id-0", "/pay/x")
        assert faulty.opened and alone.status == 503
        await add_raw_server(fleet, "raw-0", False, sound)
        await anyio.sleep(0.6)
        reply = await fleet.chat("host-0", "id-1", "/pay/x")
        assert (reply.status, sound.runs) == (200, [b"id-1"])
        assert not faulty.runs and not unreached

    run(scenario, engines=0, plain=0, hosts=hosts)


class RecordingTransport(Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        """Appends `data`."""
        self.written += data

    def close(self) -> None:
        """Closes nothing."""


def open_protocol(role: Any = h11.CLIENT) -> H11Protocol:
    protocol = H11Protocol(role)
    protocol.connection_made(RecordingTransport())  # type: ignore[arg-type]
    return protocol


# Guards against the same behind a peer, whose answer and the server's bytes
# may arrive in one read.
@pytest.mark.parametrize("early", EARLY)
def test_tunnel_with_early_bytes_is_open_and_takes_no_request(early):
    async def connect(*args: Any) -> H11Protocol:
        protocol = open_protocol()
        protocol.data_received(b"HTTP/1.1 200 \r\n\r\n" + EARLY[early])
        return protocol

    async def open_one() -> H11Protocol | None:
        return await open_tunnel(connect, PEER, TARGET, 1_000, 1_000)

    protocol = asyncio.run(open_one())
    assert protocol is not None and protocol.via_peer
    assert not protocol.reusable
    assert not begin_exchange(protocol, build_flight(False))


def test_tunnel_without_early_bytes_takes_a_request():
    async def connect(*args: Any) -> H11Protocol:
        protocol = open_protocol()
        protocol.data_received(b"HTTP/1.1 200 \r\n\r\n")
        return protocol

    async def open_one() -> H11Protocol | None:
        return await open_tunnel(connect, PEER, TARGET, 1_000, 1_000)

    protocol = asyncio.run(open_one())
    assert protocol is not None
    assert begin_exchange(protocol, build_flight(False))


# Guards against REFUSED: a peer keeps the start of what a server sends, and
# the rest passes for a whole answer.
def test_peer_passes_on_what_arrived_before_the_tunnel_was_open():
    async def serve() -> bytes:
        near, target = open_protocol(h11.SERVER), open_protocol()
        target.data_received(EARLY["cut"])
        conn: Any = SimpleNamespace(
            protocol=near, start=lambda *args: near.write_raw(b"head ")
        )
        task = asyncio.ensure_future(pass_on(conn, target))
        await asyncio.sleep(0)
        target.data_received(b" more")
        target.eof = True
        target.connection_lost(None)
        await task
        return near._transport.written  # type: ignore[union-attr]

    assert asyncio.run(serve()) == b"head " + EARLY["cut"] + b" more"


class HastyServer(RawServer):
    """Answers when it has read the head of a request, and reads on later.

    Attributes:
        bodies: Bodies that it read whole.
    """

    def __init__(self, refuses: bool) -> None:
        super().__init__()
        self.bodies: list[bytes] = []
        self._refuses = refuses

    async def serve(self, reader, writer) -> None:
        """Serves one connection until it ends."""
        self.opened += 1
        try:
            while True:
                req = RawRequest(await reader.readuntil(HEAD_END))
                if self._refuses:
                    own = b"Attempt-Id: %b\r\nNot-" % req.id
                    writer.write(REFUSAL.replace(b"Not-", own))
                else:
                    self.runs.append(req.id)
                    writer.write(b"".join(build_answer(req)))
                await asyncio.sleep(0.1)
                length = int(req.headers[b"content-length"])
                self.bodies.append(await reader.readexactly(length))
        except (OSError, asyncio.IncompleteReadError):
            pass  # the entry host ended the connection
        finally:
            writer.close()


# Guards against UNASKED and MIXED: other bytes where the rest of a body is
# due that was not sent whole when its answer came.
@pytest.mark.parametrize("refuses", [False, True])
@pytest.mark.parametrize("size", [10, LARGE_BODY_BYTES])
def test_answer_before_the_whole_request_counts_once(size, refuses):
    async def scenario(fleet):
        hasty = HastyServer(refuses)
        await add_raw_server(fleet, "raw-0", False, hasty)
        await anyio.sleep(0.6)
        for number in range(4):
            id = f"id-{number}"
            reply = await pay(fleet, id, id[-1].encode() * size)
            assert reply.status == (503 if refuses else 200)
            if not refuses:
                assert reply.body == id.encode() * EVENTS
                assert hasty.runs.count(id.encode()) == 1
        for body in hasty.bodies:
            assert body == body[:1] * size

    run(scenario, engines=0, plain=0, hosts=1)


async def pay(fleet, id: str, body: bytes) -> Reply:
    """Sends a payment with a body."""
    headers = {
        "Host": CALLER_HOST,
        "Attempt-Id": id,
        "Authorization": f"Token {KEY}",
        "Deadline-Ms": "3000",
    }
    return await send_request(fleet.hosts["host-0"], "/pay/x", headers, body)


# Guards against UNASKED: the next request follows where the server expects
# the rest of a body.
@pytest.mark.parametrize("unsent_bytes", [0, 1])
def test_connection_with_unsent_bytes_of_a_request_is_not_kept(unsent_bytes):
    protocol = open_protocol()
    transport: Any = protocol._transport
    transport.get_write_buffer_size = lambda: unsent_bytes
    assert begin_exchange(protocol, build_flight(False))
    host = [("Host", "h")]
    protocol.write(h11.Request(method="GET", target="/x", headers=host))
    protocol.write(h11.EndOfMessage())
    protocol.exchange.record_sent()
    protocol.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert isinstance(protocol.poll_event(), h11.Response)
    assert isinstance(protocol.poll_event(), h11.EndOfMessage)
    protocol.exchange.judge_head(b"own-7", 200, False)
    protocol.exchange.record_end()
    links: Any = SimpleNamespace(
        paths=SimpleNamespace(trusts=lambda *args: True)
    )
    pool = ConnectionPool(ManualClock(), links)
    server: Any = SimpleNamespace(id="s-1")
    pool.release(server, protocol, None)
    assert pool.is_connected("s-1") is not bool(unsent_bytes)
