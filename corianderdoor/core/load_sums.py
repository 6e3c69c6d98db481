"""The mean load of each pool, from sums that routers tell each other."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final

from .records import Record

EXPIRE_MS: Final = 5_000


class PoolSum(Record):
    """Load and capacity of those servers of a pool that one router admits to.

    Attributes:
        pool: Name of the pool.
        load: Work in progress, in tokens.
        capacity: Requests that the servers bear at once as they are now.
    """

    __slots__ = ("pool", "load", "capacity")

    def __init__(self, pool: str, load: int, capacity: int) -> None:
        self.pool = pool
        self.load = load
        self.capacity = capacity


class LoadDigest(Record):
    """Message: what a router knows at first hand of its servers' load.

    Attributes:
        seq: Grows with each digest of that router.
        sums: One for each pool in which it admits.
        levels: Each server's load as a multiple of the mean, in sixteenths.
    """

    __slots__ = ("seq", "sums", "levels")

    def __init__(
        self,
        seq: int,
        sums: tuple[PoolSum, ...],
        levels: tuple[tuple[str, int], ...] = (),
    ) -> None:
        self.seq = seq
        self.sums = sums
        self.levels = levels


class LoadSums:
    """Adds up the newest digest of each router.

    State is one entry for each router and pool. A router that falls silent
    counts no more after `EXPIRE_MS`.
    """

    __slots__ = ("_digests", "_totals", "_levels")

    def __init__(self) -> None:
        self._digests: dict[str, tuple[LoadDigest, int]] = {}
        self._totals: dict[str, tuple[int, int]] = {}
        self._levels: dict[str, int] = {}

    def record(self, origin: str, digest: LoadDigest, now_ms: int) -> bool:
        """Takes a router's digest; returns False if it is not the newest."""
        last = self._digests.get(origin)
        if last is not None and digest.seq <= last[0].seq:
            return False
        if last is not None:
            self._count(last[0].sums, -1)
        self._digests[origin] = (digest, now_ms)
        self._count(digest.sums, 1)
        self._levels.update(digest.levels)
        return True

    def total(self, pool: str) -> tuple[int, int]:
        """Returns the pool's (load, capacity) as told by other routers."""
        return self._totals.get(pool, (0, 0))

    def level(self, server: str) -> int:
        """Returns the last told level of a server; 0 if none was told."""
        return self._levels.get(server, 0)

    def keep_origins(self, names: Collection[str]) -> None:
        """Forgets routers that are no longer in the view."""
        for name in [n for n in self._digests if n not in names]:
            self._forget(name)

    def keep_servers(self, names: Collection[str]) -> None:
        """Forgets the levels of servers that are gone."""
        for name in [n for n in self._levels if n not in names]:
            del self._levels[name]

    def tick(self, now_ms: int) -> None:
        """Forgets digests that are too old."""
        old = [
            name
            for name, (_, at_ms) in self._digests.items()
            if now_ms - at_ms > EXPIRE_MS
        ]
        for name in old:
            self._forget(name)

    def _forget(self, name: str) -> None:
        digest, _ = self._digests.pop(name)
        self._count(digest.sums, -1)

    def _count(self, sums: Iterable[PoolSum], sign: int) -> None:
        for item in sums:
            load, capacity = self._totals.get(item.pool, (0, 0))
            load += sign * item.load
            capacity += sign * item.capacity
            self._totals[item.pool] = (load, capacity)
