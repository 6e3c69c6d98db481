"""Keeps of an answer in passing what a repeat of its key needs."""

from __future__ import annotations

from typing import Final

from ..core.errors import Outcome
from ..core.once import RunResult, StoredAnswer
from .logs import log_event
from .problems import OUTCOME_HEADER
from .serving import Message, Send

MAX_STORED_BODY_BYTES: Final = 16_000
MAX_STORED_HEADER_BYTES: Final = 2_000
HEADERS_NOT_STORED: Final = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "server",
        "transfer-encoding",
        "x-request-id",
    }
)


class AnswerRecorder:
    """Passes an answer on to the caller and keeps what a repeat needs.

    The caller's going does not end the run: its repeat will want the
    outcome.
    """

    __slots__ = (
        "_request_id",
        "_send",
        "_status",
        "_headers",
        "_parts",
        "_size",
        "_complete",
    )

    def __init__(self, send: Send, request_id: str) -> None:
        self._request_id = request_id
        self._send: Send | None = send
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts: list[bytes] = []
        self._size = 0
        self._complete = False

    async def send(self, message: Message) -> None:
        """Keeps and passes on one message of the answer."""
        self._record(message)
        if self._send is None:
            return
        try:
            await self._send(message)
        except Exception as exc:
            log_event(
                "caller_left",
                request_id=self._request_id,
                detail=type(exc).__name__,
            )
            self._send = None

    def result(self) -> RunResult:
        """Returns what is known of the run, once it is over."""
        outcome = (
            dict(self._headers).get(OUTCOME_HEADER, b"").decode("latin-1")
        )
        if outcome == Outcome.NOT_RUN.value:
            return RunResult(Outcome.NOT_RUN)
        if not self._complete or outcome == Outcome.UNKNOWN.value:
            return RunResult(Outcome.UNKNOWN)
        body = b"".join(self._parts)
        stored = body if self._size <= MAX_STORED_BODY_BYTES else None
        return RunResult(
            Outcome.RUN,
            StoredAnswer(self._status, _select_headers(self._headers), stored),
        )

    def _record(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._headers = list(message["headers"])
            return
        part = message.get("body", b"")
        self._size += len(part)
        if self._size <= MAX_STORED_BODY_BYTES:
            self._parts.append(bytes(part))
        self._complete = not message.get("more_body", False)


def _select_headers(
    headers: list[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    stored: list[tuple[str, str]] = []
    remaining_bytes = MAX_STORED_HEADER_BYTES
    for raw_name, raw_value in headers:
        name = raw_name.decode("latin-1").lower()
        remaining_bytes -= len(raw_name) + len(raw_value)
        if name in HEADERS_NOT_STORED or remaining_bytes < 0:
            continue
        stored.append((name, raw_value.decode("latin-1")))
    return tuple(stored)
