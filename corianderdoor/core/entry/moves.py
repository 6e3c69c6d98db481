"""Choice of another server for a request whose server is silent."""

from __future__ import annotations

from .crashing_requests import CrashingRequests
from .flights import Flight
from .retries import MIN_LEFT_MS, Retries
from .server_selection import ServerSelection
from .servers import BackendServer


class Moves:
    """Finds servers that take over requests from silent ones."""

    __slots__ = ("_selection", "_retries", "_crashing_requests")

    def __init__(
        self,
        selection: ServerSelection,
        retries: Retries,
        crashing_requests: CrashingRequests,
    ) -> None:
        self._selection = selection
        self._retries = retries
        self._crashing_requests = crashing_requests

    def find(self, flight: Flight, now_ms: int) -> BackendServer | None:
        """Returns another server for a request whose server is silent.

        Takes two retries from the budget: one to get there, and one to come
        back if that server declines.

        Returns:
            The other server, warm and well; None if the request has to stay,
            as giving it up would end an answer that may still come.
        """
        selection = self._selection
        selection.check_pause(now_ms)
        left_ms = flight.deadline_ms - now_ms
        if left_ms < MIN_LEFT_MS or not self._retries.may_retry(flight, 0):
            return None
        if self._crashing_requests.find_refusal(
            flight, selection.hosts, now_ms
        ):
            return None
        servers = [
            server
            for server in selection.list_usable(flight, now_ms)
            if selection.has_free_connection(server)
            and not selection.ejections.is_ejected(server.id, now_ms)
            and not selection.may_be_cold(server, now_ms)
        ]
        servers = selection.rooms.filter(servers, selection.hosts, now_ms)
        servers = selection.limits.filter(servers, now_ms)
        servers = selection.rollouts.filter(flight, servers, now_ms)
        if not servers or not self._retries.take_move(flight, now_ms):
            return None
        return selection.rank(flight, servers, now_ms)[0]
