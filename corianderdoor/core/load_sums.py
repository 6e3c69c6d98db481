"""Load sums of each pool, which routers exchange to know its mean."""

from __future__ import annotations

from collections.abc import Collection, Iterable
import enum
import itertools
from typing import Final

from .records import Record

# A load has changed much if it moved by more than one part in this many.
CHANGE_DIVISOR: Final = 8
LEVEL_STEPS: Final = 16
DIGEST_TTL_MS: Final = 15_000


class PoolSum(Record):
    """Load and capacity of some servers of a pool.

    Attributes:
        pool: Name of the pool.
        load: Work in progress, in tokens.
        capacity: Concurrent requests that the servers may get at present.
    """

    __slots__ = ("pool", "load", "capacity")

    def __init__(self, pool: str, load: int, capacity: int) -> None:
        self.pool = pool
        self.load = load
        self.capacity = capacity


class Scope(enum.IntEnum):
    """The servers that the sums of a digest cover."""

    ROUTER = 0  # those of the sender
    CENTRE = 1  # those of the sender's data centre
    REST = 2  # those of all other data centres


class LoadDigest(Record):
    """Message: the load of some servers, and of each of the sender's own.

    Attributes:
        seq: Grows with each digest of the sender.
        sums: One for each pool of the servers covered.
        levels: Each server's load as a multiple of the mean, in sixteenths.
        scope: The servers that the sums cover.
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


def have_changed(
    sent: dict[str, tuple[int, int]], totals: dict[str, tuple[int, int]]
) -> bool:
    """Returns whether a pool's load has changed much since it was sent."""
    for pool, (load, _) in totals.items():
        before, _ = sent.get(pool, (0, 0))
        if abs(load - before) * CHANGE_DIVISOR > max(load, before):
            return True
    return False


class LoadSums:
    """Sums of the newest digest of each router and scope.

    State is one entry for each sender and pool. A digest expires after
    `DIGEST_TTL_MS`, so that a sender that stopped sending is not counted.
    """

    __slots__ = ("_digests", "_totals", "_sent_totals", "_levels")

    def __init__(self) -> None:
        self._digests: dict[tuple[str, Scope], tuple[LoadDigest, int]] = {}
        self._totals: dict[str, tuple[int, int]] = {}
        self._sent_totals: dict[str, tuple[int, int]] = {}
        self._levels: dict[str, int] = {}

    def has_changed(self) -> bool:
        """Returns whether a sum has changed much since `mark_sent`."""
        return have_changed(self._sent_totals, self._totals)

    def mark_sent(self) -> None:
        """Records that the current sums were sent."""
        self._sent_totals = dict(self._totals)

    def record(self, sender: str, digest: LoadDigest, now_ms: int) -> bool:
        """Merges a router's digest; returns False if it is not the newest."""
        slot = (sender, digest.scope)
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
        """Returns the pool's (load, capacity) as other routers reported."""
        return self._totals.get(pool, (0, 0))

    def sum_scope(
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
        """Returns the last reported level of a server, or else the mean."""
        return self._levels.get(server, LEVEL_STEPS)

    def retain_senders(self, names: Collection[str]) -> None:
        """Drops the digests of routers that are not in `names`."""
        for slot in [s for s in self._digests if s[0] not in names]:
            self._remove_digest(slot)

    def retain_servers(self, names: Collection[str]) -> None:
        """Drops the levels of servers that are not in `names`."""
        for name in [n for n in self._levels if n not in names]:
            del self._levels[name]

    def tick(self, now_ms: int) -> None:
        """Drops expired digests."""
        old = [
            slot
            for slot, (_, at_ms) in self._digests.items()
            if now_ms - at_ms > DIGEST_TTL_MS
        ]
        for slot in old:
            self._remove_digest(slot)

    def _remove_digest(self, slot: tuple[str, Scope]) -> None:
        digest, _ = self._digests.pop(slot)
        self._count(digest.sums, -1)

    def _count(self, sums: Iterable[PoolSum], sign: int) -> None:
        for item in sums:
            load, capacity = self._totals.get(item.pool, (0, 0))
            load += sign * item.load
            capacity += sign * item.capacity
            self._totals[item.pool] = (load, capacity)
