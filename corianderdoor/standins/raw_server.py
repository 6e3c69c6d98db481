"""Stand-ins for servers that violate the protocol, byte by byte."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from .platform_fleet import PlatformFleet, PORT
from .platform_worker import Worker

HEAD_END: Final = b"\r\n\r\n"
SIGNED: Final = b"Attempt-Id: %b\r\nResponse-Signature: sig.%b\r\n"
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS: Final = 4
MAX_REQUEST_BYTES: Final = 65_536
# Points of the next request at which `RepeatingServer` repeats an answer.
REPEAT_POINTS: Final = (
    "idle",
    "same-read",
    "head-read",
    "before-answer",
    "informational",
    "mid-stream",
    "not-run",
)


class RawRequest:
    """A request as received.

    Attributes:
        id: Its attempt id.
        headers: Headers with names in lower case.
        streams: Whether it asks for a stream.
    """

    __slots__ = ("id", "headers", "streams")

    def __init__(self, head: bytes) -> None:
        lines = head.split(b"\r\n")
        pairs = [line.partition(b": ") for line in lines[1:] if line]
        self.headers = {name.lower(): value for name, _, value in pairs}
        self.id = self.headers.get(b"attempt-id", b"")
        target = lines[0].split(b" ")[1]
        self.streams = target.startswith((b"/chat/", b"/draft/"))


Script = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[None]]


class RawServer:
    """Answers each request by a script that writes bytes.

    Attributes:
        runs: Ids of the requests that it ran.
        opened: Number of connections that were opened.
        ended: Number of connections that have ended.
        sent_bytes: Bytes that were written to all connections.
    """

    def __init__(self, script: Script | None = None) -> None:
        self.runs: list[bytes] = []
        self.opened = 0
        self.ended = 0
        self.sent_bytes = 0
        self._script = script

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until it ends."""
        self.opened += 1
        try:
            while True:
                head = await reader.readuntil(HEAD_END)
                req = RawRequest(head)
                await self.read_head(req, writer)
                length = int(req.headers.get(b"content-length", b"0"))
                await reader.readexactly(min(length, MAX_REQUEST_BYTES))
                self.runs.append(req.id)
                await self.answer(req, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # the entry host ended the connection
        finally:
            self.ended += 1
            writer.close()

    async def read_head(
        self, req: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Called when the head of a request has arrived."""

    async def answer(
        self, req: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a request by the script."""
        assert self._script is not None
        await self._script(req, writer)

    async def send_endlessly(
        self, writer: asyncio.StreamWriter, data: bytes
    ) -> None:
        """Sends `data` again and again until the connection ends."""
        while True:
            writer.write(data)
            self.sent_bytes += len(data)
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(0)


def build_answer(req: RawRequest, number: int = EVENTS) -> list[bytes]:
    """Returns the parts of a correct answer: head, events and end."""
    signed = SIGNED % (req.id, req.id)
    first = int(req.headers.get(b"last-event-id", b"0")) + 1
    parts = [b"HTTP/1.1 200 OK\r\n" + signed + CHUNKED]
    for event in range(first, number + 1):
        parts.append(
            encode_chunk(b"id: %d\ndata: %b\n\n" % (event, req.id))
            if req.streams
            else encode_chunk(req.id)
        )
    parts.append(b"0\r\nAttempt-Id: %b\r\n\r\n" % req.id)
    return parts


def encode_chunk(data: bytes) -> bytes:
    """Returns `data` as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class RepeatingServer(RawServer):
    """Answers correctly, and repeats whole answers on their connection.

    Attributes:
        point: One of `REPEAT_POINTS`; "" to repeat nothing.
        delay_s: Time after which an answer is repeated, whatever the
            connection is used for then; None to repeat at `point` only.
    """

    def __init__(self, point: str, delay_s: float | None = None) -> None:
        super().__init__()
        self.point = point
        self.delay_s = delay_s
        self._last: dict[asyncio.StreamWriter, bytes] = {}
        self._refused: set[bytes] = set()

    async def read_head(
        self, req: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Repeats the last answer while a request arrives."""
        if self.point == "head-read":
            writer.write(self._last.get(writer, b""))
            await writer.drain()

    async def answer(
        self, req: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a request, with repeated answers around and inside."""
        last = self._last.get(writer, b"")
        if self.point == "not-run":
            await self._refuse_first(req, writer, last)
            return
        parts = build_answer(req)
        whole = b"".join(parts)
        if self.point == "informational" and last:
            other = b"HTTP/1.1 103 Early Hints\r\nAttempt-Id: other\r\n\r\n"
            writer.write(other + last + other)
        if self.point == "before-answer":
            writer.write(last)
        for number, part in enumerate(parts):
            if self.point == "mid-stream" and last and number == 2:
                writer.write(last)
            writer.write(part)
        if self.point == "same-read":
            writer.write(whole)
        self._last[writer] = whole
        await writer.drain()
        if self.point == "idle":
            self._repeat_later(writer, whole, 0.0)
        if self.delay_s is not None:
            self._repeat_later(writer, whole, self.delay_s)

    def _repeat_later(
        self, writer: asyncio.StreamWriter, whole: bytes, delay_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, writer.write, whole)

    async def _refuse_first(
        self, req: RawRequest, writer: asyncio.StreamWriter, last: bytes
    ) -> None:
        """Refuses a request without an id, then repeats the refusal."""
        if last:
            writer.write(last)
            await writer.drain()
        if not self._last:
            self.runs.remove(req.id)
            self._last[writer] = (
                b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            writer.write(self._last[writer])
            return
        writer.write(b"".join(build_answer(req)))
        await writer.drain()


async def add_raw_server(
    fleet: PlatformFleet, id: str, engine: bool, server: RawServer
) -> None:
    """Starts `server` as a worker of `fleet`."""
    address = fleet.allocate_address()
    fleet.workers[id] = Worker(id, engine)
    listener = await asyncio.start_server(
        server.serve, address, PORT, limit=MAX_REQUEST_BYTES
    )
    fleet.close_at_end(listener)
    fleet.register_worker(id, address)
