"""Admission of requests to services that have more work than they can do."""

from __future__ import annotations

import random
from typing import Final

from .flights import Flight, Forecast, Refuse
from .placing import CACHED_CHAT_MAX_GAPS
from .queue_limits import Band, compute_band
from .return_times import ReturnTimes
from .served_shares import ServedShares
from .server_selection import ServerSelection
from .servers import BackendServer

# A wrong refusal is worse than none, so a forecast has to be past the
# deadline by this factor.
CLEARLY_LATE: Final = 1.3
# Rate for refusals until one is learnt; above the highest known one (56.9),
# as the forecast must be right there too.
UNLEARNT_RATE: Final = 60.0
# Requests are checked when they arrive, and not again once they were held.
ARRIVAL_MS: Final = 10
# How long after its start a host without heartbeats of peers refuses nothing.
START_MS: Final = 1_000
# Share of a service's slots that has to be taken before a refusal.
MIN_TAKEN_SHARE: Final = 0.5
# A priority or workspace that is admitted less often than this share of all
# requests is admitted whatever the queue: none may starve, which is to be
# served under a quarter as often as all.
STARVING_SHARE: Final = 0.4
# How much more often than a more urgent one a priority may be admitted; it
# may be served at most 5 in 100 more often.
MAX_INVERSION: Final = 0.03
# Requests of a priority from which its admitted share is compared.
MIN_COMPARED: Final = 20
# Multiple of its fair share up to which a workspace is treated like others.
FAIR_FACTOR: Final = 1.25
# Callers wait at most a third of their time before a retry, so the retry
# delay sent to them is at most this share of the time left.
MAX_RETRY_SHARE: Final = 0.3
# Spread of the returns of requests without time, as a share of their wait.
SPREAD_SHARE: Final = 0.25


class Admission:
    """Refuses requests on arrival that the servers can't serve in time."""

    __slots__ = ("_selection", "_rng", "_started_ms", "_shares", "_returns")

    def __init__(self, selection: ServerSelection, rng: random.Random) -> None:
        """Creates the admission of a host that starts with the first call."""
        self._selection = selection
        self._rng = rng
        self._started_ms: int | None = None
        self._shares: dict[str, ServedShares] = {}
        self._returns = ReturnTimes(rng)

    def check(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> Refuse | None:
        """Returns the refusal of a request that has just arrived.

        Args:
            flight: The request.
            servers: Servers that may get it, at least one.
            now_ms: Monotonic time in ms.

        Returns:
            The refusal; None if the request may be sent.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        if not _has_arrived_now(flight, now_ms):
            return None
        shares = self._shares.get(flight.service)
        if shares is None:
            shares = self._shares[flight.service] = ServedShares()
        refusal = self._decide(flight, servers, shares, now_ms)
        shares.add(
            flight.urgency(), _name_workspace(flight), refusal is None, now_ms
        )
        return refusal

    def _decide(
        self,
        flight: Flight,
        servers: list[BackendServer],
        shares: ServedShares,
        now_ms: int,
    ) -> Refuse | None:
        selection = self._selection
        learnt = selection.rates.learnt(flight.service, now_ms)
        rate = learnt or UNLEARNT_RATE
        left_ms = flight.deadline_ms - now_ms
        most = left_ms * CLEARLY_LATE * rate
        prompt = sum(part.tokens for part in flight.req.parts)
        bound = selection.max_backlog(
            flight.service, CACHED_CHAT_MAX_GAPS, now_ms
        )
        quick_bound = min(most - prompt, bound)
        for server in servers:
            if selection.loads.unread_of(server.id, now_ms) <= quick_bound:
                return None
        if not self._may_refuse(flight.service, now_ms):
            return None
        forecast = selection.forecasts.find_shortest(
            servers,
            lambda s: selection.count_unread(flight.req, s, now_ms),
            rate,
            now_ms,
        )
        if forecast.first_event_ms > left_ms * CLEARLY_LATE:
            return self._refuse_late(forecast)
        if forecast.queued <= bound or self._is_starving(flight, shares):
            return None
        band = self._find_band(flight, shares, bound / rate)
        refused_share = band.refused_share(forecast.wait_ms)
        if self._rng.random() >= refused_share:
            if not self._would_overtake(flight, shares):
                return None
        wait_ms = max(0.0, forecast.wait_ms - band.none_ms)
        work_ms = prompt / rate / len(servers) * len(selection.hosts)
        latest_ms = left_ms * MAX_RETRY_SHARE
        retry_ms = self._returns.take(
            flight.service, wait_ms, latest_ms, work_ms, now_ms
        )
        return Refuse(503, "overloaded", retry_ms, forecast)

    def _is_starving(self, flight: Flight, shares: ServedShares) -> bool:
        """Returns whether requests like this one are admitted too rarely."""
        priority = flight.urgency()
        total = shares.total()
        usual = total.admitted / max(1, total.offered)
        return STARVING_SHARE * usual > min(
            shares.of_priority(priority).ratio(usual),
            shares.of_workspace(priority, _name_workspace(flight)).ratio(
                usual
            ),
        )

    def _find_band(
        self, flight: Flight, shares: ServedShares, bound_ms: float
    ) -> Band:
        """Returns the queues at which the request is refused."""
        desired = self._selection.desired
        assert desired is not None
        priority = flight.urgency()
        routes = [
            route
            for route in desired.routes_of(flight.service)
            if route.priority <= priority
        ]
        priorities = {*desired.priorities_of(flight.service), priority}
        band = compute_band(
            priority,
            tuple(sorted(priorities)),
            [flight.route, *routes],
            bound_ms,
        )
        count = shares.count_workspaces(priority)
        fair = shares.of_priority(priority).admitted / max(1, count)
        workspace = shares.of_workspace(priority, _name_workspace(flight))
        if count > 1 and workspace.admitted > FAIR_FACTOR * fair + 1:
            return band.lowered(bound_ms)
        return band

    def _would_overtake(self, flight: Flight, shares: ServedShares) -> bool:
        """Returns whether a more urgent priority is admitted less often."""
        desired = self._selection.desired
        assert desired is not None
        own = flight.urgency()
        ratio = shares.of_priority(own).ratio() - MAX_INVERSION
        for priority in desired.priorities_of(flight.service):
            share = shares.of_priority(priority)
            if priority < own and share.offered >= MIN_COMPARED:
                if share.ratio() < ratio:
                    return True
        return False

    def _may_refuse(self, service: str, now_ms: int) -> bool:
        """Returns whether the service is busy, as far as this host knows."""
        selection = self._selection
        assert self._started_ms is not None
        if (
            selection.loads.newest_report_ms is None
            and now_ms - self._started_ms < START_MS
        ):
            return False
        servers = selection.servers.usable(service)
        if selection.waiting.any_at(servers, now_ms):
            return True
        taken = sum(
            min(server.slots, selection.loads.of(server.id, now_ms))
            for server in servers
        )
        slots = sum(server.slots for server in servers)
        return taken >= MIN_TAKEN_SHARE * slots

    def _refuse_late(self, forecast: Forecast) -> Refuse:
        delay_ms = forecast.wait_ms * (1 + SPREAD_SHARE * self._rng.random())
        return Refuse(503, "no-time", int(delay_ms), forecast)


def _name_workspace(flight: Flight) -> str:
    return "" if flight.workspace is None else flight.workspace.name


def _has_arrived_now(flight: Flight, now_ms: int) -> bool:
    """Returns whether a request with a prompt arrives and has never run.

    A stream that its caller resumes has run.
    """
    return (
        bool(flight.req.parts)
        and not flight.sends
        and not flight.excluded
        and flight.req.last_event_id is None
        and now_ms - flight.arrived_ms <= ARRIVAL_MS
    )
