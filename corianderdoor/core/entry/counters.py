"""Counters of an entry host, cheap enough to be always on."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

Labels = tuple[tuple[str, str], ...]


class Counters:
    """Totals by name and labels.

    Label values come from fixed sets, which bounds the number of totals.

    Attributes:
        on_latency: Called with the kind of a request and its time to the
            first byte of the answer in ms; None until metrics are read.
    """

    __slots__ = ("on_latency", "_totals")

    def __init__(self) -> None:
        self.on_latency: Callable[[str, float], None] | None = None
        self._totals: dict[str, Counter[Labels]] = {}

    def add(self, name: str, count: int = 1, **labels: str) -> None:
        """Adds `count` to the total `name`."""
        key = tuple(sorted(labels.items()))
        self._totals.setdefault(name, Counter())[key] += count

    def record_latency(self, kind: str, latency_ms: float) -> None:
        """Reports how long a caller waited for the first byte."""
        if self.on_latency is not None:
            self.on_latency(kind, latency_ms)

    def read(self, name: str) -> Iterator[tuple[Labels, int]]:
        """Yields the totals `name` with their labels."""
        yield from self._totals.get(name, Counter()).items()
