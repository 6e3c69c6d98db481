"""Requests that break each server that runs them.

A request is known by its path, caller and body. When several servers went
down while they ran it, with no whole answer since, it is refused for a while
instead of being sent to the next one. A connection that breaks accuses
nothing by itself: the server must also be out of reach, or gone, soon
after. So a popular request is not refused because answers to it get lost.
"""

from __future__ import annotations

from collections import deque, OrderedDict
from typing import Final

import xxhash

from .requests import CallerRequest
from .servers import digest_id

# Different servers that must have gone down under one request. Two may do
# so by chance around one popular request; the platform's bound is counted
# from the third.
SERVERS_TO_REFUSE: Final = 3
# A server that is out of reach this soon after a break went down by it.
CONFIRM_MS: Final = 5_000
# How long a crash counts, and a refusal lasts after the last one.
REMEMBER_MS: Final = 60_000
# Requests that are remembered; one takes about 300 bytes.
MAX_REQUESTS: Final = 2_000
MAX_NEWS: Final = 64


def fingerprint(req: CallerRequest) -> int:
    """Returns the number that stands for a request when it comes again."""
    digest = xxhash.xxh3_64()
    for part in (req.path, req.key or "", req.body):
        raw = part.encode() if isinstance(part, str) else part
        digest.update(len(raw).to_bytes(4, "big"))
        digest.update(raw)
    return digest.intdigest()


class CrashingRequests:
    """Crashes by request and server. Bounded by `MAX_REQUESTS`."""

    __slots__ = ("_crashes", "_suspects", "_news")

    def __init__(self) -> None:
        self._crashes: OrderedDict[int, dict[int, int]] = OrderedDict()
        self._suspects: dict[str, deque[tuple[int, int]]] = {}
        self._news: deque[tuple[int, int]] = deque(maxlen=MAX_NEWS)

    def record_broken_connection(
        self, req: CallerRequest, server_id: str, now_ms: int
    ) -> None:
        """Notes that `server_id` broke off while it ran `req`."""
        suspects = self._suspects.setdefault(server_id, deque(maxlen=MAX_NEWS))
        suspects.append((now_ms, fingerprint(req)))

    def confirm_crash(self, server_id: str, now_ms: int) -> None:
        """Notes that `server_id` is out of reach or gone."""
        digest = digest_id(server_id)
        for at_ms, mark in self._suspects.pop(server_id, ()):
            if now_ms - at_ms < CONFIRM_MS:
                self.add_crash(mark, digest, now_ms)
                self._news.append((mark, digest))

    def add_crash(self, mark: int, server: int, now_ms: int) -> None:
        """Takes a crash that a peer saw of the server with a digest."""
        self._crashes.setdefault(mark, {})[server] = now_ms
        self._crashes.move_to_end(mark)
        while len(self._crashes) > MAX_REQUESTS:
            self._crashes.popitem(last=False)

    def record_complete_answer(self, req: CallerRequest) -> None:
        """Notes a whole answer, which clears the request here."""
        if self._crashes:
            self._crashes.pop(fingerprint(req), None)

    def should_refuse(self, req: CallerRequest, now_ms: int) -> bool:
        """Returns whether `req` is not to be sent."""
        if not self._crashes:
            return False
        crashes = self._crashes.get(fingerprint(req), {})
        recent = [at for at in crashes.values() if now_ms - at < REMEMBER_MS]
        return len(recent) >= SERVERS_TO_REFUSE

    def retain(self, ids: frozenset[str]) -> None:
        """Forgets the suspects of all servers but `ids`."""
        for name in self._suspects.keys() - ids:
            del self._suspects[name]

    def take_updates(self) -> list[tuple[int, int]]:
        """Returns the crashes that peers do not know of."""
        news = list(self._news)
        self._news.clear()
        return news
