"""Keeps the verdicts on crashing requests in the store."""

from __future__ import annotations

from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.peers import Peers
from ..core.entry.planner import Planner
from ..core.entry.replica import Replica
from ..core.entry.stored_verdicts import StoredVerdicts
from ..platform.store import StoreClient, StoreError
from ..platform.verdict_records import encode_verdicts, VERDICTS_KEY
from .store_lease import StoreLease

# Interval at which the host looks for something to write. Verdicts that are
# not written yet are lost if all hosts are killed.
POLL_MS: Final = 100
# Shortest time between two calls that write; what changes meanwhile is
# written together.
MIN_INTERVAL_MS: Final = 500
# Time after which the other watchers write, as the store may refuse the first
# host.
BACKUP_MS: Final = 800
# Time after which the next hosts write, as the watchers may be of an earlier
# release, and how much later each of them does than the one before.
LATE_MS: Final = 1_600
LATE_STEP_MS: Final = 50
# Shortest time between two calls of a host that is not first: this, or so
# much for each host.
BACKUP_INTERVAL_MS: Final = 5_000
INTERVAL_PER_HOST_MS: Final = 100
# The record stays for at least half of this time after all hosts have gone,
# or after the last verdict has ended. The store grants no longer leases.
LEASE_MS: Final = 600_000
# Status with which the store answers that a lease has ended.
LEASE_GONE: Final = "404"


class VerdictWriter:
    """Writes the verdicts while this host is first, or in its place.

    The key has to have the revision that this host knows, so that two hosts
    that write, and a call that is executed late, do no harm.
    """

    __slots__ = (
        "_store",
        "_planner",
        "_peers",
        "_replica",
        "_clock",
        "_lease",
        "_due_ms",
        "_next_ms",
        "_logged",
    )

    def __init__(
        self,
        store: StoreClient,
        planner: Planner,
        peers: Peers,
        replica: Replica,
        clock: Clock,
    ) -> None:
        """Initializes the task.

        Args:
            store: Client of the store, for this task alone.
            planner: Has the verdicts.
            peers: Tell whether this host is the one that writes.
            replica: Has the revision of the key.
            clock: The clock.
        """
        self._store = store
        self._planner = planner
        self._peers = peers
        self._replica = replica
        self._clock = clock
        self._lease = StoreLease(store, clock, LEASE_MS)
        # Since when the record has to change; None if it is right.
        self._due_ms: int | None = None
        self._next_ms = 0
        # Verdicts, era and result of the last line in the log.
        self._logged: tuple[object, ...] = ()

    async def run(self) -> None:
        """Keeps the record up to date until cancelled."""
        while True:
            await anyio.sleep(POLL_MS / MS_PER_SECOND)
            await self.write_due()

    def _interval_ms(self, now_ms: int) -> int:
        if self._peers.is_first(now_ms):
            return MIN_INTERVAL_MS
        hosts = len(self._peers.all()) + 1
        return max(BACKUP_INTERVAL_MS, INTERVAL_PER_HOST_MS * hosts)

    def _delay_ms(self, now_ms: int) -> int:
        """Returns how long a change is left to the hosts before this one."""
        if self._peers.is_first(now_ms):
            return 0
        if self._peers.should_watch(now_ms):
            return BACKUP_MS
        return LATE_MS + LATE_STEP_MS * self._peers.find_position(now_ms)

    def _revision(self) -> int:
        """Returns the known revision of the key; 0 if it does not exist."""
        item = self._replica.get(VERDICTS_KEY)
        return 0 if item is None or item.value is None else item.revision

    async def write_due(self) -> bool:
        """Writes the verdicts if the store lacks some and this host may.

        Returns:
            Whether a call was made.
        """
        wanted = self._plan()
        now_ms = self._clock.now_ms()
        if wanted is None or now_ms < self._next_ms:
            return False
        self._next_ms = now_ms + self._interval_ms(now_ms)
        try:
            written = await self._store.compare_and_set(
                {VERDICTS_KEY: self._revision()},
                {VERDICTS_KEY: encode_verdicts(wanted)},
                lambda: self._plan() is not None,
                await self._lease.keep(),
            )
            result = "written" if written else "conflict"
        except StoreError as exc:
            result = exc.reason
            if result == LEASE_GONE:
                self._lease.drop()
        self._planner.counters.add("verdict_records", result=result)
        self._log(wanted, result)
        return True

    def _log(self, wanted: StoredVerdicts, result: str) -> None:
        """Logs what is new; ages are written again without a line."""
        verdicts = {one.part: one.period_ms for one in wanted.verdicts}
        logged = verdicts, wanted.era, result
        if logged == self._logged:
            return
        self._logged = logged
        log_event(
            "crash_verdicts_recorded",
            era=wanted.era,
            verdicts=len(verdicts),
            result=result,
        )

    def _plan(self) -> StoredVerdicts | None:
        """Returns what this host has to write; None without anything."""
        wanted = self._find_due()
        if wanted is None:
            self._due_ms = None
            return None
        now_ms = self._clock.now_ms()
        if self._due_ms is None:
            self._due_ms = now_ms
        if now_ms - self._due_ms < self._delay_ms(now_ms):
            return None
        keeper = self._planner.crashing_requests.keeper
        is_first = self._peers.is_first(now_ms)
        if not is_first and keeper.is_only_ending(wanted, now_ms):
            return None
        return wanted

    def _find_due(self) -> StoredVerdicts | None:
        now_ms = self._clock.now_ms()
        keeper = self._planner.crashing_requests.keeper
        wanted = keeper.plan_next(self._replica.era, now_ms)
        selection = self._planner.selection
        if wanted is None or not self._replica.revision:
            return None
        if not selection.restarts.in_contact:
            return None
        if not selection.process_pauses.is_current(now_ms):
            return None
        return wanted
