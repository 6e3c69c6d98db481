"""Learns the daily load profiles and stores them."""

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
    """Keeps the leader's load profiles and saves them for the next leader.

    When a leader fails, the samples since its last save are lost: at most
    `SAVE_MS` worth.
    """

    __slots__ = (
        "_store",
        "_clock",
        "_profiles",
        "_version",
        "_loaded_fence",
        "_sampled_ms",
        "_saved_ms",
    )

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._profiles: dict[str, DayProfile] = {}
        self._version = 0
        self._loaded_fence = 0
        self._sampled_ms = clock.now_ms()
        self._saved_ms = clock.now_ms()

    def active_servers(
        self, desired: Desired, servers: tuple[Server, ...]
    ) -> dict[str, frozenset[str]]:
        """Returns the names of the servers to keep active now, by pool."""
        return plan_active_servers(
            desired, servers, self._profiles, self._clock.wall_ms()
        )

    def is_loaded(self, fence: int) -> bool:
        """Returns whether the profiles were loaded in this leadership."""
        return self._loaded_fence == fence

    async def load(self, fence: int) -> bool:
        """Loads the profiles that earlier leaders saved, once a leadership.

        Unusable stored profiles are logged, and the present ones stay.

        Args:
            fence: Fencing token of this leadership.

        Returns:
            Whether the profiles were loaded in this leadership; False if the
            key-value service could not be read.
        """
        if self._loaded_fence == fence:
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
        self._loaded_fence = fence
        return True

    def sample(
        self,
        desired: Desired,
        servers: tuple[Server, ...],
        reports: Mapping[str, Report],
    ) -> None:
        """Records the current load, at most once per `SAMPLE_MS`."""
        now_ms = self._clock.now_ms()
        if now_ms - self._sampled_ms < SAMPLE_MS:
            return
        self._sampled_ms = now_ms
        observe_load(
            desired, servers, reports, self._profiles, self._clock.wall_ms()
        )

    async def save(self) -> None:
        """Saves the profiles, at most once per `SAVE_MS`."""
        now_ms = self._clock.now_ms()
        if not self._profiles or now_ms - self._saved_ms < SAVE_MS:
            return
        self._saved_ms = now_ms
        value = encode_profiles(self._profiles)
        match await self._store.write(FORECAST_KEY, value, self._version):
            case Result(tag="ok", ok=version):
                self._version = version
            case Result(error=fault):
                # Re-read the version for the next save: this write may have
                # taken effect, or another leader may have written.
                log_event("forecast_unsaved", "WARNING", detail=fault.detail)
                await self._read_version()

    async def _read_version(self) -> None:
        match await self._store.read(FORECAST_KEY):
            case Result(tag="ok", ok=found):
                self._version = found.version if found else 0
            case _:
                pass
