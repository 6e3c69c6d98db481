"""Stand-in for a requester, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import contextlib

from .http import BrokenError, encode_head, Head, read_head, read_pieces
from .record import Record

CONNECT_S = 1.0


class Reply:
    """What a requester got.

    Attributes:
        status: Status; 0 if no answer began.
        headers: Headers of the answer.
        last_event: Id of the last whole event; 0 without one.
        event_ms: When it arrived.
        texts: Data of the events, each kind once, in order.
        complete: Whether the answer ended as a whole.
        answered_ms: When the head arrived.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.last_event = 0
        self.event_ms = 0
        self.texts: list[str] = []
        self.complete = False
        self.answered_ms = 0


class Connection:
    """One connection to a daemon, for any number of requests."""

    def __init__(self, record: Record, host: str, port: int) -> None:
        self._record = record
        self._host = host
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        """Connects; returns whether that worked within a second."""
        try:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(self._host, self._port), CONNECT_S
            )
        except (OSError, TimeoutError):
            return False
        return True

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()

    async def ask(
        self,
        id: str,
        line: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 15.0,
        reply: Reply | None = None,
        read_s: float | None = None,
    ) -> Reply:
        """Sends a request and reads its answer.

        Args:
            id: Id of the attempt.
            line: Method and target.
            headers: Further headers.
            body: The body.
            timeout_s: The time budget.
            reply: Filled while the answer arrives.
            read_s: When the requester's connection breaks; None for never.

        Returns:
            What arrived.
        """
        reply = reply or Reply()
        assert self._writer is not None
        all_headers = {"Attempt-Id": id, **headers}
        all_headers["Deadline-Ms"] = str(int(timeout_s * 1_000))
        if body:
            all_headers["Content-Length"] = str(len(body))
        self._record.add("sent", id=id, to=self._host, line=line.split()[1])
        try:
            async with asyncio.timeout(read_s or timeout_s):
                self._writer.write(
                    encode_head(f"{line} HTTP/1.1", all_headers) + body
                )
                await self._read(reply)
        except (TimeoutError, ConnectionError, BrokenError):
            pass
        self._record.add(
            "got",
            id=id,
            status=reply.status,
            complete=reply.complete,
            last_event=reply.last_event,
            retry_after=reply.headers.get("retry-after", ""),
        )
        return reply

    async def _read(self, reply: Reply) -> None:
        assert self._reader is not None
        head = await read_head(self._reader)
        if head is None:
            return
        reply.status = int(head.line.split(" ")[1])
        reply.headers = head.headers
        reply.answered_ms = self._record.now_ms()
        await self._read_events(head, reply)
        reply.complete = True

    async def _read_events(self, head: Head, reply: Reply) -> None:
        assert self._reader is not None
        rest = b""
        async for piece in read_pieces(self._reader, head):
            rest += piece
            *events, rest = rest.split(b"\n\n")
            for event in events:
                for field in event.split(b"\n"):
                    if field.startswith(b"id:"):
                        reply.last_event = int(field[3:])
                        reply.event_ms = self._record.now_ms()
                    text = field.removeprefix(b"data: ").decode()
                    if field.startswith(b"data:") and text not in reply.texts:
                        reply.texts.append(text)


async def ask_once(
    record: Record,
    address: tuple[str, int],
    id: str,
    line: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 15.0,
    reply: Reply | None = None,
    read_s: float | None = None,
) -> Reply:
    """Sends one request on a new connection; see `Connection.ask`."""
    conn = Connection(record, *address)
    if not await conn.open():
        record.add("unreached", id=id, to=address[0])
        return reply or Reply()
    try:
        return await conn.ask(
            id, line, headers, body, timeout_s, reply, read_s
        )
    finally:
        with contextlib.suppress(ConnectionError):
            conn.close()
