"""Runs of the model of brittle servers, and what they lead to."""

from __future__ import annotations

from collections import Counter
from typing import Final

SLOTS: Final = 6
REDUCED_WAITING: Final = 1
# Load on the servers, as a share of their slots.
STEADY_LOAD: Final = 0.6
SURGE_LOAD: Final = 1.5


class Scenario:
    """One run of the model.

    Attributes:
        hosts: Number of hosts.
        servers: Number of servers.
        limit: Rejections in a second that a server bears.
        brittle: Whether the servers become brittle.
        uses_signs: Whether the hosts use what the servers say about it.
        load: Load before and after the surge, as a share of the slots.
        surge: Load during the surge.
        slots: Slots of a server, as it is listed.
        waiting: Requests that may wait once the room is reduced.
        states_load: Whether the servers state their load.
        capacity: Requests that a server processes at a time; memory may
            allow fewer than its slots.
        seed: Seed of the run.
    """

    __slots__ = (
        "hosts",
        "servers",
        "limit",
        "brittle",
        "uses_signs",
        "load",
        "surge",
        "slots",
        "waiting",
        "states_load",
        "capacity",
        "seed",
    )

    def __init__(
        self,
        hosts: int,
        servers: int,
        limit: int,
        brittle: bool = True,
        uses_signs: bool = True,
        load: float = STEADY_LOAD,
        surge: float = SURGE_LOAD,
        slots: int = SLOTS,
        waiting: int = REDUCED_WAITING,
        states_load: bool = True,
        capacity: int | None = None,
        seed: int = 1,
    ) -> None:
        self.hosts = hosts
        self.servers = servers
        self.limit = limit
        self.brittle = brittle
        self.uses_signs = uses_signs
        self.load = load
        self.surge = surge
        self.slots = slots
        self.waiting = waiting
        self.states_load = states_load
        self.capacity = capacity or slots
        self.seed = seed


class Result:
    """What one run led to.

    Attributes:
        falls: Falls of servers.
        allowed: Falls that the servers' operators allow.
        outcomes: Requests by outcome: "served", "refused" or "failed".
        served_brittle: Requests served from the reduction of the room on.
        arrived_brittle: Requests that arrived since then.
        rejections: Requests that servers turned away.
    """

    __slots__ = (
        "falls",
        "allowed",
        "outcomes",
        "served_brittle",
        "arrived_brittle",
        "rejections",
    )

    def __init__(self, servers: int) -> None:
        self.falls = 0
        self.allowed = 2 + servers / 10
        self.outcomes: Counter[str] = Counter()
        self.served_brittle = 0
        self.arrived_brittle = 0
        self.rejections = 0
