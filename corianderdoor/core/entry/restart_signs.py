"""Signs that servers have restarted, and what shows that they have not."""

from __future__ import annotations

from typing import Final

# Time after the first answer of a server that is back in which its entry has
# arrived here if the store is in contact: it writes the entry up to 0.8 s
# after it listens, and hosts know of it within 0.3 s.
TOLD_MS: Final = 1_500
# Answers this soon after a sign may have been sent before the crash.
BUFFERED_MS: Final = 250
# The entry of a server that stays away is removed before.
SILENT_MS: Final = 10_000


class RestartSigns:
    """The last sign of each server, and its first answer since.

    A sign counts until the entry of a later process would be here.
    """

    __slots__ = ("_signs", "_answered")

    def __init__(self) -> None:
        self._signs: dict[str, int] = {}
        self._answered: dict[str, int] = {}

    def __contains__(self, server_id: str) -> bool:
        """Returns whether a server has a sign."""
        return server_id in self._signs

    def __len__(self) -> int:
        """Returns the number of servers with a sign."""
        return len(self._signs)

    def add(self, server_id: str, now_ms: int) -> None:
        """Records a sign."""
        self._signs[server_id] = now_ms
        self._answered.pop(server_id, None)

    def record_answer(self, server_id: str, now_ms: int) -> None:
        """Records that a server has begun to answer a request."""
        if self.may_be_next(server_id, now_ms):
            self._answered.setdefault(server_id, now_ms)

    def may_be_next(self, server_id: str, now_ms: int) -> bool:
        """Returns whether an answer may be of a process after the sign."""
        sign_ms = self._signs.get(server_id)
        return sign_ms is not None and now_ms - sign_ms >= BUFFERED_MS

    def is_unanswered(self, server_id: str) -> bool:
        """Returns whether a server has not answered since its last sign."""
        return server_id in self._signs and server_id not in self._answered

    def last_ms(self, server_id: str) -> int | None:
        """Returns when the last sign came; None without one."""
        return self._signs.get(server_id)

    def are_disproved(
        self, server_id: str, contact_ms: int, since_ms: int
    ) -> bool:
        """Returns whether the entry of a later process would be here by now.

        Args:
            server_id: Id of the server.
            contact_ms: When the store last was in contact.
            since_ms: When servers could write their entries again, if the
                store was away.
        """
        sign_ms = self._signs.get(server_id)
        if sign_ms is None:
            return True
        if contact_ms - max(sign_ms, since_ms) >= SILENT_MS:
            return True
        answered_ms = self._answered.get(server_id)
        if answered_ms is None:
            return False
        return contact_ms - max(answered_ms, since_ms) >= TOLD_MS

    def drop(self, server_id: str) -> None:
        """Drops what is known of a server."""
        self._signs.pop(server_id, None)
        self._answered.pop(server_id, None)

    def retain(self, ids: frozenset[str]) -> None:
        """Drops what is known of all servers but `ids`."""
        for times in (self._signs, self._answered):
            for name in times.keys() - ids:
                del times[name]
