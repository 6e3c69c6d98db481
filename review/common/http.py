"""The small part of HTTP/1.1 that the stand-ins speak."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator


class BrokenError(Exception):
    """The peer closed the connection or sent no valid message."""


class Head:
    """First line and headers of a message."""

    def __init__(self, line: str, headers: dict[str, str]) -> None:
        self.line = line
        self.headers = headers


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Returns the next head; None if the peer closed before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_pieces(
    reader: asyncio.StreamReader, head: Head
) -> AsyncIterator[bytes]:
    """Yields the pieces of a body that has a length or comes in chunks.

    Raises:
        BrokenError: The body ends early.
    """
    try:
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return
                yield data[:-2]
        length = int(head.headers.get("content-length", "0"))
        if length:
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as exc:
        raise BrokenError(str(exc)) from exc


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Returns a whole body."""
    return b"".join([piece async for piece in read_pieces(reader, head)])


def encode_head(line: str, headers: dict[str, str]) -> bytes:
    """Returns the bytes of a head."""
    lines = [line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a whole answer."""
    length = {"Content-Length": str(len(body))}
    return encode_head(f"HTTP/1.1 {status} X", headers | length) + body


def encode_chunk(data: bytes) -> bytes:
    """Returns the bytes of a chunk; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
