"""Compares what two checkouts take to read the answers of servers.

Each checkout reads whole answers of 800 bytes, and streams of events, from
memory in its own process: a connection is taken from the pool, the request
is written, the answer is read, and the connection is given back. The runs
of the two alternate; the ratio of each pair of runs is the new time over
the old one, and the table gives the median and the quartiles.

    python bench/answer_reading.py --old ../before --new .
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Callable
import pathlib
import statistics
import subprocess
import sys
import time
from types import SimpleNamespace
from typing import Any, Final

import h11

HEAD: Final = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
    b"Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    b"Instance-Load: 3,0,8\r\nKeep-Alive: timeout=20\r\n"
)
BODY_BYTES: Final = 800
WHOLE: Final = (
    HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * BODY_BYTES
)
EVENTS: Final = 20
EVENT: Final = b"id: 17\ndata: " + b"y" * 60 + b"\n\n"
STREAM: Final = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK: Final = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
# What arrives at once.
PIECES: Final = {
    "whole": [WHOLE],
    "stream": [STREAM, *[CHUNK] * EVENTS, b"0\r\n\r\n"],
}
ANSWERS: Final = {"whole": 1_000, "stream": 200}
WARM_UP_RUNS: Final = 3


class Transport:
    """Takes what is written to a connection."""

    def write(self, data: bytes) -> None:
        """Drops `data`."""

    def is_closing(self) -> bool:
        """Returns whether the connection is closed."""
        return False

    def set_write_buffer_limits(self, high: int) -> None:
        """Takes the limit."""

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes that wait to be sent."""
        return 0

    def get_extra_info(self, name: str) -> None:
        """Returns nothing, as there is no socket."""

    def abort(self) -> None:
        """Closes nothing."""


class Reading:
    """Answers to one kind of request, read one after the other."""

    def __init__(self, kind: str) -> None:
        from corianderdoor.adapters.http1 import H11Protocol
        from corianderdoor.core.clock import SystemClock
        from corianderdoor.core.entry.server_paths import ServerPaths
        from corianderdoor.entry.backends import ConnectionPool

        self._kind = kind
        self._opened = 0
        self._answers = 0
        self._clock = SystemClock()
        self._server: Any = SimpleNamespace(id="s-1")
        self._marks: Any = SimpleNamespace(observe=lambda *args: None)

        async def open_link(server: Any) -> H11Protocol:
            self._opened += 1
            protocol = H11Protocol(h11.CLIENT)
            protocol.connection_made(Transport())  # type: ignore[arg-type]
            return protocol

        links: Any = SimpleNamespace(open=open_link, paths=ServerPaths())
        self._pool = ConnectionPool(self._clock, links)

    async def run(self) -> int:
        """Reads the answers of one run and returns the time in ns."""
        start_ns = time.process_time_ns()
        for _ in range(ANSWERS[self._kind]):
            await self._read_answer()
        taken_ns = time.process_time_ns() - start_ns
        assert self._opened == 1
        return taken_ns

    async def _read_answer(self) -> None:
        from corianderdoor.entry.answer_reader import AnswerReader

        self._answers += 1
        id = f"{self._answers:016x}"
        flight: Any = SimpleNamespace(
            server=self._server,
            req=SimpleNamespace(id=id, method="POST", body=b""),
            route=SimpleNamespace(
                is_stream=self._kind == "stream", may_retry=lambda: False
            ),
        )
        protocol = await self._pool.acquire(self._server, True, id)
        assert protocol is not None
        self._begin(protocol, flight)
        sent = h11.Request(method="POST", target="/x", headers=[("Host", "h")])
        protocol.write(sent)
        protocol.write(h11.EndOfMessage())
        if hasattr(protocol, "exchange"):
            protocol.exchange.record_sent()
        held = self._pool.memory.open()
        reader = AnswerReader(
            SimpleNamespace(),  # type: ignore[arg-type]
            self._pool,
            self._clock,
            flight,
            protocol,
            held,
        )
        send: Any = SimpleNamespace(silence_ms=None, server=self._server)
        first, *rest = PIECES[self._kind]
        protocol.data_received(first.replace(b"%s", id.encode(), 1))
        head = await reader.read_head(send, sent, self._marks)
        assert head is not None
        if self._kind == "whole":
            assert len(await reader.read_body(None)) == BODY_BYTES
        else:
            await self._read_events(reader, protocol, rest)
        held.release()
        self._pool.release(self._server, protocol, head.keep_alive_s)

    async def _read_events(
        self, reader: Any, protocol: Any, pieces: list[bytes]
    ) -> None:
        for piece in pieces:
            protocol.data_received(piece)
            event = await reader.next_event(None)
            if isinstance(event, h11.Data):
                reader.record_progress(True, 0)
        assert isinstance(event, h11.EndOfMessage)

    def _begin(self, protocol: Any, flight: Any) -> None:
        """Begins an exchange, in a checkout that has them."""
        try:
            from corianderdoor.entry.server_request import begin_exchange
        except ImportError:
            return
        assert begin_exchange(protocol, flight)


def serve() -> None:
    """Does a run for each line of the input and prints its time in ns."""
    reading: dict[str, Reading] = {}
    with asyncio.Runner() as runner:
        for line in sys.stdin:
            kind = line.strip()
            if kind not in reading:
                reading[kind] = Reading(kind)
            print(runner.run(reading[kind].run()), flush=True)


class Checkout:
    """A process that runs the code of one checkout."""

    def __init__(self, path: pathlib.Path, script: str = __file__) -> None:
        self._proc = subprocess.Popen(
            [sys.executable, script, "--serve"],
            env={"PYTHONPATH": str(path.resolve())},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def run(self, kind: str) -> int:
        """Returns the time of one run in ns."""
        assert self._proc.stdin is not None
        assert self._proc.stdout is not None
        self._proc.stdin.write(kind + "\n")
        self._proc.stdin.flush()
        return int(self._proc.stdout.readline())

    def close(self) -> None:
        """Ends the process."""
        assert self._proc.stdin is not None
        self._proc.stdin.close()
        self._proc.wait()


def compare(
    old: Callable[[str], int],
    new: Callable[[str], int],
    kind: str,
    pairs: int,
    count: int,
) -> None:
    """Prints the times of both and the ratio of the new to the old one.

    Args:
        old: Does a run of the old code and returns its time in ns.
        new: The same for the new code.
        kind: What is read.
        pairs: Number of pairs of runs.
        count: Number of answers in a run.
    """
    for _ in range(WARM_UP_RUNS):
        old(kind)
        new(kind)
    times: list[tuple[int, int]] = []
    for number in range(pairs):
        if number % 2:
            new_ns = new(kind)
            times.append((old(kind), new_ns))
        else:
            times.append((old(kind), new(kind)))
    old_us, new_us = (
        statistics.median(side) / 1_000 / count for side in zip(*times)
    )
    quartiles = statistics.quantiles([b / a for a, b in times], n=4)
    low, median, high = (f"{ratio:.3f}" for ratio in quartiles)
    print(
        f"{kind:10} {old_us:8.1f} us {new_us:8.1f} us  "
        f"ratio {median} ({low} to {high})"
    )


def main() -> None:
    """Compares two checkouts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=pathlib.Path)
    parser.add_argument("--new", type=pathlib.Path)
    parser.add_argument("--pairs", type=int, default=60)
    parser.add_argument("--serve", action="store_true")
    args = parser.parse_args()
    if args.serve:
        serve()
        return
    old, new = Checkout(args.old), Checkout(args.new)
    try:
        for kind, count in ANSWERS.items():
            compare(old.run, new.run, kind, args.pairs, count)
    finally:
        old.close()
        new.close()


if __name__ == "__main__":
    main()
