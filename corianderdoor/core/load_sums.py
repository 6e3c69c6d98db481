"""The mean load of each pool, from sums that routers tell each other."""

from __future__ import annotations

from collections.abc import Collection, Iterable
import enum
import itertools
from typing import Final

from .records import Record

NEWS_SHARE: Final = 8
LEVEL_STEPS: Final = 16
EXPIRE_MS: Final = 15_000


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


class Scope(enum.IntEnum):
    """Whose servers a digest adds up."""

    ROUTER = 0  # those of the sender
    CENTRE = 1  # those of the sender's data centre
    REST = 2  # those of all other data centres


class LoadDigest(Record):
    """Message: the load of some servers, and of each of the sender's own.

    Attributes:
        seq: Grows with each digest of that router.
        sums: One for each pool in which it admits.
        levels: Each server's load as a multiple of the mean, in sixteenths.
        scope: Whose servers the sums are of.
    """

    __slots__ = ("seq", "sums", "levels", "scope")

    def __init__(
        self,
        seq: int,
        sums: tuple[PoolSum, ...],
        levels: tuple[tuple[str, int], ...] = (),
        scope: Scope = Scope.ROUTER,
    ) -> None:
        self.seq = seq
        self.sums = sums
        self.levels = levels
        self.scope = scope


def have_moved(
    told: dict[str, tuple[int, int]], totals: dict[str, tuple[int, int]]
) -> bool:
    """Tells whether a pool's load has moved by much since it was told."""
    for pool, (load, _) in totals.items():
        before, _ = told.get(pool, (0, 0))
        if abs(load - before) * NEWS_SHARE > max(load, before):
            return True
    return False


class LoadSums:
    """Adds up the newest digest of each router and scope.

    State is one entry for each sender and pool. A sender that falls silent
    counts no more after `EXPIRE_MS`.
    """

    __slots__ = ("_digests", "_totals", "_told", "_levels")

    def __init__(self) -> None:
        self._digests: dict[tuple[str, Scope], tuple[LoadDigest, int]] = {}
        self._totals: dict[str, tuple[int, int]] = {}
        self._told: dict[str, tuple[int, int]] = {}
        self._levels: dict[str, int] = {}

    def has_news(self) -> bool:
        """Tells whether a sum has moved by much since `mark_told`."""
        return have_moved(self._told, self._totals)

    def mark_told(self) -> None:
        """Notes that the sums of now were told."""
        self._told = dict(self._totals)

    def record(self, origin: str, digest: LoadDigest, now_ms: int) -> bool:
        """Takes a router's digest; returns False if it is not the newest."""
        slot = (origin, digest.scope)
        last = self._digests.get(slot)
        if last is not None and digest.seq <= last[0].seq:
            return False
        if last is not None:
            self._count(last[0].sums, -1)
        self._digests[slot] = (digest, now_ms)
        self._count(digest.sums, 1)
        self._levels.update(digest.levels)
        return True

    def total(self, pool: str) -> tuple[int, int]:
        """Returns the pool's (load, capacity) as told by other routers."""
        return self._totals.get(pool, (0, 0))

    def add_up(
        self, scope: Scope, own: Iterable[PoolSum] = ()
    ) -> tuple[PoolSum, ...]:
        """Returns the sums of all digests of `scope`, with `own` added."""
        totals: dict[str, tuple[int, int]] = {}
        sums = [own]
        sums += [d.sums for d, _ in self._digests.values() if d.scope == scope]
        for item in itertools.chain.from_iterable(sums):
            load, capacity = totals.get(item.pool, (0, 0))
            total = (load + item.load, capacity + item.capacity)
            totals[item.pool] = total
        return tuple(PoolSum(pool, *total) for pool, total in totals.items())

    def level(self, server: str) -> int:
        """Returns the last told level of a server; the mean if none was."""
        return self._levels.get(server, LEVEL_STEPS)

    def keep_origins(self, names: Collection[str]) -> None:
        """Forgets routers that are no longer in the view."""
        for slot in [s for s in self._digests if s[0] not in names]:
            self._forget(slot)

    def keep_servers(self, names: Collection[str]) -> None:
        """Forgets the levels of servers that are gone."""
        for name in [n for n in self._levels if n not in names]:
            del self._levels[name]

    def tick(self, now_ms: int) -> None:
        """Forgets digests that are too old."""
        old = [
            slot
            for slot, (_, at_ms) in self._digests.items()
            if now_ms - at_ms > EXPIRE_MS
        ]
        for slot in old:
            self._forget(slot)

    def _forget(self, slot: tuple[str, Scope]) -> None:
        digest, _ = self._digests.pop(slot)
        self._count(digest.sums, -1)

    def _count(self, sums: Iterable[PoolSum], sign: int) -> None:
        for item in sums:
            load, capacity = self._totals.get(item.pool, (0, 0))
            load += sign * item.load
            capacity += sign * item.capacity
            self._totals[item.pool] = (load, capacity)
