"""Decides what happens to each request of one entry host.

`Planner` gets events with their time and returns decisions. It does no
input or output.
"""

from __future__ import annotations

import random
from typing import Final

from .counters import Counters
from .crashing_requests import CrashingRequests
from .flights import (
    Again,
    AnswerProgress,
    CERTAINLY_NOT_RUN,
    Deliver,
    Ending,
    Flight,
    Hold,
    Refuse,
    Send,
)
from .moves import Moves
from .prompt_counts import count_prompt
from .refusals import Refusals
from .request_blame import FIRST_VERDICT_MS
from .requests import CallerRequest
from .retries import MIN_LEFT_MS, Retries
from .routing import DesiredState
from .server_choice import ServerChoice
from .server_selection import ServerSelection
from .servers import BackendServer
from .silence import get_silence_timeout_ms
from .windows import ColdRateLimiter, RetryBudget

NOT_READY_RETRY_MS: Final = 500
# Interval at which a request that waits for a connection chooses again.
CONNECTION_POLL_MS: Final = 20
# Server errors after which another server may succeed.
RETRYABLE_STATUSES: Final = frozenset({500, 502, 503, 504})


class Planner:
    """Decisions of one entry host about requests.

    Attributes:
        selection: Which servers may get requests, and the state behind it.
        servers: The listed backend servers.
        loads: In-flight requests at the servers.
        ejections: Servers to avoid.
        caches: Prompt parts that the servers have cached.
        restarts: Servers that may have restarted unnoticed.
        leaving: Servers that announced that they leave.
        pauses: Servers that asked this host for no requests for a while.
        rooms: Room of the brittle servers.
        rollouts: Rollouts of new versions.
        counters: Counters of decisions and results.
        crashing_requests: Requests that crash the servers that run them.
    """

    __slots__ = (
        "selection",
        "servers",
        "loads",
        "ejections",
        "caches",
        "restarts",
        "leaving",
        "pauses",
        "rooms",
        "rollouts",
        "counters",
        "crashing_requests",
        "_choice",
        "_moves",
        "_cold_limiter",
        "_refusals",
        "_retries",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        cold_limiter: ColdRateLimiter,
        retry_budget: RetryBudget,
        rng: random.Random,
        exposure_share: float = 0.1,
        exposure_slack: int = 50,
        rollback_ms: int = 5_000,
    ) -> None:
        bounds = (exposure_share, exposure_slack, rollback_ms)
        selection = ServerSelection(name, data_centre, bounds)
        self.selection = selection
        self.servers = selection.servers
        self.loads = selection.loads
        self.ejections = selection.ejections
        self.caches = selection.caches
        self.restarts = selection.restarts
        self.leaving = selection.leaving
        self.pauses = selection.pauses
        self.rooms = selection.rooms
        self.rollouts = selection.rollouts
        self.counters = Counters()
        self.crashing_requests = CrashingRequests(name)
        self._cold_limiter = cold_limiter
        self._refusals = Refusals(selection, rng)
        self._choice = ServerChoice(
            name, selection, cold_limiter, self._refusals
        )
        self._retries = Retries(selection, self._refusals, retry_budget)
        self._moves = Moves(selection, self._retries, self.crashing_requests)

    @property
    def desired(self) -> DesiredState | None:
        """The desired state in force; None until one is known."""
        return self.selection.desired

    @property
    def hosts(self) -> list[str]:
        """Names of the entry hosts that share limits, this one included."""
        return self.selection.hosts

    @hosts.setter
    def hosts(self, names: list[str]) -> None:
        self.selection.hosts = names
        self.rollouts.hosts = names

    def set_desired(self, desired: DesiredState) -> bool:
        """Applies `desired`; returns False if it is not newer."""
        if self.desired is not None:
            if desired.version <= self.desired.version:
                return False
        self.selection.desired = desired
        return True

    def tick(self, now_ms: int) -> list[str]:
        """Removes what expired; returns the ids of the removed servers."""
        expired = self.selection.tick(now_ms)
        ids = self.servers.ids()
        self._cold_limiter.retain(ids)
        self.crashing_requests.tick(ids, now_ms)
        return expired

    def admit(self, req: CallerRequest, now_ms: int) -> Flight | Refuse:
        """Admits a complete request, or refuses it.

        Refuses requests without a route or a known API key, and all
        requests until a desired state is known.
        """
        desired = self.desired
        if desired is None:
            return Refuse(503, "no-desired-state", NOT_READY_RETRY_MS)
        route = desired.find_route(req.host, req.path)
        if route is None:
            return Refuse(404, "no-route")
        workspace = desired.find_workspace(req.key)
        if workspace is None and desired.requires_key and not route.public:
            return Refuse(401, "unknown-key")
        left_ms = route.timeout_ms
        if req.deadline_ms is not None:
            left_ms = min(left_ms, req.deadline_ms)
        service = route.choose_service(req.session() or req.id)
        flight = Flight(
            req, route, service, workspace, now_ms, now_ms + int(left_ms)
        )
        self._retries.record_request(flight, now_ms)
        return flight

    def choose(self, flight: Flight, now_ms: int) -> Send | Hold | Refuse:
        """Chooses a server for the request, or holds or refuses it."""
        self.selection.check_pause(now_ms)
        left_ms = flight.deadline_ms - now_ms
        if left_ms < MIN_LEFT_MS:
            return self._refusals.refuse(flight, "out-of-time", now_ms)
        reason = self.crashing_requests.find_refusal(
            flight, self.hosts, now_ms
        )
        if reason is not None:
            return self._refusals.refuse(
                flight, reason, now_ms, FIRST_VERDICT_MS
            )
        usable = self.selection.list_usable(flight, now_ms)
        if not usable:
            return self._refusals.wait_for_pause(
                flight, now_ms
            ) or self._refusals.diagnose(flight, "no-server", now_ms)
        usable = [s for s in usable if self.selection.has_free_connection(s)]
        if not usable:
            return self._refusals.hold(
                flight, CONNECTION_POLL_MS, "servers-full", now_ms
            )
        healthy = [
            s for s in usable if not self.ejections.is_ejected(s.id, now_ms)
        ]
        usable = healthy or usable
        refusal = self._refusals.admission.check(flight, usable, now_ms)
        if refusal is not None:
            return refusal
        roomy = self.rooms.filter(usable, self.hosts, now_ms)
        if not roomy:
            return self._refusals.wait_for_room(flight, usable, now_ms)
        free = self.selection.limits.filter(roomy, now_ms)
        if not free:
            return self._refusals.wait_for_limit(flight, roomy, now_ms)
        found = self._choice.choose(flight, free, now_ms)
        if isinstance(found, BackendServer):
            return self._send(flight, found, now_ms)
        return found

    def _send(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> Send:
        if self.selection.may_be_cold(server, now_ms):
            self._cold_limiter.record(server.id, now_ms)
            flight.cold_ms = now_ms
        self.rooms.reserve(flight, server.id)
        self.selection.limits.take(server.id, now_ms)
        left_ms = flight.deadline_ms - now_ms
        silence_ms: int | None = None
        if self._retries.may_retry(flight, 1):
            silence_ms = get_silence_timeout_ms(
                flight, self.selection, server, now_ms
            )
        source = self.selection.find_cache_source(flight, server, now_ms)
        flight.copies = source is not None
        return Send(server, flight.urgency(), left_ms, silence_ms, source)

    def record_sent(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> None:
        """Records that the request is sent to `server`."""
        if flight.req.parts:
            count_prompt(
                self.counters, self.caches, flight.req, server, now_ms
            )
            flight.unread = self.selection.count_unread(
                flight.req, server, now_ms
            )
            self.caches.record(flight.req, server.id, now_ms)
        if not self.rollouts.is_idle:
            flight.prefill_tokens = flight.unread
            self.rollouts.record_sent(flight, server, now_ms)
        if self.selection.may_be_cold(server, now_ms):
            self._cold_limiter.record_late(server.id, flight.cold_ms, now_ms)
        if flight.sends:
            self.counters.add("repeats")
        flight.server = server
        flight.interrupted_ms = None
        flight.excluded.add(server.id)
        flight.sends += 1
        flight.runs += 1
        flight.progress = AnswerProgress.NONE
        flight.first_event_ms = None
        self.loads.start(server.id, flight.unread)
        self.selection.sends.add(server.id, now_ms)
        self.selection.forecasts.record_sent(flight, server, now_ms)
        self.rooms.release(flight)
        self.rooms.record_sent(server.id)

    def record_prefill_done(self, flight: Flight) -> None:
        """Records that the server has prefilled the prompt."""
        if flight.server is not None and flight.unread:
            self.loads.end_prefill(flight.server.id, flight.unread)
        flight.unread = 0

    def record_rollout_answer(
        self,
        flight: Flight,
        server: BackendServer,
        bad: bool,
        first_ms: int | None,
        per_event_ms: float | None,
        now_ms: int,
    ) -> None:
        """Records a finished answer; see `Rollouts.record_answer`."""
        if not self.rollouts.is_idle:
            self.rollouts.record_answer(
                flight, server, bad, first_ms, per_event_ms, now_ms
            )

    def record_answer_begun(self, flight: Flight, now_ms: int) -> None:
        """Records that the server has begun to answer."""
        if flight.server is not None:
            self.restarts.record_answer(flight.server.id, now_ms)
        self.selection.forecasts.record_first_event(
            flight, self.counters, now_ms
        )
        self.record_prefill_done(flight)
        self._retries.give_back_spare(flight)

    def record_end(self, flight: Flight) -> None:
        """Records that the request has ended."""
        self.record_attempt_end(flight)
        self._retries.give_back_spare(flight)

    def record_attempt_end(self, flight: Flight) -> None:
        """Records that no server works on the request any longer."""
        flight.returning = False
        self.rooms.release(flight)
        if flight.server is not None:
            self.record_prefill_done(flight)
            self.loads.end(flight.server.id)
            flight.server = None

    def record_complete_answer(self, flight: Flight) -> None:
        """Records that the server answered completely."""
        self.counters.add("sends", ending="whole")
        self.crashing_requests.record_complete_answer(
            flight.req, flight.sent_ms
        )
        if flight.server is not None:
            self.ejections.record_success(flight.server.id)
        self.record_end(flight)

    def handle_failure(
        self,
        flight: Flight,
        server: BackendServer,
        ending: Ending,
        now_ms: int,
    ) -> Again | Refuse | Deliver:
        """Records a failed attempt and decides what follows."""
        self.record_attempt_end(flight)
        if flight.interrupted_ms is None and flight.answer_started:
            flight.interrupted_ms = now_ms
        if ending is Ending.UNREACHED:
            self.record_unreached(flight, server, now_ms)
            return Again()
        self._record_ending(flight, server, ending, now_ms)
        if ending is Ending.WITHDRAWN:
            return Again()
        if ending in CERTAINLY_NOT_RUN:
            flight.runs -= 1
        if self._retries.may_continue(flight, ending, now_ms):
            return Again()
        if ending is Ending.SERVER_ERROR:
            return Deliver()
        if ending in CERTAINLY_NOT_RUN:
            return self._refusals.diagnose(flight, ending.value, now_ms)
        return self._refusals.refuse(flight, ending.value, now_ms)

    def _record_ending(
        self,
        flight: Flight,
        server: BackendServer,
        ending: Ending,
        now_ms: int,
    ) -> None:
        self.counters.add("sends", ending=ending.value)
        self.ejections.record_ending(server.id, ending, now_ms)
        if ending is Ending.BROKEN:
            self.restarts.record_broken(server.id, now_ms)
        if ending in (Ending.BROKEN, Ending.SILENT):
            self.record_interruption(flight, server, now_ms)
        if ending is Ending.SILENT:
            flight.left_server = server.id

    def record_interruption(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> None:
        """Records an attempt that may have ended by a crash of its server.

        The end of a server that was to leave is none.
        """
        listed = self.servers.get(server.id)
        if listed is not None and not listed.available:
            return
        if not self.leaving.includes(server):
            self.crashing_requests.record_interruption(
                flight, server.id, now_ms
            )

    def record_unreached(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> None:
        """Records that no connection to a server could be opened."""
        self.counters.add("sends", ending=Ending.UNREACHED.value)
        self.ejections.record_ending(server.id, Ending.UNREACHED, now_ms)
        self.crashing_requests.confirm_crash(server.id, now_ms)
        self.restarts.record_unreachable(server.id, now_ms)
        flight.excluded.add(server.id)

    def find_move(self, flight: Flight, now_ms: int) -> Send | None:
        """Chooses another server for a request whose server is silent.

        Returns:
            The other server; None if the request has to stay.
        """
        server = self._moves.find(flight, now_ms)
        return None if server is None else self._send(flight, server, now_ms)

    def cancel_move(self, flight: Flight) -> None:
        """Records that the request stays where it is after all."""
        self.rooms.release(flight)
        self._retries.cancel_move(flight)
