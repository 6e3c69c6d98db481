"""Reads answers of the store, and those of peers to the same bounds."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import h11

from ..adapters.answer_meter import AnswerMeter
from ..adapters.http1 import ConnectionBrokenError, H11Protocol

# Entries of 3,900 servers take about 1 MB.
MAX_ANSWER_BYTES: Final = 16_777_216
# Lengths with more digits are too large.
MAX_LENGTH_DIGITS: Final = 12

Headers = list[tuple[bytes, bytes]]


class AnswerTooLargeError(ConnectionBrokenError):
    """An answer is larger than `MAX_ANSWER_BYTES`."""


async def read_full_answer(protocol: H11Protocol) -> tuple[int, bytes]:
    """Returns the status and the complete body of the next answer.

    Raises:
        ConnectionBrokenError: The connection ended before the answer did, or
            the answer is larger than `MAX_ANSWER_BYTES`.
    """
    status, _, body = await read_answer(protocol)
    return status, body


async def read_answer(
    protocol: H11Protocol, on_head: Callable[[], None] = lambda: None
) -> tuple[int, Headers, bytes]:
    """Returns the status, the headers and the complete body of an answer.

    Args:
        protocol: The connection.
        on_head: Called when the final head has arrived.

    Raises:
        AnswerTooLargeError: The answer is larger than `MAX_ANSWER_BYTES`.
        ConnectionBrokenError: The connection ended before the answer did.
    """
    status = 0
    headers: Headers = []
    body = bytearray()
    meter = AnswerMeter(protocol)
    while True:
        event = await meter.next_event()
        if isinstance(event, h11.Response):
            on_head()
            status = event.status_code
            headers = list(event.headers)
            _check_length(headers)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_ANSWER_BYTES:
                raise AnswerTooLargeError("answer is larger than 16 MiB")
        elif isinstance(event, h11.EndOfMessage):
            return status, headers, bytes(body)
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionBrokenError(
                "closed before the answer was complete"
            )


def _check_length(headers: Headers) -> None:
    """Raises AnswerTooLargeError if the head states too large a body."""
    for name, value in headers:
        if name == b"content-length":
            if len(value) > MAX_LENGTH_DIGITS or int(value) > MAX_ANSWER_BYTES:
                raise AnswerTooLargeError("answer is larger than 16 MiB")
