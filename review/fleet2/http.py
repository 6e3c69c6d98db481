"""A minimal HTTP/1.1 server and client on asyncio, for stand-ins."""

from __future__ import annotations

import asyncio


class Request:
    """A request that was read completely."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        """Returns the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return default


async def _read_headers(reader):
    headers = []
    while True:
        line = (await reader.readuntil(b"\n")).rstrip(b"\r\n")
        if not line:
            return headers
        name, _, value = line.partition(b":")
        headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1").strip())
        )


async def _read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\n")).split(b";")[0], 16)
        if not size:
            await _read_headers(reader)
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    """Returns the next request; None at the end of the connection."""
    try:
        line = await reader.readuntil(b"\n")
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = await _read_headers(reader)
        names = dict(headers)
        body = b""
        if "chunked" in names.get("transfer-encoding", ""):
            async for chunk in _read_chunks(reader):
                body += chunk
        elif int(names.get("content-length", "0")):
            body = await reader.readexactly(int(names["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def build_head(status, headers, reason="x"):
    """Returns the encoded head of an answer."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def build_answer(status, headers, body=b""):
    """Returns an encoded answer with a length."""
    length = ("Content-Length", len(body))
    return build_head(status, [*headers, length]) + body


class Answer:
    """What a client received.

    Attributes:
        status: HTTP status; 0 if no head came.
        headers: Headers with names in lower case.
        body: The part of the body that came.
        complete: Whether its end came.
        events: Time at which each piece of the body came, and the piece.
        error: Why it is incomplete.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.events = []
        self.error = ""


async def call(
    address, method, target, headers=(), body=b"", timeout_s=5.0, stop=None
):
    """Sends one request on a new connection and returns the answer.

    Args:
        address: Host and port.
        method: HTTP method.
        target: Path and query.
        headers: Pairs of name and value.
        body: Body of the request.
        timeout_s: Time for all of it.
        stop: Called with the answer after each piece of the body; the
            connection is closed once it returns True.
    """
    answer = Answer()
    writer = None
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1", *map(": ".join, headers)]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode("latin-1") + body)
            line = (await reader.readuntil(b"\n")).decode("latin-1")
            answer.status = int(line.split(" ")[1])
            answer.headers = dict(await _read_headers(reader))
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                async for chunk in _read_chunks(reader):
                    answer.body += chunk
                    answer.events.append((loop.time(), chunk))
                    if stop is not None and stop(answer):
                        answer.error = "left"
                        return answer
            elif "content-length" in answer.headers:
                length = int(answer.headers["content-length"])
                answer.body = await reader.readexactly(length)
            else:
                answer.body = await reader.read()
            answer.complete = True
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.error = type(exc).__name__
    except TimeoutError:
        answer.error = "timeout"
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer
