"""Writes the outcomes of rollouts to the store."""

from __future__ import annotations

from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.counters import Counters
from ..core.entry.peers import Peers
from ..core.entry.process_pauses import ProcessPauses
from ..core.entry.replica import Change, Page
from ..core.entry.rollout_records import RolloutOutcome
from ..core.entry.rollouts import Rollouts
from ..platform.changes import (
    decode_change,
    RolloutOrderChange,
    UnusableRecord,
)
from ..platform.rollouts import (
    encode_record,
    encode_status,
    ORDER_PREFIX,
    ROLLOUT_PREFIX,
    STATUS_PREFIX,
)
from ..platform.store import StoreClient, StoreError
from .state_applier import StateApplier

# Interval at which the host looks for something to write. A verdict has to
# reach the store within seconds, and looking costs nothing.
POLL_MS: Final = 100
FIRST_RETRY_MS: Final = 100
MAX_RETRY_MS: Final = 800


class RolloutWriter:
    """Writes outcomes while this host is first, one call at a time.

    Record and status are written together on condition that they and the
    order have not changed. A call without an answer may be executed later,
    and another host may write at the same time; so the keys are read again
    after each call, before the next one.
    """

    __slots__ = (
        "_store",
        "_rollouts",
        "_peers",
        "_applier",
        "_pauses",
        "_clock",
        "_counters",
        "_unread",
        "_retry_ms",
    )

    def __init__(
        self,
        store: StoreClient,
        rollouts: Rollouts,
        peers: Peers,
        applier: StateApplier,
        pauses: ProcessPauses,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Initializes the task.

        Args:
            store: Client of the store, for this task alone.
            rollouts: Decides what has to be written.
            peers: Tell whether this host is the one that writes.
            applier: Has the replica with the keys' revisions.
            pauses: Tell whether this process was suspended.
            clock: The clock.
            counters: Counters of this host.
        """
        self._store = store
        self._rollouts = rollouts
        self._peers = peers
        self._applier = applier
        self._pauses = pauses
        self._clock = clock
        self._counters = counters
        # Service whose keys have to be read again before the next call.
        self._unread = ""
        self._retry_ms = FIRST_RETRY_MS

    async def run(self) -> None:
        """Writes outcomes until cancelled."""
        while True:
            await anyio.sleep(POLL_MS / MS_PER_SECOND)
            if not await self.write_due():
                await anyio.sleep(self._retry_ms / MS_PER_SECOND)
                self._retry_ms = min(MAX_RETRY_MS, 2 * self._retry_ms)
            else:
                self._retry_ms = FIRST_RETRY_MS

    async def write_due(self) -> bool:
        """Writes the outcomes that are due, if this host may.

        Returns:
            False if a call failed or others had written, so that the next
            try has to wait.
        """
        for outcome in self._list_due():
            if self._unread and not await self._read_again(self._unread):
                return False
            expected = self._expect(outcome)
            # Reading again may have shown that another host has written.
            if expected is None or not self._is_due(outcome):
                continue
            if not await self._write(outcome, expected):
                return False
        return True

    def _list_due(self) -> list[RolloutOutcome]:
        now_ms = self._clock.now_ms()
        if not self._may_write(now_ms):
            return []
        return self._rollouts.outcomes(now_ms)

    def _may_write(self, now_ms: int) -> bool:
        return self._pauses.is_current(now_ms) and self._peers.is_first(now_ms)

    def _is_due(self, outcome: RolloutOutcome) -> bool:
        """Returns whether this host still has to write an outcome."""
        wanted = _identify(outcome)
        return any(_identify(due) == wanted for due in self._list_due())

    def _expect(self, outcome: RolloutOutcome) -> dict[str, int] | None:
        """Returns the revisions that the keys have to have.

        An order that was replaced by a malformed one is still in force, and
        so is for a time one that was lost in a restore of the store. A
        malformed record counts as missing. The condition is then the key as
        it is now.

        Returns:
            The revisions by key; None if there is another order by now.
        """
        service = outcome.record.service
        replica = self._applier.replica
        order = replica.get(ORDER_PREFIX + service)
        record = replica.get(ROLLOUT_PREFIX + service)
        status = replica.get(STATUS_PREFIX + service)
        if order is not None and isinstance(
            decode_change(order), RolloutOrderChange
        ):
            if order.revision != outcome.order_revision:
                return None
        record_revision = outcome.record_revision
        if record is not None and isinstance(
            decode_change(record), UnusableRecord
        ):
            record_revision = record.revision
        return {
            ORDER_PREFIX + service: order.revision if order else 0,
            ROLLOUT_PREFIX + service: record_revision,
            STATUS_PREFIX + service: status.revision if status else 0,
        }

    async def _write(
        self, outcome: RolloutOutcome, expected: dict[str, int]
    ) -> bool:
        record = outcome.record
        service = record.service
        writes = {
            ROLLOUT_PREFIX + service: encode_record(record),
            STATUS_PREFIX + service: encode_status(record),
        }
        self._unread = service
        try:
            written = await self._store.compare_and_set(
                expected, writes, lambda: self._is_due(outcome)
            )
            result = "written" if written else "conflict"
        except StoreError as exc:
            written = False
            result = "not-applied" if exc.not_applied else "unanswered"
        self._counters.add("rollout_writes", result=result)
        log_event(
            "rollout_written",
            "INFO" if written else "WARNING",
            service=service,
            to=record.to,
            state=record.state.value,
            revision=record.order_revision,
            result=result,
        )
        return await self._read_again(service) and written

    async def _read_again(self, service: str) -> bool:
        """Reads the keys of a service and applies what is new in them.

        Returns:
            False if the store did not answer.
        """
        wanted = {
            prefix + service
            for prefix in (ORDER_PREFIX, ROLLOUT_PREFIX, STATUS_PREFIX)
        }
        changes: list[Change] = []
        era = self._store.era.known
        try:
            for key in sorted(wanted):
                items, _ = await self._store.read_all(key)
                if self._store.era.known != era:
                    # The items read before are of an older era.
                    raise StoreError("listing", "new era", True)
                changes += [
                    Change(item.key, item.value, item.revision)
                    for item in items
                    if item.key in wanted
                ]
        except StoreError as exc:
            log_event(
                "rollout_not_read",
                "WARNING",
                service=service,
                step=exc.step,
                reason=exc.reason,
            )
            return False
        # The revision up to which the replica is complete does not change.
        page = Page(tuple(changes), 0, False, era)
        self._applier.apply(page, "store", 0)
        self._unread = ""
        return True


def _identify(outcome: RolloutOutcome) -> tuple[str, str, str, int, int]:
    """Returns what tells an outcome from the others."""
    record = outcome.record
    return (
        record.service,
        record.to,
        record.state.value,
        outcome.order_revision,
        outcome.record_revision,
    )
