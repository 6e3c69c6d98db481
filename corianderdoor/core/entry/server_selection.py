"""Which backend servers may get a request of one entry host, best first."""

from __future__ import annotations

from collections.abc import Callable

from .active_hosts import MIN_ACTIVE_HOSTS
from .cache_map import CacheMap
from .cache_source import find_cache_source
from .first_event_forecast import FirstEventForecasts
from .flights import Flight
from .leaving_servers import LeavingServers
from .loads import Loads
from .placing import (
    CACHED_CHAT_MAX_GAPS,
    FULL_BOUND,
    HIGHEST_BOUND,
    LOAD_STEPS,
    max_backlog,
    measure_room,
    NEW_CHAT_BOUND,
    NEW_CHAT_MAX_GAPS,
    put_idle_first,
    rank_by_chat,
    rank_by_load,
    rank_by_prompt,
    rank_by_weight,
)
from .prefill_rates import PrefillRates, REFERENCE_RATE
from .process_facts import drop_at_ends
from .process_pauses import ProcessPauses
from .requests import CallerRequest
from .rollouts import RolloutBounds, Rollouts
from .room_shares import RoomShares
from .routing import DEFAULT_GAP_MS, DesiredState, Service
from .server_ejection import ServerEjections
from .server_limits import ServerLimits
from .server_pauses import ServerPauses
from .server_room import ServerRooms
from .server_sends import ServerSends
from .servers import BackendServer, Servers
from .suspected_restarts import SuspectedRestarts
from .version_ledger import KnownLedger
from .waiting_requests import WaitingRequests


class ServerSelection:
    """What one entry host knows of the servers, and whom it may choose.

    Attributes:
        desired: The desired state in force; None until one is known.
        hosts: Names of the entry hosts that share limits, this one
            included.
        is_connected: Returns whether a connection to a server was used
            recently.
        servers: The listed backend servers.
        loads: In-flight requests at the servers.
        ejections: Servers to avoid.
        caches: Prompt parts that the servers have cached.
        restarts: Servers that may have restarted unnoticed.
        leaving: Servers that announced that they leave.
        pauses: Servers that asked this host for no requests for a while.
        rooms: Room of the brittle servers.
        limits: Rates that servers in need have named.
        shares: This host's shares of the room of servers.
        sends: Requests that this host sent lately.
        rates: Prefill rates of the services.
        forecasts: Forecasts of the time to the first event.
        waiting: Servers that state that requests wait there.
        rollouts: Rollouts of new versions.
        ledger: Versions that may have begun streams.
        process_pauses: The last pause of this process.
        on_pause: Called with the length of a pause in ms when it is noticed.
    """

    __slots__ = (
        "desired",
        "hosts",
        "is_connected",
        "servers",
        "loads",
        "ejections",
        "caches",
        "restarts",
        "leaving",
        "pauses",
        "rooms",
        "limits",
        "shares",
        "sends",
        "rates",
        "forecasts",
        "waiting",
        "rollouts",
        "ledger",
        "process_pauses",
        "on_pause",
        "_name",
        "_data_centre",
    )

    def __init__(
        self, name: str, data_centre: str, bounds: RolloutBounds
    ) -> None:
        """Creates the selection of a host that knows no servers yet.

        Args:
            name: Name of this host.
            data_centre: Data centre of this host.
            bounds: Bounds on what a bad version may get.
        """
        self.desired: DesiredState | None = None
        self.hosts: list[str] = [name]
        self.is_connected: Callable[[str], bool] = lambda server_id: False
        self.servers = Servers()
        self.loads = Loads()
        self.ejections = ServerEjections()
        self.restarts = SuspectedRestarts()
        self.caches = CacheMap(self.restarts)
        self.leaving = LeavingServers()
        self.pauses = ServerPauses()
        self.rooms = ServerRooms(name, self.servers, self.loads)
        self.limits = ServerLimits(name, self.servers)
        self.shares = RoomShares(name)
        self.sends = ServerSends()
        self.rates = PrefillRates()
        self.waiting = WaitingRequests()
        self.forecasts = FirstEventForecasts(
            self.servers, self.loads, self.rates
        )
        self.rollouts = Rollouts(
            name, self.servers, self.loads, self.may_be_cold, *bounds
        )
        self.ledger = KnownLedger()
        self.process_pauses = ProcessPauses()
        self.on_pause: Callable[[int], None] = lambda gap_ms: None
        self._name = name
        self._data_centre = data_centre
        drop_at_ends(self)

    def tick(self, now_ms: int) -> list[str]:
        """Removes expired servers and the records of unlisted ones.

        Returns:
            The ids of the removed servers.
        """
        expired = self.servers.remove_expired(now_ms)
        ids = self.servers.ids()
        self.ejections.retain(ids)
        self.restarts.retain(ids)
        self.leaving.retain(self.servers.all(), now_ms)
        self.pauses.drop_expired(now_ms)
        self.rooms.tick(now_ms)
        self.limits.tick(ids, now_ms)
        self.shares.retain(ids)
        self.sends.retain(ids)
        return expired

    def set_serving_hosts(self, names: list[str]) -> None:
        """Sets the names of the hosts that send requests to the servers."""
        self.limits.hosts = names
        self.shares.set_hosts(names)

    def check_pause(self, now_ms: int) -> None:
        """Withdraws what a pause of this process made uncertain.

        Called before each decision: what allowed a request may have expired
        during the pause.
        """
        gap_ms = self.process_pauses.check(now_ms)
        if gap_ms:
            self.restarts.record_pause(now_ms)
            self.rooms.record_pause(gap_ms, now_ms)
            self.on_pause(gap_ms)

    def find_service(self, name: str) -> Service | None:
        """Returns the service `name`; None if it is not known."""
        if self.desired is None:
            return None
        return self.desired.services.get(name)

    def max_backlog(self, service: str, gaps: float, now_ms: int) -> int:
        """Returns a bound on the tokens to prefill at a server.

        Args:
            service: Name of the service.
            gaps: The bound as a multiple of the service's target gap.
            now_ms: Monotonic time in ms.
        """
        desired = self.desired
        return max_backlog(
            gaps,
            DEFAULT_GAP_MS if desired is None else desired.gap_ms(service),
            self.rates.learnt(service, now_ms) or REFERENCE_RATE,
        )

    def may_send(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether `server` takes requests of this host."""
        if self.pauses.left_ms(server, now_ms):
            return False
        if not self.rollouts.is_idle:
            if not self.rollouts.may_send(server, now_ms):
                return False
        return not self.leaving.includes(server)

    def list_staying(self, flight: Flight) -> list[BackendServer]:
        """Returns the servers that may get the request, paused or not."""
        listed = [
            server
            for server in self.servers.usable(flight.service)
            if not self.leaving.includes(server)
        ]
        if not self.rollouts.is_idle:
            listed = self.rollouts.allowed(flight.service, listed)
        if flight.version is not None:
            listed = [s for s in listed if self._continues(flight, s)]
        elif flight.route.resumable:
            listed = self.ledger.prefer_recorded(flight.service, listed)
        if flight.returning:
            return [s for s in listed if s.id == flight.left_server]
        return [s for s in listed if s.id not in flight.excluded]

    def _continues(self, flight: Flight, server: BackendServer) -> bool:
        """Returns whether a stream may go on at `server`."""
        if server.version != flight.version:
            return False
        return self.restarts.proves_version(server.id)

    def list_usable(self, flight: Flight, now_ms: int) -> list[BackendServer]:
        """Returns the servers that may get the request now."""
        return [
            server
            for server in self.list_staying(flight)
            if not self.pauses.left_ms(server, now_ms)
        ]

    def has_free_connection(self, server: BackendServer) -> bool:
        """Returns whether this host may open one more connection there.

        The hosts share the number of connections that a server accepts.
        """
        own = self.loads.own.get(server.id, 0)
        if not own:
            return True
        service = self.find_service(server.service)
        if service is None:
            return True
        share = max(1, service.connection_limit // max(1, len(self.hosts)))
        return own < share

    def may_be_cold(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether a server is, or may be, in its slow start."""
        if self.servers.is_cold(server.id, now_ms):
            return True
        # Most servers have not failed, which is cheap to find out.
        if not self.restarts.may_include(server.id):
            return False
        service = self.find_service(server.service)
        return service is not None and self.restarts.includes(
            server.id, service.cold_ms, now_ms
        )

    def is_only_suspected(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether a server that may be cold is likely to be warm.

        It is not avoided then, only its rate is limited: it may be one that
        fails, and hosts that avoid it would not eject it.
        """
        cold = self.servers.is_cold(server.id, now_ms)
        return self.restarts.in_contact and not cold

    def rank(
        self, flight: Flight, servers: list[BackendServer], now_ms: int
    ) -> list[BackendServer]:
        """Returns the servers for a request, best first."""

        def load_of(server_id: str) -> int:
            return self.loads.of(server_id, now_ms)

        def unread_of(server_id: str) -> int:
            return self.loads.unread_of(server_id, now_ms)

        listed = self.servers.listed(flight.service)
        room = measure_room(servers, listed, load_of, FULL_BOUND)
        shared = measure_room(servers, listed, load_of, HIGHEST_BOUND)
        if not flight.req.parts:
            return self._rank_without_prompt(flight, servers, room, now_ms)
        holders = self.caches.holders(flight.req.shared_parts()[-1], now_ms)
        most = self.max_backlog(flight.service, CACHED_CHAT_MAX_GAPS, now_ms)
        cached = [
            server
            for server in servers
            if server.id in holders
            and unread_of(server.id) <= most
            and room[server.id] >= 1
            and self.shares.may_send(server, shared[server.id])
        ]
        if cached:
            return self.shares.spread(cached, holders)
        most = self.max_backlog(flight.service, NEW_CHAT_MAX_GAPS, now_ms)
        new_room = measure_room(servers, listed, load_of, NEW_CHAT_BOUND)
        free = [server for server in servers if new_room[server.id] >= 1]
        own = {
            server.id
            for server in free
            if self.shares.may_send_new(server, shared[server.id])
        }
        if own:
            ranked = rank_by_prompt(flight.req, servers)
            choice = [server for server in ranked if server.id in own]
            return put_idle_first(choice, unread_of, most)
        # Hosts without a share spread their chats over all servers.
        free = free or [s for s in servers if room[s.id] >= 1]
        ranked = rank_by_chat(flight.req, free or servers)
        if free:
            return put_idle_first(ranked, unread_of, most)
        return sorted(
            ranked,
            key=lambda server: (
                load_of(server.id) + self.shares.handicap(server)
            ),
        )

    def _rank_without_prompt(
        self,
        flight: Flight,
        servers: list[BackendServer],
        room: dict[str, float],
        now_ms: int,
    ) -> list[BackendServer]:
        """Returns the servers for a request that none has cached.

        Loads decide as long as few requests come and go between two
        heartbeats. A host of a large fleet sends too few to know.
        """
        hosts = self.shares.count_hosts()
        step = max(1, servers[0].slots // LOAD_STEPS)
        unseen = self.sends.count_unseen(servers, hosts, now_ms)
        if hosts <= MIN_ACTIVE_HOSTS and unseen <= step:
            return rank_by_load(
                servers,
                lambda server_id: self.loads.of(server_id, now_ms),
                self.is_connected,
                self._name,
                self._data_centre,
            )
        free = [
            server
            for server in servers
            if self.shares.may_send(server, room[server.id])
        ]
        return rank_by_weight(
            flight.req,
            free or servers,
            lambda server_id: self.loads.of(server_id, now_ms),
            max(step, unseen),
        )

    def find_cache_source(
        self, flight: Flight, server: BackendServer, now_ms: int
    ) -> BackendServer | None:
        """Returns the server from which `server` copies cached parts."""

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

    def count_unread(
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
