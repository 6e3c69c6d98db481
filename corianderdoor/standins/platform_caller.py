"""The calling side of the platform's protocol, for stand-ins of callers."""

from __future__ import annotations

from typing import Protocol

import h11

from ..adapters.http1 import ConnectionBrokenError, H11Protocol


class Answer(Protocol):
    """What is filled in while an answer is read.

    Attributes:
        status: HTTP status; 0 if there was no answer.
        headers: Headers with names in lower case.
        body: The body as far as it came.
        whole: Whether it ended in order.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    whole: bool


def write_request(
    protocol: H11Protocol,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes,
) -> None:
    """Sends a request whole."""
    if body:
        fields = {**fields, "Content-Length": str(len(body))}
    protocol.write(
        h11.Request(method=method, target=target, headers=[*fields.items()])
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
    """Sends a request whose body is its id.

    Args:
        protocol: The connection.
        host: Host that it is for.
        id: Its id.
        path: Its path.
        key: The caller's key.
        prompt: Parts of its prompt; empty for none.
        deadline_ms: How long the caller waits.
    """
    fields = {
        "Host": host,
        "Attempt-Id": id,
        "Authorization": f"Token {key}",
        "Deadline-Ms": str(deadline_ms),
    }
    if prompt:
        fields["Prompt-Prefix"] = prompt
    write_request(protocol, "POST", path, fields, id.encode())


async def read_answer(protocol: H11Protocol, answer: Answer) -> None:
    """Fills in `answer` as far as it comes."""
    try:
        while not answer.whole:
            event = await protocol.next_event()
            if isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.whole = True
            else:
                return
    except ConnectionBrokenError:
        return
