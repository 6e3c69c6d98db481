"""The table of fleet members and the queue of updates to gossip."""

from __future__ import annotations

from collections.abc import Iterable
import random
from typing import Final

import xxhash

from .membership_messages import State, Update

BUCKETS: Final = 16
MAX_MEMBERS: Final = 4_096
DEAD_RETENTION_MS: Final = 3_600_000
UPDATE_BYTES: Final = 64
PAGE_BYTES: Final = 900
RETRANSMIT_FACTOR: Final = 2
MAX_QUEUED_MS: Final = 15_000


class Member:
    """State of one other daemon.

    Attributes:
        update: The newest update about it.
        changed_ms: When its state last changed, in ms of monotonic time.
        suspect: Whether it missed the first rounds of a probe.
        listed: Whether it was on the platform's host list when last read.
    """

    __slots__ = ("update", "changed_ms", "suspect", "listed")

    def __init__(self, update: Update, now_ms: int) -> None:
        self.update = update
        self.changed_ms = now_ms
        self.suspect = False
        self.listed = False


class MemberTable:
    """All other daemons, alive or not, with digests for anti-entropy."""

    __slots__ = ("_members", "_digests", "_alive")

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._digests = [0] * BUCKETS
        self._alive: tuple[Update, ...] | None = None

    def get(self, name: str) -> Member | None:
        """Returns the member `name`, or None if it is unknown."""
        return self._members.get(name)

    def all(self) -> Iterable[Member]:
        """Returns every member, alive or not."""
        return self._members.values()

    def alive(self) -> tuple[Update, ...]:
        """Returns the members believed alive, sorted by name."""
        if self._alive is None:
            self._alive = tuple(
                member.update
                for _, member in sorted(self._members.items())
                if member.update.state is State.ALIVE
            )
        return self._alive

    def merge(self, update: Update, now_ms: int) -> bool:
        """Applies `update` if it is newer; returns whether it was applied.

        An update that reports an unknown member as dead or left is ignored:
        otherwise removed members would come back through gossip.
        """
        member = self._members.get(update.name)
        if member is None:
            if update.state is not State.ALIVE:
                return False
            if len(self._members) >= MAX_MEMBERS:
                return False
            self._members[update.name] = Member(update, now_ms)
            self._toggle_digest(update)
            return True
        if update.version_key() <= member.update.version_key():
            return False
        self._toggle_digest(member.update)
        self._toggle_digest(update)
        if member.update.state is not update.state:
            member.changed_ms = now_ms
        member.update = update
        member.suspect = False
        return True

    def expire(self, now_ms: int) -> list[str]:
        """Removes members dead or left for long; returns their names.

        A member stays while the platform lists it.
        """
        expired = [
            name
            for name, member in self._members.items()
            if member.update.state is not State.ALIVE
            and not member.listed
            and now_ms - member.changed_ms >= DEAD_RETENTION_MS
        ]
        for name in expired:
            del self._members[name]
        return expired

    def bucket_digests(self, own: Update) -> tuple[int, ...]:
        """Returns the digest of each bucket, including `own`."""
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

    def differing_updates(
        self, own: Update, digests: tuple[int, ...]
    ) -> list[Update]:
        """Returns the updates in buckets whose digests differ.

        Args:
            own: The update about this daemon.
            digests: The digest of each bucket at the peer.
        """
        own_digests = self.bucket_digests(own)
        differing_buckets = {
            bucket
            for bucket in range(BUCKETS)
            if own_digests[bucket] != digests[bucket]
        }
        known = [member.update for member in self._members.values()]
        return [
            update
            for update in (own, *known)
            if update.incarnation and _hash(update)[0] in differing_buckets
        ]

    def _toggle_digest(self, update: Update) -> None:
        """Adds `update` to its bucket's digest, or removes it."""
        self._alive = None
        if update.state is State.ALIVE and update.incarnation:
            bucket, value = _hash(update)
            self._digests[bucket] ^= value


def _hash(update: Update) -> tuple[int, int]:
    """Returns a member's bucket and the value it adds to the digest."""
    version = f"{update.name} {update.incarnation} {update.refutations}"
    bucket = xxhash.xxh32_intdigest(update.name.encode()) % BUCKETS
    return bucket, xxhash.xxh32_intdigest(version.encode())


class GossipQueue:
    """Updates to gossip, each a bounded number of times.

    An update that is still queued after `MAX_QUEUED_MS` is dropped: after
    many changes at once the comparison of digests spreads the rest.
    """

    __slots__ = ("_queued", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._queued: dict[str, _QueuedUpdate] = {}
        self._rng = rng

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, update: Update, now_ms: int) -> None:
        """Queues `update`; replaces the queued one about the same member."""
        self._queued[update.name] = _QueuedUpdate(
            update, now_ms + MAX_QUEUED_MS
        )

    def pick(
        self, budget_bytes: int, members: int, now_ms: int
    ) -> list[Update]:
        """Returns the least often sent updates that fit; counts the send.

        Args:
            budget_bytes: Limit of their estimated size, in bytes.
            members: Number of members; each update is sent a number of
                times that grows with its logarithm.
            now_ms: Monotonic time, in ms.
        """
        if not self._queued:
            return []
        candidates = list(self._queued.values())
        self._rng.shuffle(candidates)
        candidates.sort(key=_send_count)
        picked = take_fitting(
            (queued.update for queued in candidates), budget_bytes
        )
        limit = RETRANSMIT_FACTOR * (members + 1).bit_length()
        for queued in candidates[: len(picked)]:
            queued.send_count += 1
        for queued in candidates:
            if queued.send_count >= limit or queued.expires_ms <= now_ms:
                del self._queued[queued.update.name]
        return picked


class _QueuedUpdate:
    """A queued update and how often it was sent."""

    __slots__ = ("update", "expires_ms", "send_count")

    def __init__(self, update: Update, expires_ms: int) -> None:
        self.update = update
        self.expires_ms = expires_ms
        self.send_count = 0


def _send_count(queued: _QueuedUpdate) -> int:
    return queued.send_count


def take_fitting(updates: Iterable[Update], budget_bytes: int) -> list[Update]:
    """Returns the longest prefix of `updates` whose estimated size fits."""
    fitting = []
    for update in updates:
        budget_bytes -= estimate_bytes(update)
        if budget_bytes < 0:
            break
        fitting.append(update)
    return fitting


def split_pages(
    updates: list[Update], max_pages: int
) -> list[tuple[Update, ...]]:
    """Returns at most `max_pages` pages that each fit a datagram."""
    split: list[tuple[Update, ...]] = []
    while updates and len(split) < max_pages:
        page = tuple(take_fitting(updates, PAGE_BYTES))
        split.append(page)
        updates = updates[len(page) :]
    return split


def estimate_bytes(update: Update) -> int:
    """Returns an upper bound on the size of `update` in bytes."""
    texts = (update.name, update.control, update.data_centre, update.region)
    return UPDATE_BYTES + sum(map(len, texts)) * 9 // 8
