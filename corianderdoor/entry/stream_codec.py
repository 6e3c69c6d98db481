"""Encoding of the messages about the origins of streams."""

from __future__ import annotations

import enum
import pathlib
from typing import Any, Final

import capnp

from ..core.entry.stream_versions import StreamOrigin
from ..core.records import Record
from .packed_messages import is_whole
from .peer_codec import MessageError

_SCHEMA: Any = capnp.load(str(pathlib.Path(__file__).with_name("entry.capnp")))
MAX_MESSAGE_WORDS: Final = 1_024
# Longer names are not plausible.
MAX_NAME_CHARS: Final = 256
MAX_LEFT_MS: Final = 2**32 - 1


class StreamMessageKind(enum.Enum):
    """What a message says.

    RECORD: The stream began there.
    QUESTION: Where did the stream begin?
    KNOWN: It began there, in answer to a question.
    UNKNOWN: The sender does not know, in answer to a question.
    """

    RECORD = "record"
    QUESTION = "question"
    KNOWN = "known"
    UNKNOWN = "unknown"


class StreamMessage(Record):
    """A message about the origin of a stream.

    Attributes:
        stream: Digest of the stream.
        kind: What the message says.
        question: Number of the question, and of its answer.
        origin: Where the stream began; empty if the message does not say.
        left_ms: How long its caller may resume it.
    """

    __slots__ = ("stream", "kind", "question", "origin", "left_ms")

    def __init__(
        self,
        stream: int,
        kind: StreamMessageKind,
        question: int = 0,
        origin: StreamOrigin | None = None,
        left_ms: int = 0,
    ) -> None:
        self.stream = stream
        self.kind = kind
        self.question = question
        self.origin = origin or StreamOrigin("", "")
        self.left_ms = left_ms


def encode_stream_message(message: StreamMessage) -> bytes:
    """Returns `message` as a datagram."""
    raw = _SCHEMA.StreamMessage.new_message(
        stream=message.stream,
        kind=message.kind.value,
        question=message.question,
        service=message.origin.service,
        version=message.origin.version,
        leftMs=min(MAX_LEFT_MS, message.left_ms),
    )
    return bytes(raw.to_bytes_packed())


def decode_stream_message(data: bytes) -> StreamMessage:
    """Returns the message in a datagram.

    Raises:
        MessageError: `data` is not a valid message.
    """
    try:
        if not is_whole(data):
            raise ValueError("message ends before its last segment")
        raw = _SCHEMA.StreamMessage.from_bytes_packed(
            data, traversal_limit_in_words=MAX_MESSAGE_WORDS
        )
        service, version = str(raw.service), str(raw.version)
        if max(len(service), len(version)) > MAX_NAME_CHARS:
            raise ValueError("name of a service or version is too long")
        return StreamMessage(
            raw.stream,
            StreamMessageKind(str(raw.kind)),
            raw.question,
            StreamOrigin(service, version),
            raw.leftMs,
        )
    except (capnp.KjException, ValueError) as exc:
        raise MessageError(str(exc)) from exc
