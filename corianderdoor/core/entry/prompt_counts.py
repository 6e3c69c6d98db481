"""Counts how much of the prompts the chosen servers have cached."""

from __future__ import annotations

from .cache_map import CacheMap
from .counters import Counters
from .requests import CallerRequest
from .servers import BackendServer


def count_prompt(
    counters: Counters,
    caches: CacheMap,
    req: CallerRequest,
    server: BackendServer,
    now_ms: int,
) -> None:
    """Counts the shared tokens of a prompt that is sent to `server`."""
    for part in req.shared_parts():
        holders = caches.holders(part, now_ms)
        place = "nowhere"
        if holders:
            place = "here" if server.id in holders else "elsewhere"
        counters.add("prompt_tokens", part.tokens, cached=place)
