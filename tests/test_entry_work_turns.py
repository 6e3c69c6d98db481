"""What arrives at once is handled in many turns of the event loop."""

from __future__ import annotations

import asyncio

import anyio
from entry_builders import build_planner, build_request
import pytest
from test_entry_path import run, total_runs, wait_for
from turn_counts import count_turns

from corianderdoor.adapters.datagram_turns import DatagramTurns
from corianderdoor.core.entry.crashing_requests import digest_shared_parts
from corianderdoor.core.entry.flights import Send
from corianderdoor.entry.answer_reader import AnswerReader
from corianderdoor.entry.callers import CallerService
from corianderdoor.entry import event_forwarder
from corianderdoor.entry.state_applier import StateApplier
from corianderdoor.standins.platform_fleet import CALLER_HOST
from corianderdoor.standins.raw_server import (
    add_raw_server,
    build_answer,
    CHUNKED,
    encode_chunk,
    RawServer,
    SIGNED,
)

# Events or lines in one turn, each of which takes about a microsecond: some
# milliseconds on the slowest machines.
MOST_PER_TURN = 2_048
STREAMS = 6
PIECE_BYTES = 65_536
PIECES = 2


def build_head(req) -> bytes:
    """Returns the head of an answer in chunks."""
    return b"HTTP/1.1 200 OK\r\n" + SIGNED % (req.id, req.id) + CHUNKED


# Guards against a host that hangs (CONFIG, review/12): all events of a piece,
# and all pieces that had arrived, were handled in one turn, stream by stream.
@pytest.mark.parametrize(
    "unit", [b"\n\n", b":\n\n", b"id: 1\n\n", b"data: x\n\n"]
)
def test_events_that_arrive_at_once_are_handled_in_many_turns(
    unit, monkeypatch
):
    async def scenario(fleet):
        async def script(req, writer):
            writer.write(build_head(req))
            piece = unit * (PIECE_BYTES // len(unit))
            writer.write(encode_chunk(piece) * PIECES + b"0\r\n\r\n")

        await add_raw_server(fleet, "many", True, RawServer(script))
        await anyio.sleep(0.6)
        async with count_turns() as counts:
            read = counts.count(event_forwarder.read_event_id)
            monkeypatch.setattr(event_forwarder, "read_event_id", read)
            async with anyio.create_task_group() as tasks:
                for number in range(STREAMS):
                    id = f"id-{number}"
                    tasks.start_soon(fleet.chat, "host-0", id, "/chat/x")
        assert sum(counts.calls.values()) > PIECE_BYTES // len(unit)
        assert counts.most <= MOST_PER_TURN

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against the same by one event of very many lines.
def test_lines_of_one_event_are_checked_in_many_turns(monkeypatch):
    lines = 200_000
    turns: list[int] = []

    async def scenario(fleet):
        async def script(req, writer):
            writer.write(build_head(req))
            writer.write(encode_chunk(b":a\n" * lines))
            writer.write(encode_chunk(b"data: x\n\n"))

        await add_raw_server(fleet, "many", True, RawServer(script))
        await anyio.sleep(0.6)
        async with count_turns() as counts:

            def note_turn(event):
                turns.append(counts.turn)
                return read(event)

            read = event_forwarder.read_event_id
            monkeypatch.setattr(event_forwarder, "read_event_id", note_turn)

            async def send(*args):
                turns.append(counts.turn)
                await forward(*args)

            forward = event_forwarder.EventForwarder._send
            monkeypatch.setattr(event_forwarder.EventForwarder, "_send", send)
            with anyio.move_on_after(5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(fleet.chat, "host-0", "id", "/chat/x")
                    await wait_for(lambda: len(turns) == 2)
                    tasks.cancel_scope.cancel()
        begun, sent = turns
        assert sent - begun >= lines // MOST_PER_TURN

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against the same by what the parser returns: chunks of one byte took
# 64 turns' worth of work on each connection in each turn.
@pytest.mark.parametrize("path", ["/read/x", "/chat/x"])
def test_tiny_chunks_of_many_answers_share_the_turns(path, monkeypatch):
    async def scenario(fleet):
        async def script(req, writer):
            writer.write(build_head(req))
            writer.write(encode_chunk(b"\n") * 5_000 + b"0\r\n\r\n")

        engine = path == "/chat/x"
        await add_raw_server(fleet, "many", engine, RawServer(script))
        await anyio.sleep(0.6)
        async with count_turns() as counts:
            accept = counts.count(AnswerReader._accept)
            monkeypatch.setattr(AnswerReader, "_accept", accept)
            async with anyio.create_task_group() as tasks:
                for number in range(20):
                    id = f"id-{number}"
                    tasks.start_soon(fleet.chat, "host-0", id, path)
        assert sum(counts.calls.values()) > 5_000
        # Each takes some ten microseconds.
        assert counts.most <= MOST_PER_TURN // 10

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against the same by lines of heads and trailers, which the parser
# takes at once: 64 KB of them took 24 ms, and up to 512 KB were accepted.
@pytest.mark.parametrize("place", ["head", "trailers"])
def test_answer_of_very_many_header_lines_is_given_up(place):
    lines = b"a:\r\n" * 20_000

    async def scenario(fleet):
        async def script(req, writer):
            head = build_head(req)
            if place == "head":
                head = head.replace(b"\r\n", b"\r\n" + lines, 1)
                writer.write(head + b"0\r\n\r\n")
            else:
                writer.write(head + encode_chunk(b"x") + b"0\r\n")
                writer.write(lines + b"\r\n")

        async def answer(req, writer):
            writer.write(b"".join(build_answer(req)))

        bad, good = RawServer(script), RawServer(answer)
        await add_raw_server(fleet, "bad", False, bad)
        await add_raw_server(fleet, "good", False, good)
        await anyio.sleep(0.6)
        for number in range(4):
            reply = await fleet.chat("host-0", f"id-{number}", "/read/x")
            assert (reply.status, reply.complete) == (200, True)
        assert len(good.runs) == 4

    run(scenario, engines=0, plain=0, hosts=1)


# Guards against heads over the limit of the desired state, which were parsed
# and passed on.
@pytest.mark.parametrize("fields", [1, 4_000])
def test_head_over_the_limit_is_refused_and_runs_nowhere(fields):
    async def scenario(fleet):
        more = {f"X-{n}": "y" * (20_000 // fields) for n in range(fields)}
        reply = await fleet.chat("host-0", "id-1", "/read/x", **more)
        assert reply.status == 431
        assert total_runs(fleet, "id-1") == 0
        reply = await fleet.chat("host-0", "id-2", "/read/x", X="y" * 15_000)
        assert reply.status == 200

    run(scenario, engines=0, plain=1, hosts=1)


# Guards against the same by requests that arrive at once on many connections.
def test_requests_that_arrive_at_once_are_served_in_many_turns(monkeypatch):
    count = 200

    async def scenario(fleet):
        head = (
            f"GET /none/x HTTP/1.1\r\nHost: {CALLER_HOST}\r\n"
            "Attempt-Id: a\r\n\r\n"
        )
        address = fleet.hosts["host-0"]
        opened = [
            await asyncio.open_connection(*address) for _ in range(count)
        ]
        await anyio.sleep(0.2)
        async with count_turns() as counts:
            serve = counts.count(CallerService._try_answer)
            monkeypatch.setattr(CallerService, "_try_answer", serve)
            for _, writer in opened:
                writer.write(head.encode())
            for reader, writer in opened:
                await reader.readuntil(b"\r\n\r\n")
                writer.close()
        assert sum(counts.calls.values()) == count
        # Each takes some hundred microseconds.
        assert counts.most <= MOST_PER_TURN // 100

    run(scenario, engines=0, plain=1, hosts=1)


# Guards against the same by the parts of a prompt: choosing a server went
# through all of them several times.
def test_choice_of_a_server_goes_by_a_bounded_number_of_parts(monkeypatch):
    planner = build_planner()
    looked_up: list[object] = []
    holders = planner.caches.holders
    monkeypatch.setattr(
        planner.caches.__class__,
        "holders",
        lambda self, part, now_ms: looked_up.append(part)
        or holders(part, now_ms),
    )
    parts = tuple((f"part-{number}", 1) for number in range(4_000))
    req = build_request(parts=parts)
    flight = planner.admit(req, 0)
    step = planner.choose(flight, 0)
    assert isinstance(step, Send)
    planner.record_sent(flight, step.server, 0)
    assert 0 < len(looked_up) <= MOST_PER_TURN
    # A part that crashes servers is found wherever it stands.
    assert len(digest_shared_parts(req)) == 3_999


def test_long_prompts_that_begin_alike_stay_together():
    planner = build_planner()
    shared = tuple((f"part-{number}", 10) for number in range(400))
    servers = set()
    for number in range(4):
        req = build_request(
            id=f"r{number}", parts=(*shared, (f"own-{number}", 5))
        )
        flight = planner.admit(req, number)
        step = planner.choose(flight, number)
        planner.record_sent(flight, step.server, number)
        planner.record_answer_begun(flight, number)
        planner.record_end(flight)
        servers.add(step.server.id)
    assert len(servers) == 1


# Guards against the same by items of the store, of which an answer holds 500.
def test_items_of_the_store_are_applied_in_many_turns(monkeypatch):
    count = 400

    async def scenario(fleet):
        await anyio.sleep(0.6)
        entry = fleet.store.state.read_value("servers/plain-0")
        async with count_turns() as counts:
            apply = counts.count(StateApplier._apply_change)
            monkeypatch.setattr(StateApplier, "_apply_change", apply)
            for number in range(count):
                fleet.store.state.put(f"servers/new-{number}", entry)
            await wait_for(lambda: sum(counts.calls.values()) >= count)
        # Each takes some fifty microseconds.
        assert counts.most <= MOST_PER_TURN // 50

    run(scenario, engines=0, plain=1, hosts=1)


# Guards against the same by datagrams, of which a turn receives many.
@pytest.mark.anyio
async def test_datagrams_that_arrive_at_once_are_handled_in_many_turns():
    handled: list[tuple[bytes, object]] = []
    dropped: list[int] = []
    async with count_turns() as counts:
        take = counts.count(lambda data, addr: handled.append((data, addr)))
        turns = DatagramTurns(take, lambda: dropped.append(1))
        for number in range(2_000):
            turns.receive(b"x" * 400, ("127.0.0.9", 1))
        for port in range(100):
            turns.receive(b"y" * 400, ("127.0.0.8", port))
        with anyio.fail_after(10):
            while len(handled) + len(dropped) < 2_100:
                await asyncio.sleep(0)
    # One decoded heartbeat of this size takes some hundred microseconds.
    assert counts.most <= MOST_PER_TURN // 100
    # The flood of one sender costs no other its datagrams.
    assert len([data for data, _ in handled if data[:1] == b"y"]) == 100
    assert dropped
