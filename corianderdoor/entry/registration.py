"""Keeps the record of this host in the store while it serves."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import MS_PER_SECOND
from ..core.entry.counters import Counters
from ..core.entry.replica import owns_lease
from ..platform.records import HOST_PREFIX
from ..platform.store import StoreClient, StoreError
from ..platform.store_era import NO_ERA, StoreEra

# A host's record in the store expires at most this long after the time in
# which the loss of a host has to be noticed. Missed heartbeats show a crash
# sooner, but a host that receives no heartbeats names the hosts that the
# store lists, and must not name a crashed host for three seconds more than
# that time (platform's documentation).
LEASE_MARGIN_MS: Final = 2_000
# Share of the lease after which it is renewed. Leaves time for a second
# attempt; not smaller, as each renewal is a call to the store.
RENEW_SHARE: Final = 0.4
# Delays between attempts to register while the store turns this host away.
# Each attempt is a call, and the lease leaves time for two.
FIRST_LEASE_RETRY_MS: Final = 300
MAX_LEASE_RETRY_MS: Final = 1_200


class Registration:
    """Keeps the record of this host in the store while it serves.

    A lease is valid in one era of the store only: after a restore its id may
    belong to another host.

    Attributes:
        reached: Whether the store answered the last call.
    """

    __slots__ = (
        "reached",
        "_store",
        "_key",
        "_value",
        "_lease",
        "_lease_era",
        "_lease_ms",
        "_era",
        "_rewrite_delay_ms",
        "_is_lost",
        "_is_written",
        "_calls",
    )

    def __init__(
        self,
        store: StoreClient,
        name: str,
        value: bytes,
        lost_after_ms: int,
        era: StoreEra | None = None,
        rewrite_delay_ms: Callable[[], int] = lambda: 0,
        is_lost: Callable[[str, bytes], bool] = lambda key, value: False,
    ) -> None:
        """Creates the record, which is written by `run`.

        Args:
            store: Client of the store, for this task alone.
            name: Name of this host.
            value: The record.
            lost_after_ms: Time in which the loss of a host has to be
                noticed.
            era: The store's era, as `store` reads it.
            rewrite_delay_ms: Returns when to write the record again after a
                restore of the store, so that not all hosts do so at once.
            is_lost: Returns whether the store is known to have another value
                of a key, or none.
        """
        self._is_lost = is_lost
        # Whether the store has acknowledged the record under this lease.
        self._is_written = False
        self._era = era or StoreEra(Counters())
        self._rewrite_delay_ms = rewrite_delay_ms
        self._lease_ms = lost_after_ms + LEASE_MARGIN_MS
        self.reached = False
        self._store = store
        self._key = HOST_PREFIX + name
        self._value = value
        self._lease: int | None = None
        self._lease_era = NO_ERA
        # One call at a time: a record written after its withdrawal would
        # name a host that has left.
        self._calls = anyio.Lock()

    async def run(self, is_serving: Callable[[], bool]) -> None:
        """Keeps the record until `is_serving` returns False."""
        retry_ms = FIRST_LEASE_RETRY_MS
        while is_serving():
            try:
                async with self._calls:
                    if not is_serving():
                        return
                    await self._renew()
                self.reached = True
                retry_ms = FIRST_LEASE_RETRY_MS
                await self._wait_for_renewal()
            except StoreError as exc:
                if self.reached:
                    log_event(
                        "registration_lost",
                        "WARNING",
                        step=exc.step,
                        reason=exc.reason,
                    )
                self.reached = False
                await anyio.sleep(retry_ms / MS_PER_SECOND)
                retry_ms = min(MAX_LEASE_RETRY_MS, 2 * retry_ms)

    async def _wait_for_renewal(self) -> None:
        with anyio.move_on_after(self._lease_ms * RENEW_SHARE / MS_PER_SECOND):
            await self._era.wait_above(self._lease_era)
            await anyio.sleep(self._rewrite_delay_ms() / MS_PER_SECOND)

    async def _renew(self) -> None:
        if not await self._renew_lease() or self._lease is None:
            self._is_written = False
            self._lease = await self._store.grant(self._lease_ms)
            self._lease_era = self._era.known
        # A write of this host's former process, executed late, puts the
        # record under a lease that ends.
        if self._is_written and not self._is_lost(self._key, self._value):
            return
        kept = await self._store.write(self._key, self._value, self._lease)
        if not kept or not self._owns_lease():
            self._lease = None
            raise StoreError("registration", "lease gone", True)
        self._is_written = True
        log_event("registered", lease=self._lease)

    async def _renew_lease(self) -> bool:
        """Returns whether this host's lease exists; renews it if so."""
        if not self._owns_lease() or self._lease is None:
            self._lease = None
            return False
        renewed = await self._store.renew(self._lease)
        # The answer shows the era in which the lease was renewed.
        return renewed and self._owns_lease()

    def _owns_lease(self) -> bool:
        return owns_lease(self._lease_era, self._era.known)

    async def withdraw(self) -> None:
        """Ends the lease, which removes the record."""
        try:
            # Renews it first: after a restore that is not known here yet the
            # id may be the one of another host's lease.
            async with self._calls:
                if not await self._renew_lease() or self._lease is None:
                    return
                await self._store.end_lease(self._lease)
            log_event("registration_ended", lease=self._lease)
        except StoreError as exc:
            # The lease expires by itself.
            log_event(
                "registration_kept",
                "WARNING",
                step=exc.step,
                reason=exc.reason,
            )
