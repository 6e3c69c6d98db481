"""Choice of a backend server for a request."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final, Protocol

from expression import Error, Ok, Result
import xxhash

from .errors import Fault, Kind
from .messages import Req
from .topology import Server

NO_SERVER_RETRY_MS: Final = 2_000
OVERLOAD_RETRY_MS: Final = 1_000


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns `names` in the rendezvous order of `key`.

    Every caller that ranks the same names gets the same order, and adding
    or removing a name moves only the keys that had it first.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()),
        reverse=True,
    )


class Placement(Protocol):
    """Chooses servers and keeps account of the work given to them."""

    def choose(
        self, req: Req, pool: str, excluded: Collection[str], now_ms: int
    ) -> Result[Server, Fault]:
        """Reserves room on a server for `req`; `now_ms` is monotonic."""

    def release(self, req: Req, server: Server, now_ms: int) -> None:
        """Returns the room that `choose` reserved."""

    def set_servers(self, servers: tuple[Server, ...], now_ms: int) -> None:
        """Replaces the servers that may get new work."""


class BoundedPlacement:
    """Rendezvous order with bounded load, by this router's own sight.

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
        self, req: Req, pool: str, excluded: Collection[str], now_ms: int
    ) -> Result[Server, Fault]:
        """Reserves room on the first server of the order that has any."""
        servers = self._pools.get(pool, {})
        names = [name for name in servers if name not in excluded]
        if not names:
            detail = f"pool {pool} has no live backend server"
            return Error(
                Fault(
                    Kind.NO_SERVER,
                    "choose-server",
                    detail,
                    retry_after_ms=NO_SERVER_RETRY_MS,
                )
            )
        for name in rank(req.chat or req.id, names):
            if self._has_room(servers[name], servers):
                self._load[name] = self._load.get(name, 0) + 1
                return Ok(servers[name])
        detail = f"every backend server of pool {pool} is full"
        return Error(
            Fault(
                Kind.OVERLOADED,
                "choose-server",
                detail,
                retry_after_ms=OVERLOAD_RETRY_MS,
            )
        )

    def release(self, req: Req, server: Server, now_ms: int) -> None:
        """Returns the room that `choose` reserved."""
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
