"""Stand-in for a worker, as the pages describe it."""

from __future__ import annotations

import asyncio
import time

from .http import build_answer, build_head, read_request

BEAT_S = 1.2


class Worker:
    """One worker, which can crash and start again under its id.

    Attributes:
        id: Its `identifier`.
        service: Its service.
        version: Version of its software.
        arrivals: Time, `Attempt-Id` and path of each request that reached it.
        runs: Attempts that ran here, with the version that ran each.
        listening: Whether its process runs.
        running: Number of requests in progress.
    """

    def __init__(
        self,
        record,
        store,
        id,
        service,
        address,
        version="v1",
        slots=128,
        cold_s=0.0,
        zone="a",
    ):
        self.id = id
        self.service = service
        self.version = version
        self.arrivals = []
        self.runs = []
        self.listening = False
        self.state = "available"
        self.events = 8
        self.gap_s = 0.05
        self.work_s = 0.02
        self.plain = False
        self._record = record
        self._store = store
        self._address = address
        self._slots = slots
        self._cold_s = cold_s
        self._cold_until = 0.0
        self._zone = zone
        self._born = 0
        self._beats = 0
        # How late the store executes the next write, and what to call then.
        self.late = None
        self.running = 0
        self._server = None
        self._connections = set()
        self._tasks = set()

    async def start(self, cold=False, entry_after_s=0.0):
        """Starts a process of the worker.

        Args:
            cold: Whether it starts cold.
            entry_after_s: Time until it writes its entry first.
        """
        self._born = time.time_ns() // 1_000_000
        self._beats = 0
        self.state = "available"
        if cold:
            self._cold_until = time.monotonic() + self._cold_s
        self._server = await asyncio.start_server(
            self._serve, *self._address, backlog=512
        )
        self.listening = True
        self._record("worker starts", worker=self.id, version=self.version)
        self._tasks.add(asyncio.create_task(self._beat(entry_after_s)))

    def crash(self):
        """Ends the process at once; it sends nothing more."""
        self._record("worker crashes", worker=self.id, version=self.version)
        self.listening = False
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self._tasks = set()
        for transport in list(self._connections):
            transport.abort()

    def drain(self):
        """Reports in the store that the worker leaves."""
        self.state = "draining"
        self.write_entry()
        self._record("worker drains", worker=self.id)

    def leave(self):
        """Removes the entry and ends the process."""
        self._store.remove(f"servers/{self.id}")
        self._record("worker leaves", worker=self.id, running=self.running)
        self.crash()

    def _cold_ms(self):
        return max(0, int(1000 * (self._cold_until - time.monotonic())))

    def write_entry(self):
        """Writes the entry in the store, unless the store is down."""
        self._beats += 1
        if self._store.down:
            return
        entry = {
            "service": self.service,
            "address": "%s:%d" % self._address,
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": self.state,
            "cold_remaining_ms": self._cold_ms(),
            "sequence_number": self._beats,
            "born": self._born,
        }
        key = f"servers/{self.id}"
        late, self.late = self.late, None
        if late is None:
            self._store.put_json(key, entry)
            return

        def execute():
            self._record("write executed late", **entry)
            self._store.put_json(key, entry)

        delay_s, on_sent = late
        self._record("write not answered", **entry)
        asyncio.get_running_loop().call_later(delay_s, execute)
        on_sent.set()

    async def _beat(self, delay_s):
        await asyncio.sleep(delay_s)
        while True:
            self.write_entry()
            self._record(
                "entry written",
                worker=self.id,
                version=self.version,
                beat=self._beats,
            )
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        if not self.listening:
            writer.transport.abort()
            return
        self._connections.add(writer.transport)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                self.running += 1
                try:
                    await self._answer(request, writer)
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer.transport)
            self._tasks.discard(task)
            writer.transport.abort()

    def _headers(self, attempt):
        return [
            ("Attempt-Id", attempt),
            ("Instance-Load", f"{self.running},0,{self._slots}"),
            ("Keep-Alive", "timeout=10"),
        ]

    async def _answer(self, request, writer):
        attempt = request.get("attempt-id")
        expected = request.get("expected-instance", self.id)
        now = time.monotonic()
        if expected != self.id:
            headers = [("Not-Executed", "1"), *self._headers(attempt)]
            writer.write(build_answer(421, headers))
            return
        self.arrivals.append((now, attempt, request.target))
        self.runs.append((attempt, self.version))
        self._record(
            "run",
            worker=self.id,
            version=self.version,
            attempt=attempt,
            after=request.get("last-event-id"),
        )
        signature = ("Response-Signature", f"{self.id}.{attempt}")
        headers = [*self._headers(attempt), signature]
        if self.plain:
            await asyncio.sleep(self.work_s)
            writer.write(build_answer(200, headers, b"done"))
            await writer.drain()
            return
        headers += [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        await asyncio.sleep(self.work_s)
        writer.write(build_head(200, headers))
        first = int(request.get("last-event-id", "0")) + 1
        count = int(request.get("x-events", str(self.events)))
        for number in range(first, count + 1):
            event = f"id: {number}\ndata: {self.version} {number}\n\n"
            writer.write(b"%x\r\n%s\r\n" % (len(event), event.encode()))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
