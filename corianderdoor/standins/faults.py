"""Faults that can be injected into a stand-in."""

from __future__ import annotations

from typing import Final

FOREVER: Final = -1


class Faults:
    """Number of coming calls to inject each kind of fault into."""

    __slots__ = ("_remaining",)

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}

    def set(self, kind: str, count: int) -> None:
        """Injects `kind` into `count` calls; `FOREVER`: until it is reset."""
        self._remaining[kind] = count

    def consume(self, kind: str) -> bool:
        """Returns whether to inject `kind` into this call, and counts it."""
        left = self._remaining.get(kind, 0)
        if left > 0:
            self._remaining[kind] = left - 1
        return left != 0

    def remaining(self) -> dict[str, int]:
        """Returns the faults that are set, each with its number of calls."""
        return {kind: left for kind, left in self._remaining.items() if left}
