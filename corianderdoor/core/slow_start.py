"""Slow start of a backend server that has just started or turned cold."""

from __future__ import annotations

from typing import Final

from .load_report import LoadReport

INITIAL_LIMIT: Final = 1
ROUND_MIN_MS: Final = 500
WARM_UPTIME_MS: Final = 30_000
SLOW_FACTOR: Final = 4.0
SLOW_STREAK: Final = 3
BASELINE_GAIN: Final = 0.1
MIN_WEIGHT_TOKENS: Final = 256
CACHE_LOSS_FACTOR: Final = 10
MIN_CACHED_TOKENS: Final = 1_000


class SlowStart:
    """Concurrency limit of one incarnation of a server while it warms up.

    The limit starts at `INITIAL_LIMIT` and doubles each time as many
    requests as it allows have completed, at most once in `ROUND_MIN_MS`.
    Only the server's home holds the limit, so that the fleet as a whole
    stays within it. A new home infers it from the server's own count of
    completed requests; without a report the server counts as cold.

    A restart, a crash or the loss of the prefix cache resets the limit at
    once. `SLOW_STREAK` slow first tokens in a row only halve it, as load may
    cause them too.
    """

    __slots__ = (
        "limit",
        "_capacity",
        "_incarnation",
        "_uptime_ms",
        "_cached_tokens",
        "_completed",
        "_raised_at_ms",
        "_baseline",
        "_slow_streak",
        "_has_report",
        "_was_warm",
    )

    def __init__(self, capacity: int, incarnation: int, now_ms: int) -> None:
        self.limit = min(INITIAL_LIMIT, capacity)
        self._capacity = capacity
        self._incarnation = incarnation
        self._uptime_ms = 0
        self._cached_tokens = 0
        self._completed = 0
        self._raised_at_ms = now_ms
        self._baseline = 0.0
        self._slow_streak = 0
        self._has_report = False
        self._was_warm = False

    @property
    def warm(self) -> bool:
        """Whether the limit has reached the server's capacity."""
        return self.limit >= self._capacity

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Resets the limit on a restart or cache loss, or infers it."""
        if self._restarted(report) or self._lost_cache(report):
            self._reset(now_ms)
        elif not self._has_report:
            self._infer_limit(report)
        self._has_report = True
        self._incarnation = max(self._incarnation, report.incarnation)
        self._uptime_ms = report.uptime_ms
        if report.cached_tokens is not None:
            self._cached_tokens = report.cached_tokens

    def record_completion(
        self, weight: int, first_token_ms: int | None, now_ms: int
    ) -> None:
        """Counts a completed request towards the next doubling.

        Args:
            weight: The request's work, in tokens.
            first_token_ms: Time to its first token, in ms; None if unknown.
            now_ms: Monotonic time.
        """
        if first_token_ms is not None and self._is_slow(
            first_token_ms / max(weight, MIN_WEIGHT_TOKENS)
        ):
            self._slow_streak += 1
            if self._slow_streak >= SLOW_STREAK:
                self._set_limit(max(INITIAL_LIMIT, self.limit // 2), now_ms)
            return
        self._slow_streak = 0
        self._completed += 1
        if self.warm:
            self._was_warm = True
            return
        if self._completed < self.limit:
            return
        if now_ms - self._raised_at_ms < ROUND_MIN_MS:
            return
        self.limit = min(self._capacity, 2 * self.limit)
        self._completed = 0
        self._raised_at_ms = now_ms

    def record_crash(self, now_ms: int) -> None:
        """Resets the limit after the server crashed during a request."""
        self._reset(now_ms)

    def _is_slow(self, ms_per_token: float) -> bool:
        if self._baseline == 0.0:
            self._baseline = ms_per_token
        slow = ms_per_token > SLOW_FACTOR * self._baseline
        if not slow:
            change = ms_per_token - self._baseline
            self._baseline += BASELINE_GAIN * change
        return slow and self._was_warm

    def _restarted(self, report: LoadReport) -> bool:
        if report.incarnation > self._incarnation:
            return self._has_report or report.uptime_ms < WARM_UPTIME_MS
        return self._has_report and report.uptime_ms < self._uptime_ms

    def _lost_cache(self, report: LoadReport) -> bool:
        if report.cached_tokens is None:
            return False
        before = self._cached_tokens
        if before < MIN_CACHED_TOKENS:
            return False
        return report.cached_tokens * CACHE_LOSS_FACTOR < before

    def _infer_limit(self, report: LoadReport) -> None:
        """Raises the limit to what the completed requests would have."""
        rounds = (report.completed + 1).bit_length() - 1
        reached = INITIAL_LIMIT << min(rounds, 30)
        if report.uptime_ms < WARM_UPTIME_MS:
            reached = min(reached, 1 << (report.uptime_ms // ROUND_MIN_MS))
        reached = max(reached, report.in_flight)
        self.limit = max(self.limit, min(self._capacity, reached))

    def _reset(self, now_ms: int) -> None:
        self._was_warm = False
        self._baseline = 0.0
        self._set_limit(min(INITIAL_LIMIT, self._capacity), now_ms)

    def _set_limit(self, limit: int, now_ms: int) -> None:
        self.limit = limit
        self._completed = 0
        self._slow_streak = 0
        self._raised_at_ms = now_ms
