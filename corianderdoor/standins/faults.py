"""Faults that a stand-in can be told to show."""

from __future__ import annotations

from typing import Final

FOREVER: Final = -1


class Faults:
    """Counts, per kind of fault, how many more calls show it."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def set(self, kind: str, count: int) -> None:
        """Shows `kind` on the next `count` calls; `FOREVER` until reset."""
        self._left[kind] = count

    def take(self, kind: str) -> bool:
        """Tells whether this call shows `kind`, and counts it."""
        left = self._left.get(kind, 0)
        if left > 0:
            self._left[kind] = left - 1
        return left != 0

    def listing(self) -> dict[str, int]:
        """Returns the faults that are set."""
        return {kind: left for kind, left in self._left.items() if left}
