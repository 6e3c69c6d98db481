"""Faults that a stand-in can be told to show."""

from __future__ import annotations

from typing import Final

FOREVER: Final = -1


class Faults:
    """Counts, per kind of fault, how many more calls show it."""

    __slots__ = ("_remaining",)

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}

    def set(self, kind: str, count: int) -> None:
        """Shows `kind` on the next `count` calls; `FOREVER` until reset."""
        self._remaining[kind] = count

    def consume(self, kind: str) -> bool:
        """Tells whether this call shows `kind`, and counts it."""
        left = self._remaining.get(kind, 0)
        if left > 0:
            self._remaining[kind] = left - 1
        return left != 0

    def remaining(self) -> dict[str, int]:
        """Returns the faults that are set."""
        return {kind: left for kind, left in self._remaining.items() if left}
