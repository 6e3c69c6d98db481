"""Forecast of the load by local time of day.

Each profile has a level per quarter of an hour on the local clock of an IANA
zone, learned over days with exponential weights. Spans are walked in UTC and
each quarter is looked up by its local time, so both clock changes come out
right: in the repeated hour the same levels hold twice, and the missing hour
is never asked for. When learning, both passes of a repeated quarter make one
observation of that day, and a quarter that a day lacks keeps its level.
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
    """Returns the zone of that IANA name, or None if there is none."""
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return None


def local_slot(wall_ms: int, zone: zoneinfo.ZoneInfo) -> tuple[int, int]:
    """Returns the local day, as an ordinal, and the quarter within it."""
    wall_s = wall_ms / MS_PER_SECOND
    local = datetime.datetime.fromtimestamp(wall_s, zone)
    minutes = local.hour * 60 + local.minute
    return local.toordinal(), minutes // SLOT_MINUTES


class _SlotState(msgspec.Struct, array_like=True):
    """The level of one quarter and the days that it was learned from."""

    level: float = 0.0
    days: int = 0


class ProfileState(msgspec.Struct):
    """The stored form of a profile.

    Attributes:
        zone: The IANA zone.
        slots: The quarters of the day.
        day: The local day being observed, as an ordinal.
        sums: Sum and count of that day's samples, by quarter.
    """

    zone: str
    slots: list[_SlotState]
    day: int = 0
    sums: dict[int, tuple[float, int]] = {}


class DayProfile:
    """The load of one pool by the local time of day.

    Attributes:
        zone_name: The IANA zone.
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
        """Takes one sample of the load at `wall_ms`, Unix time in ms."""
        day, slot = local_slot(wall_ms, self._zone)
        if day < self._day:
            return
        if day > self._day:
            self._close_day()
            self._day = day
        total, count = self._sums.get(slot, (0.0, 0))
        self._sums[slot] = (total + load, count + 1)

    def expected(self, wall_ms: int) -> float | None:
        """Returns the load to expect at `wall_ms`; None if not learned."""
        slot = self._slots[local_slot(wall_ms, self._zone)[1]]
        return slot.level if slot.days else None

    def highest(self, start_ms: int, end_ms: int) -> float | None:
        """Returns the highest load from `start_ms` to `end_ms` inclusive.

        Returns:
            The load, or None if a quarter of the span is not learned.
        """
        found = [
            self.expected(at_ms) for at_ms in _walk_slots(start_ms, end_ms)
        ]
        known = [load for load in found if load is not None]
        return max(known) if len(known) == len(found) else None

    def state(self) -> ProfileState:
        """Returns what is stored of this profile."""
        return ProfileState(self.zone_name, self._slots, self._day, self._sums)

    def _restore(self, state: ProfileState) -> None:
        if len(state.slots) == SLOTS_PER_DAY:
            self._slots = state.slots
            self._day = state.day
            self._sums = dict(state.sums)

    def _close_day(self) -> None:
        for number, (total, count) in self._sums.items():
            slot = self._slots[number]
            slot.days += 1
            weight = max(NEW_DAY_WEIGHT, 1 / slot.days)
            slot.level += weight * (total / count - slot.level)
        self._sums.clear()


def _walk_slots(start_ms: int, end_ms: int) -> range:
    # Offsets of all zones are multiples of a quarter of an hour, so the
    # quarters of UTC are those of local time.
    first_ms = start_ms - start_ms % SLOT_MS
    return range(first_ms, end_ms + 1, SLOT_MS)


def encode_profiles(profiles: dict[str, DayProfile]) -> bytes:
    """Returns the stored form of the profiles, by pool."""
    states = {name: item.state() for name, item in profiles.items()}
    return msgspec.json.encode(states)


def decode_profiles(raw: bytes) -> Result[dict[str, DayProfile], Fault]:
    """Reads stored profiles; a `Kind.BAD_CONFIG` fault if malformed."""
    try:
        states = msgspec.json.decode(raw, type=dict[str, ProfileState])
    except msgspec.MsgspecError as exc:
        return Error(Fault(Kind.BAD_CONFIG, "decode-forecast", str(exc)))
    kept = list(states.items())[:MAX_PROFILES]
    return Ok({name: DayProfile(item.zone, item) for name, item in kept})
