"""Generates the faults of a soak run from its seed."""

from __future__ import annotations

import random
from typing import Final

from ..core.records import Record

# Operations that must not affect callers, and faults that may.
PLANNED: Final = ("term", "hup", "config", "leave", "evacuate")
UNPLANNED: Final = (
    "kill",
    "pause",
    "store-link",
    "store-trouble",
    "store-history",
    "worker-link",
    # Listed three times, since it has the most variants.
    "worker-mode",
    "worker-mode",
    "worker-mode",
    "all-cold",
)
LINK_MODES: Final = ("delay", "reset", "silent", "one-way")
STORE_TROUBLES: Final = ("busy", "silent", "reset", "lost")
WORKER_MODES: Final = (
    "decline",
    "error",
    "cut",
    "drop",
    "unsigned",
    "stray",
    "unframed",
)
# Mean time between the starts of faults. Most last longer, so they overlap.
MEAN_INTERVAL_MS: Final = 600
MIN_DURATION_MS: Final = 300
MAX_DURATION_MS: Final = 6_000
# A third of the seeds each: planned operations only, steps at intervals of
# `SINGLE_INTERVAL_MS`, and overlapping steps.
THEMES: Final = ("planned", "single", "overlapping")
# Time between the starts of single steps, longer than hosts need to recover.
SINGLE_INTERVAL_MS: Final = 7_000


class Step(Record):
    """One fault or operation.

    Attributes:
        at_ms: Start time, relative to the start of the plan.
        kind: One of `PLANNED` or `UNPLANNED`.
        target: Number that selects the host, worker or data centre, modulo
            their count.
        duration_ms: Duration of the step.
        variant: Variant of the kind; empty if the kind has none.
    """

    __slots__ = ("at_ms", "kind", "target", "duration_ms", "variant")

    def __init__(
        self,
        at_ms: int,
        kind: str,
        target: int,
        duration_ms: int,
        variant: str,
    ) -> None:
        self.at_ms = at_ms
        self.kind = kind
        self.target = target
        self.duration_ms = duration_ms
        self.variant = variant


def draw_theme(seed: int) -> str:
    """Returns the theme of a seed, one of `THEMES`."""
    return THEMES[seed % len(THEMES)]


def draw_plan(seed: int, length_ms: int) -> list[Step]:
    """Returns the steps of a run, in order of time.

    Args:
        seed: Equal seeds give equal plans.
        length_ms: Period in which steps start.
    """
    rng = random.Random(seed)
    theme = draw_theme(seed)
    kinds = PLANNED if theme == "planned" else PLANNED + UNPLANNED
    interval_ms = SINGLE_INTERVAL_MS if theme == "single" else MEAN_INTERVAL_MS
    steps = []
    at_ms = 0
    while at_ms < length_ms:
        kind = rng.choice(kinds)
        steps.append(
            Step(
                at_ms,
                kind,
                rng.randrange(2**16),
                rng.randint(MIN_DURATION_MS, MAX_DURATION_MS),
                _draw_variant(rng, kind),
            )
        )
        if theme == "single":
            at_ms += interval_ms
        else:
            at_ms += 1 + int(rng.expovariate(1 / interval_ms))
    return steps


def _draw_variant(rng: random.Random, kind: str) -> str:
    variants = {
        "store-link": LINK_MODES,
        "worker-link": LINK_MODES,
        "store-trouble": STORE_TROUBLES,
        "worker-mode": WORKER_MODES,
    }.get(kind)
    return rng.choice(variants) if variants else ""
