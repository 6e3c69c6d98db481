"""Orders of names that all routers with equal views compute alike."""

from __future__ import annotations

from array import array
from bisect import bisect, bisect_left, insort
from collections.abc import Iterable, Iterator
from typing import Final

import xxhash

from .topology import Server

POINTS_PER_REQUEST: Final = 8
MIN_POINTS: Final = 16
MAX_POINTS: Final = 64
MAX_PATCHED_CHANGES: Final = 64
SLOT_BITS: Final = 16
SLOT_MASK: Final = (1 << SLOT_BITS) - 1
HASH_MASK: Final = (1 << 64) - 1 - SLOT_MASK


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns `names` in the rendezvous hashing order of `key`.

    Every caller that ranks the same names gets the same order, and adding
    or removing a name changes the first name of only those keys for which
    that name is the first.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()),
        reverse=True,
    )


class Ring:
    """A consistent-hash ring of servers; an order costs one binary search.

    A server has points in proportion to its capacity, within limits, so
    that its points depend on its own record alone. A point takes eight
    bytes: the upper bits are the hash, the lower the server's slot.
    """

    __slots__ = ("_points", "_servers", "_slots", "_free")

    def __init__(self) -> None:
        self._points = array("Q")
        self._servers: list[Server | None] = []
        self._slots: dict[str, int] = {}
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._slots)

    def replace(self, servers: Iterable[Server]) -> None:
        """Replaces the members; unchanged ones keep their points.

        An iteration of `order` in progress continues over the old members.
        """
        wanted = {server.name: server for server in servers}
        removed = [
            server
            for server in self.servers()
            if not _same_points(server, wanted.get(server.name))
        ]
        self._servers = list(self._servers)
        removed_points = self._remove_members(removed)
        new_points: list[int] = []
        for name, server in wanted.items():
            slot = self._slots.get(name)
            if slot is None:
                slot = self._allocate_slot(name)
                new_points.extend(_points_of(server, slot))
            self._servers[slot] = server
        if len(removed) + len(new_points) // MIN_POINTS <= MAX_PATCHED_CHANGES:
            self._patch(removed_points, new_points)
        else:
            kept = set(self._points).difference(removed_points)
            self._points = array("Q", sorted([*kept, *new_points]))

    def _remove_members(self, servers: list[Server]) -> list[int]:
        """Frees the slots of `servers` and returns their points."""
        points: list[int] = []
        for server in servers:
            slot = self._slots.pop(server.name)
            points.extend(_points_of(server, slot))
            self._servers[slot] = None
            self._free.append(slot)
        return points

    def _allocate_slot(self, name: str) -> int:
        if self._free:
            slot = self._free.pop()
        else:
            slot = len(self._servers)
            self._servers.append(None)
        self._slots[name] = slot
        return slot

    def _patch(self, removed: list[int], new: list[int]) -> None:
        """Changes a few points of a copy, which is faster than sorting."""
        points = self._points[:]
        for point in removed:
            del points[bisect_left(points, point)]
        for point in new:
            insort(points, point)
        self._points = points

    def order(self, key: str) -> Iterator[Server]:
        """Yields every server once, in the order of `key`."""
        points, servers = self._points, self._servers
        size, members = len(points), len(self._slots)
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
            if len(seen) == members:
                return

    def servers(self) -> list[Server]:
        """Returns the members in no particular order."""
        return [server for server in self._servers if server is not None]

    def get(self, name: str) -> Server | None:
        """Returns the member called `name`."""
        slot = self._slots.get(name)
        return None if slot is None else self._servers[slot]


def _same_points(old: Server, new: Server | None) -> bool:
    return new is not None and new.capacity == old.capacity


def _points_of(server: Server, slot: int) -> Iterator[int]:
    wanted = POINTS_PER_REQUEST * server.capacity
    count = max(MIN_POINTS, min(MAX_POINTS, wanted))
    raw = server.name.encode()
    for number in range(count):
        digest = xxhash.xxh3_64_intdigest(raw, number)
        yield digest & HASH_MASK | slot
