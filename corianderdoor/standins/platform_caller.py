"""The caller's side of the platform's protocol, for stand-in callers."""

from __future__ import annotations

from typing import Protocol

import h11

from ..adapters.http1 import ConnectionBrokenError, H11Protocol


class Answer(Protocol):
    """Answer that `read_answer` fills in while it reads.

    Attributes:
        status: HTTP status; 0 if there was no answer.
        headers: Headers with names in lower case.
        body: The part of the body that arrived.
        complete: Whether the end of the answer arrived.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    complete: bool


def write_request(
    protocol: H11Protocol,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
) -> None:
    """Sends a complete request."""
    if body:
        headers = {**headers, "Content-Length": str(len(body))}
    protocol.write(
        h11.Request(method=method, target=target, headers=[*headers.items()])
    )
    if body:
        protocol.write(h11.Data(data=body))
    protocol.write(h11.EndOfMessage())


def write_chat(
    protocol: H11Protocol,
    host: str,
    id: str,
    path: str,
    key: str,
    prompt: str,
    deadline_ms: int,
) -> None:
    """Sends a POST request whose body is its id.

    Args:
        protocol: The connection.
        host: Value of the `Host` header.
        id: Id of the request.
        path: Path of the request.
        key: The caller's API key.
        prompt: Value of the `Prompt-Prefix` header; empty for none.
        deadline_ms: How long the caller waits.
    """
    headers = {
        "Host": host,
        "Attempt-Id": id,
        "Authorization": f"Token {key}",
        "Deadline-Ms": str(deadline_ms),
    }
    if prompt:
        headers["Prompt-Prefix"] = prompt
    write_request(protocol, "POST", path, headers, id.encode())


async def read_answer(protocol: H11Protocol, answer: Answer) -> None:
    """Reads into `answer` until it is complete or the connection ends."""
    try:
        while not answer.complete:
            event = await protocol.next_event()
            if isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.complete = True
            else:
                return
    except ConnectionBrokenError:
        return
