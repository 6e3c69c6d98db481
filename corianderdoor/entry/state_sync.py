"""Keeps this host's replica of the store up to date."""

from __future__ import annotations

from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.copy_sources import find_overriding_peer
from ..core.entry.counters import Counters
from ..core.entry.peer import Peer
from ..core.entry.peers import Peers
from ..core.entry.replica import Change, Page
from ..platform.records import CACHES_KEY
from ..platform.store import (
    HistoryGoneError,
    Item,
    StoreClient,
    StoreError,
)
from ..platform.store_era import StoreEra
from ..platform.stream_records import BEGUN_PREFIX
from .paged_changes import apply_page
from .peering import Peering
from .state_applier import StateApplier
from .store_contact import StoreContact

# The store answers a watch without changes after this time, which shows that
# the connection is alive.
WATCH_WAIT_MS: Final = 1_000
# The same after a pause of this process, when the answer is needed soon. An
# answer within `CONFIRM_PAUSE_MS` would not count.
CONFIRM_WAIT_MS: Final = 100
# Shortest time between two watches: each change ends a watch, and changes
# come in bursts, such as when all servers start.
WATCH_INTERVAL_MS: Final = 250
# When all hosts start for the first time, they read the store after this
# delay, so that they find the records of all others at once.
FIRST_START_DELAY_MS: Final = 700
FIRST_RETRY_MS: Final = 100
MAX_RETRY_MS: Final = 800
FOLLOW_POLL_MS: Final = 100


class StoreRestoredError(Exception):
    """The store was restored, so that all items have to be read again."""


# Why a watch can't go on.
LISTING_REASONS: Final = {
    HistoryGoneError: "history-gone",
    StoreRestoredError: "restored",
}


class StateSync:
    """Keeps the replica of the store's items up to date.

    Watches the store itself or pulls changes from peers that watch it.
    """

    __slots__ = (
        "_store",
        "_era",
        "_applier",
        "_peers",
        "_peering",
        "_clock",
        "_contact",
        "_wake",
        "_list_told",
        "_scope",
        "_confirming",
        "_start_delay_ms",
        "_next_watch_ms",
        "_counters",
        "_behind_since_ms",
    )

    def __init__(
        self,
        store: StoreClient,
        applier: StateApplier,
        peers: Peers,
        clock: Clock,
        start_delay_ms: int = 0,
        era: StoreEra | None = None,
        counters: Counters | None = None,
    ) -> None:
        """Creates the task that keeps the replica up to date.

        Args:
            store: Client of the store, for this task alone.
            applier: Applies the changes.
            peers: The other hosts.
            clock: The clock.
            start_delay_ms: Time before the store is first read.
            era: The store's era, as `store` reads it.
            counters: Counts the times when all items are read again.
        """
        self._counters = counters or Counters()
        self._behind_since_ms: int | None = None
        self._era = era or StoreEra(self._counters)
        self._start_delay_ms = start_delay_ms
        self._next_watch_ms = 0
        self._store = store
        self._applier = applier
        self._peers = peers
        self._peering: Peering | None = None
        self._clock = clock
        self._contact = StoreContact(clock)
        self._wake = anyio.Event()
        # Set if a peer's list may be missing here.
        self._list_told = anyio.Event()
        self._scope: anyio.CancelScope | None = None
        self._confirming = False

    def attach(self, peering: Peering) -> None:
        """Sets the connection to the peers."""
        self._peering = peering

    def contact_age_ms(self) -> int:
        """Returns the time since the store last answered, in ms.

        It is `NOT_WATCHING_MS` if this host does not watch the store or gets
        no answer.
        """
        return self._contact.age_ms()

    def behind_ms(self) -> int:
        """Returns for how long changes are known to lack here, in ms."""
        if self._behind_since_ms is None:
            return 0
        return self._clock.now_ms() - self._behind_since_ms

    def wake(self) -> None:
        """Makes this host check its peers at once."""
        self._wake.set()
        self._list_told.set()

    def confirm_contact(self) -> None:
        """Asks the store at once, after a pause of this process.

        Also cancels the call in progress, as its connection may be dead.
        """
        self._confirming = True
        if self._scope is not None:
            self._scope.cancel()
        self._wake.set()

    async def run(self) -> None:
        """Keeps the replica up to date until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy_overrides)
            await self._follow_store()

    async def _follow_store(self) -> None:
        await anyio.sleep(self._start_delay_ms / MS_PER_SECOND)
        retry_ms = FIRST_RETRY_MS
        relist = True
        while True:
            now_ms = self._clock.now_ms()
            follows = not relist and not self._confirming
            if follows and not self._peers.should_watch(now_ms):
                if await self._follow_peers():
                    continue
            try:
                with anyio.CancelScope() as scope:
                    self._scope = scope
                    await self._read_store(relist)
                    relist = False
                    retry_ms = FIRST_RETRY_MS
            except (HistoryGoneError, StoreRestoredError) as exc:
                self._record_behind(LISTING_REASONS[type(exc)])
                relist = await self._needs_listing()
            except StoreError as exc:
                if self._contact.take_first_cut(exc):
                    self._confirming = True
                    continue
                self._confirming = False
                if not relist and exc.begun:
                    # The same answer would come again; pages are bounded.
                    relist = True
                    self._record_behind(exc.reason)
                    continue
                self._record_failure(exc)
                await self._pull_from_peer()
                await anyio.sleep(retry_ms / MS_PER_SECOND)
                retry_ms = min(MAX_RETRY_MS, 2 * retry_ms)
            finally:
                self._scope = None

    async def _needs_listing(self) -> bool:
        """Returns whether this host has to read all items of the store.

        After a restore, only the watchers read them at once; the others wait
        for a peer's copy, so that the store is not flooded. A host that
        missed a restore has only one answer of the era after the next one,
        which no other answer has confirmed.
        """
        replica = self._applier.replica
        now_ms = self._clock.now_ms()
        if self._era.reported > replica.era:
            self._contact.begin_outage()
            delay_ms = self._peers.relist_delay_ms(now_ms)
            with anyio.move_on_after(delay_ms / MS_PER_SECOND):
                while self._era.reported > replica.era and delay_ms:
                    await self._pull_from_peer()
                    await self._wake.wait()
                    self._wake = anyio.Event()
            return self._era.reported > replica.era
        return True

    def _record_behind(self, reason: str) -> None:
        """Records that this host lacks changes that a watch won't bring."""
        log_event("store_relisted", "WARNING", reason=reason)
        self._counters.add("store_relistings", reason=reason)
        if self._behind_since_ms is None:
            self._behind_since_ms = self._clock.now_ms()

    def _record_failure(self, exc: StoreError) -> None:
        """Records that the store does not answer and notifies peers at once.

        They then watch the store themselves, as it may refuse this host
        alone.
        """
        if self._contact.record_failure(exc) and self._peering is not None:
            self._peering.send_heartbeats()

    async def _read_store(self, relist: bool) -> None:
        replica = self._applier.replica
        if relist:
            items, at, era = await self._read_all()
        else:
            watch_ms = CONFIRM_WAIT_MS if self._confirming else WATCH_WAIT_MS
            wait_ms = self._next_watch_ms - self._clock.now_ms()
            await anyio.sleep(max(0, wait_ms) / MS_PER_SECOND)
            self._next_watch_ms = self._clock.now_ms() + WATCH_INTERVAL_MS
            asked_era = replica.era
            items, at = await self._store.watch("", replica.revision, watch_ms)
            era = self._era.known
            # The revision asked for belongs to the era of that moment, even
            # if the replica has a newer one by now.
            if era != asked_era:
                self._contact.record_answer(WATCH_WAIT_MS)
                raise StoreRestoredError
        self._contact.record_answer(WATCH_WAIT_MS)
        self._confirming = False
        if era < replica.era:
            # A peer has learnt of a restore in the meantime.
            raise StoreError("listing", "old era", True)
        await self._apply(items, at, relist, era)

    async def _read_all(self) -> tuple[list[Item], int, int]:
        """Reads all items and copies those of peers until they are there.

        The store may be silent for seconds, in which a host that started
        would know no desired state.

        Returns:
            The items, the store's revision and its era.

        Raises:
            StoreError: The store did not answer.
            HistoryGoneError: The store's history is gone.
        """
        failure: StoreError | HistoryGoneError | None = None
        answer: tuple[list[Item], int] = ([], 0)
        era = self._era.known
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy_from_peers)
            try:
                answer = await self._store.read_all("")
                # Read at once: a peer may report another one at any time.
                era = self._era.known
            except (StoreError, HistoryGoneError) as exc:
                # Raised below, as a task group would wrap it.
                failure = exc
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return *answer, era

    async def _copy_from_peers(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await self._pull_from_peer()

    async def _apply(
        self, items: list[Item], at: int, full: bool, era: int
    ) -> None:
        grace_ms = self._contact.removal_grace_ms()
        changes = tuple(
            Change(item.key, item.value, item.revision, grace_ms)
            for item in items
            if (full or item.key != CACHES_KEY)
            # Hosts read these when they need them.
            and not item.key.startswith(BEGUN_PREFIX)
        )
        restored = self._applier.replica.era < era
        restored_revision = (
            at if restored else self._applier.replica.restored_revision
        )
        page = Page(changes, at, full, era, restored_revision)
        self._behind_since_ms = None
        count = await apply_page(self._applier, page, "store", grace_ms)
        if restored:
            self._list_told.set()
        if (count or restored) and self._peering is not None:
            self._peering.send_heartbeats()

    async def _follow_peers(self) -> bool:
        """Waits for a peer with a newer revision and pulls from it.

        Returns:
            False if the pull failed, so that the store has to be read.
        """
        self._contact.end()
        with anyio.move_on_after(FOLLOW_POLL_MS / MS_PER_SECOND):
            await self._wake.wait()
        self._wake = anyio.Event()
        pulled = await self._pull_from_peer()
        if pulled:
            self._behind_since_ms = None
        return pulled

    async def _pull_from_peer(self) -> bool:
        """Pulls from a peer with a newer revision, if there is one.

        Returns:
            False if the pull failed.
        """
        replica = self._applier.replica
        now_ms = self._clock.now_ms()
        ahead = self._peers.find_peer_ahead(
            replica.revision, now_ms, replica.era
        )
        if ahead is None:
            return True
        pulled = await self._pull(ahead)
        if not pulled:
            self._behind_since_ms = self._behind_since_ms or now_ms
        return pulled

    async def _pull(self, peer: Peer) -> bool:
        """Copies the changes and the overrides of a peer.

        Returns:
            False if it did not answer.
        """
        if self._peering is None:
            return True
        page = await self._peering.pull(peer)
        if page is None:
            return False
        grace_ms = self._contact.removal_grace_ms()
        await apply_page(self._applier, page, peer.name, grace_ms)
        self._era.observe(page.era)
        # The peers of a new era may have lists.
        self._list_told.set()
        return True

    async def _copy_overrides(self) -> None:
        """Copies the overrides of peers until cancelled.

        A watcher does so too while the store answers nothing.
        """
        while True:
            await self._list_told.wait()
            self._list_told = anyio.Event()
            peer = find_overriding_peer(
                self._peers.own,
                self._peers.all(),
                self._applier.replica,
                self._clock.now_ms(),
            )
            if peer is not None:
                await self._pull(peer)
                await anyio.sleep(FIRST_RETRY_MS / MS_PER_SECOND)
