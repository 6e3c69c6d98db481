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
from corianderdoor.core.entry.planner import Planner
from corianderdoor.entry.server_links import ServerLinks
from corianderdoor.entry.server_request import begin_exchange
from corianderdoor.standins.raw_server import (
    add_raw_server,
    build_answer,
    RawServer,
)

TARGET = ("127.0.0.9", 80)
PEER = ("127.0.0.2", 7340)
REFUSAL = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
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
