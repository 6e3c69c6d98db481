"""What may be wrong with a new version, for simulated rollouts."""

from __future__ import annotations

import enum
import random
from typing import Final

ANSWER_MS: Final = 150
BAD_ROUTE: Final = "read"
NORMAL_RATE: Final = 0.003
SICK_SERVER: Final = "v2-0"


class Kind(enum.Enum):
    """What is wrong during a rollout."""

    GOOD = "good"
    FAILS = "fails at once"
    LATER = "fails later"
    LOAD = "fails under load"
    ROUTE = "fails on one route"
    SLOW = "slow"
    SICK_SERVER = "one sick new server"
    BURST = "burst of failures"
    ALIKE = "both fail alike"


BAD_KINDS: Final = frozenset(
    {Kind.FAILS, Kind.LATER, Kind.LOAD, Kind.ROUTE, Kind.SLOW}
)


def draw_answer(
    kind: Kind,
    server_id: str,
    is_new: bool,
    is_busy: bool,
    route: str,
    fraction: float,
    rng: random.Random,
) -> tuple[bool, int]:
    """Returns whether an answer fails, and how long it takes in ms.

    Args:
        kind: What is wrong.
        server_id: Id of the server.
        is_new: Whether the server runs the new version.
        is_busy: Whether it works on at least half of its usual requests.
        route: Name of the route.
        fraction: Elapsed fraction of the time budget.
        rng: Random numbers.
    """
    took_ms = int(ANSWER_MS * rng.uniform(0.7, 1.4))
    rate = NORMAL_RATE
    if kind is Kind.ALIKE:
        rate = 0.08
    elif kind is Kind.BURST and 0.3 <= fraction < 0.35:
        rate = 0.5
    elif kind is Kind.SICK_SERVER and server_id == SICK_SERVER:
        rate = 0.7
    elif is_new and kind is Kind.FAILS:
        rate = 0.3
    elif is_new and kind is Kind.LATER and fraction >= 0.5:
        rate = 0.3
    elif is_new and kind is Kind.ROUTE and route == BAD_ROUTE:
        rate = 0.6
    elif is_new and kind is Kind.LOAD and is_busy:
        rate = 0.4
    elif is_new and kind is Kind.SLOW:
        took_ms *= 5
    return rng.random() < rate, took_ms
