"""Compares what two checkouts take to pass streams of events on.

Each checkout reads streams from memory in its own process and passes them on
to a caller that drops them: events that arrive one by one, and short events
of which many arrive at once. The runs of the two alternate, as in
`answer_reading`, whose fakes this uses.

    python bench/event_streams.py --old ../before --new .
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import time
from types import SimpleNamespace
from typing import Any, Final

from answer_reading import Checkout, compare, HEAD, Transport
import h11

PIECE_BYTES: Final = 65_536
PACED_EVENTS: Final = 200
BURST_PIECES: Final = 8
# Turns of the event loop between two pieces.
TURNS_PER_PIECE: Final = 3
# Streams in one run.
STREAMS: Final = {"paced": 10, "burst": 4, "unnumbered": 4}


def build_pieces(kind: str) -> list[bytes]:
    """Returns what arrives at once, piece by piece."""
    texts = [b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, 20_000)]
    if kind == "paced":
        return [b"%x\r\n%b\r\n" % (len(t), t) for t in texts[:PACED_EVENTS]]
    if kind == "unnumbered":
        texts = [b"data: token\n\n"] * 30_000
    whole = b"".join(texts)[: BURST_PIECES * PIECE_BYTES]
    whole = whole[: whole.rindex(b"\n\n") + 2]
    return [
        b"%x\r\n%b\r\n" % (len(part), part)
        for part in (
            whole[start : start + PIECE_BYTES]
            for start in range(0, len(whole), PIECE_BYTES)
        )
    ]


class PausingTransport(Transport):
    """Also takes what stops a peer that sends too fast."""

    def pause_reading(self) -> None:
        """Stops nothing, as all pieces are there."""

    def resume_reading(self) -> None:
        """Resumes nothing."""


class Passing:
    """Streams of one kind, passed on one after the other."""

    def __init__(self, kind: str) -> None:
        self._pieces = build_pieces(kind)
        self._streams = STREAMS[kind]
        self.sent_bytes = 0

    async def run(self) -> int:
        """Passes the streams of one run on and returns the time in ns."""
        start_ns = time.process_time_ns()
        for _ in range(self._streams):
            await self._pass_on()
        return time.process_time_ns() - start_ns

    async def _pass_on(self) -> None:
        from corianderdoor.adapters.http1 import H11Protocol
        from corianderdoor.core.clock import SystemClock
        from corianderdoor.core.entry.answer_memory import AnswerMemory
        from corianderdoor.entry.answer_reader import AnswerReader
        from corianderdoor.entry.answer_timing import AnswerTiming
        from corianderdoor.entry.event_forwarder import EventForwarder

        protocol = H11Protocol(h11.CLIENT)
        protocol.connection_made(PausingTransport())  # type: ignore[arg-type]
        protocol.write(
            h11.Request(method="POST", target="/x", headers=[("Host", "h")])
        )
        protocol.write(h11.EndOfMessage())
        caller = H11Protocol(h11.SERVER)
        caller.connection_made(Transport())  # type: ignore[arg-type]
        caller.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        for _ in range(2):
            caller.poll_event()
        clock = SystemClock()
        flight: Any = SimpleNamespace(
            server=None,
            last_event_id=None,
            first_event_ms=1,
            answer_started=False,
            arrived_ms=0,
            is_unnumbered=False,
            route=SimpleNamespace(
                is_stream=True, kind=SimpleNamespace(value="streaming")
            ),
        )
        ignore = SimpleNamespace(
            record_progress=lambda *args: None,
            record_sound_answer=lambda *args: None,
            record_latency=lambda *args: None,
        )
        planner: Any = SimpleNamespace(
            crashing_requests=ignore,
            counters=ignore,
            record_answer_begun=lambda *args: None,
            record_complete_answer=lambda *args: None,
        )
        streams: Any = SimpleNamespace(record_begun=lambda *args: None)
        conn: Any = SimpleNamespace(
            protocol=caller,
            start=lambda status, headers: caller.write(
                h11.Response(status_code=status, headers=headers)
            ),
        )
        held = AnswerMemory().open()
        pool: Any = SimpleNamespace()
        reader = AnswerReader(planner, pool, clock, flight, protocol, held)
        forwarder = EventForwarder(planner, streams, clock, conn)
        head: Any = SimpleNamespace(
            status=200, headers=[], framed=True, has_length=False
        )
        send: Any = SimpleNamespace(silence_ms=None)
        start = HEAD.replace(b"%s", b"own-7") + (
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        protocol.data_received(start)
        assert isinstance(await reader.next_event(None), h11.Response)
        relay = asyncio.ensure_future(
            forwarder.relay(reader, head, flight, send, AnswerTiming(0))
        )
        for piece in self._pieces:
            protocol.data_received(piece)
            for _ in range(TURNS_PER_PIECE):
                await asyncio.sleep(0)
        protocol.data_received(b"0\r\n\r\n")
        assert await relay is None


def serve() -> None:
    """Does a run for each line of the input and prints its time in ns."""
    passing: dict[str, Passing] = {}
    with asyncio.Runner() as runner:
        for line in sys.stdin:
            kind = line.strip()
            if kind not in passing:
                passing[kind] = Passing(kind)
            print(runner.run(passing[kind].run()), flush=True)


def main() -> None:
    """Compares two checkouts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=pathlib.Path)
    parser.add_argument("--new", type=pathlib.Path)
    parser.add_argument("--pairs", type=int, default=40)
    parser.add_argument("--serve", action="store_true")
    args = parser.parse_args()
    if args.serve:
        serve()
        return
    old = Checkout(args.old, __file__)
    new = Checkout(args.new, __file__)
    try:
        for kind, count in STREAMS.items():
            compare(old.run, new.run, kind, args.pairs, count)
    finally:
        old.close()
        new.close()


if __name__ == "__main__":
    main()
