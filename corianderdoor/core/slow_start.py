"""The ramp of a backend server that has just started or turned cold."""

from __future__ import annotations

from typing import Final

from .load_report import LoadReport

INITIAL_LIMIT: Final = 1
ROUND_MIN_MS: Final = 500
WARM_UPTIME_MS: Final = 30_000
COLD_FACTOR: Final = 4.0
COLD_STREAK: Final = 3
BASELINE_GAIN: Final = 0.1
MIN_WEIGHT_TOKENS: Final = 256
CACHE_LOSS_FACTOR: Final = 10
MIN_CACHED_TOKENS: Final = 1_000


class Ramp:
    """How many requests at once one incarnation of a server may get.

    It starts at `COLD_REQUESTS` and doubles each time as many requests as
    are allowed have completed, at most once in `ROUND_MIN_MS`. Only the
    server's home holds its ramp, so that the fleet spends it once. A new
    home reads the ramp from the server's own count of completed requests;
    without a report the server is cold.

    A restart, a crash or the loss of the prefix cache makes the server cold
    at once. `COLD_STREAK` slow first tokens in a row only halve what it may
    get, as they may also come from load.
    """

    __slots__ = (
        "allowed",
        "_capacity",
        "_incarnation",
        "_uptime_ms",
        "_cached_tokens",
        "_completed",
        "_raised_at_ms",
        "_baseline",
        "_streak",
        "_judged",
        "_was_warm",
    )

    def __init__(self, capacity: int, incarnation: int, now_ms: int) -> None:
        self.allowed = min(INITIAL_LIMIT, capacity)
        self._capacity = capacity
        self._incarnation = incarnation
        self._uptime_ms = 0
        self._cached_tokens = 0
        self._completed = 0
        self._raised_at_ms = now_ms
        self._baseline = 0.0
        self._streak = 0
        self._judged = False
        self._was_warm = False

    @property
    def warm(self) -> bool:
        """Whether the server may carry its whole capacity."""
        return self.allowed >= self._capacity

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Looks for evidence of a restart, of coldness, or of warmth."""
        if self._restarted(report) or self._lost_cache(report):
            self._chill(now_ms)
        elif not self._judged:
            self._adopt(report)
        self._judged = True
        self._incarnation = max(self._incarnation, report.incarnation)
        self._uptime_ms = report.uptime_ms
        if report.cached_tokens is not None:
            self._cached_tokens = report.cached_tokens

    def take_completion(
        self, weight: int, first_token_ms: int | None, now_ms: int
    ) -> None:
        """Counts a completed request towards the next step.

        Args:
            weight: The request's work, in tokens.
            first_token_ms: Time to its first token; None if not known.
            now_ms: Monotonic time.
        """
        if first_token_ms is not None and self._is_slow(
            first_token_ms / max(weight, MIN_WEIGHT_TOKENS)
        ):
            self._streak += 1
            if self._streak >= COLD_STREAK:
                self._set(max(INITIAL_LIMIT, self.allowed // 2), now_ms)
            return
        self._streak = 0
        self._completed += 1
        if self.warm:
            self._was_warm = True
            return
        if self._completed < self.allowed:
            return
        if now_ms - self._raised_at_ms < ROUND_MIN_MS:
            return
        self.allowed = min(self._capacity, 2 * self.allowed)
        self._completed = 0
        self._raised_at_ms = now_ms

    def take_crash(self, now_ms: int) -> None:
        """Begins anew after the server broke under a request."""
        self._chill(now_ms)

    def _is_slow(self, ms_per_token: float) -> bool:
        if self._baseline == 0.0:
            self._baseline = ms_per_token
        slow = ms_per_token > COLD_FACTOR * self._baseline
        if not slow:
            change = ms_per_token - self._baseline
            self._baseline += BASELINE_GAIN * change
        return slow and self._was_warm

    def _restarted(self, report: LoadReport) -> bool:
        if report.incarnation > self._incarnation:
            return self._judged or report.uptime_ms < WARM_UPTIME_MS
        return self._judged and report.uptime_ms < self._uptime_ms

    def _lost_cache(self, report: LoadReport) -> bool:
        if report.cached_tokens is None:
            return False
        before = self._cached_tokens
        if before < MIN_CACHED_TOKENS:
            return False
        return report.cached_tokens * CACHE_LOSS_FACTOR < before

    def _adopt(self, report: LoadReport) -> None:
        """Takes the ramp as the completed requests would have left it."""
        rounds = (report.completed + 1).bit_length() - 1
        reached = INITIAL_LIMIT << min(rounds, 30)
        if report.uptime_ms < WARM_UPTIME_MS:
            reached = min(reached, 1 << (report.uptime_ms // ROUND_MIN_MS))
        reached = max(reached, report.in_flight)
        self.allowed = max(self.allowed, min(self._capacity, reached))

    def _chill(self, now_ms: int) -> None:
        self._was_warm = False
        self._baseline = 0.0
        self._set(min(INITIAL_LIMIT, self._capacity), now_ms)

    def _set(self, allowed: int, now_ms: int) -> None:
        self.allowed = allowed
        self._completed = 0
        self._streak = 0
        self._raised_at_ms = now_ms
