"""Requests as the core of an entry host sees them."""

from __future__ import annotations

from ..records import Record


class PromptPart(Record):
    """A part of a prompt, which requests may share.

    Attributes:
        id: Name of its content.
        tokens: Its length.
    """

    __slots__ = ("id", "tokens")

    def __init__(self, id: str, tokens: int) -> None:
        self.id = id
        self.tokens = tokens


class CallerRequest:
    """A caller's request, read whole.

    Attributes:
        id: The caller's id of this attempt.
        method: HTTP method.
        target: Path and query as sent.
        path: Path alone.
        host: Host that it is for, in lower case, without a port.
        key: API key, None if there is none.
        deadline_ms: How long the caller waits; None if it did not say.
        parts: Parts of the prompt, in order.
        new_tokens: Size of the whole prompt, in tokens; 0 if unknown.
        last_event_id: Last event that the caller has of a stream.
        headers: Headers to pass on.
        body: The body.
    """

    __slots__ = (
        "id",
        "method",
        "target",
        "path",
        "host",
        "key",
        "deadline_ms",
        "parts",
        "prompt_tokens",
        "last_event_id",
        "headers",
        "body",
    )

    def __init__(
        self,
        id: str,
        method: str,
        target: str,
        host: str,
        key: str | None,
        deadline_ms: float | None,
        parts: tuple[PromptPart, ...],
        prompt_tokens: int,
        last_event_id: int | None,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        self.id = id
        self.method = method
        self.target = target
        self.path = target.partition("?")[0]
        self.host = host
        self.key = key
        self.deadline_ms = deadline_ms
        self.parts = parts
        self.prompt_tokens = prompt_tokens
        self.last_event_id = last_event_id
        self.headers = headers
        self.body = body

    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Returns the parts that other requests are likely to share.

        The last part belongs to the request alone, unless it is the only
        one.
        """
        return self.parts[:-1] or self.parts

    def session(self) -> str:
        """Returns what identifies the chat that the request belongs to."""
        shared = self.shared_parts()
        return shared[-1].id if shared else ""
