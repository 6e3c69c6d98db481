"""Forecasts of the time to the first event of a stream."""

from __future__ import annotations

from .counters import Counters
from .flights import Flight
from .loads import Loads
from .prefill_rates import MIN_OWN_TOKENS, PrefillRates
from .servers import BackendServer, Servers


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
        servers = self._servers.usable(flight.service)
        total = sum(self._loads.unread_of(s.id, now_ms) for s in servers)
        self._rates.record(
            flight.service,
            flight.unread,
            flight.queued,
            (total - flight.unread) / max(1, len(servers)),
            now_ms - flight.sent_ms,
            now_ms,
        )
