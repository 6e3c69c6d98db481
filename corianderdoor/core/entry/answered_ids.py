"""Ids of requests that servers have answered a short time ago."""

from __future__ import annotations

from typing import Final

import xxhash

# A server may repeat an answer up to 5 s late; with a margin.
REPEATED_ANSWER_MS: Final = 6_000
# Ids kept at most, about 2 MB; the oldest are dropped first. An id may be as
# long as a head, so that digests are kept.
MAX_IDS: Final = 10_000


class AnsweredIds:
    """Ids of recent answers, by the time of their last one.

    A caller may use an id again. A repeated answer to the first request with
    that id can't be told from the answer to the second one on the same
    connection, so that the second one needs a new connection.
    """

    __slots__ = ("_answered_ms",)

    def __init__(self) -> None:
        self._answered_ms: dict[int, int] = {}

    def record(self, request_id: str, now_ms: int) -> None:
        """Records that a server answered a request with this id."""
        answered = self._answered_ms
        digest = xxhash.xxh3_64_intdigest(request_id.encode())
        answered.pop(digest, None)
        answered[digest] = now_ms
        while answered:
            oldest = next(iter(answered))
            recent = now_ms - answered[oldest] <= REPEATED_ANSWER_MS
            if recent and len(answered) <= MAX_IDS:
                return
            del answered[oldest]

    def is_recent(self, request_id: str, now_ms: int) -> bool:
        """Returns whether an answer to this id may be repeated by now."""
        digest = xxhash.xxh3_64_intdigest(request_id.encode())
        answered_ms = self._answered_ms.get(digest)
        if answered_ms is None:
            return False
        return now_ms - answered_ms <= REPEATED_ANSWER_MS
