"""Messages about the limits of workspaces, between routers."""

from __future__ import annotations

from .records import Record


class WorkspaceLimit(Record):
    """One limit: a workspace in a pool, with what the rule allows.

    Attributes:
        workspace: The workspace.
        pool: The pool.
        rate: Requests a second, 0 for no limit.
        concurrency: Requests in progress, 0 for no limit.
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
        """Returns the text by which routers choose the slot's home."""
        return f"{self.workspace}\0{self.pool}"


class QuotaAsk(Record):
    """A router asks the home of a slot for room.

    Attributes:
        slot: The limit.
        seq: Grows with each message of the asking process.
        in_use: Requests in progress at the asking router.
        want_slots: Requests in progress that it wants room for, in all.
        want_tokens: Requests that wait for room now.
        demand: Requests that lately arrived, in 1/1000 a second.
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
    """The home's answer.

    Attributes:
        slot: The limit.
        seq: That of the message it answers.
        slots: Requests in progress that the router may have in all.
        tokens: Requests that it may admit at once.
        share: Its own part of the rate from now on, in 1/1000 a second.
        hold_ms: How long slots and share hold, in ms.
        retry_ms: When more may be there, in ms; 0 if all was granted.
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
