"""Whether an answer took much longer than those of the old version."""

from __future__ import annotations

from typing import Final

# An answer is slow if it took this many times as long as comparable ones.
SLOW_FACTOR: Final = 3
MIN_COMPARABLE: Final = 5
# Number of answers over which an average goes.
MAX_WEIGHT: Final = 50
# Bucket for times per event, which do not depend on the prompt.
EVENTS: Final = -1


class _Average:
    """Average time of comparable answers.

    Attributes:
        count: Number of answers.
        mean_ms: Their average time.
    """

    __slots__ = ("count", "mean_ms")

    def __init__(self) -> None:
        self.count = 0
        self.mean_ms = 0.0

    def add(self, time_ms: float) -> None:
        """Adds an answer; one that is slow does not raise the limit."""
        if self.count >= MIN_COMPARABLE:
            time_ms = min(time_ms, SLOW_FACTOR * self.mean_ms)
        self.count += 1
        weight = 1 / min(self.count, MAX_WEIGHT)
        self.mean_ms += weight * (time_ms - self.mean_ms)


class RolloutLatency:
    """Average times of the old version since an order, by route and size."""

    __slots__ = ("_averages",)

    def __init__(self) -> None:
        self._averages: dict[tuple[int, int], _Average] = {}

    def record(
        self,
        route: int,
        tokens: int,
        first_ms: int | None,
        per_event_ms: float | None,
    ) -> None:
        """Records an answer of the old version.

        Args:
            route: Digest of the route's name.
            tokens: Prompt tokens that the server had to prefill.
            first_ms: Time to the first event of a stream, or to the whole
                answer; None if unknown.
            per_event_ms: Time per further event; None if there was none.
        """
        if first_ms is not None:
            self._add((route, tokens.bit_length()), first_ms)
        if per_event_ms is not None:
            self._add((route, EVENTS), per_event_ms)

    def _add(self, key: tuple[int, int], time_ms: float) -> None:
        average = self._averages.get(key)
        if average is None:
            average = self._averages[key] = _Average()
        average.add(time_ms)

    def is_slow(
        self,
        route: int,
        tokens: int,
        first_ms: int | None,
        per_event_ms: float | None,
    ) -> bool | None:
        """Returns whether an answer is slow; None if that is unknown.

        The arguments are those of `record`.
        """
        if per_event_ms is not None:
            if self._compare([(route, EVENTS)], per_event_ms):
                return True
        if first_ms is None:
            return None
        bucket = tokens.bit_length()
        found = self._compare([(route, bucket)], first_ms)
        if found is not None:
            return found
        near = range(max(0, bucket - 1), bucket + 2)
        return self._compare([(route, number) for number in near], first_ms)

    def _compare(
        self, keys: list[tuple[int, int]], time_ms: float
    ) -> bool | None:
        found = [self._averages[key] for key in keys if key in self._averages]
        count = sum(average.count for average in found)
        if count < MIN_COMPARABLE:
            return None
        mean_ms = sum(a.count * a.mean_ms for a in found) / count
        return time_ms > SLOW_FACTOR * mean_ms
