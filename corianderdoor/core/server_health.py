"""Pauses of backend servers after failed attempts."""

from __future__ import annotations

from typing import Final

MIN_PAUSE_MS: Final = 1_000
MAX_PAUSE_MS: Final = 30_000


class ServerHealth:
    """Pauses servers that are at fault for a failed attempt.

    Such a server crashed, accepted no connection, sent no data on a new
    one, or answered another request. The pause doubles with each failure
    and ends with a complete answer. A paused server still gets requests if
    its pool has no other.
    State is one entry for each server paused since its last complete
    answer.
    """

    __slots__ = ("_pauses",)

    def __init__(self) -> None:
        self._pauses: dict[str, tuple[int, int]] = {}

    def record_failure(self, name: str, now_ms: int) -> None:
        """Pauses `name`; ignores further failures during a pause."""
        length_ms, until_ms = self._pauses.get(name, (0, 0))
        if now_ms < until_ms:
            return
        length_ms = min(MAX_PAUSE_MS, max(MIN_PAUSE_MS, 2 * length_ms))
        self._pauses[name] = (length_ms, now_ms + length_ms)

    def pause_for(self, name: str, delay_ms: int, now_ms: int) -> None:
        """Pauses `name` for the time that the server asked for."""
        length_ms, until_ms = self._pauses.get(name, (0, 0))
        delay_ms = min(delay_ms, MAX_PAUSE_MS)
        self._pauses[name] = (length_ms, max(until_ms, now_ms + delay_ms))

    def record_success(self, name: str) -> None:
        """Ends the pause of `name` after a complete answer."""
        if self._pauses:
            self._pauses.pop(name, None)

    def paused(self, now_ms: int) -> frozenset[str]:
        """Returns the names of the servers that are paused now."""
        return frozenset(
            name
            for name, (_, until_ms) in self._pauses.items()
            if now_ms < until_ms
        )

    def retain(self, names: frozenset[str]) -> None:
        """Drops the entries of servers that are not in `names`."""
        for name in self._pauses.keys() - names:
            del self._pauses[name]
