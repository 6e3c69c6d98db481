"""Servers that left, and entries of servers that are older than what is known.

A store that was restored, or that executes a write late, may list them again.
"""

from __future__ import annotations

from typing import Final, TYPE_CHECKING

if TYPE_CHECKING:
    from .servers import BackendServer

# Departures are remembered for longer than the age of any copy from which
# the store is restored (the operators specify some seconds).
REMEMBERED_MS: Final = 120_000
MAX_REMEMBERED: Final = 2_000
# A held back server is used again if the store lists it for this long, as
# the platform removes entries after three heartbeats of silence.
HELD_BACK_MS: Final = 10_000
# The store executes a write that got no answer up to six seconds late (the
# operators specify it).
LATE_WRITE_MS: Final = 7_000


class DepartedServers:
    """The servers that left, and the entries that are held back.

    A restored store may list a server that left after the copy was made, and
    a late write may replace a newer entry. Such an entry is held back until
    the server writes again.
    """

    __slots__ = ("_departed", "_held_back")

    def __init__(self) -> None:
        self._departed: dict[str, tuple[BackendServer, int]] = {}
        self._held_back: dict[str, tuple[BackendServer, int]] = {}

    def record(self, server: BackendServer, now_ms: int) -> None:
        """Records that `server` left."""
        self._departed.pop(server.id, None)
        self._departed[server.id] = (server, now_ms + REMEMBERED_MS)
        while len(self._departed) > MAX_REMEMBERED:
            del self._departed[next(iter(self._departed))]

    def forget(self, server_id: str) -> None:
        """Forgets a server, which is listed anew."""
        self._departed.pop(server_id, None)
        self._held_back.pop(server_id, None)

    def stop_holding(self, server_id: str) -> None:
        """Stops holding back a server whose entry is gone again."""
        self._held_back.pop(server_id, None)

    def hold_back(self, server: BackendServer, now_ms: int) -> bool:
        """Holds back a server listed by a restored store, if it had left.

        Returns:
            Whether it is held back; False for an incarnation that is newer
            than the one that left.
        """
        departed, until_ms = self._departed.get(server.id, (None, 0))
        if departed is None or until_ms <= now_ms:
            return False
        if not server.is_no_newer_than(departed):
            return False
        self.hold(server, now_ms + HELD_BACK_MS)
        return True

    def hold(self, server: BackendServer, until_ms: int) -> None:
        """Holds an entry back; a later one of its server prolongs nothing."""
        _, held_ms = self._held_back.get(server.id, (None, until_ms))
        self._held_back[server.id] = (server, min(held_ms, until_ms))

    def is_overtaken(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether an entry was written before its server left."""
        departed, until_ms = self._departed.get(server.id, (None, 0))
        if departed is None or until_ms <= now_ms:
            return False
        return server.was_written_before(departed)

    def left_lately(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether a late write may list a server that left.

        The last entry that is known need not be the last one that the server
        wrote: the store keeps an entry that changes in its number alone.
        """
        departed, until_ms = self._departed.get(server.id, (None, 0))
        if departed is None or not server.same_incarnation(departed):
            return False
        if server.id in self._held_back:
            return False
        return now_ms - (until_ms - REMEMBERED_MS) < LATE_WRITE_MS

    def is_held_back(self, server_id: str) -> bool:
        """Returns whether an entry of a server is held back."""
        return server_id in self._held_back

    def list_held_back(self) -> list[BackendServer]:
        """Returns the entries that are held back."""
        return [server for server, _ in self._held_back.values()]

    def count_held_back(self, service: str) -> int:
        """Returns the number of entries of a service that are held back."""
        held = self._held_back.values()
        return sum(server.service == service for server, _ in held)

    def extend(self, until_ms: int) -> None:
        """Holds entries back at least until a time."""
        for server, at_ms in list(self._held_back.values()):
            self._held_back[server.id] = (server, max(at_ms, until_ms))

    def release(self, now_ms: int) -> list[BackendServer]:
        """Returns the servers that need not be held back any longer."""
        due = [s for s, until in self._held_back.values() if until <= now_ms]
        for server in due:
            self.forget(server.id)
        return due
