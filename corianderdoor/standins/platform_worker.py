"""Stand-in for the platform's workers: model engines and plain services."""

from __future__ import annotations

from collections.abc import Callable
from collections import Counter
from typing import Final

import anyio
import h11

from ..adapters.http1_server import ReceivedRequest, ServerConnection
from ..core.clock import MS_PER_SECOND
from ..core.entry.routing import DEFAULT_LIMITS

EVENTS: Final = 6
LARGE_BYTES: Final = 8_000_000
EVENT_GAP_MS: Final = 4
# Tokens of a prompt that an engine reads in a millisecond.
TOKENS_PER_MS: Final = 200.0


class Worker:
    """One worker.

    Attributes:
        id: Its id.
        engine: Whether it streams events.
        mode: "" if it works, else how it misbehaves: "decline" (503, not
            run), "error" (500), "cut" (ends inside the second event),
            "drop" (ends without an answer), "silent", "unframed" (no
            length), "stray" (another request's answer comes first),
            "unsigned", "stall" (the head comes, the body does not), "large"
            (a body of 8 MB), "moved" (another worker has the address).
        runs: How often each request ran here.
        seen: Headers of the last request.
        cached: Parts of prompts that were read.
        read_tokens: Tokens of prompts that were read.
        active: Requests in progress.
        work_ms: How long a plain request takes.
        on_request: Called with each request and whether it runs.
    """

    __slots__ = (
        "id",
        "engine",
        "mode",
        "runs",
        "seen",
        "cached",
        "read_tokens",
        "active",
        "work_ms",
        "on_request",
    )

    def __init__(self, id: str, engine: bool, work_ms: float = 5.0) -> None:
        self.id = id
        self.engine = engine
        self.mode = ""
        self.runs: Counter[str] = Counter()
        self.seen: dict[bytes, bytes] = {}
        self.cached: set[str] = set()
        self.read_tokens = 0
        self.active = 0
        self.work_ms = work_ms
        self.on_request: Callable[[Worker, ReceivedRequest, bool], None] = (
            _ignore
        )

    async def serve(self, conn: ServerConnection) -> None:
        """Serves one connection."""
        while True:
            received = await conn.read_request(DEFAULT_LIMITS)
            if not isinstance(received, ReceivedRequest):
                return
            self.active += 1
            try:
                with anyio.CancelScope() as scope:
                    conn.protocol.on_peer_closed = scope.cancel
                    await self._answer(conn, received)
            finally:
                self.active -= 1
            conn.protocol.on_peer_closed = None
            if scope.cancelled_caught or not await conn.finish():
                return

    async def _answer(
        self, conn: ServerConnection, req: ReceivedRequest
    ) -> None:
        headers = dict(req.headers)
        self.seen = headers
        request_id = headers[b"attempt-id"]
        wanted = headers.get(b"expected-instance", self.id.encode())
        moved = self.mode == "moved" or wanted != self.id.encode()
        declined = moved or self.mode == "decline"
        self.on_request(self, req, not declined)
        if declined:
            await self._decline(conn, moved)
            return
        self.runs[request_id.decode()] += 1
        if self.mode == "drop":
            conn.protocol.abort()
            return
        if self.mode == "silent":
            await anyio.sleep_forever()
        await self._read_prompt(headers)
        signed = [
            (b"Attempt-Id", request_id),
            (b"Instance-Load", b"%d,0,8" % self.active),
        ]
        if self.mode != "unsigned":
            signed.append((b"Response-Signature", b"sig." + request_id))
        if self.mode == "error":
            await conn.respond(500, signed, b"failed")
            return
        if self.mode == "stray":
            await self._send_stray(conn)
        if self.engine:
            await self._stream(conn, headers, signed)
            return
        await anyio.sleep(self.work_ms / MS_PER_SECOND)
        body = b"done " + req.body
        if self.mode == "large":
            body = b"x" * LARGE_BYTES
        await self._send_plain(conn, signed, body)

    async def _send_plain(
        self,
        conn: ServerConnection,
        signed: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        if self.mode == "stall":
            length = (b"Content-Length", b"%d" % len(body))
            conn.start(200, [*signed, length])
            await anyio.sleep_forever()
        if self.mode == "unframed":
            lines = [b"%s: %s\r\n" % pair for pair in signed]
            head = b"HTTP/1.1 200 OK\r\n" + b"".join(lines) + b"\r\n"
            conn.protocol.write_raw(head + body)
            conn.protocol.close()
            return
        await conn.respond(200, signed, body)

    @staticmethod
    async def _decline(conn: ServerConnection, moved: bool) -> None:
        if moved:
            await conn.respond(421, [(b"Instance-Id", b"other")])
        else:
            await conn.respond(503, [(b"Not-Executed", b"1")])

    async def _read_prompt(self, headers: dict[bytes, bytes]) -> None:
        text = headers.get(b"prompt-prefix", b"").decode()
        tokens = 0
        for item in filter(None, text.split(",")):
            part, _, size = item.partition(":")
            if part not in self.cached:
                tokens += int(size)
                self.cached.add(part)
        self.read_tokens += tokens
        await anyio.sleep(tokens / TOKENS_PER_MS / MS_PER_SECOND)

    @staticmethod
    async def _send_stray(conn: ServerConnection) -> None:
        stray = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n"
            b"Response-Signature: sig.another\r\n"
            b"Content-Length: 5\r\n\r\nwrong"
        )
        conn.protocol.write_raw(stray)

    async def _stream(
        self,
        conn: ServerConnection,
        headers: dict[bytes, bytes],
        signed: list[tuple[bytes, bytes]],
    ) -> None:
        kind = (b"Content-Type", b"text/event-stream")
        conn.start(200, [*signed, kind, (b"Transfer-Encoding", b"chunked")])
        first = int(headers.get(b"last-event-id", b"0")) + 1
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: token-%d\n\n" % (number, number)
            if self.mode == "cut" and number == first + 1:
                conn.protocol.write(h11.Data(data=event[:7]))
                await conn.protocol.flush()
                await anyio.sleep(EVENT_GAP_MS / MS_PER_SECOND)
                conn.protocol.abort()
                return
            conn.protocol.write(h11.Data(data=event))
            await conn.protocol.flush()
            await anyio.sleep(EVENT_GAP_MS / MS_PER_SECOND)
        conn.protocol.write(h11.EndOfMessage())


def _ignore(worker: Worker, req: ReceivedRequest, runs: bool) -> None:
    """Takes no note of a request."""
