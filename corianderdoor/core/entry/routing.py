"""The operators' desired state: which requests go to which service."""

from __future__ import annotations

from collections.abc import Iterable
import enum

import xxhash

from ..records import Record


class RouteKind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Route(Record):
    """Requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: The `Host` that it applies to, in lower case.
        path_prefix: Start of the paths that it applies to.
        repeat: What may be repeated.
        timeout_ms: The longest time that a request is kept waiting.
        target_ms: Latency within which an answer is in time.
        priority: Rank, 0 is the most urgent.
        split: Names of services with their weights.
        max_attempts: Servers that one request may be sent to.
        public: Whether requests need no key.
        resumable: Whether a stream may go on at another server.
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
    ) -> None:
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
        """Whether answers are streams of events."""
        return self.kind is RouteKind.STREAM

    def may_retry(self) -> bool:
        """Returns whether a request may run at a second server."""
        if self.is_stream:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, key: str) -> str:
        """Returns the service that requests with `key` go to."""
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
    """A group of alike backend servers.

    Attributes:
        name: Its name.
        connection_limit: Connections that one server takes from all hosts.
        cold_per_s: Requests a second that a cold server bears.
        cache_tokens: Tokens that fit into a server's cache; 0 if it has
            none.
    """

    __slots__ = ("name", "connection_limit", "cold_per_s", "cache_tokens")

    def __init__(
        self,
        name: str,
        connection_limit: int,
        cold_per_s: float,
        cache_tokens: int,
    ) -> None:
        self.name = name
        self.connection_limit = connection_limit
        self.cold_per_s = cold_per_s
        self.cache_tokens = cache_tokens


class CallerLimits(Record):
    """What callers may send and how long they may take.

    Attributes:
        head_bytes: Largest head of a request.
        body_bytes: Largest body.
        head_ms: Time to send a head.
        idle_ms: Time that a connection may stay idle.
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


class Workspace(Record):
    """A workspace.

    Attributes:
        name: Its name.
        priority: Rank that replaces the route's; None keeps that.
    """

    __slots__ = ("name", "priority")

    def __init__(self, name: str, priority: int | None) -> None:
        self.name = name
        self.priority = priority


class DesiredState:
    """One version of what the operators want.

    Attributes:
        version: Its version.
        services: Services by name.
        limits: What callers may send.
        keyed: Whether requests need a key.
    """

    __slots__ = (
        "version",
        "services",
        "limits",
        "requires_key",
        "_hosts",
        "_keys",
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
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins `path`."""
        prefixes = self._hosts.get(host)
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
        """Returns the workspace that holds `key`."""
        return None if key is None else self._keys.get(key)
