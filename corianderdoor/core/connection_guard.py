"""Bounds what the connections of a listener take together.

A connection costs a descriptor, and memory for what waits in buffers until
its peer goes on. Above a bound, connections whose peer keeps this process
waiting are closed, the longest wait first.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
import enum
from typing import Final, Protocol

# Memory of an open connection: parser, transport, task and timers.
CONNECTION_BYTES: Final = 12_000
# Memory up to which a connection is an ordinary one, unless said otherwise.
SMALL_BYTES: Final = 32_768
# Share of a bound that is freed at once, so that a process at its bound does
# not look for connections to close at each byte.
FREED_SHARE: Final = 1 / 16
# Connections beyond the bound, while no other one can be closed for them.
RESERVE_SHARE: Final = 1 / 4
# A wait is recent until as many others as this share of all connections have
# begun.
RECENT_SHARE: Final = 1 / 4
# Share of the memory that one request body may take.
BODY_SHARE: Final = 1 / 4


class Phase(enum.Enum):
    """What a connection is doing.

    Attributes:
        IDLE: No request is in progress.
        RECEIVING: A part of a request has arrived.
        SERVING: A request is being served.
        STALLED: A request is being served whose caller does not read the
            answer, or sends much more behind it.
        LEAVING: It closes once its peer has read the last answer.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    SERVING = "serving"
    STALLED = "stalled"
    LEAVING = "leaving"


WAITING_PHASES: Final = frozenset(
    {Phase.RECEIVING, Phase.STALLED, Phase.LEAVING}
)


class GuardedConnection(Protocol):
    """A connection that may be closed to free what it takes.

    Attributes:
        order: Position of the beginning of its phase among those of all
            connections; see `ConnectionGuard.next_order`.
        served: Whether a request of it has been served.
    """

    order: int
    served: bool

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""

    def count_bytes(self) -> int:
        """Returns the memory that it takes, in bytes."""

    def evict(self) -> None:
        """Closes the connection and frees its memory at once."""


class ConnectionGuard:
    """The connections of one listener, or of several that share a bound.

    The memory is added up anew whenever it may exceed the bound, so that
    nothing has to be recorded when memory is freed.

    Attributes:
        max_connections: Number of open connections above which others are
            closed for new ones. While all of them have a request in
            progress, there may be a quarter more.
        max_bytes: Highest memory that they take together.
        small_bytes: Memory up to which a connection is an ordinary one.
        on_evicted: Called with the reason and the number of connections
            that were closed.
    """

    __slots__ = (
        "max_connections",
        "max_bytes",
        "small_bytes",
        "on_evicted",
        "_conns",
        "_last_order",
        "_counted_bytes",
        "_new_bytes",
    )

    def __init__(self, max_connections: int, max_bytes: int) -> None:
        self.max_connections = max_connections
        self.max_bytes = max_bytes
        self.small_bytes = SMALL_BYTES
        self.on_evicted: Callable[[str, int], None] = lambda reason, n: None
        self._conns: dict[GuardedConnection, None] = {}
        self._last_order = 0
        # Memory when it was last added up, and what has come since.
        self._counted_bytes = 0
        self._new_bytes = 0

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._conns)

    @property
    def max_body_bytes(self) -> int:
        """Largest request body that there is memory for."""
        return int(self.max_bytes * BODY_SHARE)

    def next_order(self) -> int:
        """Returns a number above all that were returned before."""
        self._last_order += 1
        return self._last_order

    def add(self, conn: GuardedConnection) -> None:
        """Adds a new connection, which may close another one or itself."""
        conn.order = self.next_order()
        self._conns[conn] = None
        self.record_bytes(CONNECTION_BYTES)
        excess = len(self._conns) - self.max_connections
        if excess > 0:
            excess += int(self.max_connections * FREED_SHARE)
            others = [c for c in self._list_by_descriptors() if c is not conn]
            most = self.max_connections * (1 + RESERVE_SHARE)
            rest = [conn] if len(self._conns) > most else []
            self._evict("connections", others[:excess] or rest)

    @property
    def is_crowded(self) -> bool:
        """Whether connections are to be closed after their next answer."""
        return len(self._conns) > self.max_connections

    def remove(self, conn: GuardedConnection) -> None:
        """Removes a connection that is closed."""
        self._conns.pop(conn, None)

    def record_bytes(self, count: int) -> None:
        """Records memory that connections take from now on."""
        self._new_bytes += count
        if self._new_bytes >= self.max_bytes * FREED_SHARE:
            self._check()

    def has_room(self) -> bool:
        """Returns whether the memory is within its bound."""
        self._check()
        return self._counted_bytes <= self.max_bytes

    def _check(self) -> None:
        """Adds up the memory if it may exceed the bound, and frees some."""
        if self._counted_bytes + self._new_bytes <= self.max_bytes:
            return
        self._new_bytes = 0
        sizes = {conn: conn.count_bytes() for conn in self._conns}
        total = sum(sizes.values())
        if total > self.max_bytes:
            victims = self._select_by_memory(sizes, total)
            total -= sum(sizes[conn] for conn in victims)
            self._evict("memory", victims)
        self._counted_bytes = total

    def _select_by_memory(
        self, sizes: dict[GuardedConnection, int], total: int
    ) -> list[GuardedConnection]:
        """Returns the connections to close for memory.

        Those that keep this process waiting for little come last, and only
        if that is enough: while it is busy, ordinary requests wait as long as
        others.

        Args:
            sizes: Memory by connection.
            total: Memory of all connections.
        """
        waiting = [c for c in self._conns if c.phase in WAITING_PHASES]
        large = [c for c in waiting if sizes[c] > self.small_bytes]
        small = [c for c in waiting if sizes[c] <= self.small_bytes]
        idle = [c for c in self._conns if c.phase is Phase.IDLE]
        target = self.max_bytes * (1 - FREED_SHARE)
        victims: list[GuardedConnection] = []
        for conn in _sort(large) + _sort(idle):
            is_newest = conn.order == self._last_order
            if total <= (self.max_bytes if is_newest else target):
                return victims
            victims.append(conn)
            total -= sizes[conn]
        if total - sum(sizes[conn] for conn in small) > self.max_bytes:
            return victims
        for conn in _sort(small):
            if total <= self.max_bytes:
                break
            victims.append(conn)
            total -= sizes[conn]
        return victims

    def _list_by_descriptors(self) -> list[GuardedConnection]:
        """Returns the connections to close for others, in their order.

        One that was never served ranks with those that make this process
        wait. These come last for a moment: callers whose connections were
        served once could keep all new ones out.
        """
        recent = self._last_order - int(self.max_connections * RECENT_SHARE)
        waiting: list[GuardedConnection] = []
        idle: list[GuardedConnection] = []
        new: list[GuardedConnection] = []
        for conn in self._conns:
            if conn.phase is Phase.IDLE and conn.served:
                idle.append(conn)
            elif conn.phase is not Phase.SERVING:
                (new if conn.order > recent else waiting).append(conn)
        return _sort(waiting) + _sort(idle) + _sort(new)

    def _evict(self, reason: str, victims: list[GuardedConnection]) -> None:
        for conn in victims:
            del self._conns[conn]
            conn.evict()
        if victims:
            self.on_evicted(reason, len(victims))


def _sort(conns: Iterable[GuardedConnection]) -> list[GuardedConnection]:
    return sorted(conns, key=lambda conn: conn.order)
