"""The order in which the servers of a pool are tried for a request."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

from .affinity import AffinityTable
from .messages import Req
from .rendezvous import Ring
from .topology import Server


class ChatOrder:
    """A hash ring for each pool, and the server each chat last used."""

    __slots__ = ("_rings", "_affinity")

    def __init__(self) -> None:
        self._rings: dict[str, Ring] = {}
        self._affinity = AffinityTable()

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
        """Returns whether `pool` has a server that is not `excluded`."""
        ring = self._rings.get(pool)
        if ring is None:
            return False
        if len(ring) > len(excluded):
            return True
        return any(s.name not in excluded for s in ring.servers())

    def order(self, req: Req, pool: str, now_ms: int) -> Iterator[Server]:
        """Yields the pool's servers, the chat's last server first."""
        ring = self._rings[pool]
        if not req.chat:
            yield from ring.order(req.id)
            return
        last = ring.get(self._affinity.find(req.chat, now_ms))
        if last is not None:
            yield last
        for server in ring.order(req.chat):
            if server is not last:
                yield server

    def first_by_hash(self, pool: str, chat: str) -> Server | None:
        """Returns the first server of `chat` by its hash alone.

        A router with no affinity entry for the chat tries this one first.
        """
        ring = self._rings.get(pool)
        return None if ring is None else next(ring.order(chat), None)

    def record(self, req: Req, server: Server, now_ms: int) -> None:
        """Records that the chat of `req` was sent to `server`."""
        if req.chat:
            self._affinity.record(req.chat, server.name, now_ms)
