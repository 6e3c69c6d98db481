"""Stand-in for a worker, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

from .http import encode_answer, encode_chunk, encode_head, Head
from .http import read_body, read_head
from .record import Record
from .store import Store

BEAT_S = 1.2
# Time after a crash by a request until the worker is back.
CRASH_S = 2.0
KEEP_ALIVE_S = 10
# Rest of the three intervals after which an entry is removed, counted from
# the return of a worker that was away for `CRASH_S`.
SILENCE_S = 3 * BEAT_S - CRASH_S


class Worker:
    """A worker that runs plain requests and streams.

    Attributes:
        poison: Bodies and targets of requests that crash the worker.
        arrivals: Id and time in ms of each request that was run.
        state: What its entry says.
        leaving: Whether its answers say that it leaves.
        new_ids: Whether it has a new id after each crash.
        keep_alive_s: How long it keeps idle connections, as it says.
        started_s: When it began to beat, on the monotonic clock.
    """

    def __init__(
        self,
        id: str,
        service: str,
        store: Store,
        record: Record,
        address: tuple[str, int],
        **options: Any,
    ) -> None:
        """Creates a worker that is not running.

        Args:
            id: Its id.
            service: Its service.
            store: Store in which it registers.
            record: Gets what it runs.
            address: Where it listens.
            options: `zone`, `version`, `slots`, `work_s`, `events`, `gap_s`,
                `lengths`, events by the first part of the path, and
                `failing`, the same for one in so many that gets a 500.
        """
        self.id = id
        self.service = service
        self.address = address
        self.zone = options.get("zone", "santiago-a")
        self.version = options.get("version", "1")
        self.slots = options.get("slots", 6)
        self.work_s = options.get("work_s", 0.045)
        self.events = options.get("events", 0)
        self.gap_s = options.get("gap_s", 0.1)
        self.lengths: dict[str, int] = options.get("lengths", {})
        self.failing: dict[str, int] = options.get("failing", {})
        self.poison: set[bytes] = set()
        self.arrivals: list[tuple[str, int]] = []
        self.state = "available"
        self.leaving = False
        self.new_ids = False
        self.keep_alive_s = KEEP_ALIVE_S
        self.started_s = 0.0
        self._store = store
        self._record = record
        self._born = 0
        self._sequence = 0
        self._starts = 0
        self._answered = 0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None
        self._recovery: asyncio.Task[None] | None = None
        self._is_down = False
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listens and registers."""
        self._born = int(time.time() * 1_000)
        self._server = await asyncio.start_server(self._accept, *self.address)
        self.register()
        self.started_s = time.monotonic()
        self._beat = asyncio.get_running_loop().create_task(self._beats())

    def register(self) -> None:
        """Writes the worker's entry."""
        self._store.put(f"servers/{self.id}", self.build_entry())

    def build_entry(self) -> dict[str, Any]:
        """Returns the next entry."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence_number": self._sequence,
            "born": self._born,
        }

    async def _beats(self) -> None:
        start = time.monotonic()
        while True:
            passed_s = time.monotonic() - start
            await asyncio.sleep(BEAT_S - passed_s % BEAT_S)
            if not self._store.down:
                self.register()

    def leave(self) -> None:
        """Removes the entry; the worker goes on serving."""
        if self._beat is not None:
            self._beat.cancel()
        self._store.remove(f"servers/{self.id}")

    async def restart(self, down_s: float, version: str) -> None:
        """Crashes, and is back after a time with the same id.

        Args:
            down_s: Time until it listens again.
            version: Version of its software from then on.
        """
        self.crash()
        await asyncio.sleep(down_s)
        self.version = version
        self._sequence = 0
        self._is_down = False
        if self.new_ids:
            self._change_id()
        self._born = int(time.time() * 1_000)
        self._server = await asyncio.start_server(self._accept, *self.address)
        if self.new_ids:
            self.register()
        self._beat = asyncio.get_running_loop().create_task(self._beats())
        self._record.add("back", worker=self.id, version=version)

    def _change_id(self) -> None:
        """Takes a new id; the old entry expires after its last beat."""
        old, self._starts = self.id, self._starts + 1
        self.id = f"{old.split('.')[0]}.{self._starts}"
        loop = asyncio.get_running_loop()
        loop.call_later(SILENCE_S, self._store.remove, f"servers/{old}")

    def crash(self) -> None:
        """Ends the process by a crash."""
        self._record.add("crash", worker=self.id, version=self.version)
        self.end()

    def end(self) -> None:
        """Ends the process: all connections break."""
        self._is_down = True
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(ConnectionError):
                while (head := await read_head(reader)) is not None:
                    await self._handle(reader, writer, head)
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: Head,
    ) -> None:
        body = await read_body(reader, head)
        if self._is_down:
            return
        path = head.line.split(" ")[1]
        id = head.headers.get("attempt-id", "")
        load = f"{self._running},0,{self.slots}"
        common = {
            "Instance-Load": load,
            "Keep-Alive": f"timeout={self.keep_alive_s}",
        }
        if path == "/health":
            common["Instance-Id"] = self.id
            writer.write(encode_answer(200, common, b""))
            return
        common["Attempt-Id"] = id
        if self.leaving:
            common["Server-Leaving"] = "1"
        if head.headers.get("expected-instance", self.id) != self.id:
            self._record.add("misdirected", worker=self.id, id=id)
            common["Not-Executed"] = "1"
            writer.write(encode_answer(421, common, b""))
            return
        at_ms = self._record.add("run", worker=self.id, id=id, path=path)
        self.arrivals.append((id, at_ms))
        if body in self.poison or path.encode() in self.poison:
            self._recovery = asyncio.create_task(
                self.restart(CRASH_S, self.version)
            )
            # Nothing more runs here, whatever has arrived already.
            self.end()
            return
        self._running += 1
        try:
            await self._run(writer, head, common, id)
        finally:
            self._running -= 1

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        head: Head,
        common: dict[str, str],
        id: str,
    ) -> None:
        await asyncio.sleep(self.work_s)
        common["Response-Signature"] = f"{id}.{self.id}"
        kind = head.line.split("/")[1]
        events = self.lengths.get(kind, self.events)
        if kind in self.failing:
            self._answered += 1
            if self._answered % self.failing[kind] == 0:
                self._record.add("failed", worker=self.id, id=id)
                writer.write(encode_answer(500, common, b"own error"))
                return
        if not events:
            writer.write(encode_answer(200, common, b"x" * 800))
            self._record.add("answered", worker=self.id, id=id)
            return
        common["Content-Type"] = "text/event-stream"
        common["Transfer-Encoding"] = "chunked"
        writer.write(encode_head("HTTP/1.1 200 OK", common))
        first = int(head.headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(encode_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(encode_chunk(b""))
