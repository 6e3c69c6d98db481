"""A compact table of the server to which each chat was last sent."""

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

    __slots__ = (
        "_sets",
        "_keys",
        "_values",
        "_server_indices",
        "_server_names",
    )

    def __init__(self, sets: int = DEFAULT_SETS) -> None:
        self._sets = sets
        self._keys = array("Q", bytes(8 * sets * WAYS))
        self._values = array("Q", bytes(8 * sets * WAYS))
        self._server_indices: dict[str, int] = {}
        self._server_names: list[str] = []

    @property
    def size_bytes(self) -> int:
        """Size of the chat entries, in bytes."""
        used = len(self._keys) + len(self._values)
        return used * self._keys.itemsize

    def record(self, chat: str, server: str, now_ms: int) -> None:
        """Records that `chat` was sent to `server`."""
        key = _key(chat)
        first = key % self._sets * WAYS
        ways = range(first, first + WAYS)
        slot = next((i for i in ways if self._keys[i] == key), -1)
        if slot < 0:
            slot = min(ways, key=lambda i: self._values[i] & TIME_MASK)
        self._keys[slot] = key
        index = self._server_index(server)
        self._values[slot] = index << TIME_BITS | now_ms // MS_PER_SECOND

    def find(self, chat: str, now_ms: int) -> str:
        """Returns the server of `chat`; empty if unknown or expired."""
        key = _key(chat)
        first = key % self._sets * WAYS
        for slot in range(first, first + WAYS):
            if self._keys[slot] == key:
                value = self._values[slot]
                seen_ms = (value & TIME_MASK) * MS_PER_SECOND
                if now_ms - seen_ms > RETENTION_MS:
                    return ""
                return self._server_names[value >> TIME_BITS]
        return ""

    def _server_index(self, server: str) -> int:
        index = self._server_indices.get(server)
        if index is None:
            index = len(self._server_names)
            self._server_indices[server] = index
            self._server_names.append(server)
        return index


def _key(chat: str) -> int:
    return xxhash.xxh3_64_intdigest(chat.encode()) or 1
