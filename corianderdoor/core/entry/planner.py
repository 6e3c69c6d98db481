"""Decides what happens to each request of one entry host.

`Planner` gets events with their time and returns decisions. It does no
input or output.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Final

from .cache_map import CacheMap
from .cache_source import find_cache_source
from .counters import Counters
from .crashing_requests import CrashingRequests
from .flights import (
    Again,
    CERTAINLY_NOT_RUN,
    Deliver,
    Ending,
    Flight,
    Hold,
    Refuse,
    Send,
)
from .leaving_servers import LeavingServers
from .loads import Loads
from .placing import (
    CACHED_CHAT_MAX_UNREAD,
    FULL_BOUND,
    NEW_CHAT_BOUND,
    put_idle_first,
    rank_by_load,
    rank_by_prompt,
    under_bound,
)
from .requests import CallerRequest
from .routing import DesiredState, Route
from .server_ejection import ServerEjections
from .server_pauses import ServerPauses
from .server_room import ServerRooms
from .servers import BackendServer, Servers
from .suspected_restarts import SuspectedRestarts
from .windows import ColdRateLimiter, RetryBudget

NOT_READY_RETRY_MS: Final = 500
NO_SERVER_RETRY_MS: Final = 800
# Callers wait at most a third of their time before a retry, so the retry
# delay sent to them is at most this share of the time left.
MAX_RETRY_SHARE: Final = 0.3
# Share of the target latency for which a request may wait for a cold server
# or a connection.
MAX_HOLD_SHARE: Final = 0.5
MIN_HOLD_MS: Final = 20
# How long a begun answer may wait for a server to resume it; callers leave a
# stream after a pause of two seconds or more.
MAX_RESUME_HOLD_MS: Final = 1_000
# Interval at which a request that waits for a connection chooses again.
CONNECTION_POLL_MS: Final = 20
# Sends after which a request that a server declined is refused.
MAX_DECLINED_SENDS: Final = 3
# Timeout for a server that sends no data, as a multiple of the target
# latency. It applies if another server may run the request.
SILENCE_FACTOR: Final = 1.5
MIN_SILENCE_MS: Final = 350
# The same for a stream, before and after its first event. A server that runs
# well may be silent for a second or so, and would go on with a stream that
# runs elsewhere by then.
MIN_STREAM_SILENCE_MS: Final = 1_500
# Prefill rate of a server, a little below the platform's 32 tokens per
# millisecond.
PREFILL_TOKENS_PER_MS: Final = 30.0
# A request with less time left is not sent to a server.
MIN_LEFT_MS: Final = 20
# Server errors after which another server may succeed.
RETRYABLE_STATUSES: Final = frozenset({500, 502, 503, 504})


class Planner:
    """Decisions of one entry host about requests.

    Attributes:
        desired: The desired state in force; None until one is known.
        servers: The listed backend servers.
        loads: In-flight requests at the servers.
        ejections: Servers to avoid.
        caches: Prompt parts that the servers have cached.
        counters: Counters of decisions and results.
        crashing_requests: Requests that crash the servers that run them.
        restarts: Servers that may have restarted unnoticed.
        leaving: Servers that announced that they leave.
        pauses: Servers that asked this host for no requests for a while.
        rooms: Room of the brittle servers.
        hosts: Names of the entry hosts that share limits, this one
            included.
        is_connected: Returns whether a connection to a server was used
            recently.
    """

    __slots__ = (
        "desired",
        "servers",
        "loads",
        "ejections",
        "caches",
        "counters",
        "crashing_requests",
        "restarts",
        "leaving",
        "pauses",
        "rooms",
        "hosts",
        "is_connected",
        "_name",
        "_data_centre",
        "_cold_limiter",
        "_retry_budget",
        "_rng",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        cold_limiter: ColdRateLimiter,
        retry_budget: RetryBudget,
        rng: random.Random,
    ) -> None:
        self.desired: DesiredState | None = None
        self.servers = Servers()
        self.loads = Loads()
        self.ejections = ServerEjections()
        self.caches = CacheMap()
        self.counters = Counters()
        self.crashing_requests = CrashingRequests()
        self.restarts = SuspectedRestarts()
        self.leaving = LeavingServers()
        self.pauses = ServerPauses()
        self.rooms = ServerRooms(name, self.servers, self.loads)
        self.hosts: list[str] = [name]
        self.is_connected: Callable[[str], bool] = lambda server_id: False
        self._name = name
        self._data_centre = data_centre
        self._cold_limiter = cold_limiter
        self._retry_budget = retry_budget
        self._rng = rng

    def set_desired(self, desired: DesiredState) -> bool:
        """Applies `desired`; returns False if it is not newer."""
        if self.desired is not None:
            if desired.version <= self.desired.version:
                return False
        self.desired = desired
        return True

    def tick(self, now_ms: int) -> list[str]:
        """Removes expired servers and the records of unlisted ones.

        Returns:
            The ids of the removed servers.
        """
        expired = self.servers.remove_expired(now_ms)
        ids = self.servers.ids()
        self.ejections.retain(ids)
        self._cold_limiter.retain(ids)
        self.crashing_requests.retain(ids)
        self.restarts.retain(ids)
        self.leaving.retain(self.servers.all(), now_ms)
        self.pauses.drop_expired(now_ms)
        self.rooms.tick(now_ms)
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
        self._retry_budget.record_request(service, now_ms)
        return Flight(
            req, route, service, workspace, now_ms, now_ms + int(left_ms)
        )

    def choose(self, flight: Flight, now_ms: int) -> Send | Hold | Refuse:
        """Chooses a server for the request, or holds or refuses it."""
        left_ms = flight.deadline_ms - now_ms
        if left_ms < MIN_LEFT_MS:
            return self._refuse(flight, "out-of-time", now_ms)
        if self.crashing_requests.should_refuse(flight.req, now_ms):
            return self._refuse(flight, "breaks-servers", now_ms)
        usable = self._list_usable(flight, now_ms)
        if not usable:
            return self._wait_for_pause(
                flight, now_ms
            ) or self._diagnose_and_refuse(flight, "no-server", now_ms)
        usable = [s for s in usable if self._has_free_connection(s)]
        if not usable:
            return self._hold(
                flight, CONNECTION_POLL_MS, "servers-full", now_ms
            )
        healthy = [
            s for s in usable if not self.ejections.is_ejected(s.id, now_ms)
        ]
        usable = healthy or usable
        roomy = self.rooms.filter(usable, self.hosts, now_ms)
        if not roomy:
            return self._wait_for_room(flight, usable, now_ms)
        warm = [s for s in roomy if not self._may_be_cold(s, now_ms)]
        if warm:
            return self._send(
                flight, self._rank(flight, warm, now_ms)[0], now_ms
            )
        return self._choose_cold(flight, roomy, now_ms)

    def _wait_for_room(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> Hold | Refuse:
        delay_ms = self.rooms.wait_ms(servers, self.hosts)
        if delay_ms is None:
            return self._refuse(flight, "brittle-servers", now_ms)
        return self._hold(flight, delay_ms, "brittle-servers", now_ms)

    def may_send(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether `server` takes requests of this host."""
        if self.pauses.left_ms(server, now_ms):
            return False
        return not self.leaving.includes(server)

    def _list_staying(self, flight: Flight) -> list[BackendServer]:
        """Returns the servers that may get the request, paused or not."""
        listed = [
            server
            for server in self.servers.usable(flight.service)
            if not self.leaving.includes(server)
        ]
        if flight.returning:
            return [s for s in listed if s.id == flight.left_server]
        return [s for s in listed if s.id not in flight.excluded]

    def _list_usable(self, flight: Flight, now_ms: int) -> list[BackendServer]:
        """Returns the servers that may get the request now."""
        return [
            server
            for server in self._list_staying(flight)
            if not self.pauses.left_ms(server, now_ms)
        ]

    def _wait_for_pause(self, flight: Flight, now_ms: int) -> Hold | None:
        """Holds a begun answer until a server takes requests again.

        Returns:
            The decision; None if that takes too long, or for a request that
            can still be refused.
        """
        if flight.interrupted_ms is None:
            return None
        pauses_ms = [
            self.pauses.left_ms(server, now_ms)
            for server in self._list_staying(flight)
        ]
        if not pauses_ms:
            return None
        step = self._hold(flight, min(pauses_ms), "servers-paused", now_ms)
        return step if isinstance(step, Hold) else None

    def _diagnose_and_refuse(
        self, flight: Flight, reason: str, now_ms: int
    ) -> Refuse:
        """Refuses a request that no server takes.

        Gives `reason` unless all servers asked for no requests.
        """
        usable = self.servers.usable(flight.service)
        staying = [s for s in usable if not self.leaving.includes(s)]
        if usable and not staying:
            return self._refuse(flight, "servers-leaving", now_ms)
        pauses_ms = [self.pauses.left_ms(s, now_ms) for s in staying]
        if pauses_ms and min(pauses_ms) > 0:
            return self._refuse(
                flight, "servers-paused", now_ms, min(pauses_ms)
            )
        return self._refuse(flight, reason, now_ms)

    def _has_free_connection(self, server: BackendServer) -> bool:
        """Returns whether this host may open one more connection there.

        The hosts share the number of connections that a server accepts.
        """
        assert self.desired is not None
        service = self.desired.services.get(server.service)
        if service is None:
            return True
        share = max(1, service.connection_limit // max(1, len(self.hosts)))
        return self.loads.own.get(server.id, 0) < share

    def _may_be_cold(self, server: BackendServer, now_ms: int) -> bool:
        if self.servers.is_cold(server.id, now_ms):
            return True
        assert self.desired is not None
        service = self.desired.services.get(server.service)
        return service is not None and self.restarts.includes(
            server.id, service.cold_ms, now_ms
        )

    def _hold(
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
            return self._refuse(flight, reason, now_ms)
        return Hold(max(MIN_HOLD_MS, delay_ms))

    def _rank(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> list[BackendServer]:
        def load_of(server_id: str) -> int:
            return self.loads.of(server_id, now_ms)

        def unread_of(server_id: str) -> int:
            return self.loads.unread_of(server_id, now_ms)

        if not flight.req.parts:
            # Without a prompt, no server has an advantage by its cache.
            return rank_by_load(
                servers,
                load_of,
                self.is_connected,
                self._name,
                self._data_centre,
            )
        holders = self.caches.holders(flight.req.shared_parts()[-1], now_ms)
        listed = self.servers.listed(flight.service)
        open_servers = under_bound(servers, listed, load_of, FULL_BOUND)
        cached = [
            server
            for server in open_servers
            if server.id in holders
            and unread_of(server.id) <= CACHED_CHAT_MAX_UNREAD
        ]
        if cached:
            cached.sort(key=lambda server: holders[server.id], reverse=True)
            return cached
        ranked = rank_by_prompt(flight.req, servers)
        for bound in (NEW_CHAT_BOUND, FULL_BOUND):
            found = under_bound(servers, listed, load_of, bound)
            free = {server.id for server in found}
            if free:
                choice = [s for s in ranked if s.id in free]
                return put_idle_first(choice, unread_of)
        return sorted(ranked, key=lambda server: load_of(server.id))

    def _find_cache_source(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> BackendServer | None:
        def find_source(server_id: str) -> BackendServer | None:
            source = self.servers.get(server_id)
            if (
                source is None
                or self.ejections.is_ejected(server_id, now_ms)
                or self.pauses.left_ms(source, now_ms)
            ):
                return None
            return source

        return find_cache_source(
            flight.req,
            server,
            self.caches,
            find_source,
            self.leaving.includes,
            now_ms,
        )

    def _choose_cold(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> Send | Hold | Refuse:
        assert self.desired is not None
        service = self.desired.services.get(flight.service)
        cold_per_s = service.cold_per_s if service is not None else 0.0
        if cold_per_s <= 0:
            return self._send(
                flight, self._rank(flight, servers, now_ms)[0], now_ms
            )
        shortest_ms: int | None = None
        for server in self._rank(flight, servers, now_ms):
            share = self._cold_limiter.share(
                server.id, cold_per_s, self._name, self.hosts
            )
            wait_ms = self._cold_limiter.wait_ms(server.id, share, now_ms)
            if wait_ms == 0:
                self._cold_limiter.record(server.id, now_ms)
                return self._send(flight, server, now_ms)
            if wait_ms is not None:
                shortest_ms = min(wait_ms, shortest_ms or wait_ms)
        if shortest_ms is None:
            return self._refuse(flight, "cold-servers", now_ms)
        return self._hold(flight, shortest_ms, "cold-servers", now_ms)

    def _send(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> Send:
        self.rooms.reserve(flight, server.id)
        left_ms = flight.deadline_ms - now_ms
        silence_ms: int | None = None
        if self._may_retry(flight, 1):
            silence_ms = self._silence_timeout_ms(flight, server, now_ms)
        source = self._find_cache_source(flight, server, now_ms)
        return Send(server, flight.urgency(), left_ms, silence_ms, source)

    def _silence_timeout_ms(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> int:
        """Returns the timeout in ms for a `server` that sends no data.

        It grows with the tokens that the server has to prefill: a busy
        server is not a dead one, and a retry elsewhere would prefill the
        same prompts twice when the servers are busiest.
        """
        usual_ms = max(
            (
                MIN_STREAM_SILENCE_MS
                if flight.route.is_stream
                else MIN_SILENCE_MS
            ),
            int(flight.route.target_latency_ms * SILENCE_FACTOR),
        )
        unread = self.loads.unread_of(server.id, now_ms)
        if flight.req.parts:
            unread += self._count_unread(flight.req, server, now_ms)
        return usual_ms + int(unread / PREFILL_TOKENS_PER_MS)

    def record_sent(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> None:
        """Records that the request is sent to `server`."""
        if flight.req.parts:
            self._count_prompt(flight.req, server, now_ms)
            flight.unread = self._count_unread(flight.req, server, now_ms)
            self.caches.record(flight.req, server.id, now_ms)
        if flight.sends:
            self.counters.add("repeats")
        flight.server = server
        flight.interrupted_ms = None
        flight.excluded.add(server.id)
        flight.sends += 1
        flight.runs += 1
        self.loads.start(server.id, flight.unread)
        self.rooms.release(flight)
        self.rooms.record_sent(server.id)

    def _count_unread(
        self, req: CallerRequest, server: BackendServer, now_ms: int
    ) -> int:
        """Returns the prompt tokens that `server` has to prefill.

        Parts that it copies from another server count too: a copy waits in
        the same queue as a prefill.
        """
        cached_tokens = sum(
            part.tokens
            for part in req.shared_parts()
            if server.id in self.caches.holders(part, now_ms)
        )
        return sum(part.tokens for part in req.parts) - cached_tokens

    def record_prefill_done(self, flight: Flight) -> None:
        """Records that the server has prefilled the prompt."""
        if flight.server is not None and flight.unread:
            self.loads.end_prefill(flight.server.id, flight.unread)
        flight.unread = 0

    def _count_prompt(
        self, req: CallerRequest, server: BackendServer, now_ms: int
    ) -> None:
        for part in req.shared_parts():
            holders = self.caches.holders(part, now_ms)
            place = "nowhere"
            if holders:
                place = "here" if server.id in holders else "elsewhere"
            self.counters.add("prompt_tokens", part.tokens, cached=place)

    def record_answer_begun(self, flight: Flight, now_ms: int) -> None:
        """Records that the server has begun to answer."""
        if flight.server is not None:
            self.restarts.record_answer(flight.server.id, now_ms)
        self.record_prefill_done(flight)
        self._give_back_spare_retry(flight)

    def record_end(self, flight: Flight) -> None:
        """Records that the request has ended."""
        self.record_attempt_end(flight)
        self._give_back_spare_retry(flight)

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
        self.crashing_requests.record_complete_answer(flight.req)
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
        self.counters.add("sends", ending=ending.value)
        self._update_ejections(server, ending, now_ms)
        if ending is Ending.BROKEN:
            self.restarts.record_broken(server.id, now_ms)
            self.crashing_requests.record_broken_connection(
                flight.req, server.id, now_ms
            )
        if ending is Ending.SILENT:
            flight.left_server = server.id
        if ending is Ending.WITHDRAWN:
            return Again()
        if ending in CERTAINLY_NOT_RUN:
            flight.runs -= 1
        if self._may_continue(flight, ending, now_ms):
            return Again()
        if ending is Ending.SERVER_ERROR:
            return Deliver()
        if ending in CERTAINLY_NOT_RUN:
            return self._diagnose_and_refuse(flight, ending.value, now_ms)
        return self._refuse(flight, ending.value, now_ms)

    def record_unreached(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> None:
        """Records that no connection to a server could be opened."""
        self.counters.add("sends", ending=Ending.UNREACHED.value)
        self._update_ejections(server, Ending.UNREACHED, now_ms)
        self.crashing_requests.confirm_crash(server.id, now_ms)
        self.restarts.record_unreachable(server.id, now_ms)
        flight.excluded.add(server.id)

    def find_move(self, flight: Flight, now_ms: int) -> Send | None:
        """Chooses another server for a request whose server is silent.

        Takes two retries from the budget: one to get there, and one to come
        back if that server declines.

        Returns:
            The other server, warm and well; None if the request has to stay,
            as giving it up would end an answer that may still come.
        """
        left_ms = flight.deadline_ms - now_ms
        if left_ms < MIN_LEFT_MS or not self._may_retry(flight, 0):
            return None
        if self.crashing_requests.should_refuse(flight.req, now_ms):
            return None
        servers = [
            server
            for server in self._list_usable(flight, now_ms)
            if self._has_free_connection(server)
            and not self.ejections.is_ejected(server.id, now_ms)
            and not self._may_be_cold(server, now_ms)
        ]
        servers = self.rooms.filter(servers, self.hosts, now_ms)
        if not servers or not self._retry_budget.take(
            flight.service, len(self.hosts), now_ms, count=2
        ):
            return None
        flight.spare_retry = True
        return self._send(
            flight, self._rank(flight, servers, now_ms)[0], now_ms
        )

    def cancel_move(self, flight: Flight) -> None:
        """Records that the request stays where it is after all."""
        self.rooms.release(flight)
        self._give_back_spare_retry(flight)
        self._retry_budget.give_back(flight.service, 1)

    def _give_back_spare_retry(self, flight: Flight) -> None:
        if flight.spare_retry:
            flight.spare_retry = False
            self._retry_budget.give_back(flight.service, 1)

    def record_silence(self, server: BackendServer, now_ms: int) -> None:
        """Records that a server has been silent for too long."""
        self.ejections.record_failure(server.id, now_ms)

    def _may_continue(
        self, flight: Flight, ending: Ending, now_ms: int
    ) -> bool:
        if ending is Ending.TIMEOUT:
            return False
        if ending is Ending.SILENT:
            # A move to another server has been granted, or none may be.
            return self._may_retry(flight, 0)
        if flight.deadline_ms - now_ms < MIN_LEFT_MS:
            return False
        if ending in CERTAINLY_NOT_RUN:
            if self._may_try_another(flight, now_ms):
                return True
            # The way back to the silent server has its retry already.
            flight.returning, flight.spare_retry = flight.spare_retry, False
            return flight.returning
        if not self._may_retry(flight, 0):
            return False
        return self._take_retry(flight, now_ms)

    def _may_try_another(self, flight: Flight, now_ms: int) -> bool:
        if flight.sends >= MAX_DECLINED_SENDS:
            return False
        return self._take_retry(flight, now_ms)

    def _take_retry(self, flight: Flight, now_ms: int) -> bool:
        if not self._list_usable(flight, now_ms):
            if self._wait_for_pause(flight, now_ms) is None:
                return False
        return self._retry_budget.take(flight.service, len(self.hosts), now_ms)

    def _may_retry(self, flight: Flight, more: int) -> bool:
        """Returns whether the request may run once more after `more` runs."""
        route: Route = flight.route
        return route.may_retry() and flight.runs + more < route.max_attempts

    def _update_ejections(
        self, server: BackendServer, ending: Ending, now_ms: int
    ) -> None:
        if ending in (Ending.UNREACHED, Ending.WRONG_SERVER):
            # If another server has the address, this one is gone.
            self.ejections.record_unreachable(server.id, now_ms)
        elif ending in (
            Ending.BROKEN,
            Ending.INVALID_ANSWER,
            Ending.SERVER_ERROR,
        ):
            self.ejections.record_failure(server.id, now_ms)

    def _refuse(
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
