"""Messages between routers about workspace limits."""

from __future__ import annotations

from .records import Record


class WorkspaceLimit(Record):
    """The limit of a workspace in a pool, as set by a rule.

    Attributes:
        workspace: The workspace.
        pool: The pool.
        rate: Requests a second, 0 if unlimited.
        concurrency: Requests in progress, 0 if unlimited.
    """

    __slots__ = ("workspace", "pool", "rate", "concurrency")

    def __init__(
        self, workspace: str, pool: str, rate: int, concurrency: int
    ) -> None:
        self.workspace = workspace
        self.pool = pool
        self.rate = rate
        self.concurrency = concurrency

    def key(self) -> str:
        """Returns the key by which rendezvous hashing chooses the home."""
        return f"{self.workspace}\0{self.pool}"


class QuotaAsk(Record):
    """Request of a router for quota, sent to the home of a limit.

    Attributes:
        limit: The limit.
        seq: Sequence number; grows with each message of the process.
        in_use: Requests in progress at the requesting router.
        want_slots: Requested total of requests in progress.
        want_tokens: Requests that wait for a token.
        demand: Recent arrival rate, in 1/1000 requests a second.
    """

    __slots__ = (
        "limit",
        "seq",
        "in_use",
        "want_slots",
        "want_tokens",
        "demand",
    )

    def __init__(
        self,
        limit: WorkspaceLimit,
        seq: int,
        in_use: int,
        want_slots: int,
        want_tokens: int,
        demand: int,
    ) -> None:
        self.limit = limit
        self.seq = seq
        self.in_use = in_use
        self.want_slots = want_slots
        self.want_tokens = want_tokens
        self.demand = demand


class QuotaGrant(Record):
    """Answer of the home to a `QuotaAsk`.

    Attributes:
        limit: The limit.
        seq: Sequence number of the answered `QuotaAsk`.
        slots: Total of requests that the router may have in progress.
        tokens: Requests that it may admit at once.
        share: Its share of the rate, in 1/1000 requests a second.
        hold_ms: Validity of slots and share, in ms.
        retry_ms: Delay until more may be available, in ms; 0 if all was
            granted.
    """

    __slots__ = (
        "limit",
        "seq",
        "slots",
        "tokens",
        "share",
        "hold_ms",
        "retry_ms",
    )

    def __init__(
        self,
        limit: WorkspaceLimit,
        seq: int,
        slots: int,
        tokens: int,
        share: int,
        hold_ms: int,
        retry_ms: int,
    ) -> None:
        self.limit = limit
        self.seq = seq
        self.slots = slots
        self.tokens = tokens
        self.share = share
        self.hold_ms = hold_ms
        self.retry_ms = retry_ms
