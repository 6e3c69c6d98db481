"""Answers to callers that ask where to connect, and readiness."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..adapters.http1_server import (
    ReceivedRequest,
    ServerConnection,
    UnreadableRequest,
)
from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.routing import DEFAULT_LIMITS
from ..platform.directory import (
    DIRECTORY_PATH,
    encode_directory,
    READINESS_PATH,
)
from ..platform.settings import EntrySettings

# Callers learn within this time that a host has gone, and keep an answer at
# least that long when all hosts are away at once.
TTL_S: Final = 2.0
JSON_TYPE: Final = (b"Content-Type", b"application/json")


class DirectoryService:
    """Names the entry hosts in service, and says whether this one is.

    Attributes:
        leaving: Whether this host shuts down.
    """

    __slots__ = (
        "leaving",
        "_settings",
        "_planner",
        "_peers",
        "_clock",
        "_store_reached",
        "_ttl_s",
        "_named",
    )

    def __init__(
        self,
        settings: EntrySettings,
        planner: Planner,
        peers: Peers,
        clock: Clock,
        store_reached: Callable[[], bool],
    ) -> None:
        self.leaving = False
        self._settings = settings
        self._planner = planner
        self._peers = peers
        self._clock = clock
        self._store_reached = store_reached
        self._ttl_s = min(TTL_S, settings.directory_ttl_s)
        self._named: frozenset[str] = frozenset()

    def set_ttl(self, longest_s: float) -> None:
        """Bounds how long callers keep an answer."""
        self._ttl_s = min(TTL_S, longest_s)

    @property
    def ready(self) -> bool:
        """Whether this host takes new work."""
        return not self.leaving and self._planner.desired is not None

    async def serve(self, conn: ServerConnection) -> None:
        """Answers the questions of one connection."""
        while True:
            received = await conn.read_request(DEFAULT_LIMITS)
            if received is None:
                return
            if isinstance(received, UnreadableRequest):
                conn.closing = True
                await conn.respond(received.status, [])
                await conn.close_with_linger()
                return
            await self._answer(conn, received)
            if not await conn.finish():
                return

    async def _answer(
        self, conn: ServerConnection, received: ReceivedRequest
    ) -> None:
        path = received.target.partition(b"?")[0]
        if path == READINESS_PATH:
            await conn.respond(200 if self.ready else 503, [])
        elif path == DIRECTORY_PATH:
            await self._name_hosts(conn)
        else:
            await conn.respond(404, [])

    async def _name_hosts(self, conn: ServerConnection) -> None:
        peers = self._peers.in_service(
            self._clock.now_ms(), self._store_reached()
        )
        names = frozenset(peer.name for peer in peers)
        if names != self._named:
            self._named = names
            log_event("hosts_named", peers=",".join(sorted(names)))
        addresses = [peer.callers for peer in peers if peer.callers]
        if self.ready and (self._peers.is_active or not addresses):
            addresses.insert(0, self._settings.callers)
        if not addresses:
            await conn.respond(503, [])
            return
        body = encode_directory(addresses, self._ttl_s)
        await conn.respond(200, [JSON_TYPE], body)
