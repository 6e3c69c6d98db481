"""Forecasts of the time to the first event of a stream."""

from __future__ import annotations

from collections.abc import Callable, Sequence
import math
from typing import Final

from .counters import Counters
from .flights import Flight, Forecast
from .loads import Loads
from .prefill_rates import MIN_OWN_TOKENS, PrefillRates
from .servers import BackendServer, Servers

# A first event is forecast well within this factor and slack.
MAX_ERROR: Final = 1.5
SLACK_MS: Final = 100


class FirstEventForecasts:
    """Forecasts first events, and learns prefill rates from them."""

    __slots__ = ("_servers", "_loads", "_rates")

    def __init__(
        self, servers: Servers, loads: Loads, rates: PrefillRates
    ) -> None:
        """Creates forecasts from the known servers, loads and rates."""
        self._servers = servers
        self._loads = loads
        self._rates = rates

    def record_sent(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> None:
        """Records what is queued at `server` with this request."""
        flight.sent_ms = now_ms
        flight.queued = self._loads.unread_of(server.id, now_ms)

    def record_first_event(
        self, flight: Flight, counters: Counters, now_ms: int
    ) -> None:
        """Records that the server has begun to answer, on its first event.

        Resumed streams, moved requests and copied prompts tell nothing
        about the rate.
        """
        if (
            flight.unread <= MIN_OWN_TOKENS
            or flight.sends != 1
            or flight.copies
            or flight.req.last_event_id is not None
            or not flight.route.is_stream
        ):
            return
        took_ms = now_ms - flight.sent_ms
        rate = self._rates.get(flight.service, now_ms)
        counters.add(
            "first_event_forecasts",
            error=_classify_error(flight.queued / rate, took_ms),
        )
        servers = self._servers.usable(flight.service)
        total = sum(self._loads.unread_of(s.id, now_ms) for s in servers)
        self._rates.record(
            flight.service,
            flight.unread,
            flight.queued,
            (total - flight.unread) / max(1, len(servers)),
            took_ms,
            now_ms,
        )

    def count_queued(self, server_id: str, rate: float, now_ms: int) -> float:
        """Returns the prompt tokens in the queue of a server.

        Assumes that the server has worked on what peers reported since the
        newest report.
        """
        total = self._loads.unread_of(server_id, now_ms)
        own = self._loads.own_unread.get(server_id, 0)
        age_ms = self.report_age_ms(now_ms)
        if total == own or age_ms is None:
            return total
        return own + max(0.0, total - own - rate * age_ms)

    def report_age_ms(self, now_ms: int) -> int | None:
        """Returns the age of the newest report; None without one."""
        newest_ms = self._loads.newest_report_ms
        return None if newest_ms is None else now_ms - newest_ms

    def find_shortest(
        self,
        servers: Sequence[BackendServer],
        count_unread: Callable[[BackendServer], int],
        rate: float,
        now_ms: int,
    ) -> Forecast:
        """Returns the forecast for the server with the first first event.

        Args:
            servers: Servers that may get the request, at least one.
            count_unread: Returns the tokens of the request that a server
                has to prefill.
            rate: Prefill rate in tokens per ms.
            now_ms: Monotonic time in ms.
        """
        queues = [self.count_queued(s.id, rate, now_ms) for s in servers]
        order = sorted(range(len(servers)), key=queues.__getitem__)
        least = queues[order[0]]
        best = math.inf
        for index in order:
            if queues[index] >= best:
                break
            best = min(best, queues[index] + count_unread(servers[index]))
        return Forecast(
            int(best / rate),
            int(least / rate),
            int(least),
            rate,
            self.report_age_ms(now_ms),
        )


def _classify_error(forecast_ms: float, took_ms: int) -> str:
    """Returns whether the first event was early, late or about on time."""
    if took_ms > forecast_ms * MAX_ERROR + SLACK_MS:
        return "late"
    if took_ms < forecast_ms / MAX_ERROR - SLACK_MS:
        return "early"
    return "close"
