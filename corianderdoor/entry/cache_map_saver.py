"""Saves the map of the servers' caches in the store."""

from __future__ import annotations

from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.cache_map import CacheMap
from ..core.entry.counters import Counters
from ..core.entry.peers import Peers
from ..platform.records import CACHES_KEY
from ..platform.store import StoreClient, StoreError
from ..platform.store_era import NO_ERA, StoreEra
from .peer_codec import encode_caches

# If all hosts stop at once, what they learnt since the last save is lost.
SAVE_INTERVAL_MS: Final = 3_000
NO_LEASE: Final = 0


class CacheMapSaver:
    """Saves which servers hold which prompt parts in their caches.

    Without the saved map, hosts that all start at once would not know where
    the prompts of chats are cached. One host of the fleet saves; if two do,
    no harm results.
    """

    __slots__ = ("_store", "_caches", "_peers", "_clock", "_saved", "_era")

    def __init__(
        self,
        store: StoreClient,
        caches: CacheMap,
        peers: Peers,
        clock: Clock,
        era: StoreEra | None = None,
    ) -> None:
        self._store = store
        self._caches = caches
        self._peers = peers
        self._clock = clock
        # The map as saved last, and the era in which it was saved.
        self._saved = (b"", NO_ERA)
        self._era = era or StoreEra(Counters())

    async def run(self) -> None:
        """Saves at intervals while this host is the one that saves.

        A restore of the store may have lost the map, so it is saved again.
        """
        while True:
            await anyio.sleep(SAVE_INTERVAL_MS / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            if not self._peers.is_first(now_ms):
                continue
            value = encode_caches(self._caches.snapshot(now_ms))
            if self._saved == (value, self._era.known):
                continue
            try:
                await self._store.write(CACHES_KEY, value, NO_LEASE)
                self._saved = value, self._era.known
            except StoreError as exc:
                log_event("caches_not_saved", reason=exc.reason)
