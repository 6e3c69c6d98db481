"""Checks messages in Cap'n Proto's packed encoding.

Cap'n Proto's reader of packed messages reads later segments when it is
destroyed. If they are missing, it raises in a destructor, which aborts the
process. So a message is checked as a whole before it is read.
"""

from __future__ import annotations

from typing import Final

WORD_BYTES: Final = 8
VERBATIM: Final = 0xFF
# Positions in a word of the bytes that follow each tag.
POSITIONS: Final = tuple(
    tuple(bit for bit in range(WORD_BYTES) if tag >> bit & 1)
    for tag in range(VERBATIM + 1)
)


def unpack(data: bytes, max_bytes: int) -> bytes:
    """Returns the unpacked message in `data`.

    Raises:
        ValueError: `data` is truncated, or the message is larger than
            `max_bytes`.
    """
    content = bytearray()
    at, end = 0, len(data)
    while at < end:
        tag = data[at]
        after = at + 1 + len(POSITIONS[tag])
        if tag in (0, VERBATIM):
            after += 1
        if after > end:
            raise ValueError("packed message is truncated")
        if tag == VERBATIM:
            content += data[at + 1 : after - 1]
            at, after = after, after + WORD_BYTES * data[after - 1]
            if after > end:
                raise ValueError("packed message is truncated")
            content += data[at:after]
        elif tag == 0:
            content += bytes(WORD_BYTES * (data[after - 1] + 1))
        else:
            word = bytearray(WORD_BYTES)
            for offset, position in enumerate(POSITIONS[tag], at + 1):
                word[position] = data[offset]
            content += word
        if len(content) > max_bytes:
            raise ValueError(f"message is larger than {max_bytes} bytes")
        at = after
    return bytes(content)


def check_packed(data: bytes, max_bytes: int) -> None:
    """Checks that a packed message is complete and holds nothing more.

    Raises:
        ValueError: It is not, or it is larger than `max_bytes`.
    """
    content = unpack(data, max_bytes)
    if len(content) < WORD_BYTES:
        raise ValueError("message has no segments")
    # The table has the number of segments less one, then the size of each in
    # words, padded to whole words.
    count = int.from_bytes(content[:4], "little") + 1
    table_bytes = (4 * (count + 1) + 7) // WORD_BYTES * WORD_BYTES
    if len(content) < table_bytes:
        raise ValueError("table of segments is truncated")
    sizes = memoryview(content[4 : 4 * (count + 1)]).cast("I")
    if len(content) != table_bytes + WORD_BYTES * sum(sizes):
        raise ValueError("segments do not match their table")
