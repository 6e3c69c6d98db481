"""Retry budget and back-off."""

from __future__ import annotations

import random
from typing import Final

BUDGET_FRACTION: Final = 0.1
INITIAL_BUDGET: Final = 3.0
BUDGET_CAP: Final = 50.0
BACKOFF_BASE_MS: Final = 25
BACKOFF_CAP_MS: Final = 1_000
MAX_ATTEMPTS: Final = 3
MAX_CRASHES: Final = 2


class RetryBudget:
    """Allows retries as a fraction of successes."""

    __slots__ = ("_rng", "_tokens")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tokens = INITIAL_BUDGET

    def record_success(self) -> None:
        """Adds a fraction of a retry to the budget."""
        self._tokens = min(BUDGET_CAP, self._tokens + BUDGET_FRACTION)

    def take(self) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def backoff_ms(self, attempt: int) -> int:
        """Returns a random back-off after attempt number `attempt`, in ms."""
        ceiling = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** (attempt - 1))
        return self._rng.randint(0, ceiling)
