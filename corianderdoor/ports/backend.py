"""Port to the backend servers."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Protocol

from expression import Result

from ..core.messages import Stage
from ..core.records import Record
from ..core.topology import Server


class Call(Record):
    """One request as it goes to a backend server.

    Attributes:
        id: Request id, which the server echoes.
        method: HTTP method.
        path: Path and query.
        headers: Headers to pass on.
        body: The whole body.
    """

    __slots__ = ("id", "method", "path", "headers", "body")

    def __init__(
        self,
        id: str,
        method: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        self.id = id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def add_header(self, name: bytes, value: bytes) -> Call:
        """Returns a copy of this call with one more header."""
        headers = [*self.headers, (name, value)]
        return Call(self.id, self.method, self.path, headers, self.body)


class AttemptFault(Record):
    """Why an attempt ended without a whole answer.

    Attributes:
        stage: How far it came.
        detail: What was seen.
        broken: Whether the connection broke under the request.
        silent: Whether nothing came for the agreed time.
        server_at_fault: Whether the server itself is at fault, by what this
            attempt saw: it took no connection, or stayed silent on one
            that had never worked.
        retry_after_ms: When the server asked to be tried again, in ms.
    """

    __slots__ = (
        "stage",
        "detail",
        "broken",
        "silent",
        "server_at_fault",
        "retry_after_ms",
    )

    def __init__(
        self,
        stage: Stage,
        detail: str,
        broken: bool = False,
        silent: bool = False,
        server_at_fault: bool = False,
        retry_after_ms: int | None = None,
    ) -> None:
        self.stage = stage
        self.detail = detail
        self.broken = broken
        self.silent = silent
        self.server_at_fault = server_at_fault
        self.retry_after_ms = retry_after_ms


class AnswerTruncated(Exception):
    """The answer ended before its end; raised while it is read."""

    def __init__(self, fault: AttemptFault) -> None:
        super().__init__(fault.detail)
        self.fault = fault


class Answer(Protocol):
    """An answer whose headers have arrived."""

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers to pass on."""

    @property
    def offset(self) -> int:
        """Bytes of the body yielded so far, over all its parts."""

    @property
    def resume_token(self) -> str:
        """What the server calls this stream; empty if it can't resume."""

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the body; raises `AnswerTruncated` if it is not whole."""

    async def close(self) -> None:
        """Ends the exchange; cancels it if the answer is not whole."""


class Backend(Protocol):
    """Sends requests to backend servers."""

    async def send(
        self, server: Server, call: Call, timeout_ms: int, silence_ms: int
    ) -> Result[Answer, AttemptFault]:
        """Sends `call` and waits for the answer's headers.

        Args:
            server: Where to send it.
            call: The request.
            timeout_ms: Time left until the deadline, told to the server.
            silence_ms: Longest time in which nothing may come.
        """

    async def resume(
        self,
        server: Server,
        call: Call,
        answer: Answer,
        timeout_ms: int,
        silence_ms: int,
    ) -> Result[Answer, AttemptFault]:
        """Asks for the rest of a cut answer, from the byte it ended at."""

    async def accepts_connection(self, server: Server) -> bool:
        """Tells whether `server` takes a new connection now."""

    async def retire_connections(self, server: Server, answer: Answer) -> None:
        """Takes no new request over the connections of a silent answer."""
