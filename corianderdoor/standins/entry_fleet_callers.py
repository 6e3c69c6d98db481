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
        clump: Mean number of requests that arrive together.
        first_parts: First parts of prompts with their weights.
        sessions: Number of chats.
        hot_share: Share of the requests that belong to one chat.
        has_prompts: Whether requests have prompts.
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
        self.clump = 1.0
        self.first_parts: dict[str, float] = {"t": 1.0}
        self.sessions = SESSIONS_PER_HOST * hosts
        self.hot_share = 0.0
        self.has_prompts = True
        self._rng = rng
        self._crashing_share = crashing_share
        self._crashing_from_ms = crashing_from_ms

    def next_gap_ms(self) -> int:
        """Returns the time until the next request."""
        if self.clump > 1 and self._rng.random() >= 1 / self.clump:
            return 1
        gap_ms = self._rng.expovariate(self.per_s / MS_PER_SECOND)
        return max(1, round(gap_ms * self.clump))

    def build_request(self, id: str, now_ms: int) -> CallerRequest:
        """Returns the next request."""
        session = self._rng.randrange(self.sessions)
        if self.hot_share and self._rng.random() < self.hot_share:
            session = 0
        part = f"s{session}"
        if now_ms >= self._crashing_from_ms:
            if self._rng.random() < self._crashing_share:
                part = CRASHING_PART
        parts: tuple[tuple[str, int], ...] = (
            (self._first_part(session), 2_000),
            (part, 3_000),
            (id, 400),
        )
        if not self.has_prompts:
            parts = ()
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

    def _first_part(self, session: int) -> str:
        """Returns the first part of the prompts of a chat."""
        point = random.Random(session).random() * sum(
            self.first_parts.values()
        )
        for name, weight in self.first_parts.items():
            point -= weight
            if point < 0:
                break
        return name
