"""Refusals of one entry host, and how long a request may wait before one."""

from __future__ import annotations

import random
from typing import Final

from .admission import Admission, MAX_RETRY_SHARE
from .flights import Flight, Hold, Refuse
from .server_selection import ServerSelection
from .servers import BackendServer

NO_SERVER_RETRY_MS: Final = 800
# Share of the target latency for which a request may wait for a cold server
# or a connection.
MAX_HOLD_SHARE: Final = 0.5
MIN_HOLD_MS: Final = 20
# How long a begun answer may wait for a server to resume it; callers leave a
# stream after a pause of two seconds or more.
MAX_RESUME_HOLD_MS: Final = 1_000


class Refusals:
    """Decides whether a request without a server waits or is refused.

    Attributes:
        admission: Refuses requests that arrive when the servers are busy.
    """

    __slots__ = ("admission", "_selection", "_rng")

    def __init__(self, selection: ServerSelection, rng: random.Random) -> None:
        self.admission = Admission(selection, rng)
        self._selection = selection
        self._rng = rng

    def refuse(
        self, flight: Flight, reason: str, now_ms: int, wait_ms: int = 0
    ) -> Refuse:
        """Refuses the request.

        Answers 503, which promises that the request has not run, only if no
        server can have run it.

        Args:
            flight: The request.
            reason: Reason for logs and metrics.
            now_ms: Monotonic time in ms.
            wait_ms: Time until a server may be asked again; 0 if unknown.
        """
        if flight.runs > 0:
            status = 504 if reason in ("timeout", "out-of-time") else 502
            return Refuse(status, reason)
        left_ms = flight.deadline_ms - now_ms
        # Spread, so that callers do not return together.
        delay_ms = wait_ms or 0.7 * NO_SERVER_RETRY_MS
        delay_ms += 0.6 * NO_SERVER_RETRY_MS * self._rng.random()
        return Refuse(
            503, reason, int(min(delay_ms, left_ms * MAX_RETRY_SHARE))
        )

    def hold(
        self, flight: Flight, delay_ms: int, reason: str, now_ms: int
    ) -> Hold | Refuse:
        """Holds the request if that leaves time for an answer."""
        held_until = (
            flight.arrived_ms + flight.route.target_latency_ms * MAX_HOLD_SHARE
        )
        if flight.interrupted_ms is not None:
            # A begun answer can't be refused any more, only cut.
            held_until = flight.interrupted_ms + MAX_RESUME_HOLD_MS
        if now_ms + delay_ms > held_until:
            return self.refuse(flight, reason, now_ms)
        return Hold(max(MIN_HOLD_MS, delay_ms))

    def wait_for_pause(self, flight: Flight, now_ms: int) -> Hold | None:
        """Holds a begun answer until a server takes requests again.

        Returns:
            The decision; None if that takes too long, or for a request that
            can still be refused.
        """
        if flight.interrupted_ms is None:
            return None
        pauses_ms = [
            self._selection.pauses.left_ms(server, now_ms)
            for server in self._selection.list_staying(flight)
        ]
        if not pauses_ms:
            return None
        step = self.hold(flight, min(pauses_ms), "servers-paused", now_ms)
        return step if isinstance(step, Hold) else None

    def diagnose(self, flight: Flight, reason: str, now_ms: int) -> Refuse:
        """Refuses a request that no server takes.

        Gives `reason` unless all servers asked for no requests.
        """
        usable = self._selection.servers.usable(flight.service)
        staying = [
            s for s in usable if not self._selection.leaving.includes(s)
        ]
        if usable and not staying:
            return self.refuse(flight, "servers-leaving", now_ms)
        pauses_ms = [
            self._selection.pauses.left_ms(s, now_ms) for s in staying
        ]
        if pauses_ms and min(pauses_ms) > 0:
            return self.refuse(
                flight, "servers-paused", now_ms, min(pauses_ms)
            )
        return self.refuse(flight, reason, now_ms)

    def wait_for_limit(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> Hold | Refuse:
        """Holds a request until a limited server takes one, or refuses it.

        A request that would wait for too long is refused at once.
        """
        wait_ms = self._selection.limits.wait_ms(servers, now_ms)
        if wait_ms is not None:
            step = self.hold(flight, wait_ms, "servers-limited", now_ms)
            if isinstance(step, Hold):
                return step
        return self.refuse(flight, "servers-limited", now_ms, wait_ms or 0)

    def wait_for_room(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> Hold | Refuse:
        """Holds a request until a brittle server has room, or refuses it."""
        delay_ms = self._selection.rooms.wait_ms(
            servers, self._selection.hosts
        )
        if delay_ms is None:
            return self.refuse(flight, "brittle-servers", now_ms)
        return self.hold(flight, delay_ms, "brittle-servers", now_ms)
