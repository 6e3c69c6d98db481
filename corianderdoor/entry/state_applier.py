"""Applies changes of the store to the state of this host."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.overrides import digest_list, UNTOLD_DIGEST
from ..core.entry.peer import WATCHER_GRACE_MS
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
    LedgerChange,
    RolloutOrderChange,
    RolloutRecordChange,
    ServerListed,
    ServerRemoved,
    UnusableRecord,
    VerdictsChange,
)
from ..platform.records import SERVER_PREFIX
from ..platform.rollouts import ORDER_PREFIX
from ..platform.stream_records import LEDGER_KEY
from ..platform.verdict_records import VERDICTS_KEY
from .backends import ConnectionPool
from .kept_evacuations import KeptEvacuations
from .kept_servers import KeptServers
from .peer_codec import decode_caches, MessageError
from .refused_records import RefusedRecords
from .rollout_feed import list_rollouts_kept, ORDER_GRACE_MS, RolloutFeed
from .server_changes import list_server, remove_server

# Servers whose entries expired in an outage of the store or are missing after
# its restore are listed again within this time after it ends if they still
# run (the operators specify two seconds).
OUTAGE_GRACE_MS: Final = 2_300
# Heartbeats that a server misses before the platform removes its entry, and
# the usual time for them.
MISSED_HEARTBEATS: Final = 3
SILENCE_MS: Final = 3_600


class StateApplier:
    """Applies the store's items to the planner, the peers and the pool.

    Attributes:
        replica: This host's replica of the store's items.
    """

    __slots__ = (
        "replica",
        "_planner",
        "_peers",
        "_clock",
        "_rollouts",
        "_evacuations",
        "_kept_servers",
        "_desired",
        "_refused",
        "_silence_ms",
        "_former",
    )

    def __init__(
        self,
        planner: Planner,
        peers: Peers,
        pool: ConnectionPool,
        clock: Clock,
        rollouts: RolloutFeed | None = None,
        silence_ms: int = SILENCE_MS,
    ) -> None:
        """Creates an applier of a replica without items.

        Args:
            planner: Gets the servers and the desired state.
            peers: Gets the other hosts.
            pool: Connections to servers; those of former ones are closed.
            clock: The clock.
            rollouts: Gets what concerns rollouts; None if there are none.
            silence_ms: Silence after which a server's entry is removed.
        """
        self._refused = RefusedRecords(planner.counters)
        self._silence_ms = silence_ms
        self.replica = Replica()
        self._planner = planner
        self._planner.servers.on_ended.append(pool.close_idle)
        self._peers = peers
        self._clock = clock
        self._rollouts = rollouts
        self._evacuations = KeptEvacuations(
            planner.servers, self.replica, clock
        )
        self._kept_servers = KeptServers(
            planner, self.replica, clock, silence_ms
        )
        # In force before a restore, while its page is applied.
        self._former: dict[str, Change] = {}
        # The item with the desired state in force.
        self._desired: Change | None = None

    def apply(self, page: Page, source: str, grace_ms: int) -> int:
        """Applies the changes of `page` that are not yet known.

        Leaves out the changes if the page is from before a restore of the
        store, or an older copy of a peer: an item may have been removed
        since, and its tombstone dropped.

        Args:
            page: Changes, or all items of the store.
            source: Name of the peer that sent the page, or "store".
            grace_ms: How long the removal of an item that is missing from a
                full page may still be undone.

        Returns:
            The number of changes applied.
        """
        known = self.replica
        if source != "store" and page.era == known.era:
            if page.revision < known.revision:
                self._copy_overrides(page)
                return 0
        restored = 0 < self.replica.revision and self.replica.era < page.era
        if restored and page.full:
            grace_ms = OUTAGE_GRACE_MS
            self._begin_era(page, source)
            self._former = self.replica.changes_in_force()
        changes = self.replica.apply(page, grace_ms)
        if restored:
            changes += list_rollouts_kept(self.replica, changes)
        for change in changes:
            from_copy = restored and (
                change.value is None
                or change.revision <= self.replica.restored_revision
            )
            try:
                self._apply_change(change, source, from_copy)
            except Exception as exc:
                # One unusable item must not stop those after it.
                log_event(
                    "record_invalid",
                    "WARNING",
                    key=change.key,
                    detail=repr(exc),
                )
                self._planner.counters.add("invalid_messages", kind="record")
        self._former = {}
        self._planner.crashing_requests.keeper.end_start()
        self._copy_overrides(page)
        return len(changes)

    def _copy_overrides(self, page: Page) -> None:
        """Takes over what a peer has in force in place of a copy's items."""
        replica = self.replica
        told = digest_list(page.listed) or UNTOLD_DIGEST
        if not page.overrides or not replica.misses(page.era, told):
            return
        new = replica.overrides.record_copy(page.overrides, page.listed)
        copy_revision = min(
            replica.restored_revision,
            page.restored_revision or replica.restored_revision,
        )
        for override in new:
            # Also of an older page, whose sender does not know it yet.
            if not replica.was_written_after(override.key, copy_revision):
                self._copy_override(override, replica.get(override.key))

    def _copy_override(self, override: Change, item: Change | None) -> None:
        """Takes over what a peer has in force in place of an item."""
        overrides = self.replica.overrides
        decoded = decode_change(override)
        if item is None:
            if isinstance(decoded, Evacuation):
                self._apply_evacuation(decoded, override)
            elif isinstance(decoded, RolloutOrderChange):
                self._keep_order(decoded, override)
            return
        if override.value is None:
            if override.key not in overrides:
                self._kept_servers.hold_back(item)
                overrides.put(override)
            return
        self._apply_change(override, "override", True)
        if isinstance(decoded, ServerListed):
            self._kept_servers.adopt(override, decoded.server)
        elif self._desired is override or override.key not in overrides:
            overrides.put(override)

    def _apply_evacuation(self, decoded: Evacuation, override: Change) -> None:
        """Takes over an evacuation that a restored store has lost."""
        evacuated = self._planner.servers.evacuated
        if decoded.active and decoded.data_centre not in evacuated:
            self._apply_change(override, "override", False)
            self._evacuations.keep(decoded.data_centre, override.grace_ms)

    def _keep_order(
        self, decoded: RolloutOrderChange, override: Change
    ) -> None:
        """Takes over the order of a rollout that a restored store has lost."""
        until_ms = self._clock.now_ms() + override.grace_ms
        if self._rollouts is not None and decoded.order is not None:
            if self._rollouts.keep_order(decoded.order, until_ms):
                self.replica.overrides.put(override, until_ms)

    def _begin_era(self, page: Page, source: str) -> None:
        """Gives writers time anew to write again what the store has lost."""
        log_event(
            "replica_replaced",
            "WARNING",
            era=page.era,
            revision=page.revision,
            former=self.replica.revision,
            source=source,
        )
        now_ms = self._clock.now_ms()
        self._planner.servers.extend_grace(now_ms + OUTAGE_GRACE_MS)
        self.replica.overrides.extend(SERVER_PREFIX, now_ms + OUTAGE_GRACE_MS)
        self._evacuations.begin_era()

    def tick(self, now_ms: int) -> None:
        """Ends what was kept for a time after a restore of the store."""
        self._kept_servers.tick(now_ms)
        self._evacuations.tick(now_ms)
        self.replica.overrides.tick(now_ms)

    def _apply_change(
        self, change: Change, source: str, from_copy: bool
    ) -> None:
        decoded = decode_change(change)
        if decoded is None:
            return
        log_event(
            "replica_changed",
            key=change.key,
            revision=change.revision,
            removed=change.value is None,
            grace_ms=change.grace_ms,
            source=source,
        )
        if not from_copy:
            self.replica.overrides.remove(change.key)
        if not isinstance(decoded, UnusableRecord):
            self._refused.forget(change.key)
        self._apply_decoded(decoded, from_copy)
        if isinstance(decoded, DesiredStateChange):
            self._record_desired(decoded, change, from_copy)

    def _record_desired(
        self, decoded: DesiredStateChange, change: Change, from_copy: bool
    ) -> None:
        """Records which item is in force."""
        if decoded.state is self._planner.desired:
            self._desired = change
        elif from_copy and self._desired is not None:
            override = Change(change.key, self._desired.value, 0)
            self.replica.overrides.put(override)

    @singledispatchmethod
    def _apply_decoded(self, decoded: DecodedChange, from_copy: bool) -> None:
        """Applies a change.

        Args:
            decoded: The change.
            from_copy: Whether it may come from the copy from which the store
                was restored, and so be older than what is known.
        """
        raise TypeError(f"unknown change {type(decoded).__name__}")

    @_apply_decoded.register
    def _(self, decoded: ServerListed, from_copy: bool) -> None:
        now_ms = self._clock.now_ms()
        server = decoded.server
        desired = self._planner.desired
        services = desired.services if desired is not None else ()
        if self._planner.servers.names_other_service(server, services):
            self._refused.record(
                SERVER_PREFIX + server.id, "service", "not the server's own"
            )
            self._keep_overwritten(server.id)
            return
        if not from_copy and self._kept_servers.defer(server):
            return
        if from_copy and not self._planner.servers.accepts_copy(
            server, now_ms, OUTAGE_GRACE_MS
        ):
            log_event("server_copy_ignored", server=server.id)
            self._kept_servers.pass_on(server, self._former, OUTAGE_GRACE_MS)
            return
        list_server(self._planner, server, now_ms)

    @_apply_decoded.register
    def _(self, decoded: ServerRemoved, from_copy: bool) -> None:
        remove_server(self._planner, decoded, self._clock.now_ms())

    @_apply_decoded.register
    def _(self, decoded: Evacuation, from_copy: bool) -> None:
        if decoded.active:
            self._evacuations.start(decoded.data_centre)
        elif from_copy:
            self._evacuations.keep(decoded.data_centre)
        else:
            self._evacuations.end(decoded.data_centre)

    @_apply_decoded.register
    def _(self, decoded: DesiredStateChange, from_copy: bool) -> None:
        if self._planner.set_desired(decoded.state):
            log_event("desired_state", version=decoded.state.version)
        else:
            log_event("desired_state_old", version=decoded.state.version)

    @_apply_decoded.register
    def _(self, decoded: HostListed, from_copy: bool) -> None:
        now_ms = self._clock.now_ms()
        # A host in the copy may have left; it does not count as starting.
        listed_ms = now_ms - WATCHER_GRACE_MS if from_copy else now_ms
        self._peers.add_listed(
            decoded.name,
            decoded.callers,
            decoded.peers,
            decoded.data_centre,
            listed_ms,
            decoded.link_mbps,
        )

    @_apply_decoded.register
    def _(self, decoded: HostRemoved, from_copy: bool) -> None:
        self._peers.mark_unlisted(decoded.name)

    @_apply_decoded.register
    def _(self, decoded: CacheSnapshot, from_copy: bool) -> None:
        if from_copy:
            # What this host knows is newer.
            return
        try:
            pairs = decode_caches(decoded.value)
        except MessageError as exc:
            log_event("caches_invalid", "WARNING", detail=str(exc))
            return
        self._planner.caches.restore(pairs, self._clock.now_ms())
        log_event("caches_restored", parts=len(pairs))

    @_apply_decoded.register
    def _(self, decoded: RolloutOrderChange, from_copy: bool) -> None:
        if self._rollouts is None:
            return
        self._rollouts.apply_order(decoded, from_copy)
        former = self._former.get(ORDER_PREFIX + decoded.service)
        if decoded.order is None and from_copy and former is not None:
            self.replica.overrides.put(
                former.with_grace(ORDER_GRACE_MS),
                self._clock.now_ms() + ORDER_GRACE_MS,
            )

    @_apply_decoded.register
    def _(self, decoded: RolloutRecordChange, from_copy: bool) -> None:
        if self._rollouts is not None:
            self._rollouts.apply_record(decoded)

    @_apply_decoded.register
    def _(self, decoded: LedgerChange, from_copy: bool) -> None:
        self._planner.selection.ledger.record(decoded.ledger, self.replica.era)

    @_apply_decoded.register
    def _(self, decoded: VerdictsChange, from_copy: bool) -> None:
        stored = decoded.stored
        is_current = not from_copy
        if stored is not None:
            is_current = stored.era == self.replica.era
        self._planner.crashing_requests.keeper.record(
            stored, is_current, self._clock.now_ms()
        )

    @_apply_decoded.register
    def _(self, decoded: UnusableRecord, from_copy: bool) -> None:
        if decoded.key == LEDGER_KEY:
            self._planner.selection.ledger.record(None, self.replica.era)
        if decoded.key == VERDICTS_KEY:
            # Not removed: another writer has replaced it.
            self._apply_decoded(VerdictsChange(None), True)
        self._refused.record(decoded.key, decoded.field, decoded.detail)
        if decoded.key.startswith(SERVER_PREFIX):
            self._keep_overwritten(decoded.key[len(SERVER_PREFIX) :])

    def _keep_overwritten(self, server_id: str) -> None:
        """Keeps a server whose entry another writer has overwritten.

        It is removed as if silent unless it writes its entry again.
        """
        now_ms = self._clock.now_ms()
        self._planner.servers.remove(server_id, now_ms, self._silence_ms)
