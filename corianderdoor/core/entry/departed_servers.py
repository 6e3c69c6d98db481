"""Servers that left, which a restored store may list again."""

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


class DepartedServers:
    """The servers that left, and those of them that are held back.

    A restored store may list a server that left after the copy was made. Such
    a server is held back until its entry is written again.
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
        self._held_back[server.id] = (server, now_ms + HELD_BACK_MS)
        return True

    def list_held_back(self) -> list[str]:
        """Returns the ids of the servers that are held back."""
        return list(self._held_back)

    def release(self, now_ms: int) -> list[BackendServer]:
        """Returns the servers that need not be held back any longer."""
        due = [s for s, until in self._held_back.values() if until <= now_ms]
        for server in due:
            self.forget(server.id)
        return due
