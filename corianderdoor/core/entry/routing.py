"""The operators' desired state: routes, services, limits and API keys."""

from __future__ import annotations

from collections.abc import Iterable
import enum
from typing import Final

import xxhash

from ..records import Record

# Target gap of a service whose routes state none.
DEFAULT_GAP_MS: Final = 400.0


class RouteKind(enum.Enum):
    """Kind of the requests of a route, which decides about retries."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Route(Record):
    """Rule for the requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Value of the `Host` header in lower case.
        path_prefix: Prefix of the paths of the route.
        kind: Kind of the requests.
        timeout_ms: Longest time to serve a request; the deadline of the
            caller can shorten it.
        target_latency_ms: Latency within which an answer is in time.
        priority: Priority, 0 is the highest.
        split: Names of services with their weights.
        max_attempts: Number of servers that may run one request; a server
            that declined it does not count.
        public: Whether requests need no API key.
        resumable: Whether another server can resume a broken stream.
        target_gap_ms: Longest pause between two events of a stream; 0 if
            none is stated.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "kind",
        "timeout_ms",
        "target_latency_ms",
        "priority",
        "split",
        "max_attempts",
        "public",
        "resumable",
        "target_gap_ms",
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        kind: RouteKind,
        timeout_ms: float,
        target_latency_ms: float,
        priority: int,
        split: tuple[tuple[str, float], ...],
        max_attempts: int,
        public: bool,
        resumable: bool,
        target_gap_ms: float = 0.0,
    ) -> None:
        self.target_gap_ms = target_gap_ms
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.timeout_ms = timeout_ms
        self.target_latency_ms = target_latency_ms
        self.priority = priority
        self.split = split
        self.max_attempts = max_attempts
        self.public = public
        self.resumable = resumable

    @property
    def is_stream(self) -> bool:
        """Whether answers are event streams."""
        return self.kind is RouteKind.STREAM

    def may_retry(self) -> bool:
        """Returns whether a second server may run a request."""
        if self.is_stream:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, key: str) -> str:
        """Returns the service for requests with `key`.

        Args:
            key: Key of the chat, or id of a request without a prompt; equal
                keys always get the same service.
        """
        total = sum(weight for _, weight in self.split)
        if len(self.split) == 1 or total <= 0:
            return self.split[0][0]
        digest = xxhash.xxh3_64_intdigest(f"{self.name}\0{key}".encode())
        point = digest / 2**64 * total
        for service, weight in self.split:
            point -= weight
            if point < 0:
                return service
        return self.split[-1][0]


class Service(Record):
    """A group of equivalent backend servers.

    Attributes:
        name: Name of the service.
        connection_limit: Connections that one server accepts from all hosts
            together.
        cold_per_s: Requests per second that a cold server can handle; 0 if
            cold servers need no limit.
        cache_tokens: Size of a server's cache in tokens; 0 without a cache.
        cold_ms: How long a server is cold after its start, in ms.
    """

    __slots__ = (
        "name",
        "connection_limit",
        "cold_per_s",
        "cache_tokens",
        "cold_ms",
    )

    def __init__(
        self,
        name: str,
        connection_limit: int,
        cold_per_s: float,
        cache_tokens: int,
        cold_ms: int = 0,
    ) -> None:
        self.cold_ms = cold_ms
        self.name = name
        self.connection_limit = connection_limit
        self.cold_per_s = cold_per_s
        self.cache_tokens = cache_tokens


class CallerLimits(Record):
    """Limits of size and time for requests of callers.

    Attributes:
        head_bytes: Largest request head in bytes.
        body_bytes: Largest request body in bytes.
        head_ms: Longest time to receive a request head.
        idle_ms: Longest time that a connection may be idle.
    """

    __slots__ = ("head_bytes", "body_bytes", "head_ms", "idle_ms")

    def __init__(
        self, head_bytes: int, body_bytes: int, head_ms: float, idle_ms: float
    ) -> None:
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_ms = head_ms
        self.idle_ms = idle_ms


# In force until a desired state is known.
DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
# For the listeners whose requests have no body.
BODILESS_LIMITS = CallerLimits(16_384, 4_096, 3_000, 15_000)


class Workspace(Record):
    """A workspace.

    Attributes:
        name: Name of the workspace.
        priority: Priority that overrides the route's; None to keep it.
    """

    __slots__ = ("name", "priority")

    def __init__(self, name: str, priority: int | None) -> None:
        self.name = name
        self.priority = priority


class DesiredState:
    """One version of the operators' configuration.

    Attributes:
        version: Version number; a newer state has a higher one.
        services: Services by name.
        limits: Limits for requests of callers.
        requires_key: Whether requests need an API key, but for those on
            public routes.
    """

    __slots__ = (
        "version",
        "services",
        "limits",
        "requires_key",
        "_routes",
        "_keys",
        "_gaps_ms",
        "_by_service",
        "_workspace_priorities",
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: CallerLimits,
        keys: dict[str, Workspace],
        requires_key: bool,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.requires_key = requires_key
        self._keys = keys
        self._routes: dict[str, dict[str, Route]] = {}
        self._gaps_ms: dict[str, float] = {}
        self._by_service: dict[str, list[Route]] = {}
        self._workspace_priorities = {
            workspace.priority
            for workspace in keys.values()
            if workspace.priority is not None
        }
        for route in routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route
            for name, _ in route.split:
                self._by_service.setdefault(name, []).append(route)
            if route.is_stream and route.target_gap_ms > 0:
                for name, _ in route.split:
                    known = self._gaps_ms.get(name, route.target_gap_ms)
                    self._gaps_ms[name] = min(known, route.target_gap_ms)

    def gap_ms(self, service: str) -> float:
        """Returns the shortest target gap of the streams of a service."""
        return self._gaps_ms.get(service, DEFAULT_GAP_MS)

    def routes_of(self, service: str) -> list[Route]:
        """Returns the routes that lead to a service."""
        return self._by_service.get(service, [])

    def priorities_of(self, service: str) -> set[int]:
        """Returns the priorities that requests of a service may have."""
        routes = self.routes_of(service)
        return {r.priority for r in routes} | self._workspace_priorities

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix.

        Only prefixes that end in a slash can match.
        """
        prefixes = self._routes.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route

    def find_workspace(self, key: str | None) -> Workspace | None:
        """Returns the workspace of an API key; None if it is unknown."""
        return None if key is None else self._keys.get(key)
