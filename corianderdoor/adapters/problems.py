"""Problem details (RFC 9457) for refusals and faults."""

from __future__ import annotations

import math
from typing import Final

import msgspec

from ..core.clock import MS_PER_SECOND
from ..core.errors import Fault, Kind
from .serving import Send

PROBLEM_TYPE_PREFIX: Final = "urn:corianderdoor:problem:"
STATUS_BY_KIND: Final = {
    Kind.BAD_REQUEST: 400,
    Kind.UNAUTHORIZED: 401,
    Kind.NO_RULE: 404,
    Kind.SLOW_BODY: 408,
    Kind.IN_PROGRESS: 409,
    Kind.ALREADY_RUN: 409,
    Kind.UNRESOLVED: 409,
    Kind.CONFLICT: 409,
    Kind.TOO_LARGE: 413,
    Kind.KEY_REUSED: 422,
    Kind.BAD_CONFIG: 422,
    Kind.QUARANTINED: 422,
    Kind.LIMITED: 429,
    Kind.SERVER_FAILED: 502,
    Kind.PEER_FAILED: 502,
    Kind.OVERLOADED: 503,
    Kind.NO_SERVER: 503,
    Kind.NOT_READY: 503,
    Kind.DRAINING: 503,
    Kind.STORE_FAILED: 503,
    Kind.LEASE_LOST: 503,
    Kind.DEADLINE: 504,
}
OUTCOME_HEADER: Final = b"corianderdoor-outcome"


def encode_problem(fault: Fault, request_id: str) -> bytes:
    """Returns the JSON body that tells a caller about `fault`."""
    body = {
        "type": PROBLEM_TYPE_PREFIX + fault.kind.value,
        "title": fault.kind.value.replace("-", " "),
        "status": STATUS_BY_KIND[fault.kind],
        "detail": fault.detail,
        "outcome": fault.outcome.value,
        "step": fault.step,
        "peer": fault.peer,
        "request_id": request_id,
    }
    return msgspec.json.encode(body)


def problem_headers(
    fault: Fault, request_id: str
) -> list[tuple[bytes, bytes]]:
    """Returns the headers that go with a problem's body."""
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"x-request-id", request_id.encode()),
        (OUTCOME_HEADER, fault.outcome.value.encode()),
    ]
    if fault.retry_after_ms is not None:
        seconds = math.ceil(fault.retry_after_ms / MS_PER_SECOND)
        headers.append((b"retry-after", str(seconds).encode()))
    return headers


async def send_problem(
    send: Send,
    fault: Fault,
    request_id: str,
    extra: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Sends `fault` as a whole response."""
    body = encode_problem(fault, request_id)
    await send_response(
        send,
        STATUS_BY_KIND[fault.kind],
        [*problem_headers(fault, request_id), *extra],
        body,
    )


async def send_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends a response whose body is known."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                *headers,
                (b"content-length", str(len(body)).encode()),
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})
