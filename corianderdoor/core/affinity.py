"""A compact memory of the server to which each chat really went."""

from __future__ import annotations

from array import array
from typing import Final

import xxhash

from .clock import MS_PER_SECOND

WAYS: Final = 4
DEFAULT_SETS: Final = 4_096
RETENTION_MS: Final = 2 * 3_600 * MS_PER_SECOND
TIME_BITS: Final = 32
TIME_MASK: Final = (1 << TIME_BITS) - 1


class AffinityTable:
    """Set-associative map from chat to server, `WAYS` slots a set.

    The size is fixed: sixteen bytes a slot. A new chat replaces the least
    recently recorded one of its set. Entries expire after `RETENTION_MS`,
    as the chat's prefix is then unlikely to be in a cache any more.
    """

    __slots__ = ("_sets", "_keys", "_values", "_slots", "_names")

    def __init__(self, sets: int = DEFAULT_SETS) -> None:
        self._sets = sets
        self._keys = array("Q", bytes(8 * sets * WAYS))
        self._values = array("Q", bytes(8 * sets * WAYS))
        self._slots: dict[str, int] = {}
        self._names: list[str] = []

    @property
    def size_bytes(self) -> int:
        """The memory that chats take, in bytes."""
        used = len(self._keys) + len(self._values)
        return used * self._keys.itemsize

    def record(self, chat: str, server: str, now_ms: int) -> None:
        """Notes that `chat` went to `server`."""
        key = _key(chat)
        first = key % self._sets * WAYS
        ways = range(first, first + WAYS)
        place = next((i for i in ways if self._keys[i] == key), -1)
        if place < 0:
            place = min(ways, key=lambda i: self._values[i] & TIME_MASK)
        self._keys[place] = key
        slot = self._slot(server)
        self._values[place] = slot << TIME_BITS | now_ms // MS_PER_SECOND

    def find(self, chat: str, now_ms: int) -> str:
        """Returns the server of `chat`, empty if not known."""
        key = _key(chat)
        first = key % self._sets * WAYS
        for place in range(first, first + WAYS):
            if self._keys[place] == key:
                value = self._values[place]
                seen_ms = (value & TIME_MASK) * MS_PER_SECOND
                if now_ms - seen_ms > RETENTION_MS:
                    return ""
                return self._names[value >> TIME_BITS]
        return ""

    def _slot(self, server: str) -> int:
        slot = self._slots.get(server)
        if slot is None:
            slot = len(self._names)
            self._slots[server] = slot
            self._names.append(server)
        return slot


def _key(chat: str) -> int:
    return xxhash.xxh3_64_intdigest(chat.encode()) or 1
