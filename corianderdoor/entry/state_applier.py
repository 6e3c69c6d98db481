"""Applies changes of the store to the state of this host."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.replica import Change, Page, Replica
from ..platform.changes import (
    CacheSnapshot,
    decode_change,
    DecodedChange,
    DesiredStateChange,
    Evacuation,
    HostListed,
    HostRemoved,
    ServerListed,
    ServerRemoved,
    UnusableRecord,
)
from .backends import ConnectionPool
from .peer_codec import decode_caches, MessageError

# Servers of a data centre that takes requests again may be cold, which their
# entries show only after their next heartbeat; until then they count as cold.
READMITTED_COLD_MS: Final = 2_500


class StateApplier:
    """Applies the store's items to the planner, the peers and the pool.

    Attributes:
        replica: This host's replica of the store's items.
    """

    __slots__ = ("replica", "_planner", "_peers", "_pool", "_clock")

    def __init__(
        self,
        planner: Planner,
        peers: Peers,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self.replica = Replica()
        self._planner = planner
        self._peers = peers
        self._pool = pool
        self._clock = clock

    def apply(self, page: Page, source: str, grace_ms: int) -> int:
        """Applies the changes of `page` that are not yet known.

        Args:
            page: Changes, or all items of the store.
            source: Name of the peer that sent the page, or "store".
            grace_ms: How long the removal of an item that is missing from a
                full page may still be undone.

        Returns:
            The number of changes applied.
        """
        changes = self.replica.apply(page, grace_ms)
        for change in changes:
            self._apply_change(change, source)
        return len(changes)

    def _apply_change(self, change: Change, source: str) -> None:
        decoded = decode_change(change)
        if decoded is None:
            return
        log_event(
            "belief_changed",
            key=change.key,
            revision=change.revision,
            removed=change.value is None,
            grace_ms=change.grace_ms,
            source=source,
        )
        self._apply_decoded(decoded)

    @singledispatchmethod
    def _apply_decoded(self, decoded: DecodedChange) -> None:
        raise TypeError(f"unknown change {type(decoded).__name__}")

    @_apply_decoded.register
    def _(self, decoded: ServerListed) -> None:
        now_ms = self._clock.now_ms()
        server = decoded.server
        if self._planner.servers.put(server, now_ms):
            self._pool.close_idle(server.id)
            self._planner.ejections.remove(server.id)
            self._planner.crashing_requests.confirm_crash(server.id, now_ms)
            self._planner.caches.remove(server.id)

    @_apply_decoded.register
    def _(self, decoded: ServerRemoved) -> None:
        self._planner.servers.remove(
            decoded.id, self._clock.now_ms(), decoded.grace_ms
        )
        if not decoded.grace_ms:
            self._planner.crashing_requests.confirm_crash(
                decoded.id, self._clock.now_ms()
            )
            self._pool.close_idle(decoded.id)
            self._planner.caches.remove(decoded.id)

    @_apply_decoded.register
    def _(self, decoded: Evacuation) -> None:
        servers = self._planner.servers
        now_ms = self._clock.now_ms()
        if decoded.active:
            servers.set_evacuated(servers.evacuated | {decoded.data_centre})
            return
        servers.set_evacuated(servers.evacuated - {decoded.data_centre})
        for server_id in servers.ids():
            server = servers.get(server_id)
            if server and server.data_centre == decoded.data_centre:
                servers.mark_cold(server_id, now_ms + READMITTED_COLD_MS)

    @_apply_decoded.register
    def _(self, decoded: DesiredStateChange) -> None:
        if self._planner.set_desired(decoded.state):
            log_event("desired_state", version=decoded.state.version)
        else:
            log_event("desired_state_old", version=decoded.state.version)

    @_apply_decoded.register
    def _(self, decoded: HostListed) -> None:
        self._peers.add_listed(
            decoded.name,
            decoded.callers,
            decoded.peers,
            decoded.data_centre,
            self._clock.now_ms(),
            decoded.link_mbps,
        )

    @_apply_decoded.register
    def _(self, decoded: HostRemoved) -> None:
        self._peers.mark_unlisted(decoded.name)

    @_apply_decoded.register
    def _(self, decoded: CacheSnapshot) -> None:
        try:
            pairs = decode_caches(decoded.value)
        except MessageError as exc:
            log_event("caches_unusable", "WARNING", detail=str(exc))
            return
        self._planner.caches.restore(pairs, self._clock.now_ms())
        log_event("caches_restored", parts=len(pairs))

    @_apply_decoded.register
    def _(self, decoded: UnusableRecord) -> None:
        log_event(
            "record_unusable",
            "WARNING",
            key=decoded.key,
            detail=decoded.detail,
        )
