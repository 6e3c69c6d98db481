"""Stand-in for the platform's workers: model engines and plain services."""

from __future__ import annotations

from collections.abc import Callable
from collections import Counter
from typing import Final

import anyio
import h11

from ..adapters.http1_server import ReceivedRequest, ServerConnection
from ..core.clock import MS_PER_SECOND, SystemClock
from ..core.entry.routing import CallerLimits
from .bad_versions import BadVersion, SLOW
from .brittleness import Brittleness

EVENT_COUNT: Final = 6
LARGE_BODY_BYTES: Final = 8_000_000
EVENT_GAP_MS: Final = 4
TRICKLE_GAP_MS: Final = 100
FIRST_VERSION: Final = "v1"
# Speed at which an engine processes prompt tokens that are not cached.
PREFILL_TOKENS_PER_MS: Final = 200.0

# A worker takes the largest heads that a host passes on.
LIMITS: Final = CallerLimits(65_536, 4_194_304, 3_000, 15_000)


class Worker:
    """A worker with injectable faults.

    Attributes:
        id: Id of the worker.
        engine: Whether it is a model engine, which streams events.
        mode: "" for normal service, or the fault: "decline" (503, not run),
            "error" (500), "cut" (aborts inside the second event), "drop"
            (aborts without an answer), "silent" (never answers), "unframed"
            (no content length), "stray" (sends another request's answer
            first), "unsigned" (no signature), "stall" (sends the head but
            no body), "pause" (silent for `pause_ms` inside its next answer,
            then goes on and serves normally), "trickle" (sends the second
            event byte by byte, without an end), "large" (a body of 8 MB),
            "moved" (421, as if another worker had the address), "ended"
            (a stream without a length that ends before its first event).
        runs: Number of runs of each request.
        last_headers: Headers of the last request.
        cached: Prompt parts in the cache.
        prompt_tokens_read: Prompt tokens processed because they were not
            cached.
        active: Number of requests in progress.
        connections: Number of open connections.
        work_ms: Time that a plain request takes.
        pause_ms: How long the mode "pause" is silent.
        extra_headers: Headers that the worker adds to all its answers.
        retry_after_s: Time in answers with 503 for which the worker wants no
            requests; None to leave it out.
        leaving: Whether all answers announce that the worker leaves.
        brittle: Brittleness; None while the worker is sound.
        version: Version of its software.
        bad_version: How that version is bad; None if it is good.
        stopped: Whether it was stopped without draining.
        cut_off: Number of requests that were in progress when it stopped.
        on_request: Called with the worker, the request, and whether the
            worker runs it.
    """

    __slots__ = (
        "id",
        "engine",
        "mode",
        "runs",
        "last_headers",
        "cached",
        "prompt_tokens_read",
        "active",
        "connections",
        "work_ms",
        "pause_ms",
        "extra_headers",
        "retry_after_s",
        "leaving",
        "brittle",
        "version",
        "bad_version",
        "stopped",
        "cut_off",
        "on_request",
        "_silent_until_ms",
        "_clock",
        "_brittle_since_s",
        "_slots",
        "_scopes",
    )

    def __init__(self, id: str, engine: bool, work_ms: float = 5.0) -> None:
        self.id = id
        self.engine = engine
        self.mode = ""
        self.runs: Counter[str] = Counter()
        self.last_headers: dict[bytes, bytes] = {}
        self.cached: set[str] = set()
        self.prompt_tokens_read = 0
        self.active = 0
        self.connections = 0
        self.work_ms = work_ms
        self.pause_ms = 0.0
        self._silent_until_ms = 0
        self._clock = SystemClock()
        self.extra_headers: list[tuple[bytes, bytes]] = []
        self.retry_after_s: float | None = None
        self.leaving = False
        self.brittle: Brittleness | None = None
        self.version = FIRST_VERSION
        self.bad_version: BadVersion | None = None
        self.stopped = False
        self.cut_off = 0
        self.on_request: Callable[[Worker, ReceivedRequest, bool], None] = (
            _do_nothing
        )
        self._brittle_since_s = 0.0
        self._slots: anyio.CapacityLimiter | None = None
        self._scopes: set[anyio.CancelScope] = set()

    def announce_brittle(self, brittle: Brittleness) -> None:
        """Makes the worker brittle, which all its answers say from now on."""
        self.brittle = brittle
        self._brittle_since_s = anyio.current_time()
        self._slots = anyio.CapacityLimiter(brittle.slots)

    def end_brittle(self) -> None:
        """Ends the time in which the worker is brittle."""
        self.brittle = None
        self._slots = None

    def stop(self) -> None:
        """Stops at once; requests in progress are cut off."""
        self.stopped = True
        self.cut_off = len(self._scopes)
        for scope in self._scopes:
            scope.cancel()

    def _brittle_ms(self) -> float:
        return (anyio.current_time() - self._brittle_since_s) * MS_PER_SECOND

    async def serve(self, conn: ServerConnection) -> None:
        """Serves one connection."""
        self.connections += 1
        try:
            await self._serve_requests(conn)
        finally:
            self.connections -= 1

    async def _serve_requests(self, conn: ServerConnection) -> None:
        while True:
            received = await conn.read_request(LIMITS)
            if not isinstance(received, ReceivedRequest):
                return
            if self.stopped or (
                self.brittle and self.brittle.is_down(self._brittle_ms())
            ):
                conn.protocol.abort()
                return
            self.active += 1
            scope = anyio.CancelScope()
            self._scopes.add(scope)
            try:
                with scope:
                    conn.protocol.on_peer_closed = scope.cancel
                    await self._answer_in_slot(conn, received)
            finally:
                self._scopes.discard(scope)
                self.active -= 1
            conn.protocol.on_peer_closed = None
            if scope.cancelled_caught or not await conn.finish():
                return

    async def _answer_in_slot(
        self, conn: ServerConnection, req: ReceivedRequest
    ) -> None:
        brittle = self.brittle
        if brittle is None or self._slots is None:
            await self._answer(conn, req)
            return
        if self.active > brittle.room(self._brittle_ms()):
            # The request itself counts as active.
            self.active -= 1
            try:
                if brittle.reject(self._brittle_ms()):
                    for scope in self._scopes:
                        scope.cancel()
                await self._decline(conn, None)
            finally:
                self.active += 1
            return
        async with self._slots:
            await self._answer(conn, req)

    async def _answer(
        self, conn: ServerConnection, req: ReceivedRequest
    ) -> None:
        await self._wait_while_silent()
        headers = dict(req.headers)
        self.last_headers = headers
        request_id = headers[b"attempt-id"]
        expected = headers.get(b"expected-instance", self.id.encode())
        moved = self.mode == "moved" or expected != self.id.encode()
        declined = moved or self.mode == "decline"
        self.on_request(self, req, not declined)
        if declined:
            await self._decline(conn, request_id if moved else None)
            return
        self.runs[request_id.decode()] += 1
        if self.mode == "drop":
            conn.protocol.abort()
            return
        if self.mode == "silent":
            await anyio.sleep_forever()
        is_bad = self.bad_version is not None and self.bad_version.affects(
            req.target.decode("latin-1"), self.active
        )
        pace = 1.0
        if is_bad and self.bad_version and self.bad_version.kind == SLOW:
            pace = self.bad_version.slow_factor
        await self._read_prompt(headers)
        signed_headers = [
            (b"Attempt-Id", request_id),
            *self._marks(),
            *self._state_headers(),
        ]
        if self.mode != "unsigned":
            signed_headers.append(
                (b"Response-Signature", b"sig." + request_id)
            )
        if self.mode == "error" or (is_bad and pace == 1.0):
            await conn.respond(500, signed_headers, b"failed")
            return
        if self.mode == "stray":
            await self._send_stray(conn)
        if self.engine:
            await self._stream(conn, headers, signed_headers, pace)
            return
        await anyio.sleep(pace * self.work_ms / MS_PER_SECOND)
        body = b"done " + req.body
        if self.mode == "large":
            body = b"x" * LARGE_BODY_BYTES
        await self._send_plain(conn, signed_headers, body)

    async def _pause(self) -> None:
        """Is silent on all connections for `pause_ms`."""
        self.mode = ""
        self._silent_until_ms = self._clock.now_ms() + int(self.pause_ms)
        await self._wait_while_silent()

    async def _wait_while_silent(self) -> None:
        left_ms = self._silent_until_ms - self._clock.now_ms()
        await anyio.sleep(max(0, left_ms) / MS_PER_SECOND)

    async def _send_plain(
        self,
        conn: ServerConnection,
        signed_headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        if self.mode == "stall":
            length = (b"Content-Length", b"%d" % len(body))
            conn.start(200, [*signed_headers, length])
            await anyio.sleep_forever()
        if self.mode == "pause":
            await self._pause()
        if self.mode == "unframed":
            self._write_unframed(conn, signed_headers, body)
            return
        await conn.respond(200, signed_headers, body)

    def _write_unframed(
        self,
        conn: ServerConnection,
        signed_headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Sends an answer that ends with its connection."""
        lines = [b"%s: %s\r\n" % pair for pair in signed_headers]
        head = b"HTTP/1.1 200 OK\r\n" + b"".join(lines) + b"\r\n"
        conn.protocol.write_raw(head + body)
        conn.protocol.close()

    def _marks(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers that the worker adds to all its answers."""
        leaving = [(b"Server-Leaving", b"1")] if self.leaving else []
        return leaving + self.extra_headers

    async def _decline(
        self, conn: ServerConnection, moved_id: bytes | None
    ) -> None:
        """Turns a request away.

        Args:
            conn: Connection of the request.
            moved_id: Id of the request, which another worker gets as it has
                the address now; None if this one has no room.
        """
        marks = self._marks()
        if moved_id is not None:
            moved = [(b"Instance-Id", b"other"), (b"Attempt-Id", moved_id)]
            await conn.respond(421, [*moved, *marks])
            return
        if self.retry_after_s is not None:
            seconds = b"%g" % self.retry_after_s
            marks.append((b"Retry-After", seconds))
        headers = [(b"Not-Executed", b"1"), *marks, *self._brittle_headers()]
        await conn.respond(503, headers)

    def _state_headers(self) -> list[tuple[bytes, bytes]]:
        return self._brittle_headers() or [
            (b"Instance-Load", b"%d,0,8" % self.active)
        ]

    def _brittle_headers(self) -> list[tuple[bytes, bytes]]:
        if self.brittle is None:
            return []
        slots = self.brittle.slots
        running = min(slots, self.active)
        load = (running, self.active - running, slots)
        return [
            (b"Instance-Load", b"%d,%d,%d" % load),
            (b"Server-Brittle", b"%d" % self.brittle.limit),
        ]

    async def _read_prompt(self, headers: dict[bytes, bytes]) -> None:
        text = headers.get(b"prompt-prefix", b"").decode()
        tokens = 0
        for item in filter(None, text.split(",")):
            part, _, size = item.partition(":")
            if part not in self.cached:
                tokens += int(size)
                self.cached.add(part)
        self.prompt_tokens_read += tokens
        await anyio.sleep(tokens / PREFILL_TOKENS_PER_MS / MS_PER_SECOND)

    async def _send_stray(self, conn: ServerConnection) -> None:
        marks = b"".join(b"%s: %s\r\n" % pair for pair in self._marks())
        stray = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n"
            b"Response-Signature: sig.another\r\n"
            + marks
            + b"Content-Length: 5\r\n\r\nwrong"
        )
        conn.protocol.write_raw(stray)

    async def _stream(
        self,
        conn: ServerConnection,
        headers: dict[bytes, bytes],
        signed_headers: list[tuple[bytes, bytes]],
        pace: float,
    ) -> None:
        if self.mode == "ended":
            self._write_unframed(conn, signed_headers, b"")
            return
        gap_s = pace * EVENT_GAP_MS / MS_PER_SECOND
        kind = (b"Content-Type", b"text/event-stream")
        conn.start(
            200, [*signed_headers, kind, (b"Transfer-Encoding", b"chunked")]
        )
        first = int(headers.get(b"last-event-id", b"0")) + 1
        for number in range(first, EVENT_COUNT + 1):
            event = b"id: %d\ndata: token-%d\n\n" % (number, number)
            if self.mode == "cut" and number == first + 1:
                conn.protocol.write(h11.Data(data=event[:7]))
                await conn.protocol.flush()
                await anyio.sleep(EVENT_GAP_MS / MS_PER_SECOND)
                conn.protocol.abort()
                return
            if self.mode == "trickle" and number == first + 1:
                await self._trickle(conn)
            if self.mode == "pause" and number == first + 2:
                await self._pause()
            conn.protocol.write(h11.Data(data=event))
            await conn.protocol.flush()
            await anyio.sleep(gap_s)
        conn.protocol.write(h11.EndOfMessage())

    async def _trickle(self, conn: ServerConnection) -> None:
        """Sends an event that does not end, byte by byte."""
        while not conn.protocol.ended:
            conn.protocol.write(h11.Data(data=b":"))
            await conn.protocol.flush()
            await anyio.sleep(TRICKLE_GAP_MS / MS_PER_SECOND)


def _do_nothing(worker: Worker, req: ReceivedRequest, runs: bool) -> None:
    """Does nothing; the default of `Worker.on_request`."""
