"""Counts and logs records of the store that can't be used."""

from __future__ import annotations

from ..adapters.logs import log_event
from ..core.entry.counters import Counters


class RefusedRecords:
    """Holds the keys whose current value is refused, and what is wrong."""

    __slots__ = ("_counters", "_fields")

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._fields: dict[str, str] = {}

    def record(self, key: str, field: str, detail: str) -> None:
        """Counts a refused value, and logs it unless the last one was alike.

        Args:
            key: Key of the record.
            field: Name of the invalid field; empty if there is no such field.
            detail: What is wrong.
        """
        self._counters.add("refused_records", field=field or "none")
        if self._fields.get(key) == field:
            return
        self._fields[key] = field
        log_event(
            "record_invalid", "WARNING", key=key, field=field, detail=detail
        )

    def forget(self, key: str) -> None:
        """Forgets a key that has a valid value again, or none."""
        self._fields.pop(key, None)
