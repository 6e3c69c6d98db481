"""State of a search for a server."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from .permits import Tier
from .topology import Server


class Search:
    """The search for a server for one request, while it is in progress.

    Attributes:
        pool: Name of the pool.
        weight: Work of the request, in tokens.
        order: The servers still to be examined.
        avoided: Names of servers to use only if no other admits the request.
        over_mean: The servers that refused because of the bound.
        examined: Number of servers examined.
        server: The server whose home is being asked.
        permit: Id of the permit asked for.
        home: Name of the router being asked.
        asks: Number of permits asked of other routers in this tier.
        ttl_ms: Time until a permit expires if it is not released, in ms.
        tier: Stage of the search.
        may_clear: Whether a reason for refusal is transient.
        started_at_ms: When the first search for this request began.
    """

    __slots__ = (
        "pool",
        "weight",
        "order",
        "avoided",
        "over_mean",
        "examined",
        "server",
        "permit",
        "home",
        "asks",
        "ttl_ms",
        "tier",
        "may_clear",
        "started_at_ms",
    )

    def __init__(
        self,
        pool: str,
        weight: int,
        order: Iterator[Server],
        avoided: Collection[str],
        ttl_ms: int,
        started_at_ms: int,
    ) -> None:
        self.pool = pool
        self.weight = weight
        self.order = order
        self.avoided = avoided
        self.over_mean: list[Server] = []
        self.examined = 0
        self.server: Server | None = None
        self.permit = 0
        self.home = ""
        self.asks = 0
        self.ttl_ms = ttl_ms
        self.tier = Tier.CHAT_ORDER
        self.may_clear = False
        self.started_at_ms = started_at_ms
