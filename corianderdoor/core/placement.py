"""Choice of a backend server for a request."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final, Protocol, TypeAlias

from expression import Error, Ok, Result

from .errors import Fault, Kind
from .messages import AskPermit, Req
from .permits import PermitAnswer
from .records import Record
from .rendezvous import rank
from .topology import Server

NO_SERVER_RETRY_MS: Final = 2_000
OVERLOAD_RETRY_MS: Final = 1_000


class RetryLater(Record):
    """Choice: retry after a delay, as a server may admit the request then.

    Attributes:
        delay_ms: Delay before the retry, in ms.
    """

    __slots__ = ("delay_ms",)

    def __init__(self, delay_ms: int) -> None:
        self.delay_ms = delay_ms


Choice: TypeAlias = Server | AskPermit | RetryLater


class Placement(Protocol):
    """Chooses servers and tracks the work sent to them."""

    def choose(
        self,
        req: Req,
        pool: str,
        excluded: Collection[str],
        avoided: Collection[str],
        left_ms: int,
        now_ms: int,
    ) -> Result[Choice, Fault]:
        """Reserves capacity on a server for `req`, or asks its home for it.

        Args:
            req: The request.
            pool: The pool that its rule names.
            excluded: Names of servers that were tried.
            avoided: Names of servers to use only if no other admits `req`.
            left_ms: Time until the request's deadline.
            now_ms: Monotonic time.
        """

    def resume(
        self, req: Req, answer: PermitAnswer | None, now_ms: int
    ) -> Result[Choice, Fault]:
        """Continues a search after a home answered, or timed out."""

    def cancel(self, req: Req, now_ms: int) -> None:
        """Cancels a search that waits for an answer, if there is one."""

    def release(
        self,
        req: Req,
        server: Server,
        now_ms: int,
        served: bool = False,
        first_token_ms: int | None = None,
        crashed: bool = False,
    ) -> None:
        """Releases the reservation of a request.

        Args:
            req: The request.
            server: The server that it was sent to.
            now_ms: Monotonic time.
            served: Whether the server sent a complete answer.
            first_token_ms: Time to the first byte, in ms; None if no byte
                arrived.
            crashed: Whether the server crashed while it ran the request.
        """

    def set_servers(self, servers: tuple[Server, ...], now_ms: int) -> None:
        """Replaces the servers that may get new work."""


def no_server_fault(pool: str) -> Fault:
    """Returns the fault for a pool without servers."""
    return Fault(
        Kind.NO_SERVER,
        "choose-server",
        f"pool {pool} has no live backend server",
        retry_after_ms=NO_SERVER_RETRY_MS,
    )


def overload_fault(pool: str) -> Fault:
    """Returns the fault for a pool whose servers are all full."""
    return Fault(
        Kind.OVERLOADED,
        "choose-server",
        f"every backend server of pool {pool} is full",
        retry_after_ms=OVERLOAD_RETRY_MS,
    )


class BoundedPlacement:
    """Rendezvous hashing with bounded load, of this router's requests alone.

    A request goes to the first server in the order of its chat whose load
    is under `bound` times the mean of the pool; without a chat, the order
    of its request id spreads the load.
    """

    __slots__ = ("_bound", "_pools", "_load")

    def __init__(self, bound: float) -> None:
        self._bound = bound
        self._pools: dict[str, dict[str, Server]] = {}
        self._load: dict[str, int] = {}

    def set_servers(self, servers: tuple[Server, ...], now_ms: int) -> None:
        """Replaces the servers that may get new work."""
        pools: dict[str, dict[str, Server]] = {}
        for server in servers:
            pools.setdefault(server.pool, {})[server.name] = server
        self._pools = pools

    def choose(
        self,
        req: Req,
        pool: str,
        excluded: Collection[str],
        avoided: Collection[str],
        left_ms: int,
        now_ms: int,
    ) -> Result[Choice, Fault]:
        """Reserves capacity on the first server of the order that has any."""
        servers = self._pools.get(pool, {})
        names = [name for name in servers if name not in excluded]
        if not names:
            return Error(no_server_fault(pool))
        order = rank(req.chat or req.id, names)
        order.sort(key=lambda name: name in avoided)
        for name in order:
            if self._has_room(servers[name], servers):
                self._load[name] = self._load.get(name, 0) + 1
                return Ok(servers[name])
        return Error(overload_fault(pool))

    def resume(
        self, req: Req, answer: PermitAnswer | None, now_ms: int
    ) -> Result[Choice, Fault]:
        """Returns a fault; never called, as this placement asks no router."""
        return Error(overload_fault(""))

    def cancel(self, req: Req, now_ms: int) -> None:
        """Does nothing, as no search waits for an answer."""

    def release(
        self,
        req: Req,
        server: Server,
        now_ms: int,
        served: bool = False,
        first_token_ms: int | None = None,
        crashed: bool = False,
    ) -> None:
        """Releases the reservation that `choose` made."""
        left = self._load.get(server.name, 0) - 1
        if left > 0:
            self._load[server.name] = left
        else:
            self._load.pop(server.name, None)

    def _has_room(self, server: Server, pool: dict[str, Server]) -> bool:
        load = self._load.get(server.name, 0)
        if load >= server.capacity:
            return False
        total = sum(self._load.get(name, 0) for name in pool)
        capacity = sum(peer.capacity for peer in pool.values())
        mean = (total + 1) / capacity
        return load < max(1.0, self._bound * mean * server.capacity)
