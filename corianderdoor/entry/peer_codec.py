"""Messages between entry hosts as bytes."""

from __future__ import annotations

import pathlib
from typing import Any, Final

import capnp

from ..core.entry.peers import Beat
from ..core.entry.replica import Change, Page

_SCHEMA: Any = capnp.load(
    str(pathlib.Path(__file__).with_name("entry.capnp"))
)
MAX_CONTACT_MS: Final = 2**32 - 1
MAX_COUNT: Final = 2**16 - 1
# Words that a message may hold, against one that points to itself.
MAX_WORDS: Final = 4_194_304


class MessageError(Exception):
    """Bytes of a peer are no message."""


def encode_beat(beat: Beat) -> bytes:
    """Returns `beat` as a datagram."""
    message = _SCHEMA.Beat.new_message(
        sender=beat.sender,
        boot=beat.boot,
        revision=beat.revision,
        contactMs=min(MAX_CONTACT_MS, beat.contact_ms),
        leaving=beat.leaving,
        loads=[
            {"server": server, "count": min(MAX_COUNT, count)}
            for server, count in beat.loads
        ],
    )
    return bytes(message.to_bytes_packed())


def decode_beat(data: bytes) -> Beat:
    """Returns the beat in a datagram.

    Raises:
        MessageError: It holds none.
    """
    try:
        raw = _SCHEMA.Beat.from_bytes_packed(data)
        return Beat(
            raw.sender,
            raw.boot,
            raw.revision,
            raw.contactMs,
            raw.leaving,
            tuple((load.server, load.count) for load in raw.loads),
        )
    except (capnp.KjException, ValueError) as exc:
        raise MessageError(str(exc)) from exc


def encode_page(page: Page) -> bytes:
    """Returns `page` as a body."""
    message = _SCHEMA.Page.new_message(
        revision=page.revision,
        whole=page.whole,
        changes=[
            {
                "key": change.key,
                "revision": change.revision,
                "removed": change.value is None,
                "lapsed": change.lapsed,
                "value": change.value or b"",
            }
            for change in page.changes
        ],
    )
    return bytes(message.to_bytes())


def decode_page(data: bytes) -> Page:
    """Returns the page in a body.

    Raises:
        MessageError: It holds none.
    """
    try:
        with _SCHEMA.Page.from_bytes(
            data, traversal_limit_in_words=MAX_WORDS
        ) as raw:
            return Page(
                tuple(
                    Change(
                        change.key,
                        None if change.removed else bytes(change.value),
                        change.revision,
                        change.lapsed,
                    )
                    for change in raw.changes
                ),
                raw.revision,
                raw.whole,
            )
    except (capnp.KjException, ValueError) as exc:
        raise MessageError(str(exc)) from exc
