"""Checks of packed Cap'n Proto messages before the library reads them.

The library reads the segments of a message after the first one only when
they are used. If the message ends before them, it fails while it frees the
message, which ends the process.
"""

from __future__ import annotations

from typing import Final

WORD_BYTES: Final = 8
# Bytes of the first word that hold the number of segments less one.
COUNT_MASK: Final = 0x0F
ZERO_TAG: Final = 0x00
FULL_TAG: Final = 0xFF
MAX_SEGMENTS: Final = 512
TAG_BYTES: Final = tuple(tag.bit_count() for tag in range(256))


def is_whole(data: bytes) -> bool:
    """Returns whether a packed message has all of its segments.

    A message with one segment is read at once, so it needs no check.
    """
    if not data or not data[0] & COUNT_MASK:
        return bool(data)
    head = _unpack_head(data)
    if len(head) < WORD_BYTES:
        return False
    segments = int.from_bytes(head[:4], "little") + 1
    if segments > MAX_SEGMENTS:
        return False
    table_bytes = (segments // 2 + 1) * WORD_BYTES
    if len(head) < table_bytes:
        return False
    words = sum(
        int.from_bytes(head[4 + 4 * n : 8 + 4 * n], "little")
        for n in range(segments)
    )
    return _count_words(data) * WORD_BYTES >= table_bytes + words * WORD_BYTES


def _unpack_head(data: bytes) -> bytes:
    """Returns the unpacked start of a message, where its table is."""
    wanted = (MAX_SEGMENTS // 2 + 1) * WORD_BYTES
    head = bytearray()
    place = 0
    while place < len(data) and len(head) < wanted:
        tag = data[place]
        place += 1
        for bit in range(WORD_BYTES):
            if tag >> bit & 1:
                head += data[place : place + 1]
                place += 1
            else:
                head.append(0)
        if tag == ZERO_TAG:
            head += bytes(WORD_BYTES * int.from_bytes(data[place : place + 1]))
            place += 1
        elif tag == FULL_TAG:
            size = WORD_BYTES * int.from_bytes(data[place : place + 1])
            head += data[place + 1 : place + 1 + size]
            place += 1 + size
    return bytes(head)


def _count_words(data: bytes) -> int:
    """Returns the number of whole words that a packed message has."""
    words = 0
    place = 0
    while place < len(data):
        tag = data[place]
        place += 1 + TAG_BYTES[tag]
        more = 0
        if tag in (ZERO_TAG, FULL_TAG):
            if place >= len(data):
                return words
            more = data[place]
            place += 1 + (WORD_BYTES * more if tag == FULL_TAG else 0)
        if place > len(data):
            return words
        words += 1 + more
    return words
