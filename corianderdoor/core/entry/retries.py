"""Whether a request may run once more, within the fleet's retry budget."""

from __future__ import annotations

from typing import Final

from .flights import CERTAINLY_NOT_RUN, Ending, Flight
from .refusals import Refusals
from .routing import Route
from .server_selection import ServerSelection
from .windows import RetryBudget

# Sends after which a request that a server declined is refused.
MAX_DECLINED_SENDS: Final = 3
# A request with less time left is not sent to a server.
MIN_LEFT_MS: Final = 20


class Retries:
    """Grants further attempts of requests."""

    __slots__ = ("_selection", "_refusals", "_budget")

    def __init__(
        self,
        selection: ServerSelection,
        refusals: Refusals,
        budget: RetryBudget,
    ) -> None:
        self._selection = selection
        self._refusals = refusals
        self._budget = budget

    def record_request(self, flight: Flight, now_ms: int) -> None:
        """Records a request of a caller, which raises the budget."""
        self._budget.record_request(flight.service, now_ms)

    def take_move(self, flight: Flight, now_ms: int) -> bool:
        """Takes a retry for a move and one for the way back.

        Returns:
            Whether both were left.
        """
        taken = self._budget.take(
            flight.service, len(self._selection.hosts), now_ms, count=2
        )
        if taken:
            flight.spare_retry = True
        return taken

    def cancel_move(self, flight: Flight) -> None:
        """Gives the retries of a move back that does not take place."""
        self.give_back_spare(flight)
        self._budget.give_back(flight.service, 1)

    def give_back_spare(self, flight: Flight) -> None:
        """Gives the retry back that is kept for the way back, if any."""
        if flight.spare_retry:
            flight.spare_retry = False
            self._budget.give_back(flight.service, 1)

    def may_continue(
        self, flight: Flight, ending: Ending, now_ms: int
    ) -> bool:
        """Returns whether a request goes on after an attempt that failed."""
        if ending is Ending.TIMEOUT:
            return False
        if ending is Ending.SILENT:
            # A move to another server has been granted, or none may be.
            return self.may_retry(flight, 0)
        if flight.deadline_ms - now_ms < MIN_LEFT_MS:
            return False
        if ending in CERTAINLY_NOT_RUN:
            if self._may_try_another(flight, now_ms):
                return True
            # The way back to the silent server has its retry already.
            flight.returning, flight.spare_retry = flight.spare_retry, False
            return flight.returning
        if not self.may_retry(flight, 0):
            return False
        return self._take(flight, now_ms)

    def _may_try_another(self, flight: Flight, now_ms: int) -> bool:
        if flight.sends >= MAX_DECLINED_SENDS:
            return False
        return self._take(flight, now_ms)

    def _take(self, flight: Flight, now_ms: int) -> bool:
        if not self._selection.list_usable(flight, now_ms):
            if self._refusals.wait_for_pause(flight, now_ms) is None:
                return False
        return self._budget.take(
            flight.service, len(self._selection.hosts), now_ms
        )

    def may_retry(self, flight: Flight, more: int) -> bool:
        """Returns whether the request may run once more after `more` runs.

        A begun stream without numbers could only be joined with another run.
        """
        route: Route = flight.route
        if flight.is_unnumbered:
            return False
        return route.may_retry() and flight.runs + more < route.max_attempts
