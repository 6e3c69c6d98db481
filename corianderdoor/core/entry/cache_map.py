"""Which servers have which prompt parts in their caches.

Hosts report to each other where they sent prompts. The map is a hint: a
server may have evicted a part since, and then processes the part again.
"""

from __future__ import annotations

from collections import deque, OrderedDict
from typing import Final

import xxhash

from .requests import CallerRequest, PromptPart
from .suspected_restarts import SuspectedRestarts

# A part takes about 300 bytes.
MAX_PARTS: Final = 20_000
# A part that was not used for this long may have been evicted.
HOLDER_TTL_MS: Final = 120_000
# Shortest time between two reports of the same part and server.
REPORT_INTERVAL_MS: Final = 5_000
# Bound of the uses that wait to be reported; the oldest are dropped.
MAX_UPDATES: Final = 256


def digest_part(part: PromptPart) -> int:
    """Returns the number that identifies a part between hosts."""
    return xxhash.xxh3_64_intdigest(part.id.encode())


class CacheMap:
    """Servers by the prompt part that they have cached.

    Keeps the `MAX_PARTS` most recently used parts. What a server got before
    a sign of its restart does not count until it is known to run on.
    """

    __slots__ = ("_parts", "_reported", "_updates", "_restarts", "_proofs")

    def __init__(self, restarts: SuspectedRestarts | None = None) -> None:
        """Creates an empty map.

        Args:
            restarts: Servers that may have restarted; None for none.
        """
        self._restarts = restarts or SuspectedRestarts()
        self._proofs = self._restarts.proofs
        self._parts: OrderedDict[int, dict[str, int]] = OrderedDict()
        self._reported: OrderedDict[tuple[int, str], int] = OrderedDict()
        self._updates: deque[tuple[int, str]] = deque(maxlen=MAX_UPDATES)

    def record(self, req: CallerRequest, server_id: str, now_ms: int) -> None:
        """Records that the prompt of `req` was sent to `server_id`."""
        for part in req.shared_parts():
            digest = digest_part(part)
            self.add_holder(digest, server_id, now_ms)
            pair = (digest, server_id)
            reported_ms = self._reported.get(pair)
            if (
                reported_ms is None
                or now_ms - reported_ms >= REPORT_INTERVAL_MS
            ):
                self._mark_reported(pair, now_ms)
                self._updates.append(pair)

    def _mark_reported(self, pair: tuple[int, str], now_ms: int) -> None:
        self._reported[pair] = now_ms
        self._reported.move_to_end(pair)
        while len(self._reported) > MAX_PARTS:
            self._reported.popitem(last=False)

    def add_holder(self, digest: int, server_id: str, now_ms: int) -> None:
        """Records that `server_id` has a part cached.

        Args:
            digest: Digest of the part, see `digest_part`.
            server_id: Id of the server.
            now_ms: Monotonic time in ms.
        """
        holders = self._parts.get(digest)
        if holders is None:
            holders = self._parts[digest] = {}
            while len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        holders[server_id] = now_ms
        self._parts.move_to_end(digest)

    def take_updates(self, most: int) -> list[tuple[int, str]]:
        """Removes and returns up to `most` uses to report to peers.

        Returns:
            Pairs of a part's digest and a server id, oldest first.
        """
        count = min(most, len(self._updates))
        return [self._updates.popleft() for _ in range(count)]

    def holders(self, part: PromptPart, now_ms: int) -> dict[str, int]:
        """Returns the time of last use of `part` by server id."""
        return self._select(self._parts.get(digest_part(part), {}), now_ms)

    def _select(self, holders: dict[str, int], now_ms: int) -> dict[str, int]:
        """Returns those of `holders` that count."""
        found = {
            server_id: used_ms
            for server_id, used_ms in holders.items()
            if now_ms - used_ms < HOLDER_TTL_MS
        }
        if not self._proofs.has_signs():
            return found
        may_have_lost = self._restarts.may_have_lost
        return {
            server_id: used_ms
            for server_id, used_ms in found.items()
            if not may_have_lost(server_id, used_ms)
        }

    def snapshot(self, now_ms: int) -> list[tuple[int, str]]:
        """Returns the parts and servers that are saved over a restart."""
        return [
            (digest, server_id)
            for digest, holders in self._parts.items()
            for server_id in self._select(holders, now_ms)
        ]

    def restore(self, pairs: list[tuple[int, str]], now_ms: int) -> None:
        """Loads a snapshot, unless the map already has entries."""
        if self._parts:
            return
        for digest, server_id in pairs:
            self.add_holder(digest, server_id, now_ms)

    def remove(self, server_id: str) -> None:
        """Drops the entries of `server_id`, which has lost its cache."""
        for holders in self._parts.values():
            holders.pop(server_id, None)
        for pair in [pair for pair in self._reported if pair[1] == server_id]:
            del self._reported[pair]
        kept = [pair for pair in self._updates if pair[1] != server_id]
        self._updates = deque(kept, maxlen=MAX_UPDATES)
