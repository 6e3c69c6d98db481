"""Learns the daily load and keeps it in the key-value service."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from expression import Result

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.desired import Desired
from ..core.forecast import (
    DayProfile,
    decode_profiles,
    encode_profiles,
    FORECAST_KEY,
)
from ..core.orders import Report
from ..core.topology import Server
from ..core.warm import observe_load, plan_active_servers
from ..ports.store import Store

SAMPLE_MS: Final = 60_000
SAVE_MS: Final = 900_000


class ForecastRunner:
    """Holds the profiles of the leader; the service keeps them for the next.

    What was learned since the last save is lost with a leader: at most
    `SAVE_MS` of samples.
    """

    __slots__ = (
        "_store",
        "_clock",
        "_profiles",
        "_version",
        "_loaded_for",
        "_sampled_ms",
        "_saved_ms",
    )

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._profiles: dict[str, DayProfile] = {}
        self._version = 0
        self._loaded_for = 0
        self._sampled_ms = clock.now_ms()
        self._saved_ms = clock.now_ms()

    def active_servers(
        self, desired: Desired, servers: tuple[Server, ...]
    ) -> dict[str, frozenset[str]]:
        """Returns who is to be awake now, by pool."""
        return plan_active_servers(
            desired, servers, self._profiles, self._clock.wall_ms()
        )

    def is_loaded(self, fence: int) -> bool:
        """Tells whether the profiles are those of this leadership."""
        return self._loaded_for == fence

    async def load(self, fence: int) -> bool:
        """Reads what earlier leaders learned, once a leadership.

        Returns:
            Whether the profiles are those of this leadership.
        """
        if self._loaded_for == fence:
            return True
        match await self._store.read(FORECAST_KEY):
            case Result(tag="ok", ok=found):
                pass
            case Result(error=fault):
                log_event("forecast_unread", "WARNING", detail=fault.detail)
                return False
        self._version = found.version if found else 0
        match decode_profiles(found.value if found else b"{}"):
            case Result(tag="ok", ok=profiles):
                self._profiles = profiles
            case Result(error=fault):
                log_event("forecast_refused", "ERROR", detail=fault.detail)
        self._loaded_for = fence
        return True

    def sample(
        self,
        desired: Desired,
        servers: tuple[Server, ...],
        reports: Mapping[str, Report],
    ) -> None:
        """Takes the present load, at most once in `SAMPLE_MS`."""
        now_ms = self._clock.now_ms()
        if now_ms - self._sampled_ms < SAMPLE_MS:
            return
        self._sampled_ms = now_ms
        observe_load(
            desired, servers, reports, self._profiles, self._clock.wall_ms()
        )

    async def save(self) -> None:
        """Stores the profiles, at most once in `SAVE_MS`."""
        now_ms = self._clock.now_ms()
        if not self._profiles or now_ms - self._saved_ms < SAVE_MS:
            return
        self._saved_ms = now_ms
        value = encode_profiles(self._profiles)
        match await self._store.write(FORECAST_KEY, value, self._version):
            case Result(tag="ok", ok=version):
                self._version = version
            case Result(error=fault):
                # Read again before the next save: the write may have taken
                # effect, or another leader may have written.
                log_event("forecast_unsaved", "WARNING", detail=fault.detail)
                await self._read_version()

    async def _read_version(self) -> None:
        match await self._store.read(FORECAST_KEY):
            case Result(tag="ok", ok=found):
                self._version = found.version if found else 0
            case _:
                pass
