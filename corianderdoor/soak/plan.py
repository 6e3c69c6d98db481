"""Draws the faults of a soak run from its seed."""

from __future__ import annotations

import random
from typing import Final

from ..core.records import Record

# Operations that must not cost a caller anything, and faults that may.
PLANNED: Final = ("term", "hup", "config", "leave", "evacuate")
UNPLANNED: Final = (
    "kill",
    "pause",
    "store-link",
    "store-trouble",
    "store-history",
    "worker-link",
    # There are many ways for a worker to misbehave.
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
# Faults begin this far apart on average; they last longer, so they overlap.
MEAN_INTERVAL_MS: Final = 600
MIN_DURATION_MS: Final = 300
MAX_DURATION_MS: Final = 6_000
# Share of the seeds whose plan holds planned work alone, or single faults.
THEMES: Final = ("planned", "single", "overlapping")
# Single faults are this far apart, longer than hosts need to recover.
SINGLE_INTERVAL_MS: Final = 7_000


class Step(Record):
    """One fault or operation.

    Attributes:
        at_ms: When it begins, from the start of the faults.
        kind: One of `PLANNED` or `UNPLANNED`.
        target: Position of the host or worker that it strikes.
        for_ms: How long it lasts.
        how: Its variant; empty if there is one alone.
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
    """Returns how the faults of a seed are mixed."""
    return THEMES[seed % len(THEMES)]


def draw_plan(seed: int, length_ms: int) -> list[Step]:
    """Returns the steps of a run, in order of time.

    Args:
        seed: Equal seeds give equal plans.
        length_ms: Span in which faults begin.
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
