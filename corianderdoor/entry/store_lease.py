"""A lease of the store that is granted when something is written."""

from __future__ import annotations

from typing import Final

from ..core.clock import Clock
from ..core.entry.replica import owns_lease
from ..platform.store import StoreClient
from ..platform.store_era import NO_ERA

NO_LEASE: Final = 0


class StoreLease:
    """Keeps one lease, and gets another one if it has ended."""

    __slots__ = ("_store", "_clock", "_ttl_ms", "_id", "_era", "_renew_at_ms")

    def __init__(self, store: StoreClient, clock: Clock, ttl_ms: int) -> None:
        """Initializes the object, without a lease.

        Args:
            store: Client of the store.
            clock: The clock.
            ttl_ms: How long the lease runs; it is renewed after half of it.
        """
        self._store = store
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._id = NO_LEASE
        self._era = NO_ERA
        self._renew_at_ms = 0

    @property
    def is_owned(self) -> bool:
        """Whether there is a lease of the store's present era."""
        return bool(self._id) and owns_lease(self._era, self._store.era.known)

    def drop(self) -> None:
        """Forgets the lease, as the store does not know it."""
        self._id = NO_LEASE

    async def keep(self) -> int:
        """Returns the id of a lease that runs for half of its time or more.

        Raises:
            StoreError: A call failed.
        """
        now_ms = self._clock.now_ms()
        if self.is_owned and now_ms < self._renew_at_ms:
            return self._id
        if not self.is_owned or not await self._store.renew(self._id):
            self._id = await self._store.grant(self._ttl_ms)
            self._era = self._store.era.known
        self._renew_at_ms = now_ms + self._ttl_ms // 2
        return self._id
