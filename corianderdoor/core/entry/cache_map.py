"""Which servers keep which parts of prompts in their caches.

Hosts tell each other where they sent prompts. The map is a hint: a server
may have dropped a part since, and then it reads the part again.
"""

from __future__ import annotations

from collections import deque, OrderedDict
from typing import Final

import xxhash

from .requests import CallerRequest, PromptPart

# Parts that are remembered; a part takes about 300 bytes.
MAX_PARTS: Final = 20_000
# A part that nobody used for this long may have been dropped.
KEEP_MS: Final = 120_000
# A use that peers know of is told again after this long.
RETELL_MS: Final = 5_000
# Uses that wait to be told; the oldest yield.
MAX_NEWS: Final = 256


def digest_part(part: PromptPart) -> int:
    """Returns the number that stands for a part."""
    return xxhash.xxh3_64_intdigest(part.id.encode())


class CacheMap:
    """Holders of parts, the last used ones. Bounded by `MAX_PARTS`."""

    __slots__ = ("_parts", "_told", "_news")

    def __init__(self) -> None:
        self._parts: OrderedDict[int, dict[str, int]] = OrderedDict()
        self._told: OrderedDict[tuple[int, str], int] = OrderedDict()
        self._news: deque[tuple[int, str]] = deque(maxlen=MAX_NEWS)

    def record(self, req: CallerRequest, server_id: str, now_ms: int) -> None:
        """Notes that `server_id` reads the prompt of `req`."""
        for part in req.shared_parts():
            digest = digest_part(part)
            self.add_holder(digest, server_id, now_ms)
            pair = (digest, server_id)
            told_ms = self._told.get(pair)
            if told_ms is None or now_ms - told_ms >= RETELL_MS:
                self._note_told(pair, now_ms)
                self._news.append(pair)

    def _note_told(self, pair: tuple[int, str], now_ms: int) -> None:
        self._told[pair] = now_ms
        self._told.move_to_end(pair)
        while len(self._told) > MAX_PARTS:
            self._told.popitem(last=False)

    def add_holder(self, digest: int, server_id: str, now_ms: int) -> None:
        """Notes that `server_id` keeps a part, as a peer tells."""
        holders = self._parts.get(digest)
        if holders is None:
            holders = self._parts[digest] = {}
            while len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        holders[server_id] = now_ms
        self._parts.move_to_end(digest)

    def take_updates(self, most: int) -> list[tuple[int, str]]:
        """Returns up to `most` uses that peers do not know of."""
        count = min(most, len(self._news))
        return [self._news.popleft() for _ in range(count)]

    def holders(self, part: PromptPart, now_ms: int) -> dict[str, int]:
        """Returns the servers that keep `part`, with their last use."""
        found = self._parts.get(digest_part(part), {})
        return {
            server_id: used_ms
            for server_id, used_ms in found.items()
            if now_ms - used_ms < KEEP_MS
        }

    def snapshot(self, now_ms: int) -> list[tuple[int, str]]:
        """Returns the parts and holders to keep over a restart."""
        return [
            (digest, server_id)
            for digest, holders in self._parts.items()
            for server_id, used_ms in holders.items()
            if now_ms - used_ms < KEEP_MS
        ]

    def restore(self, pairs: list[tuple[int, str]], now_ms: int) -> None:
        """Takes a snapshot, unless something newer is known."""
        if self._parts:
            return
        for digest, server_id in pairs:
            self.add_holder(digest, server_id, now_ms)

    def forget(self, server_id: str) -> None:
        """Notes that `server_id` has lost its cache."""
        for holders in self._parts.values():
            holders.pop(server_id, None)
        for pair in [pair for pair in self._told if pair[1] == server_id]:
            del self._told[pair]
