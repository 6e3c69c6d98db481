"""Prefill rates of the servers of each service, learnt from answers."""

from __future__ import annotations

from collections import deque
import statistics
from typing import Final

# Rate in tokens per ms for time limits until a rate is learnt, a little
# below the lowest known one.
DEFAULT_RATE: Final = 30.0
# Rate that the bounds on backlogs assume until a rate is learnt.
REFERENCE_RATE: Final = 32.4
MIN_SAMPLES: Final = 20
SAMPLE_TTL_MS: Final = 30_000
# Newest samples that a rate is computed from; bounds the cost.
MAX_SAMPLES: Final = 200
# Below, the time to the first event is mostly not prefill.
MIN_OWN_TOKENS: Final = 1_000
# Samples count only while the servers have, on average, at most this multiple
# of the own prompt to prefill. Otherwise what other hosts sent in the meantime
# made them too low (to 0.4 of the rate in trials with 30 hosts), and prompts
# that were partly done made them too high.
MAX_QUEUE_RATIO: Final = 0.5
# Samples are too low rather than too high: requests of other hosts that are
# not known yet and decoding slow an answer down.
QUANTILE_STEPS: Final = 5
QUANTILE_INDEX: Final = 3
# Time for which a computed rate is used.
REFRESH_MS: Final = 500


class _Service:
    """Samples of one service."""

    __slots__ = ("samples", "rate", "computed_ms")

    def __init__(self) -> None:
        self.samples: deque[tuple[int, float]] = deque(maxlen=MAX_SAMPLES)
        self.rate: float | None = None
        self.computed_ms = -REFRESH_MS


class PrefillRates:
    """Prefill rates that this host has learnt, in tokens per ms."""

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def record(
        self,
        service: str,
        own: int,
        queued: int,
        mean_queued: float,
        took_ms: int,
        now_ms: int,
    ) -> None:
        """Adds a sample, unless it says little about the rate.

        Args:
            service: Name of the service.
            own: Tokens of the request itself to prefill.
            queued: Tokens to prefill that were known at the server when the
                request was sent, its own included.
            mean_queued: Tokens to prefill that are known at the service's
                servers at its first event, on average.
            took_ms: Time from its sending to its first event.
            now_ms: Monotonic time in ms.
        """
        if own <= MIN_OWN_TOKENS or took_ms <= 0:
            return
        if max(queued - own, mean_queued) > MAX_QUEUE_RATIO * own:
            return
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _Service()
        known.samples.append((now_ms, queued / took_ms))

    def learnt(self, service: str, now_ms: int) -> float | None:
        """Returns the rate of `service`; None until it is learnt.

        Uses the samples of the last `SAMPLE_TTL_MS`, but at least the newest
        `MIN_SAMPLES`: an older rate is better than none.
        """
        known = self._services.get(service)
        if known is None:
            return None
        if now_ms - known.computed_ms >= REFRESH_MS:
            known.computed_ms = now_ms
            samples = known.samples
            while (
                len(samples) > MIN_SAMPLES
                and now_ms - samples[0][0] > SAMPLE_TTL_MS
            ):
                samples.popleft()
            if len(samples) >= MIN_SAMPLES:
                known.rate = statistics.quantiles(
                    (rate for _, rate in samples), n=QUANTILE_STEPS
                )[QUANTILE_INDEX]
        return known.rate

    def get(self, service: str, now_ms: int) -> float:
        """Returns the rate of `service`, or the default one."""
        return self.learnt(service, now_ms) or DEFAULT_RATE
