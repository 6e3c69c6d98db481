"""Leaves and finds the records of minted keys in the key-value service."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from expression import Result

from ..core.clock import Clock, MS_PER_SECOND
from ..core.minted_record import decode_record, MintedRecord, record_key
from ..core.once import LookUp
from ..core.tickets import TICKET_VALID_MS
from ..ports.store import Store
from .logs import log_event

MAX_CACHED_RECORDS: Final = 8
MIN_READ_INTERVAL_MS: Final = MS_PER_SECOND // 4


class MintedRecordStore:
    """Reads each record once, and not more often than the service bears."""

    __slots__ = ("_store", "_clock", "_cache", "_next_read_ms")

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._cache: OrderedDict[str, MintedRecord] = OrderedDict()
        self._next_read_ms = 0

    async def find(self, lookup: LookUp) -> MintedRecord | None:
        """Returns what a gone incarnation left, None if that is not known."""
        key = record_key(lookup.minter, lookup.incarnation)
        if key in self._cache:
            return self._cache[key]
        now_ms = self._clock.now_ms()
        if now_ms < self._next_read_ms:
            return None
        self._next_read_ms = now_ms + MIN_READ_INTERVAL_MS
        match await self._store.read(key):
            case Result(tag="ok", ok=found) if found is not None:
                return self._decode_and_cache(key, found.value)
            case _:
                return None

    async def save(self, minter: str, incarnation: int, value: bytes) -> None:
        """Writes the record of this router, which will run nothing more."""
        match await self._store.grant_lease(TICKET_VALID_MS):
            case Result(tag="ok", ok=lease):
                key = record_key(minter, incarnation)
                done = await self._store.write(key, value, 0, lease)
            case Result(error=fault):
                log_event("minted_not_left", "WARNING", detail=fault.detail)
                return
        if done.is_error():
            detail = done.error.detail
            log_event("minted_not_left", "WARNING", detail=detail)

    def _decode_and_cache(self, key: str, raw: bytes) -> MintedRecord | None:
        match decode_record(raw):
            case Result(tag="ok", ok=record):
                self._cache[key] = record
                while len(self._cache) > MAX_CACHED_RECORDS:
                    self._cache.popitem(last=False)
                return record
            case Result(error=fault):
                log_event("minted_unreadable", "ERROR", detail=fault.detail)
                return None
