"""Which servers to pass over for a while, by what attempts met there."""

from __future__ import annotations

from typing import Final

FIRST_PAUSE_MS: Final = 1_000
LONGEST_PAUSE_MS: Final = 30_000


class ServerHealth:
    """Pauses servers that took no connection or stayed silent on a new one.

    The pause doubles with each accusation and ends with a whole answer. A
    paused server still gets work where its pool has no other.
    State is one entry for each server accused since its last whole answer.
    """

    __slots__ = ("_pauses",)

    def __init__(self) -> None:
        self._pauses: dict[str, tuple[int, int]] = {}

    def accuse(self, name: str, now_ms: int) -> None:
        """Pauses `name`; once for all that fails within one pause."""
        length_ms, until_ms = self._pauses.get(name, (0, 0))
        if now_ms < until_ms:
            return
        length_ms = min(LONGEST_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * length_ms))
        self._pauses[name] = (length_ms, now_ms + length_ms)

    def defer(self, name: str, delay_ms: int, now_ms: int) -> None:
        """Pauses `name` for as long as it asked for itself."""
        length_ms, until_ms = self._pauses.get(name, (0, 0))
        delay_ms = min(delay_ms, LONGEST_PAUSE_MS)
        self._pauses[name] = (length_ms, max(until_ms, now_ms + delay_ms))

    def clear(self, name: str) -> None:
        """Ends the pause of `name`, which gave a whole answer."""
        if self._pauses:
            self._pauses.pop(name, None)

    def paused(self, now_ms: int) -> frozenset[str]:
        """Returns the names that are paused now."""
        return frozenset(
            name
            for name, (_, until_ms) in self._pauses.items()
            if now_ms < until_ms
        )

    def keep(self, names: frozenset[str]) -> None:
        """Forgets all but `names`, the servers that are listed."""
        for name in self._pauses.keys() - names:
            del self._pauses[name]
