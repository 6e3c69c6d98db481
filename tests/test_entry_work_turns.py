"""What arrives at once is handled in many turns of the event loop."""

from __future__ import annotations

import anyio
import pytest
from test_entry_path import run, wait_for
from turn_counts import count_turns

from corianderdoor.entry import event_forwarder
from corianderdoor.standins.raw_server import (
    add_raw_server,
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
