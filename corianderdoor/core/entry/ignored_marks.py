"""Bounds the log lines on unusable marks in servers' answers."""

from __future__ import annotations

from typing import Final

from ..clock import MS_PER_SECOND

# Shortest time between two lines on the same kind of mark.
LINE_INTERVAL_MS: Final = MS_PER_SECOND


class IgnoredMarks:
    """Counts unusable marks by kind, and says when to log them.

    The kinds come from a fixed set, which bounds the number of records.
    """

    __slots__ = ("_unlogged", "_next_line_ms")

    def __init__(self) -> None:
        self._unlogged: dict[str, int] = {}
        self._next_line_ms: dict[str, int] = {}

    def record(self, kind: str, now_ms: int) -> int:
        """Counts one mark.

        Returns:
            The number of marks that a log line now due stands for; 0 if no
            line is due.
        """
        count = self._unlogged.get(kind, 0) + 1
        if now_ms < self._next_line_ms.get(kind, now_ms):
            self._unlogged[kind] = count
            return 0
        self._unlogged[kind] = 0
        self._next_line_ms[kind] = now_ms + LINE_INTERVAL_MS
        return count
