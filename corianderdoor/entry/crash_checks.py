"""Finds out at once whether a server that interrupted a request is down."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio
import anyio.abc

from ..core.clock import Clock
from ..core.entry.planner import Planner
from .backends import ConnectionPool

# Shortest time between two checks of the same server.
CHECK_INTERVAL_MS: Final = 1_000


class CrashChecks:
    """Connects to servers that interrupted requests.

    Without it a crash would be noticed only with the next request for the
    server, or when its record expires; until then, nothing counts.
    """

    __slots__ = (
        "_planner",
        "_pool",
        "_clock",
        "_is_isolated",
        "_checked",
        "_due",
        "_wake",
    )

    def __init__(
        self,
        planner: Planner,
        pool: ConnectionPool,
        clock: Clock,
        is_isolated: Callable[[], bool],
    ) -> None:
        """Initializes the object, and attaches it to `planner`.

        Args:
            planner: Tells of interrupted requests, and takes the results.
            pool: Opens the connections, and keeps those that succeed.
            clock: The clock.
            is_isolated: Returns whether no peer can be reached: then the
                fault is on this host's side.
        """
        self._planner = planner
        self._pool = pool
        self._clock = clock
        self._is_isolated = is_isolated
        self._checked: dict[str, int] = {}
        self._due: set[str] = set()
        self._wake = anyio.Event()
        planner.crashing_requests.on_interrupted = self.request

    def request(self, server_id: str) -> None:
        """Has a server checked, unless it just was."""
        now_ms = self._clock.now_ms()
        checked_ms = self._checked.get(server_id)
        if checked_ms is None or now_ms - checked_ms >= CHECK_INTERVAL_MS:
            self._checked[server_id] = now_ms
            self._due.add(server_id)
            self._wake.set()

    async def run(self) -> None:
        """Checks servers until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                due, self._due = self._due, set()
                for server_id in due:
                    tasks.start_soon(self._check, server_id)
                listed = self._planner.servers.ids()
                for server_id in self._checked.keys() - listed:
                    del self._checked[server_id]

    async def _check(self, server_id: str) -> None:
        server = self._planner.servers.get(server_id)
        if server is None:
            return
        protocol = await self._pool.open(server)
        if protocol is not None:
            self._pool.keep(server, protocol)
        elif not self._is_isolated():
            now_ms = self._clock.now_ms()
            self._planner.crashing_requests.confirm_crash(server_id, now_ms)
