"""Requests of callers."""

from __future__ import annotations

from typing import Final

from ..records import Record

# Parts that the choice of a server goes by.
MAX_SHARED_PARTS: Final = 256


class PromptPart(Record):
    """A part of a prompt that several requests can have in common.

    Attributes:
        id: Identifier of the content.
        tokens: Length in tokens.
    """

    __slots__ = ("id", "tokens")

    def __init__(self, id: str, tokens: int) -> None:
        self.id = id
        self.tokens = tokens


class CallerRequest:
    """A complete request of a caller.

    Attributes:
        id: The caller's id of this attempt.
        method: HTTP method.
        target: Path and query as sent.
        path: Path without the query.
        host: Requested host in lower case, without a port.
        key: API key; None if there is none.
        deadline_ms: How long the caller waits; None if it sent no deadline.
        parts: Parts of the prompt in order; empty without a prompt.
        prompt_tokens: Size of the prompt in tokens; 0 if unknown.
        last_event_id: Id of the last event of the stream that the caller
            has; None if it asks for the whole stream.
        resumes: Id of the attempt that brought the first event of the stream
            that the caller takes up again; None if it names none.
        ignored_marks: Kinds of headers ("resumes") that are ignored because
            their values are invalid or appear more than once.
        headers: Headers to forward.
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
        "resumes",
        "ignored_marks",
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
        resumes: str | None = None,
        ignored_marks: tuple[str, ...] = (),
    ) -> None:
        self.resumes = resumes
        self.ignored_marks = ignored_marks
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

        These are all but the last part, which is specific to the request
        unless it is the only one, and at most `MAX_SHARED_PARTS`: servers
        are chosen by the first parts of a longer list.
        """
        return self.parts[: min(len(self.parts) - 1, MAX_SHARED_PARTS)] or (
            self.parts
        )

    def session(self) -> str:
        """Returns the key of the chat; empty without a prompt.

        This is the id of the last shared part.
        """
        shared = self.shared_parts()
        return shared[-1].id if shared else ""
