"""The state of a search for a server."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from .permits import Tier
from .topology import Server


class Search:
    """The choice of a server for one request, while it goes on.

    Attributes:
        pool: Name of the pool.
        weight: Work of the request, in tokens.
        order: The servers still to be looked at.
        avoided: Names of servers to use only if no other has room.
        looked: The servers that had no room under the mean.
        looks: How many servers were looked at.
        server: The server whose home is being asked.
        permit: Id of the permit asked for.
        home: Name of the router being asked.
        asks: How many routers were asked.
        ttl_ms: When a permit expires if it is not released, in ms.
        tier: How far the search has come.
        may_pass: Whether a reason to refuse may soon be gone.
        first_ms: When the first search for this request began.
    """

    __slots__ = (
        "pool",
        "weight",
        "order",
        "avoided",
        "looked",
        "looks",
        "server",
        "permit",
        "home",
        "asks",
        "ttl_ms",
        "tier",
        "may_pass",
        "first_ms",
    )

    def __init__(
        self,
        pool: str,
        weight: int,
        order: Iterator[Server],
        avoided: Collection[str],
        ttl_ms: int,
        first_ms: int,
    ) -> None:
        self.pool = pool
        self.weight = weight
        self.order = order
        self.avoided = avoided
        self.looked: list[Server] = []
        self.looks = 0
        self.server: Server | None = None
        self.permit = 0
        self.home = ""
        self.asks = 0
        self.ttl_ms = ttl_ms
        self.tier = Tier.CHAT_ORDER
        self.may_pass = False
        self.first_ms = first_ms
