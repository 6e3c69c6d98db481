"""One queue of weight loads to a rate-limited weight store.

A load's rank is the time at which it was queued plus a delay for its
priority. A load of low priority is therefore overtaken only by loads that
were queued before it or within its priority's delay after it: this bounds
how long it can be starved.
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
    """How urgent a load is; a smaller number goes first."""

    RECOVERY = 0  # no server of the pool serves
    WARM_UP = 1  # ahead of the local peak
    ROLLOUT = 2  # a new version or adapter
    SPARE = 3  # nothing waits for it


class LoadLimits(Record):
    """What the weight store allows.

    Attributes:
        bytes_per_s: Rate at which it hands out weights.
        burst_bytes: What it hands out at once after a rest.
        max_running: Loads under way at once.
        ageing_ms: Delay that one step of priority is worth, in ms.
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
    """A token bucket in bytes that may go into debt for one load.

    In any span of T seconds it lets pass at most `bytes_per_s` * T plus
    `burst_bytes` plus the size of one load.
    """

    __slots__ = ("_limits", "_level", "_at_ms")

    def __init__(self, limits: LoadLimits, now_ms: int) -> None:
        self._limits = limits
        self._level = float(limits.burst_bytes)
        self._at_ms = now_ms

    def has_tokens(self, now_ms: int) -> bool:
        """Tells whether a load may start now."""
        self._refill(now_ms)
        return self._level > 0

    def spend(self, size: int) -> None:
        """Takes `size` bytes."""
        self._level -= size

    def _refill(self, now_ms: int) -> None:
        gained = (now_ms - self._at_ms) * self._limits.bytes_per_s
        level = self._level + gained / MS_PER_SECOND
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
    """Starts loads by priority within what the weight store allows."""

    __slots__ = (
        "_limits",
        "_rng",
        "_bucket",
        "_waiting",
        "_running",
        "_heap",
        "_closed_until_ms",
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
        self._closed_until_ms = now_ms

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def running(self) -> int:
        """How many loads are under way."""
        return len(self._running)

    def add(
        self, key: LoadKey, size: int, priority: Priority, now_ms: int
    ) -> bool:
        """Queues a load, or raises the priority of the one queued.

        Args:
            key: Server and artifact.
            size: Its bytes.
            priority: How urgent it is.
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
        """Yields the loads that start now; each counts as running."""
        if now_ms < self._closed_until_ms:
            return
        put_back = []
        while self._heap and self._may_start(now_ms):
            rank, key = heapq.heappop(self._heap)
            load = self._waiting.get(key)
            if load is None or load.rank != rank:
                continue
            if now_ms < load.not_before_ms:
                put_back.append((rank, key))
                continue
            del self._waiting[key]
            self._running[key] = load
            self._bucket.spend(load.size)
            yield key
        for item in put_back:
            heapq.heappush(self._heap, item)

    def requeue(self, key: LoadKey) -> None:
        """Undoes the start of a load, which keeps its rank."""
        load = self._running.pop(key)
        self._bucket.spend(-load.size)
        self._waiting[key] = load
        heapq.heappush(self._heap, (load.rank, key))

    def finish(self, key: LoadKey) -> None:
        """Forgets a load that is done or no longer wanted."""
        self._running.pop(key, None)
        self._waiting.pop(key, None)

    def fail(
        self, key: LoadKey, now_ms: int, retry_after_ms: int | None = None
    ) -> None:
        """Queues a failed load again, after a back-off with jitter.

        Args:
            key: Server and artifact.
            now_ms: Monotonic time, in ms.
            retry_after_ms: When the store asked to be tried again; until
                then no load starts.
        """
        if retry_after_ms is not None:
            until_ms = now_ms + retry_after_ms
            self._closed_until_ms = max(self._closed_until_ms, until_ms)
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
