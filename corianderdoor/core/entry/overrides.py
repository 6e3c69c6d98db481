"""What hosts have in force in place of items of a restored store.

A digest of all that was listed in an era tells peers whether they know it.
It does not fall back when an entry leaves the list, so that it differs only
between hosts that knew something else before the restore.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from typing import Final, TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from .replica import Change

# In place of the digest of hosts of an earlier release, which tell only
# whether their list is empty.
UNTOLD_DIGEST: Final = 1
DIGEST_MASK: Final = 2**32 - 1


def misses_list(known: int, copied: Container[int], told: int) -> bool:
    """Returns whether a host has to copy the list of a peer.

    Args:
        known: Digest of what was listed here.
        copied: Digests of the lists that this host has copied in this era.
        told: Digest of the peer; 0 if its list is empty.
    """
    return told != 0 and told != known and told not in copied


def digest_entry(entry: Change) -> int:
    """Returns the digest of an entry; the time that is left is no part."""
    value = b"-" if entry.value is None else b"+" + entry.value
    return xxhash.xxh3_64_intdigest(entry.key.encode() + b"\0" + value)


def digest_list(listed: Iterable[int]) -> int:
    """Returns the digest of a list by those of its entries; 0 if empty."""
    digests = set(listed)
    if not digests:
        return 0
    return max(UNTOLD_DIGEST + 1, sum(digests) & DIGEST_MASK)


class Overrides:
    """What is in force in place of items of the copy, by key.

    An entry without a value stands for an item that is not used.
    """

    __slots__ = ("_entries", "_until_ms", "_listed", "_copied")

    def __init__(self) -> None:
        self._entries: dict[str, Change] = {}
        # When the entries that end by themselves do.
        self._until_ms: dict[str, int] = {}
        # Digests of all entries that were listed in this era, here or by
        # peers whose lists were copied.
        self._listed: set[int] = set()
        self._copied: set[int] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: str) -> bool:
        return key in self._entries

    def values(self) -> Iterable[Change]:
        """Returns the entries."""
        return self._entries.values()

    def put(self, entry: Change, until_ms: int | None = None) -> None:
        """Lists what is in force in place of an item.

        Args:
            entry: What is in force.
            until_ms: When it ends by itself; None if it does not.
        """
        self._entries[entry.key] = entry
        self._listed.add(digest_entry(entry))
        self._until_ms.pop(entry.key, None)
        if until_ms is not None:
            self._until_ms[entry.key] = until_ms

    def remove(self, key: str) -> None:
        """Takes an entry from the list, if there is one."""
        self._entries.pop(key, None)
        self._until_ms.pop(key, None)

    def extend(self, prefix: str, until_ms: int) -> None:
        """Keeps entries that would end by themselves at least until then."""
        for key, at_ms in self._until_ms.items():
            if key.startswith(prefix):
                self._until_ms[key] = max(at_ms, until_ms)

    def tick(self, now_ms: int) -> None:
        """Ends what is over, and updates the time that is left to the rest."""
        for key, until_ms in list(self._until_ms.items()):
            if until_ms <= now_ms:
                self.remove(key)
            else:
                left_ms = until_ms - now_ms
                self._entries[key] = self._entries[key].with_grace(left_ms)

    def begin_era(self, keeps: Callable[[str], bool]) -> None:
        """Forgets all entries but those of keys for which `keeps` holds."""
        self._entries = {
            key: entry for key, entry in self._entries.items() if keeps(key)
        }
        self._until_ms = {
            key: until_ms
            for key, until_ms in self._until_ms.items()
            if key in self._entries
        }
        self._listed = set(map(digest_entry, self._entries.values()))
        self._copied.clear()

    @property
    def listed(self) -> tuple[int, ...]:
        """The digests of all that was listed; none once the list is empty."""
        return tuple(sorted(self._listed)) if self._entries else ()

    @property
    def digest(self) -> int:
        """The digest of all that was listed; 0 once the list is empty."""
        return digest_list(self._listed) if self._entries else 0

    def misses(self, told: int) -> bool:
        """Returns whether the list of a peer is to be copied.

        Args:
            told: Digest of the peer; 0 if its list is empty.
        """
        return misses_list(digest_list(self._listed), self._copied, told)

    def record_copy(
        self, entries: Iterable[Change], listed: Iterable[int]
    ) -> list[Change]:
        """Records that the list of a peer was copied.

        Args:
            entries: The list.
            listed: Digests of all that was on it; none if the peer, of an
                earlier release, does not tell.

        Returns:
            The entries that are new here. What was listed before and no
            longer is has ended here.
        """
        new = [
            entry
            for entry in entries
            if digest_entry(entry) not in self._listed
        ]
        self._copied.add(digest_list(listed) or UNTOLD_DIGEST)
        self._listed.update(listed, map(digest_entry, entries))
        return new
