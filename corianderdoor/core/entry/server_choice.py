"""Choice of one server among those that could serve a request now."""

from __future__ import annotations

from .flights import Flight, Hold, Refuse
from .refusals import Refusals
from .server_selection import ServerSelection
from .servers import BackendServer
from .windows import ColdRateLimiter


class ServerChoice:
    """Chooses by version, slow start and rank, in this order."""

    __slots__ = ("_name", "_selection", "_cold_limiter", "_refusals")

    def __init__(
        self,
        name: str,
        selection: ServerSelection,
        cold_limiter: ColdRateLimiter,
        refusals: Refusals,
    ) -> None:
        self._name = name
        self._selection = selection
        self._cold_limiter = cold_limiter
        self._refusals = refusals

    def choose(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> BackendServer | Hold | Refuse:
        """Returns the server for a request, or holds or refuses it.

        Args:
            flight: The request.
            servers: Servers that could serve it now.
            now_ms: Monotonic time in ms.
        """
        rollouts = self._selection.rollouts
        if rollouts.is_idle:
            return self._choose_among(flight, servers, now_ms)
        chosen = rollouts.filter(flight, servers, now_ms)
        if not chosen:
            return self._refusals.diagnose(flight, "no-server", now_ms)
        found = self._choose_among(flight, chosen, now_ms)
        if isinstance(found, BackendServer):
            return found
        others = rollouts.filter_old(flight, servers)
        if not others or others == chosen:
            return found
        return self._choose_among(flight, others, now_ms)

    def _choose_among(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> BackendServer | Hold | Refuse:
        may_be_cold = self._selection.may_be_cold
        warm = [
            server
            for server in servers
            if not may_be_cold(server, now_ms)
            or self._is_likely_warm(server, now_ms)
        ]
        if warm:
            return self._selection.rank(flight, warm, now_ms)[0]
        return self._choose_cold(flight, servers, now_ms)

    def _is_likely_warm(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether a server that may be cold is used like others."""
        if not self._selection.is_only_suspected(server, now_ms):
            return False
        wait_ms = self._cold_wait_ms(server, now_ms)
        if wait_ms is None:
            # A host without a share gets no answer that would show more.
            return self._selection.restarts.seems_back(server.id)
        return wait_ms == 0

    def _cold_wait_ms(self, server: BackendServer, now_ms: int) -> int | None:
        """Returns when a cold server takes a request; None if never."""
        service = self._selection.find_service(server.service)
        if service is None or service.cold_per_s <= 0:
            return 0
        share = self._cold_limiter.share(
            server.id, service.cold_per_s, self._name, self._selection.hosts
        )
        return self._cold_limiter.wait_ms(server.id, share, now_ms)

    def _choose_cold(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> BackendServer | Hold | Refuse:
        shortest_ms: int | None = None
        for server in self._selection.rank(flight, servers, now_ms):
            wait_ms = self._cold_wait_ms(server, now_ms)
            if wait_ms == 0:
                return server
            if wait_ms is not None:
                shortest_ms = min(wait_ms, shortest_ms or wait_ms)
        if shortest_ms is None:
            return self._refusals.refuse(flight, "cold-servers", now_ms)
        return self._refusals.hold(flight, shortest_ms, "cold-servers", now_ms)
