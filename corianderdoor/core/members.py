"""The table of members and the rumours about them."""

from __future__ import annotations

from collections.abc import Iterable
import random
from typing import Final

import xxhash

from .membership_messages import State, Update

BUCKETS: Final = 16
MAX_MEMBERS: Final = 4_096
DEAD_KEEP_MS: Final = 3_600_000
UPDATE_BYTES: Final = 64
PAGE_BYTES: Final = 900
SPREAD_FACTOR: Final = 2
RUMOUR_MS: Final = 15_000


class Member:
    """What is known of one other daemon.

    Attributes:
        update: The newest belief.
        changed_ms: When its state last changed.
        suspect: Whether this daemon is trying to reach it in vain.
        listed: Whether the platform listed it at the last look.
    """

    __slots__ = ("update", "changed_ms", "suspect", "listed")

    def __init__(self, update: Update, now_ms: int) -> None:
        self.update = update
        self.changed_ms = now_ms
        self.suspect = False
        self.listed = False


class MemberTable:
    """All other daemons, alive or not, with digests for comparison."""

    __slots__ = ("_members", "_digests", "_alive")

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._digests = [0] * BUCKETS
        self._alive: tuple[Update, ...] | None = None

    def get(self, name: str) -> Member | None:
        """Returns the member `name`."""
        return self._members.get(name)

    def all(self) -> Iterable[Member]:
        """Returns every member, alive or not."""
        return self._members.values()

    def alive(self) -> tuple[Update, ...]:
        """Returns the members believed alive, in order of name."""
        if self._alive is None:
            self._alive = tuple(
                member.update
                for _, member in sorted(self._members.items())
                if member.update.state is State.ALIVE
            )
        return self._alive

    def merge(self, update: Update, now_ms: int) -> bool:
        """Takes `update` if it is newer; tells whether it was.

        The death of a member never heard of is not worth keeping, so a
        forgotten one does not come back.
        """
        member = self._members.get(update.name)
        if member is None:
            if update.state is not State.ALIVE:
                return False
            if len(self._members) >= MAX_MEMBERS:
                return False
            self._members[update.name] = Member(update, now_ms)
            self._count(update)
            return True
        if update.order() <= member.update.order():
            return False
        self._count(member.update)
        self._count(update)
        if member.update.state is not update.state:
            member.changed_ms = now_ms
        member.update = update
        member.suspect = False
        return True

    def expire(self, now_ms: int) -> list[str]:
        """Forgets the long dead that are not listed; returns their names."""
        gone = [
            name
            for name, member in self._members.items()
            if member.update.state is not State.ALIVE
            and not member.listed
            and now_ms - member.changed_ms >= DEAD_KEEP_MS
        ]
        for name in gone:
            del self._members[name]
        return gone

    def bucket_digests(self, own: Update) -> tuple[int, ...]:
        """Returns one digest for each bucket, with `own` counted in."""
        digests = list(self._digests)
        if own.state is State.ALIVE:
            bucket, value = _hash(own)
            digests[bucket] ^= value
        return tuple(digests)

    def digest(self, own: Update) -> int:
        """Returns the digest of all buckets."""
        total = 0
        for value in self.bucket_digests(own):
            total ^= value
        return total

    def differing(self, own: Update, digests: tuple[int, ...]) -> list[Update]:
        """Returns what is believed in buckets that differ from `digests`."""
        mine = self.bucket_digests(own)
        wanted = {
            bucket
            for bucket in range(BUCKETS)
            if mine[bucket] != digests[bucket]
        }
        known = [member.update for member in self._members.values()]
        return [
            update
            for update in (own, *known)
            if update.incarnation and _hash(update)[0] in wanted
        ]

    def _count(self, update: Update) -> None:
        """Counts `update` into the digests, or out of them again."""
        self._alive = None
        if update.state is State.ALIVE and update.incarnation:
            bucket, value = _hash(update)
            self._digests[bucket] ^= value


def _hash(update: Update) -> tuple[int, int]:
    """Returns the bucket of a member and its share of the digest."""
    version = f"{update.name} {update.incarnation} {update.refutations}"
    bucket = xxhash.xxh32_intdigest(update.name.encode()) % BUCKETS
    return bucket, xxhash.xxh32_intdigest(version.encode())


class Rumours:
    """Updates to pass on, each a bounded number of times.

    A rumour that is still waiting after `RUMOUR_MS` is dropped: after a
    mass of changes the comparison of digests carries the rest.
    """

    __slots__ = ("_rumours", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rumours: dict[str, _Rumour] = {}
        self._rng = rng

    def __len__(self) -> int:
        return len(self._rumours)

    def add(self, update: Update, now_ms: int) -> None:
        """Passes on `update` in place of an older one of the member."""
        self._rumours[update.name] = _Rumour(update, now_ms + RUMOUR_MS)

    def pick(
        self, budget_bytes: int, members: int, now_ms: int
    ) -> list[Update]:
        """Returns the least often sent rumours that fit, and counts them.

        Args:
            budget_bytes: Room for their estimated size.
            members: Size of the fleet; sets how often each is sent.
            now_ms: Monotonic time.
        """
        if not self._rumours:
            return []
        waiting = list(self._rumours.values())
        self._rng.shuffle(waiting)
        waiting.sort(key=_times_sent)
        picked = fill((rumour.update for rumour in waiting), budget_bytes)
        limit = SPREAD_FACTOR * (members + 1).bit_length()
        for rumour in waiting[: len(picked)]:
            rumour.sent += 1
        for rumour in waiting:
            if rumour.sent >= limit or rumour.until_ms <= now_ms:
                del self._rumours[rumour.update.name]
        return picked


class _Rumour:
    """An update on its way."""

    __slots__ = ("update", "until_ms", "sent")

    def __init__(self, update: Update, until_ms: int) -> None:
        self.update = update
        self.until_ms = until_ms
        self.sent = 0


def _times_sent(rumour: _Rumour) -> int:
    return rumour.sent


def fill(updates: Iterable[Update], budget_bytes: int) -> list[Update]:
    """Returns the first of `updates` whose estimated size fits."""
    taken = []
    for update in updates:
        budget_bytes -= estimate_bytes(update)
        if budget_bytes < 0:
            break
        taken.append(update)
    return taken


def split_pages(updates: list[Update], pages: int) -> list[tuple[Update, ...]]:
    """Returns at most `pages` runs of updates that each fit a datagram."""
    split: list[tuple[Update, ...]] = []
    while updates and len(split) < pages:
        page = tuple(fill(updates, PAGE_BYTES))
        split.append(page)
        updates = updates[len(page) :]
    return split


def estimate_bytes(update: Update) -> int:
    """Returns an upper bound on the size of `update` in a datagram."""
    texts = (update.name, update.control, update.data_centre, update.region)
    return UPDATE_BYTES + sum(map(len, texts)) * 9 // 8
