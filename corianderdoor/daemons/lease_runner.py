"""Runs the lease keeper against the key-value service."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.lease import LEADER_KEY, LeaseKeeper
from ..core.lease_messages import (
    decode_leader,
    GrantLease,
    LeaderRead,
    LeaderWritten,
    LeaseAction,
    LeaseEvent,
    LeaseGranted,
    LeaseRenewed,
    ReadLeader,
    RenewLease,
    Resign,
    Tick,
    WriteLeader,
)
from ..ports.store import Store

MIN_SLEEP_MS: Final = 10
MAX_SLEEP_MS: Final = 1_000


class LeaseRunner:
    """Runs the actions of a `LeaseKeeper` and feeds back their results."""

    __slots__ = ("_keeper", "_store", "_clock", "_fence")

    def __init__(
        self, keeper: LeaseKeeper, store: Store, clock: Clock
    ) -> None:
        self._keeper = keeper
        self._store = store
        self._clock = clock
        self._fence: int | None = None

    async def run(self) -> None:
        """Claims and renews the lease until cancelled."""
        while True:
            await self._handle_event(Tick())
            wait_ms = self._keeper.next_ms - self._clock.now_ms()
            wait_ms = min(max(wait_ms, MIN_SLEEP_MS), MAX_SLEEP_MS)
            await anyio.sleep(wait_ms / MS_PER_SECOND)

    async def resign(self) -> None:
        """Releases the lease, so that another controller can lead."""
        await self._handle_event(Resign())

    async def _handle_event(self, event: LeaseEvent) -> None:
        pending = list(self._keeper.handle(event, self._clock.now_ms()))
        while pending:
            answer = await self._call(pending.pop(0))
            pending += self._keeper.handle(answer, self._clock.now_ms())
        self._log_change()

    @singledispatchmethod
    async def _call(self, action: LeaseAction) -> LeaseEvent:
        raise TypeError(f"no lease action: {action!r}")

    @_call.register
    async def _read(self, action: ReadLeader) -> LeaseEvent:
        found = await self._store.read(LEADER_KEY)
        return LeaderRead(
            action.call,
            found.map(
                lambda item: (
                    decode_leader(item.value, item.version) if item else None
                )
            ),
        )

    @_call.register
    async def _grant(self, action: GrantLease) -> LeaseEvent:
        result = await self._store.grant_lease(action.ttl_ms)
        return LeaseGranted(action.call, result)

    @_call.register
    async def _write(self, action: WriteLeader) -> LeaseEvent:
        result = await self._store.write(
            LEADER_KEY, action.value, action.version, action.lease
        )
        return LeaderWritten(action.call, result)

    @_call.register
    async def _renew(self, action: RenewLease) -> LeaseEvent:
        result = await self._store.renew_lease(action.lease)
        return LeaseRenewed(action.call, result)

    def _log_change(self) -> None:
        fence = self._keeper.fence(self._clock.now_ms())
        if fence == self._fence:
            return
        if fence is None:
            log_event("lease_lost", "WARNING", fence=self._fence)
        else:
            log_event("lease_gained", fence=fence)
        self._fence = fence
