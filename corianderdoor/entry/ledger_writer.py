"""Keeps the ledger of the versions of streams in the store."""

from __future__ import annotations

from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.replica import Replica
from ..core.entry.version_history import VersionHistory
from ..core.entry.version_ledger import VersionLedger
from ..platform.stream_records import encode_ledger, LEDGER_KEY
from ..platform.store import StoreClient, StoreError

# Interval at which the host looks for something to write: streams begin at a
# new version only once it is recorded.
POLL_MS: Final = 100
# Time after which it looks even if no item of the store has changed.
LOOK_MS: Final = 1_000
# Longest wait for what was written to arrive here, with its revision.
MAX_SETTLE_MS: Final = 1_000


# Time after which the other watchers write it, as the store may refuse the
# first host.
BACKUP_MS: Final = 800


class LedgerWriter:
    """Writes the ledger while this host is first, or in place of the first.

    The key has to have the revision that this host knows, so that two hosts
    that write, and a call that is executed late, do no harm.
    """

    __slots__ = (
        "_store",
        "_planner",
        "_peers",
        "_replica",
        "_history",
        "_clock",
        "_first_start",
        "_looked",
        "_look_at_ms",
        "_due_ms",
    )

    def __init__(
        self,
        store: StoreClient,
        planner: Planner,
        peers: Peers,
        replica: Replica,
        history: VersionHistory,
        clock: Clock,
        first_start: bool,
    ) -> None:
        """Initializes the task.

        Args:
            store: Client of the store, for this task alone.
            planner: Has the listed servers and the known ledger.
            peers: Tell whether this host is the one that writes.
            replica: Has the revision of the key.
            history: When versions were listed.
            clock: The clock.
            first_start: Whether no host has served before.
        """
        self._store = store
        self._planner = planner
        self._peers = peers
        self._replica = replica
        self._history = history
        self._clock = clock
        self._first_start = first_start
        # Era and revision at the last look, and when to look again.
        self._looked = (0, 0)
        self._look_at_ms = 0
        # Since when the ledger has to change; None if it is right.
        self._due_ms: int | None = None

    async def run(self) -> None:
        """Keeps the ledger up to date until cancelled."""
        while True:
            await anyio.sleep(POLL_MS / MS_PER_SECOND)
            revision = self._revision()
            if not await self.write_due():
                continue
            with anyio.move_on_after(MAX_SETTLE_MS / MS_PER_SECOND):
                while self._revision() == revision:
                    await anyio.sleep(POLL_MS / MS_PER_SECOND)

    def _revision(self) -> int:
        """Returns the known revision of the key; 0 if it does not exist."""
        item = self._replica.get(LEDGER_KEY)
        return 0 if item is None or item.value is None else item.revision

    async def write_due(self) -> bool:
        """Writes the ledger if it has to change and this host may.

        Returns:
            Whether a call was made.
        """
        now_ms = self._clock.now_ms()
        at = self._replica.era, self._replica.changed_revision
        if at == self._looked and now_ms < self._look_at_ms:
            return False
        self._looked, self._look_at_ms = at, now_ms + LOOK_MS
        ledger = self._plan()
        if ledger is None:
            return False
        try:
            written = await self._store.compare_and_set(
                {LEDGER_KEY: self._revision()},
                {LEDGER_KEY: encode_ledger(ledger)},
                lambda: self._plan() == ledger,
            )
            result = "written" if written else "conflict"
            if written:
                known = self._planner.selection.ledger
                known.record(ledger, self._store.era.known)
        except StoreError as exc:
            result = exc.reason
        self._planner.counters.add("stream_ledgers", result=result)
        log_event(
            "stream_versions_recorded",
            era=ledger.era,
            versions=sum(map(len, ledger.versions.values())),
            complete=ledger.complete,
            result=result,
        )
        return True

    def _plan(self) -> VersionLedger | None:
        """Returns the ledger that this host has to write; None without one."""
        ledger = self._find_due()
        now_ms = self._clock.now_ms()
        if ledger is None:
            self._due_ms = None
            return None
        if self._due_ms is None:
            self._due_ms = now_ms
        if self._peers.is_first(now_ms) or now_ms - self._due_ms >= BACKUP_MS:
            return ledger
        return None

    def _find_due(self) -> VersionLedger | None:
        now_ms = self._clock.now_ms()
        selection = self._planner.selection
        if not self._replica.revision or not selection.restarts.in_contact:
            return None
        if not self._peers.should_watch(now_ms):
            return None
        if not selection.process_pauses.is_current(now_ms):
            return None
        return selection.ledger.plan_next(
            selection.servers,
            self._history,
            self._replica.era,
            self._first_start,
            now_ms,
        )
