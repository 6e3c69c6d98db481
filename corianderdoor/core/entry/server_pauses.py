"""Backend servers that asked this host for no requests for some time.

Each host keeps its own: a server that turns a request away asks the host
that sent it, and may well take requests of other hosts.
"""

from __future__ import annotations

from typing import Final

from .servers import BackendServer

# Longest pause that one answer can ask for; a longer one is a mistake.
MAX_PAUSE_MS: Final = 3_600_000


class ServerPauses:
    """Pauses that servers asked for, at most one for each server.

    They are kept while a server is not listed, as its record may come back.
    """

    __slots__ = ("_paused", "_next")

    def __init__(self) -> None:
        self._paused: dict[str, tuple[BackendServer, int]] = {}
        # Ends of those that the next process of a server asked for before
        # its entry came.
        self._next: dict[str, int] = {}

    def record(
        self,
        server: BackendServer,
        pause_ms: int,
        now_ms: int,
        is_next: bool = False,
    ) -> bool:
        """Records that `server` asked for a pause.

        A later answer does not shorten the pause that an earlier one asked
        for. A pause longer than `MAX_PAUSE_MS` is cut to that.

        Args:
            server: The server as its entry describes it.
            pause_ms: How long it wants no requests; 0 for no pause.
            now_ms: Monotonic time in ms.
            is_next: Whether a process that started after that of the entry
                may have asked.

        Returns:
            Whether the server was not paused before.
        """
        until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
        left_ms = self.left_ms(server, now_ms)
        if is_next and pause_ms > 0:
            known_ms = self._next.get(server.id, 0)
            self._next[server.id] = max(known_ms, until_ms)
        elif until_ms > now_ms + left_ms:
            self._paused[server.id] = (server, until_ms)
        return pause_ms > 0 and left_ms == 0

    def begin_process(self, server: BackendServer | None) -> None:
        """Keeps what a process asked for before its entry came.

        Args:
            server: The server as the entry describes it; None if it left.
        """
        if server is not None and server.id in self._next:
            self._paused[server.id] = (server, self._next.pop(server.id))

    def left_ms(self, server: BackendServer, now_ms: int) -> int:
        """Returns how much longer `server` is paused, in ms; 0 if not."""
        # Most of the time no server is paused.
        if not self._paused and not self._next:
            return 0
        paused = self._paused.get(server.id)
        next_ms = self._next.get(server.id, 0)
        # A server that has started again since asked for nothing.
        if paused is None or not paused[0].same_incarnation(server):
            return max(0, next_ms - now_ms)
        return max(0, paused[1] - now_ms, next_ms - now_ms)

    def drop_expired(self, now_ms: int) -> None:
        """Drops the pauses that are over."""
        for server_id, (_, until_ms) in list(self._paused.items()):
            if until_ms <= now_ms:
                del self._paused[server_id]
        for server_id, until_ms in list(self._next.items()):
            if until_ms <= now_ms:
                del self._next[server_id]
