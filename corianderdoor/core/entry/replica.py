"""A copy of the store's items that entry hosts keep and hand on."""

from __future__ import annotations

from collections.abc import Iterable
from collections import deque
from typing import Final

from ..records import Record

# Removals that are remembered for peers that are behind; a peer that is
# further behind gets the whole copy.
MAX_REMOVALS: Final = 2_000


class Change(Record):
    """A key as written at a revision, or its removal.

    Attributes:
        key: The key.
        value: Its value; None if it was removed.
        revision: Revision of the change.
        grace_ms: How long a removal may still be undone, because the entry
            may have lapsed in an outage of the store; 0 if it is final.
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


class Page(Record):
    """Changes up to a revision.

    Attributes:
        changes: The changes.
        revision: All up to this revision are covered.
        whole: Whether keys that are not named do not exist.
    """

    __slots__ = ("changes", "revision", "full")

    def __init__(
        self, changes: tuple[Change, ...], revision: int, full: bool
    ) -> None:
        self.changes = changes
        self.revision = revision
        self.full = full


class Replica:
    """Items by key, each at its newest known revision.

    Nothing goes back: an item replaces only an older one. Removals are
    remembered with their revisions, so that a late copy of the item does
    not bring it back.

    Attributes:
        revision: Newest revision up to which all changes are known.
        changed: Newest revision at which an item here changed.
    """

    __slots__ = (
        "revision",
        "changed_revision",
        "_items",
        "_removed",
        "_order",
        "_floor",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.changed_revision = 0
        self._items: dict[str, Change] = {}
        self._removed: dict[str, Change] = {}
        self._order: deque[tuple[int, str]] = deque()
        self._floor = 0

    def apply(self, page: Page, grace_ms: int = 0) -> list[Change]:
        """Takes `page` and returns what it changes here.

        Args:
            page: Changes, or all items that there are.
            grace_ms: How long the removal of an item that is missing from
                a whole page may still be undone.
        """
        taken = [change for change in page.changes if self._take(change)]
        if page.full:
            named = {change.key for change in page.changes}
            lost = [
                item
                for item in self._items.values()
                if item.key not in named and item.revision <= page.revision
            ]
            for item in lost:
                gone = Change(item.key, None, page.revision, grace_ms)
                self._take(gone)
                taken.append(gone)
        self.revision = max(self.revision, page.revision)
        newest = max((change.revision for change in taken), default=0)
        self.changed_revision = max(self.changed_revision, newest)
        return taken

    def _take(self, change: Change) -> bool:
        known = self._items.get(change.key) or self._removed.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        if change.value is None:
            had = self._items.pop(change.key, None)
            self._removed[change.key] = change
            self._order.append((change.revision, change.key))
            self._trim()
            return had is not None
        self._removed.pop(change.key, None)
        self._items[change.key] = change
        return True

    def _trim(self) -> None:
        while len(self._order) > MAX_REMOVALS:
            revision, key = self._order.popleft()
            removed = self._removed.get(key)
            if removed is not None and removed.revision == revision:
                del self._removed[key]
                self._floor = max(self._floor, revision)

    def changes_since(self, revision: int) -> Page:
        """Returns what changed after `revision`."""
        if revision <= 0 or revision < self._floor:
            return Page(tuple(self._items.values()), self.revision, True)
        newer = [
            change
            for part in (self._items, self._removed)
            for change in part.values()
            if change.revision > revision
        ]
        return Page(tuple(newer), self.revision, False)

    def items(self) -> Iterable[Change]:
        """Returns the items that exist."""
        return self._items.values()
