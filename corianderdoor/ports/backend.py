"""Port to the backend servers."""

from __future__ import annotations

from collections.abc import AsyncIterator
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


class AttemptFault(Record):
    """Why an attempt ended without a whole answer.

    Attributes:
        stage: How far it came.
        detail: What was seen.
        crashed: Whether the connection broke under the request.
        retry_after_ms: When the server asked to be tried again, in ms.
    """

    __slots__ = ("stage", "detail", "crashed", "retry_after_ms")

    def __init__(
        self,
        stage: Stage,
        detail: str,
        crashed: bool = False,
        retry_after_ms: int | None = None,
    ) -> None:
        self.stage = stage
        self.detail = detail
        self.crashed = crashed
        self.retry_after_ms = retry_after_ms


class AnswerCut(Exception):
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

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; raises `AnswerCut` if it is not whole."""

    async def close(self) -> None:
        """Ends the exchange; cancels it if the answer is not whole."""


class Backend(Protocol):
    """Sends requests to backend servers."""

    async def send(
        self, server: Server, call: Call, timeout_ms: int
    ) -> Result[Answer, AttemptFault]:
        """Sends `call` and waits for the answer's headers."""
