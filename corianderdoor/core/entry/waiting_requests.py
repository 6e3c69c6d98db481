"""Servers that state that requests wait there."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .servers import BackendServer

# How long a statement counts; answers come more often from a busy server.
STATEMENT_TTL_MS: Final = 1_000


class WaitingRequests:
    """Which servers had requests waiting when they last answered this host.

    Holds one number for each server that stated so lately.
    """

    __slots__ = ("_stated_ms", "_swept_ms")

    def __init__(self) -> None:
        self._stated_ms: dict[str, int] = {}
        self._swept_ms = 0

    def record(self, server_id: str, waiting: int, now_ms: int) -> None:
        """Records how many requests a server says are waiting there."""
        if waiting <= 0:
            self._stated_ms.pop(server_id, None)
            return
        self._stated_ms[server_id] = now_ms
        if now_ms - self._swept_ms > STATEMENT_TTL_MS:
            self._swept_ms = now_ms
            for name, at_ms in list(self._stated_ms.items()):
                if now_ms - at_ms > STATEMENT_TTL_MS:
                    del self._stated_ms[name]

    def remove(self, server_id: str) -> None:
        """Drops the statement of a server that has started anew."""
        self._stated_ms.pop(server_id, None)

    def any_at(self, servers: Iterable[BackendServer], now_ms: int) -> bool:
        """Returns whether requests wait at one of `servers`."""
        never_ms = now_ms - STATEMENT_TTL_MS - 1
        return any(
            now_ms - self._stated_ms.get(server.id, never_ms)
            <= STATEMENT_TTL_MS
            for server in servers
        )
