"""Which servers of a pool are awake at a time of day."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import itertools
from typing import Final

from .desired import Desired, WarmBody
from .forecast import DayProfile
from .orders import Report
from .topology import Server

MS_PER_MINUTE: Final = 60_000


def observe_load(
    desired: Desired,
    servers: Iterable[Server],
    reports: Mapping[str, Report],
    profiles: dict[str, DayProfile],
    wall_ms: int,
) -> None:
    """Adds the present load of each pool that follows the time of day.

    A pool of which some engine has no report is left out: its sum would
    be too small.
    """
    members: dict[str, list[Server]] = {}
    for server in servers:
        members.setdefault(server.pool, []).append(server)
    for pool, spec in desired.body.pools.items():
        names = [item.name for item in members.get(pool, [])]
        if spec.warm is None or not names:
            continue
        if any(name not in reports for name in names):
            continue
        profile = profiles.get(pool)
        if profile is None or profile.zone_name != spec.warm.zone:
            profile = profiles[pool] = DayProfile(spec.warm.zone)
        load = sum(reports[name].in_flight for name in names)
        profile.observe(wall_ms, float(load))


def choose_active_servers(
    servers: Iterable[Server], warm: WarmBody, load: float
) -> frozenset[str]:
    """Returns the names of the servers that are to be awake for `load`.

    Data centres take turns, so that those awake are spread over them; the
    same load gives the same servers.
    """
    ranked = sorted(servers, key=lambda server: server.name)
    seen: dict[str, itertools.count[int]] = {}
    turns = [
        (next(seen.setdefault(item.data_centre, itertools.count())), item)
        for item in ranked
    ]
    turns.sort(key=lambda turn: (turn[0], turn[1].data_centre))
    needed = -int(-load // warm.per_server)
    count = max(warm.floor, needed)
    return frozenset(item.name for _, item in turns[:count])


def plan_active_servers(
    desired: Desired,
    servers: tuple[Server, ...],
    profiles: Mapping[str, DayProfile],
    wall_ms: int,
) -> dict[str, frozenset[str]]:
    """Returns who is to be awake, for pools whose day is known.

    A pool without a learned day is left out: all its servers are awake.
    """
    active = {}
    for pool, spec in desired.body.pools.items():
        profile = profiles.get(pool)
        if spec.warm is None or profile is None:
            continue
        load = profile.highest(
            wall_ms - spec.warm.hold_minutes * MS_PER_MINUTE,
            wall_ms + spec.warm.lead_minutes * MS_PER_MINUTE,
        )
        if load is None:
            continue
        members = [item for item in servers if item.pool == pool]
        active[pool] = choose_active_servers(members, spec.warm, load)
    return active
