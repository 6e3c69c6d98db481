"""Forecast of the load by local time of day.

A profile has one level for each slot of 15 minutes of local time in an IANA
time zone: an exponentially weighted moving average over days. Ranges are
walked in UTC and each slot is looked up by its local time, which handles both
clock changes: the repeated hour uses the same levels twice, and the skipped
hour is never looked up. In learning, both passes of a repeated slot make one
observation of that day, and a slot that a day lacks keeps its level.
"""

from __future__ import annotations

import datetime
import functools
from typing import Final
import zoneinfo

from expression import Error, Ok, Result
import msgspec

from .clock import MS_PER_SECOND
from .errors import Fault, Kind

FORECAST_KEY: Final = "corianderdoor/forecast"
SLOT_MINUTES: Final = 15
SLOT_MS: Final = SLOT_MINUTES * 60_000
SLOTS_PER_DAY: Final = 96
NEW_DAY_WEIGHT: Final = 0.3
MAX_PROFILES: Final = 1_000


@functools.lru_cache(maxsize=64)
def load_zone(name: str) -> zoneinfo.ZoneInfo | None:
    """Returns the IANA time zone `name`, or None if there is none."""
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return None


def local_slot(wall_ms: int, zone: zoneinfo.ZoneInfo) -> tuple[int, int]:
    """Returns the local day, as an ordinal, and the slot within it."""
    wall_s = wall_ms / MS_PER_SECOND
    local = datetime.datetime.fromtimestamp(wall_s, zone)
    minutes = local.hour * 60 + local.minute
    return local.toordinal(), minutes // SLOT_MINUTES


class _SlotState(msgspec.Struct, array_like=True):
    """The level of one slot and the number of days it was learned from."""

    level: float = 0.0
    days: int = 0


class ProfileState(msgspec.Struct):
    """The stored form of a profile.

    Attributes:
        zone: The IANA time zone.
        slots: The slots of the day.
        day: The local day being observed, as an ordinal.
        sums: Sum and count of that day's samples, by slot.
    """

    zone: str
    slots: list[_SlotState]
    day: int = 0
    sums: dict[int, tuple[float, int]] = {}


class DayProfile:
    """The load of one pool by local time of day.

    Attributes:
        zone_name: The IANA time zone.
    """

    __slots__ = ("zone_name", "_zone", "_slots", "_day", "_sums")

    def __init__(self, zone_name: str, state: ProfileState | None = None):
        self.zone_name = zone_name
        self._zone = load_zone(zone_name) or zoneinfo.ZoneInfo("UTC")
        self._slots = [_SlotState() for _ in range(SLOTS_PER_DAY)]
        self._day = 0
        self._sums: dict[int, tuple[float, int]] = {}
        if state is not None and state.zone == zone_name:
            self._restore(state)

    def observe(self, wall_ms: int, load: float) -> None:
        """Adds a sample of the load at `wall_ms`, Unix time in ms.

        A sample of a day before the latest one is ignored.
        """
        day, slot = local_slot(wall_ms, self._zone)
        if day < self._day:
            return
        if day > self._day:
            self._close_day()
            self._day = day
        total, count = self._sums.get(slot, (0.0, 0))
        self._sums[slot] = (total + load, count + 1)

    def expected(self, wall_ms: int) -> float | None:
        """Returns the load forecast for `wall_ms`; None if not learned."""
        slot = self._slots[local_slot(wall_ms, self._zone)[1]]
        return slot.level if slot.days else None

    def highest(self, start_ms: int, end_ms: int) -> float | None:
        """Returns the highest load from `start_ms` to `end_ms` inclusive.

        Returns:
            The load, or None if a slot of the range is not learned.
        """
        levels = [
            self.expected(at_ms) for at_ms in _walk_slots(start_ms, end_ms)
        ]
        known = [load for load in levels if load is not None]
        return max(known) if len(known) == len(levels) else None

    def state(self) -> ProfileState:
        """Returns the stored form of this profile."""
        return ProfileState(self.zone_name, self._slots, self._day, self._sums)

    def _restore(self, state: ProfileState) -> None:
        if len(state.slots) == SLOTS_PER_DAY:
            self._slots = state.slots
            self._day = state.day
            self._sums = dict(state.sums)

    def _close_day(self) -> None:
        for slot_number, (total, count) in self._sums.items():
            slot = self._slots[slot_number]
            slot.days += 1
            weight = max(NEW_DAY_WEIGHT, 1 / slot.days)
            slot.level += weight * (total / count - slot.level)
        self._sums.clear()


def _walk_slots(start_ms: int, end_ms: int) -> range:
    # The offsets of all zones are multiples of 15 minutes, so slots of UTC
    # coincide with slots of local time.
    first_ms = start_ms - start_ms % SLOT_MS
    return range(first_ms, end_ms + 1, SLOT_MS)


def encode_profiles(profiles: dict[str, DayProfile]) -> bytes:
    """Returns the stored form of the profiles, by pool."""
    states = {name: item.state() for name, item in profiles.items()}
    return msgspec.json.encode(states)


def decode_profiles(raw: bytes) -> Result[dict[str, DayProfile], Fault]:
    """Decodes stored profiles; a `Kind.BAD_CONFIG` fault if malformed.

    Profiles beyond the first `MAX_PROFILES` are dropped.
    """
    try:
        states = msgspec.json.decode(raw, type=dict[str, ProfileState])
    except msgspec.MsgspecError as exc:
        return Error(Fault(Kind.BAD_CONFIG, "decode-forecast", str(exc)))
    kept = list(states.items())[:MAX_PROFILES]
    return Ok({name: DayProfile(item.zone, item) for name, item in kept})
