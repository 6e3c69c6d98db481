"""Directory of entry hosts for callers, and the readiness check."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio

from ..adapters.http1_server import (
    ReceivedRequest,
    ServerConnection,
    UnreadableRequest,
)
from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.routing import BODILESS_LIMITS
from ..platform.directory import (
    DIRECTORY_PATH,
    encode_directory,
    READINESS_PATH,
)
from ..platform.settings import EntrySettings

# Callers find out within this time that a host is gone. If all hosts are
# unreachable at once, callers keep the last answer for at least this long.
ANSWER_TTL_S: Final = 2.0
# Interval at which an answer waits, after a pause of this process, for what
# the peers say: a host may have left meanwhile.
SETTLE_POLL_MS: Final = 20
JSON_TYPE: Final = (b"Content-Type", b"application/json")


class DirectoryService:
    """Serves the addresses of the entry hosts in service, and readiness.

    Attributes:
        leaving: Whether this host is shutting down.
    """

    __slots__ = (
        "leaving",
        "_settings",
        "_planner",
        "_peers",
        "_clock",
        "_store_reached",
        "_ttl_s",
        "_last_names",
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
        self._ttl_s = min(ANSWER_TTL_S, settings.directory_ttl_s)
        self._last_names: frozenset[str] = frozenset()

    def set_max_ttl(self, max_ttl_s: float) -> None:
        """Bounds the time for which callers may use an answer."""
        self._ttl_s = min(ANSWER_TTL_S, max_ttl_s)

    @property
    def ready(self) -> bool:
        """Whether this host accepts new requests."""
        return not self.leaving and self._planner.desired is not None

    async def serve(self, conn: ServerConnection) -> None:
        """Answers the requests of one connection."""
        while True:
            received = await conn.read_request(BODILESS_LIMITS)
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
            await self._answer_hosts(conn)
        else:
            await conn.respond(404, [])

    async def _answer_hosts(self, conn: ServerConnection) -> None:
        selection = self._planner.selection
        selection.check_pause(self._clock.now_ms())
        while selection.process_pauses.is_settling(self._clock.now_ms()):
            await anyio.sleep(SETTLE_POLL_MS / MS_PER_SECOND)
        peers = self._peers.in_service(
            self._clock.now_ms(), self._store_reached()
        )
        names = frozenset(peer.name for peer in peers)
        if names != self._last_names:
            self._last_names = names
            log_event("directory_changed", peers=",".join(sorted(names)))
        addresses = [peer.callers for peer in peers if peer.callers]
        named = self._peers.is_active and not self._peers.links_cut
        if self.ready and (named or not addresses):
            addresses.insert(0, self._settings.callers)
        if not addresses:
            await conn.respond(503, [])
            return
        body = encode_directory(addresses, self._ttl_s)
        await conn.respond(200, [JSON_TYPE], body)
