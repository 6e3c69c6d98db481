"""The order in which the servers of a pool are tried for a request."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

from .affinity import AffinityTable
from .messages import Req
from .rendezvous import Ring
from .topology import Server


class ChatOrder:
    """A ring for each pool, and the memory of where chats really went."""

    __slots__ = ("_rings", "_memory")

    def __init__(self) -> None:
        self._rings: dict[str, Ring] = {}
        self._memory = AffinityTable()

    def set_servers(self, servers: Iterable[Server]) -> None:
        """Replaces the servers of all pools."""
        pools: dict[str, list[Server]] = {}
        for server in servers:
            pools.setdefault(server.pool, []).append(server)
        for pool in [name for name in self._rings if name not in pools]:
            del self._rings[pool]
        for pool, members in pools.items():
            self._rings.setdefault(pool, Ring()).replace(members)

    def has_other(self, pool: str, excluded: Collection[str]) -> bool:
        """Tells whether `pool` has a server that is not `excluded`."""
        ring = self._rings.get(pool)
        if ring is None:
            return False
        if len(ring) > len(excluded):
            return True
        return any(s.name not in excluded for s in ring.servers())

    def order(self, req: Req, pool: str, now_ms: int) -> Iterator[Server]:
        """Yields the pool's servers, the one with the chat's cache first."""
        ring = self._rings[pool]
        if not req.chat:
            yield from ring.order(req.id)
            return
        kept = ring.get(self._memory.find(req.chat, now_ms))
        if kept is not None:
            yield kept
        for server in ring.order(req.chat):
            if server is not kept:
                yield server

    def rendezvous_first(self, pool: str, chat: str) -> Server | None:
        """Returns the server that a router without memory tries first."""
        ring = self._rings.get(pool)
        return None if ring is None else next(ring.order(chat), None)

    def record(self, req: Req, server: Server, now_ms: int) -> None:
        """Notes that the chat of `req` went to `server`."""
        if req.chat:
            self._memory.record(req.chat, server.name, now_ms)
