"""Which version a request should use while a rollout is in progress."""

from __future__ import annotations

from typing import Final

from .flights import Flight
from .loads import Loads
from .placing import FULL_BOUND
from .rollout_progress import digest, RolloutProgress
from .rollout_stages import (
    CANARY_PART,
    CHAT_PART,
    choose_canaries,
    find_point,
    Stage,
)
from .servers import BackendServer, Servers

# Answers per route until which the canary takes any request of the route.
COVERED_ANSWERS: Final = 16


class RolloutChoice:
    """Chooses between the servers of the old and of the new version."""

    __slots__ = ("_servers", "_loads", "_exposure_share", "_canaries")

    def __init__(
        self, servers: Servers, loads: Loads, exposure_share: float
    ) -> None:
        self._servers = servers
        self._loads = loads
        self._exposure_share = exposure_share
        self._canaries: dict[
            str, tuple[list[BackendServer], str, frozenset[str]]
        ] = {}

    def filter(
        self,
        progress: RolloutProgress,
        flight: Flight,
        servers: list[BackendServer],
        may_send_new: bool,
        now_ms: int,
    ) -> list[BackendServer]:
        """Returns the servers of the version that the request should use.

        Args:
            progress: The rollout of the service.
            flight: The request.
            servers: Servers whose versions may serve.
            may_send_new: Whether the new version may get a request now.
            now_ms: Monotonic time in ms.
        """
        new = [s for s in servers if s.version == progress.to]
        old = [s for s in servers if s.version != progress.to]
        if not may_send_new:
            new = []
        elif progress.share <= 0 and not progress.is_back:
            canaries = self._find_canaries(progress)
            new = [s for s in new if s.id in canaries]
        if not new or not old:
            return new or old
        # In stage full the old servers have to run out of requests, as those
        # in progress there are cut off at the end.
        if progress.stage is not Stage.FULL:
            if self._has_failed(flight, progress.to):
                return old
        if not self._wants_new(flight, progress):
            return old
        return self._under_bound(flight.service, new, now_ms) or old

    def _find_canaries(self, progress: RolloutProgress) -> frozenset[str]:
        usable = self._servers.usable(progress.service)
        found = self._canaries.get(progress.service)
        # The list is the same object until a server changes.
        if found is not None and found[0] is usable:
            if found[1] == progress.to:
                return found[2]
        ids = [s.id for s in usable if s.version == progress.to]
        canaries = choose_canaries(
            progress.service,
            progress.to,
            ids,
            len(usable) - len(ids),
            CANARY_PART * self._exposure_share,
        )
        self._canaries[progress.service] = (usable, progress.to, canaries)
        return canaries

    def _has_failed(self, flight: Flight, to: str) -> bool:
        for server_id in flight.excluded:
            server = self._servers.get(server_id)
            if server is not None and server.version == to:
                return True
        return False

    def _wants_new(self, flight: Flight, progress: RolloutProgress) -> bool:
        """Returns whether the request belongs to the new version's share."""
        if progress.is_back:
            return True
        share = progress.share
        if share <= 0:
            share = CHAT_PART * CANARY_PART * self._exposure_share
            route = digest(flight.route.name)
            if not progress.evidence.is_covered(route, COVERED_ANSWERS):
                return True
        key = flight.req.session() or flight.req.id
        return find_point(progress.service, progress.to, key) < share

    def _under_bound(
        self, service: str, servers: list[BackendServer], now_ms: int
    ) -> list[BackendServer]:
        """Returns the servers that stay below the bound on a server's load.

        The mean goes over all servers of the service.
        """
        listed = self._servers.listed(service)
        factor, slack = FULL_BOUND
        total = sum(self._loads.of(s.id, now_ms) for s in listed)
        most = factor * total / max(1, len(listed)) + slack
        return [s for s in servers if self._loads.of(s.id, now_ms) < most]
