"""Differences between consecutive stored forms of the configuration."""

from __future__ import annotations

from .records import Record

MAX_DELTAS = 64
MAX_DELTA_BYTES = 65_536


class Delta(Record):
    """A replacement of one range of bytes.

    Attributes:
        base: Revision that it applies to.
        revision: Revision that it produces.
        start: Offset of the first byte replaced.
        end: Offset after the last byte replaced.
        middle: The replacement.
    """

    __slots__ = ("base", "revision", "start", "end", "middle")

    def __init__(
        self, base: int, revision: int, start: int, end: int, middle: bytes
    ) -> None:
        self.base = base
        self.revision = revision
        self.start = start
        self.end = end
        self.middle = middle

    def apply(self, old: bytes) -> bytes:
        """Returns `old` with the range replaced."""
        return old[: self.start] + self.middle + old[self.end :]


def build_delta(base: int, old: bytes, revision: int, new: bytes) -> Delta:
    """Returns the delta that turns `old` into `new`."""
    start = _common_prefix(old, new)
    limit = min(len(old), len(new)) - start
    tail = min(limit, _common_prefix(old[::-1], new[::-1]))
    middle = new[start : len(new) - tail]
    return Delta(base, revision, start, len(old) - tail, middle)


def _common_prefix(one: bytes, two: bytes) -> int:
    low, high = 0, min(len(one), len(two))
    while low < high:
        middle = (low + high + 1) // 2
        if one[low:middle] == two[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


class ConfigArchive:
    """The newest stored form and the latest deltas that led to it.

    Attributes:
        revision: Revision of the newest stored form; 0 if there is none.
        raw: The newest stored form.
    """

    __slots__ = ("revision", "raw", "_deltas")

    def __init__(self) -> None:
        self.revision = 0
        self.raw = b""
        self._deltas: list[Delta] = []

    def put(self, revision: int, raw: bytes) -> None:
        """Stores a newer form; ignores one that is not newer."""
        if revision <= self.revision:
            return
        if self.revision:
            delta = build_delta(self.revision, self.raw, revision, raw)
            self._deltas.append(delta)
            self._trim()
        self.revision, self.raw = revision, raw

    def since(self, revision: int) -> list[Delta] | None:
        """Returns the deltas after `revision`; None if any was dropped."""
        if revision == self.revision:
            return []
        for place, delta in enumerate(self._deltas):
            if delta.base == revision:
                return self._deltas[place:]
        return None

    def _trim(self) -> None:
        size = sum(len(delta.middle) for delta in self._deltas)
        while self._deltas and (
            size > MAX_DELTA_BYTES or len(self._deltas) > MAX_DELTAS
        ):
            size -= len(self._deltas.pop(0).middle)
