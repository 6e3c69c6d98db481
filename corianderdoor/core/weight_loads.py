"""The queue of weight loads from a rate-limited weight store.

A load's rank is the time at which it was queued plus a delay for its
priority. A load of low priority is therefore overtaken only by loads that
were queued before it or within its priority's delay after it, which bounds
its starvation.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum
import heapq
import random
from typing import Final, TypeAlias

from .clock import MS_PER_SECOND
from .records import Record

MAX_QUEUED: Final = 20_000
BACKOFF_BASE_MS: Final = 1_000
BACKOFF_CAP_MS: Final = 60_000
MAX_DOUBLINGS: Final = 10

LoadKey: TypeAlias = tuple[str, str]


class Priority(enum.IntEnum):
    """Urgency of a load; a smaller number goes first."""

    RECOVERY = 0  # no server of the pool serves requests
    WARM_UP = 1  # ahead of the forecast peak
    ROLLOUT = 2  # new version or adapter
    SPARE = 3  # no request waits for it


class LoadLimits(Record):
    """Limits of the weight store and the ageing of queued loads.

    Attributes:
        bytes_per_s: Rate at which it serves weights.
        burst_bytes: Burst that it serves at once when it was idle before.
        max_running: Maximum number of loads running at once.
        ageing_ms: Delay per priority level, in ms.
    """

    __slots__ = ("bytes_per_s", "burst_bytes", "max_running", "ageing_ms")

    def __init__(
        self,
        bytes_per_s: int,
        burst_bytes: int,
        max_running: int,
        ageing_ms: int,
    ) -> None:
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = burst_bytes
        self.max_running = max_running
        self.ageing_ms = ageing_ms


class ByteBucket:
    """A token bucket in bytes whose level one load may make negative.

    In any T seconds it admits at most `bytes_per_s` * T plus `burst_bytes`
    plus the size of one load.
    """

    __slots__ = ("_limits", "_level", "_at_ms")

    def __init__(self, limits: LoadLimits, now_ms: int) -> None:
        self._limits = limits
        self._level = float(limits.burst_bytes)
        self._at_ms = now_ms

    def has_tokens(self, now_ms: int) -> bool:
        """Returns whether a load may start now."""
        self._refill(now_ms)
        return self._level > 0

    def spend(self, size: int) -> None:
        """Spends `size` bytes; a negative `size` returns them."""
        self._level -= size

    def _refill(self, now_ms: int) -> None:
        refilled = (now_ms - self._at_ms) * self._limits.bytes_per_s
        level = self._level + refilled / MS_PER_SECOND
        self._level = min(float(self._limits.burst_bytes), level)
        self._at_ms = now_ms


class _Load:
    """A queued or running load."""

    __slots__ = ("size", "rank", "queued_ms", "failures", "not_before_ms")

    def __init__(self, size: int, rank: int, now_ms: int) -> None:
        self.size = size
        self.rank = rank
        self.queued_ms = now_ms
        self.failures = 0
        self.not_before_ms = now_ms


class LoadQueue:
    """Starts loads by priority within the limits of the weight store."""

    __slots__ = (
        "_limits",
        "_rng",
        "_bucket",
        "_waiting",
        "_running",
        "_heap",
        "_paused_until_ms",
    )

    def __init__(
        self, limits: LoadLimits, rng: random.Random, now_ms: int
    ) -> None:
        self._limits = limits
        self._rng = rng
        self._bucket = ByteBucket(limits, now_ms)
        self._waiting: dict[LoadKey, _Load] = {}
        self._running: dict[LoadKey, _Load] = {}
        self._heap: list[tuple[int, LoadKey]] = []
        self._paused_until_ms = now_ms

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of running loads."""
        return len(self._running)

    def add(
        self, key: LoadKey, size: int, priority: Priority, now_ms: int
    ) -> bool:
        """Queues a load, or raises the rank of the one already queued.

        Args:
            key: Server and artifact.
            size: Size in bytes.
            priority: Urgency.
            now_ms: Monotonic time, in ms.

        Returns:
            Whether it is queued or running; False if the queue is full.
        """
        if key in self._running:
            return True
        rank = now_ms + priority * self._limits.ageing_ms
        load = self._waiting.get(key)
        if load is None:
            if len(self._waiting) >= MAX_QUEUED:
                return False
            self._waiting[key] = _Load(size, rank, now_ms)
        elif rank < load.rank:
            load.rank = rank
        else:
            return True
        heapq.heappush(self._heap, (rank, key))
        return True

    def take(self, now_ms: int) -> Iterator[LoadKey]:
        """Starts the loads that may start now and yields their keys."""
        if now_ms < self._paused_until_ms:
            return
        deferred = []
        while self._heap and self._may_start(now_ms):
            rank, key = heapq.heappop(self._heap)
            load = self._waiting.get(key)
            if load is None or load.rank != rank:
                continue
            if now_ms < load.not_before_ms:
                deferred.append((rank, key))
                continue
            del self._waiting[key]
            self._running[key] = load
            self._bucket.spend(load.size)
            yield key
        for item in deferred:
            heapq.heappush(self._heap, item)

    def requeue(self, key: LoadKey) -> None:
        """Undoes the start of a load; it keeps its rank."""
        load = self._running.pop(key)
        self._bucket.spend(-load.size)
        self._waiting[key] = load
        heapq.heappush(self._heap, (load.rank, key))

    def finish(self, key: LoadKey) -> None:
        """Removes a load that is complete or no longer wanted."""
        self._running.pop(key, None)
        self._waiting.pop(key, None)

    def fail(
        self, key: LoadKey, now_ms: int, retry_after_ms: int | None = None
    ) -> None:
        """Requeues a failed load after an exponential back-off with jitter.

        Args:
            key: Server and artifact.
            now_ms: Monotonic time, in ms.
            retry_after_ms: Retry delay that the store asked for, in ms;
                until it has passed no load starts.
        """
        if retry_after_ms is not None:
            until_ms = now_ms + retry_after_ms
            self._paused_until_ms = max(self._paused_until_ms, until_ms)
        load = self._running.pop(key, None)
        if load is None:
            return
        doublings = min(load.failures, MAX_DOUBLINGS)
        ceiling_ms = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2**doublings)
        delay_ms = self._rng.randint(ceiling_ms // 2, ceiling_ms)
        load.failures += 1
        load.not_before_ms = now_ms + delay_ms
        self._waiting[key] = load
        heapq.heappush(self._heap, (load.rank, key))

    def _may_start(self, now_ms: int) -> bool:
        return len(
            self._running
        ) < self._limits.max_running and self._bucket.has_tokens(now_ms)
