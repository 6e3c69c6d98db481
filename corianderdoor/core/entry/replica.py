"""Replica of the store's items, which entry hosts keep and pass on."""

from __future__ import annotations

from collections.abc import Iterable
from collections import deque
from typing import Final

from ..records import Record
from .overrides import Overrides

# Tombstones that are kept for peers that are behind; a peer that is further
# behind gets a full page.
MAX_TOMBSTONES: Final = 2_000


def is_ahead(
    era: int, revision: int, than_era: int, than_revision: int
) -> bool:
    """Returns whether a revision is newer than another one.

    Revisions are given out again in each era of the store, so they are
    compared within one era only.
    """
    return (era, revision) > (than_era, than_revision)


def may_merge(held_era: int, page_era: int, full: bool) -> bool:
    """Returns whether a page can be applied to a replica.

    Only a full page leads to a new era: changes alone would be put on items
    that the store has lost.
    """
    return page_era == held_era or (page_era > held_era and full)


def keeps_override(former: bytes | None, now: bytes | None) -> bool:
    """Returns whether what is in force in place of an item stays listed.

    An item that is the same in one more copy is no change, by which a host
    would decide anew.

    Args:
        former: The item's value in the era before; None without an item.
        now: The same in the new era.
    """
    return former == now


def owns_lease(lease_era: int, known_era: int) -> bool:
    """Returns whether a lease is still the one that was granted.

    The store gives the ids of lost leases out again in a new era.
    """
    return lease_era == known_era


class Change(Record):
    """The write or the removal of a key at a revision.

    Attributes:
        key: The key.
        value: Value of the key; None if it was removed.
        revision: Revision of the change.
        grace_ms: How long the key may come back after its removal, because
            its lease may have expired only in an outage of the store; 0 if
            the removal is final.
    """

    __slots__ = ("key", "value", "revision", "grace_ms")

    def __init__(
        self,
        key: str,
        value: bytes | None,
        revision: int,
        grace_ms: int = 0,
    ) -> None:
        self.key = key
        self.value = value
        self.revision = revision
        self.grace_ms = grace_ms

    def with_grace(self, grace_ms: int) -> Change:
        """Returns the change with another time."""
        return Change(self.key, self.value, self.revision, grace_ms)


class Page(Record):
    """Changes up to a revision.

    Attributes:
        changes: The changes.
        revision: Revision up to which the page covers all changes.
        full: Whether the page has all items of the store, so that other keys
            do not exist.
        era: Era of the store; rises when it is restored from a copy.
        restored_revision: Items up to this revision may come from the copy
            from which the store was restored; 0 if none is known to.
        overrides: What the sender has in force in place of items of that
            copy; without a value, an item that it does not use.
        listed: Digests of all that it has had listed there in this era; none
            from a sender of an earlier release.
    """

    __slots__ = (
        "changes",
        "revision",
        "full",
        "era",
        "restored_revision",
        "overrides",
        "listed",
    )

    def __init__(
        self,
        changes: tuple[Change, ...],
        revision: int,
        full: bool,
        era: int = 0,
        restored_revision: int = 0,
        overrides: tuple[Change, ...] = (),
        listed: tuple[int, ...] = (),
    ) -> None:
        self.listed = listed
        self.overrides = overrides
        self.era = era
        self.restored_revision = restored_revision
        self.changes = changes
        self.revision = revision
        self.full = full


def _value_of(items: dict[str, Change], key: str) -> bytes | None:
    item = items.get(key)
    return None if item is None else item.value


class Replica:
    """Items by key, each at its newest known revision.

    A change replaces only an older one. A removal leaves a tombstone with
    its revision, so that a late copy of the item does not restore it. All
    items are of one era of the store.

    Attributes:
        era: Era of the store.
        restored_revision: Items up to this revision may come from the copy
            from which the store was restored.
        revision: Newest revision up to which all changes are known.
        changed_revision: Newest revision at which an item here changed.
        overrides: What is in force in place of items of that copy.
    """

    __slots__ = (
        "era",
        "restored_revision",
        "revision",
        "changed_revision",
        "overrides",
        "_items",
        "_tombstones",
        "_tombstone_order",
        "_trimmed_revision",
    )

    def __init__(self) -> None:
        self.era = 0
        self.restored_revision = 0
        self.revision = 0
        self.changed_revision = 0
        self.overrides = Overrides()
        self._items: dict[str, Change] = {}
        self._tombstones: dict[str, Change] = {}
        self._tombstone_order: deque[tuple[int, str]] = deque()
        self._trimmed_revision = 0

    def apply(self, page: Page, grace_ms: int = 0) -> list[Change]:
        """Merges `page` and returns the changes that it made here.

        Args:
            page: Changes, or all items of the store.
            grace_ms: How long an item may come back that is missing from a
                full page.
        """
        if not may_merge(self.era, page.era, page.full):
            return []
        if page.era > self.era:
            return self._replace(page, grace_ms)
        merged = [change for change in page.changes if self._merge(change)]
        if page.full:
            named = {change.key for change in page.changes}
            lost = [
                item
                for item in self._items.values()
                if item.key not in named and item.revision <= page.revision
            ]
            for item in lost:
                removal = Change(item.key, None, page.revision, grace_ms)
                self._merge(removal)
                merged.append(removal)
        if page.full and page.revision > self.revision:
            # What came and went since the last change here is not known.
            self._trimmed_revision = page.revision
        self.revision = max(self.revision, page.revision)
        newest = max((change.revision for change in merged), default=0)
        self.changed_revision = max(self.changed_revision, newest)
        return merged

    def _replace(self, page: Page, grace_ms: int) -> list[Change]:
        """Replaces all items by those of a newer era.

        Returns:
            The items whose values are new here, and the removals of those
            that are missing.
        """
        former = self._items
        self._items = {
            change.key: change
            for change in page.changes
            if change.value is not None
        }
        # The others are decided anew, as their items differ.
        self.overrides.begin_era(
            lambda key: keeps_override(
                _value_of(former, key), _value_of(self._items, key)
            )
        )
        merged = [
            change
            for key, change in self._items.items()
            if key not in former or former[key].value != change.value
        ]
        removals = [
            Change(key, None, page.revision, grace_ms)
            for key in former
            if key not in self._items
        ]
        self._tombstones = {change.key: change for change in removals}
        self._tombstone_order = deque(
            (change.revision, change.key) for change in removals
        )
        # What was removed before this page is not known.
        self._trimmed_revision = page.revision
        if self.revision > 0:
            self.restored_revision = page.restored_revision or page.revision
        else:
            self.restored_revision = page.restored_revision
        self.era = page.era
        self.revision = page.revision
        self.changed_revision = page.revision
        return merged + removals

    def _merge(self, change: Change) -> bool:
        known = self._items.get(change.key) or self._tombstones.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        if change.value is None:
            had = self._items.pop(change.key, None)
            self._tombstones[change.key] = change
            self._tombstone_order.append((change.revision, change.key))
            self._trim_tombstones()
            return had is not None
        self._tombstones.pop(change.key, None)
        self._items[change.key] = change
        return True

    def _trim_tombstones(self) -> None:
        while len(self._tombstone_order) > MAX_TOMBSTONES:
            revision, key = self._tombstone_order.popleft()
            removed = self._tombstones.get(key)
            if removed is not None and removed.revision == revision:
                del self._tombstones[key]
                self._trimmed_revision = max(self._trimmed_revision, revision)

    def changes_since(self, revision: int) -> Page:
        """Returns the changes after `revision`.

        Returns a full page if `revision` is 0 or if the tombstones since
        then are not all kept.
        """
        if revision <= 0 or revision < self._trimmed_revision:
            return self._page(self._items.values(), True)
        newer = [
            change
            for part in (self._items, self._tombstones)
            for change in part.values()
            if change.revision > revision
        ]
        return self._page(newer, False)

    def _page(self, changes: Iterable[Change], full: bool) -> Page:
        return Page(
            tuple(changes),
            self.revision,
            full,
            self.era,
            self.restored_revision,
            tuple(self.overrides.values()),
            self.overrides.listed,
        )

    def misses(self, era: int, told: int) -> bool:
        """Returns whether the overrides of a peer are to be copied.

        Args:
            era: Era of the peer's replica.
            told: Digest of its overrides; 0 if it has none.
        """
        return era == self.era and self.overrides.misses(told)

    def changes_in_force(self) -> dict[str, Change]:
        """Returns the items by key, or what is in force in their place."""
        return {
            change.key: change
            for part in (self._items, self.overrides)
            for change in part.values()
        }

    def was_written_after(self, key: str, revision: int) -> bool:
        """Returns whether an item was written or removed after `revision`."""
        known = self._items.get(key) or self._tombstones.get(key)
        return known is not None and known.revision > revision

    def get(self, key: str) -> Change | None:
        """Returns the item `key`; None if it does not exist."""
        return self._items.get(key)

    def items(self) -> Iterable[Change]:
        """Returns the existing items."""
        return self._items.values()
