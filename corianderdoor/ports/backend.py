"""Port to the backend servers."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Protocol

from expression import Result

from ..core.messages import Stage
from ..core.records import Record
from ..core.topology import Server


class Call(Record):
    """One request as it is sent to a backend server.

    Attributes:
        id: Request id, which the server echoes.
        method: HTTP method.
        path: Path and query.
        headers: Headers to pass on.
        body: The complete body.
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
    """Why an attempt ended without a complete answer.

    Attributes:
        stage: How far it got.
        detail: What was observed.
        broken: Whether the connection broke during the request.
        silent: Whether the server sent no data before the timeout.
        server_at_fault: Whether this attempt shows that the server itself
            is at fault: it accepted no connection, sent no data on one that
            had never worked, or answered another request.
        retry_after_ms: Delay that the server asked for before a retry, in
            ms.
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
    """The answer's body ended early; raised while it is read."""

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
        """The server's id of this stream; empty if it can't resume."""

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the body; raises `AnswerTruncated` if it is incomplete."""

    async def close(self) -> None:
        """Ends the exchange; cancels it if the answer is incomplete."""


class Backend(Protocol):
    """Sends requests to backend servers."""

    async def send(
        self, server: Server, call: Call, timeout_ms: int, silence_ms: int
    ) -> Result[Answer, AttemptFault]:
        """Sends `call` and waits for the answer's headers.

        Args:
            server: The server to send it to.
            call: The request.
            timeout_ms: Time left until the deadline, in ms; sent to the
                server.
            silence_ms: Timeout for a server that sends no data, in ms.
        """

    async def resume(
        self,
        server: Server,
        call: Call,
        answer: Answer,
        timeout_ms: int,
        silence_ms: int,
    ) -> Result[Answer, AttemptFault]:
        """Requests the rest of a truncated answer, from the byte reached."""

    async def accepts_connection(self, server: Server) -> bool:
        """Returns whether `server` accepts a new connection now."""

    async def retire_connections(self, server: Server, answer: Answer) -> None:
        """Stops using the connections of a silent answer for new requests."""
