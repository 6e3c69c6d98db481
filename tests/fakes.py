"""Fake backend servers that send raw bytes, for protocol faults."""

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
import re

import anyio
from anyio.abc import SocketStream

from corianderdoor.core.topology import Server
from corianderdoor.ports.backend import Call

CONNECTION_ENDED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
Script = Callable[["Conn"], Awaitable[None]]


class Conn:
    """One accepted connection; `number` counts them from 1."""

    def __init__(self, server: "RawServer", stream: SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.number = server.accepted
        self._buffer = b""

    async def read_request(self) -> bytes:
        """Reads one request with a content length and records its head."""
        while b"\r\n\r\n" not in self._buffer:
            self._buffer += await self.stream.receive()
        head, _, rest = self._buffer.partition(b"\r\n\r\n")
        found = re.search(rb"(?i)content-length: (\d+)", head)
        length = int(found.group(1)) if found else 0
        while len(rest) < length:
            rest += await self.stream.receive()
        self._buffer = rest[length:]
        self.server.requests.append(head)
        return head

    async def send(self, data: bytes) -> None:
        """Sends bytes as they are."""
        await self.stream.send(data)

    async def answer(self, head: bytes, body: bytes, *extra: bytes) -> None:
        """Sends a complete answer that echoes the request's id."""
        lines = [b"HTTP/1.1 200 OK", b"x-request-id: " + find_id(head)]
        lines += [b"content-length: %d" % len(body), *extra]
        await self.send(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    async def wait_closed(self) -> None:
        """Returns when the other side has closed the connection."""
        try:
            while True:
                await self.stream.receive()
        except CONNECTION_ENDED:
            self.server.closed.set()


class RawServer:
    """Runs a script for each connection on a free port."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.accepted = 0
        self.requests: list[bytes] = []
        self.closed = anyio.Event()
        self.port = 0
        self.listener = None

    def server(self, engine: bool = True) -> Server:
        """Returns this server as the host list names it."""
        url = f"http://127.0.0.1:{self.port}"
        return Server("e1", "h1", "dc-a", "redactor", url, 1, 9, engine)

    async def serve(self) -> None:
        """Serves connections until it is stopped."""
        try:
            await self.listener.serve(self.handle)
        except* anyio.ClosedResourceError:
            pass

    async def stop(self) -> None:
        """Accepts no new connection, as after a crash."""
        await self.listener.aclose()

    async def handle(self, stream: SocketStream) -> None:
        """Serves one connection."""
        self.accepted += 1
        async with stream:
            try:
                await self.script(Conn(self, stream))
            except CONNECTION_ENDED:
                self.closed.set()


@asynccontextmanager
async def raw_server(script: Script):
    """Yields a running `RawServer`."""
    server = RawServer(script)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    server.listener = listener
    server.port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tg:
        tg.start_soon(server.serve)
        yield server
        tg.cancel_scope.cancel()


def find_id(head: bytes) -> bytes:
    """Returns the request id in a request's head."""
    found = re.search(rb"(?i)\r\nx-request-id: ([^\r]*)", head)
    return found.group(1) if found else b""


def build_call(method: str = "POST", id: str = "r1", **fields) -> Call:
    """Returns a call with usual fields."""
    headers = fields.pop("headers", [])
    return Call(id, method, "/v1/chat", headers, fields.pop("body", b"{}"))


async def read_http(sock) -> tuple[int, dict[str, str], bytes]:
    """Reads one response with a content length from a socket."""
    raw = b""
    while b"\r\n\r\n" not in raw:
        raw += await sock.receive()
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {
        name.lower(): value
        for name, _, value in (line.partition(": ") for line in lines[1:])
    }
    while len(body) < int(headers["content-length"]):
        body += await sock.receive()
    return int(lines[0].split()[1]), headers, body
