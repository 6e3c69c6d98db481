"""Orders of names that every router computes alike from its own view."""

from __future__ import annotations

from array import array
from bisect import bisect
from collections.abc import Iterable, Iterator
from typing import Final

import xxhash

from .topology import Server

POINTS_PER_SLOT: Final = 8
MIN_POINTS: Final = 16
MAX_POINTS: Final = 128
SLOT_BITS: Final = 16
SLOT_MASK: Final = (1 << SLOT_BITS) - 1
HASH_MASK: Final = (1 << 64) - 1 - SLOT_MASK


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns `names` in the rendezvous order of `key`.

    Every caller that ranks the same names gets the same order, and adding
    or removing a name moves only the keys that had it first.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()),
        reverse=True,
    )


class Ring:
    """A hash ring of servers, whose orders cost one binary search.

    A server has points in proportion to its capacity, within limits, so
    that the ring depends on each server's own record alone. Memory is eight
    bytes a point: the upper bits are the hash, the lower the server's slot.
    """

    __slots__ = ("_points", "_servers", "_slots")

    def __init__(self) -> None:
        self._points = array("Q")
        self._servers: list[Server | None] = []
        self._slots: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._slots)

    def replace(self, servers: Iterable[Server]) -> None:
        """Makes `servers` the members; unchanged ones keep their points."""
        wanted = {server.name: server for server in servers}
        gone = {
            slot
            for name, slot in self._slots.items()
            if not self._keeps(wanted.get(name), slot)
        }
        kept = [p for p in self._points if p & SLOT_MASK not in gone]
        for slot in gone:
            old = self._servers[slot]
            self._servers[slot] = None
            if old is not None:
                del self._slots[old.name]
        free = [i for i, old in enumerate(self._servers) if old is None]
        for name, server in wanted.items():
            if name in self._slots:
                self._servers[self._slots[name]] = server
            else:
                slot = free.pop() if free else self._grow()
                self._slots[name] = slot
                self._servers[slot] = server
                kept.extend(_points_of(server, slot))
        self._points = array("Q", sorted(kept))

    def order(self, key: str) -> Iterator[Server]:
        """Yields every server once, in the order of `key`."""
        points, servers = self._points, self._servers
        size = len(points)
        start = bisect(points, xxhash.xxh3_64_intdigest(key.encode()))
        seen: set[int] = set()
        for step in range(size):
            slot = points[(start + step) % size] & SLOT_MASK
            if slot in seen:
                continue
            seen.add(slot)
            server = servers[slot]
            if server is not None:
                yield server
            if len(seen) == len(self._slots):
                return

    def servers(self) -> list[Server]:
        """Returns the members in no particular order."""
        return [server for server in self._servers if server is not None]

    def get(self, name: str) -> Server | None:
        """Returns the member called `name`."""
        slot = self._slots.get(name)
        return None if slot is None else self._servers[slot]

    def _keeps(self, server: Server | None, slot: int) -> bool:
        old = self._servers[slot]
        return (
            server is not None
            and old is not None
            and server.capacity == old.capacity
        )

    def _grow(self) -> int:
        self._servers.append(None)
        return len(self._servers) - 1


def _points_of(server: Server, slot: int) -> Iterator[int]:
    wanted = POINTS_PER_SLOT * server.capacity
    count = max(MIN_POINTS, min(MAX_POINTS, wanted))
    raw = server.name.encode()
    for number in range(count):
        digest = xxhash.xxh3_64_intdigest(raw, number)
        yield digest & HASH_MASK | slot
