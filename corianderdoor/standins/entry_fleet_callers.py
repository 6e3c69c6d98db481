"""Callers of a simulated fleet of entry hosts."""

from __future__ import annotations

import random
from typing import Final

from ..core.clock import MS_PER_SECOND
from ..core.entry.requests import CallerRequest, PromptPart
from .entry_fleet_servers import CRASHING_PART, KEY

SESSIONS_PER_HOST: Final = 6


class Callers:
    """Makes the requests of callers and the gaps between them.

    Attributes:
        per_s: Requests per second.
    """

    def __init__(
        self,
        rng: random.Random,
        per_s: float,
        hosts: int,
        crashing_share: float,
        crashing_from_ms: int,
    ) -> None:
        self.per_s = per_s
        self._rng = rng
        self._sessions = SESSIONS_PER_HOST * hosts
        self._crashing_share = crashing_share
        self._crashing_from_ms = crashing_from_ms

    def next_gap_ms(self) -> int:
        """Returns the time until the next request."""
        gap_ms = self._rng.expovariate(self.per_s / MS_PER_SECOND)
        return max(1, round(gap_ms))

    def build_request(self, id: str, now_ms: int) -> CallerRequest:
        """Returns the next request."""
        part = f"s{self._rng.randrange(self._sessions)}"
        if now_ms >= self._crashing_from_ms:
            if self._rng.random() < self._crashing_share:
                part = CRASHING_PART
        parts = (("t", 2_000), (part, 3_000), (id, 400))
        return CallerRequest(
            id,
            "POST",
            "/chat/x",
            "example.test",
            KEY,
            6_000.0,
            tuple(PromptPart(name, tokens) for name, tokens in parts),
            sum(tokens for _, tokens in parts),
            None,
            [],
            id.encode(),
        )
