"""Shares of a process's memory and descriptors, by listener."""

from __future__ import annotations

from typing import Final

from .connection_guard import ConnectionGuard
from .entry.answer_memory import BYTES_PER_MB, DEFAULT_MEMORY_MB
from .records import Record

# Descriptors of a process whose settings name none.
DEFAULT_DESCRIPTORS: Final = 1_024
# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS: Final = 200
MIN_CONNECTIONS: Final = 16
# One turn of the event loop may accept all that wait, beyond the bound.
MAX_BACKLOG: Final = 1_024
MIN_BACKLOG: Final = 16


class Share(Record):
    """Share of a listener.

    Attributes:
        memory: Share of the process's memory, for its connections.
        requests: Share of the memory for requests, where these are counted
            apart from their connections.
        connections: Share of the descriptors, for open connections.
        backlog: Share of the descriptors, for connections that wait to be
            accepted.
    """

    __slots__ = ("memory", "connections", "backlog", "requests")

    def __init__(
        self,
        memory: float,
        connections: float,
        backlog: float,
        requests: float = 0.0,
    ) -> None:
        self.memory = memory
        self.requests = requests
        self.connections = connections
        self.backlog = backlog


# Each listener has its own share, so that no crowd at one of them takes what
# another one needs. A request that is served takes a second descriptor, for
# its server.
SHARES: Final = {
    "callers": Share(0.2, 0.24, 0.06),
    "router": Share(0.1, 0.24, 0.06, 0.12),
    "control": Share(0.02, 0.05, 0.01, 0.02),
    "directory": Share(0.02, 0.05, 0.02),
    "readiness": Share(0.01, 0.02, 0.01),
    "peers": Share(0.05, 0.05, 0.01),
    "metrics": Share(0.01, 0.01, 0.01),
}
# Connections may have several requests each.
MAX_REQUESTS: Final = 10_000
# A complete body is copied twice on its way.
REQUEST_COPIES: Final = 4
# Share of the descriptors for idle connections to servers.
IDLE_SHARE: Final = 0.1


class ListenerLimits:
    """What the connections of one listener may take.

    Attributes:
        guard: Bounds their number and their memory.
        backlog: How many may wait to be accepted.
    """

    __slots__ = ("guard", "backlog")

    def __init__(self, guard: ConnectionGuard, backlog: int) -> None:
        self.guard = guard
        self.backlog = backlog


def build_listener_limits(
    name: str, memory_mb: float, descriptors: int
) -> ListenerLimits:
    """Returns the limits of a listener.

    Args:
        name: Name of the listener, a key of `SHARES`.
        memory_mb: Memory that the process may take, in MB; 0 if unknown.
        descriptors: Descriptors that it may open; 0 if unknown.
    """
    share = SHARES[name]
    memory_mb = memory_mb or DEFAULT_MEMORY_MB
    usable = _count_usable(descriptors)
    return ListenerLimits(
        ConnectionGuard(
            max(MIN_CONNECTIONS, int(usable * share.connections)),
            int(memory_mb * BYTES_PER_MB * share.memory),
        ),
        min(MAX_BACKLOG, max(MIN_BACKLOG, int(usable * share.backlog))),
    )


def build_request_guard(
    name: str, memory_mb: float, max_body_bytes: int
) -> ConnectionGuard:
    """Returns the bound of requests, apart from that of their connections.

    Args:
        name: Name of the listener, a key of `SHARES`.
        memory_mb: Memory that the process may take, in MB; 0 if unknown.
        max_body_bytes: Largest body; there is always room for one.
    """
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    share_bytes = int(memory_bytes * SHARES[name].requests)
    return ConnectionGuard(
        MAX_REQUESTS, max(share_bytes, REQUEST_COPIES * max_body_bytes)
    )


def limit_idle_connections(descriptors: int) -> int:
    """Returns how many connections to servers may be idle.

    Args:
        descriptors: Descriptors that the process may open; 0 if unknown.
    """
    usable = _count_usable(descriptors)
    return max(MIN_CONNECTIONS, int(usable * IDLE_SHARE))


def _count_usable(descriptors: int) -> int:
    """Returns how many descriptors there are for connections."""
    return (descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS
