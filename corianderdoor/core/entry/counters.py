"""Counts of what an entry host did, cheap enough to keep always."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

Labels = tuple[tuple[str, str], ...]


class Counters:
    """Totals by name and labels. Label values come from closed sets.

    Attributes:
        on_latency: Takes the kind of a request and its time to the first
            byte of the answer in ms; None until someone asks for it.
    """

    __slots__ = ("on_latency", "_totals")

    def __init__(self) -> None:
        self.on_latency: Callable[[str, float], None] | None = None
        self._totals: dict[str, Counter[Labels]] = {}

    def add(self, name: str, count: int = 1, **labels: str) -> None:
        """Adds `count` to the total called `name`."""
        key = tuple(sorted(labels.items()))
        self._totals.setdefault(name, Counter())[key] += count

    def record_latency(self, kind: str, latency_ms: float) -> None:
        """Hands on how long a caller waited for the first byte."""
        if self.on_latency is not None:
            self.on_latency(kind, latency_ms)

    def read(self, name: str) -> Iterator[tuple[Labels, int]]:
        """Yields the totals called `name`."""
        yield from self._totals.get(name, Counter()).items()
