"""What is decided about one request, and why."""

from __future__ import annotations

import enum

from ..records import Record
from .requests import CallerRequest
from .routing import Route, Workspace
from .servers import BackendServer


class Ending(enum.Enum):
    """How an attempt at a server ended, other than with its answer.

    UNREACHED: No byte of the request was sent.
    NOT_RUN: The server says that it did not run the request.
    WRONG_SERVER: Another server has the address, and did not run it.
    BROKEN: The connection ended before the whole answer.
    SILENT: The server said nothing for too long.
    SPOILED: What arrived is no answer to this request.
    SERVER_ERROR: The server answered that it failed.
    TIMEOUT: The time of the request ran out.
    """

    UNREACHED = "unreached"
    NOT_RUN = "not-run"
    WRONG_SERVER = "wrong-server"
    BROKEN = "broken"
    SILENT = "silent"
    SPOILED = "spoiled"
    SERVER_ERROR = "server-error"
    TIMEOUT = "timeout"


# After these it is certain that the server has not run the request.
CERTAINLY_NOT_RUN = frozenset(
    {Ending.UNREACHED, Ending.NOT_RUN, Ending.WRONG_SERVER}
)


class Send(Record):
    """Send the request to `server`.

    Attributes:
        server: Where to.
        urgency: Rank at the server, 0 first.
        left_ms: Time that is left.
        silence_ms: How long the server may stay silent; None for as long
            as there is time.
        fetch_from: Server that keeps more of the prompt, to be copied from
            there; None if there is none.
    """

    __slots__ = ("server", "urgency", "left_ms", "silence_ms", "fetch_from")

    def __init__(
        self,
        server: BackendServer,
        urgency: int,
        left_ms: int,
        silence_ms: int | None,
        fetch_from: BackendServer | None = None,
    ) -> None:
        self.fetch_from = fetch_from
        self.server = server
        self.urgency = urgency
        self.left_ms = left_ms
        self.silence_ms = silence_ms


class Hold(Record):
    """Ask again after `delay_ms`; no server may take the request now."""

    __slots__ = ("delay_ms",)

    def __init__(self, delay_ms: int) -> None:
        self.delay_ms = delay_ms


class Refuse(Record):
    """Answer the caller with a failure of our own.

    Attributes:
        status: HTTP status.
        reason: Why, as a stable word for logs and metrics.
        retry_after_ms: When to come back; None if there is no use.
    """

    __slots__ = ("status", "reason", "retry_after_ms")

    def __init__(
        self, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Deliver(Record):
    """Pass on the failure with which the server answered."""

    __slots__ = ()


class Again(Record):
    """Choose another server."""

    __slots__ = ()


class Flight:
    """One request in progress.

    Attributes:
        req: The request.
        route: Its route.
        service: Service that it goes to.
        workspace: Workspace that asks; None on a public route.
        arrived_ms: When it was read.
        deadline_ms: When it ends, on the monotonic clock.
        server: Server that works on it.
        unread: Tokens of its prompt that the server has still to read.
        tried: Ids of servers that it was sent to or could not reach.
        runs: Servers that may have run it.
        sends: Servers that it arrived at.
        begun: Whether the caller has a part of the answer.
        last_event_id: Last event that the caller has.
    """

    __slots__ = (
        "req",
        "route",
        "service",
        "workspace",
        "arrived_ms",
        "deadline_ms",
        "server",
        "unread",
        "tried",
        "runs",
        "sends",
        "begun",
        "last_event_id",
    )

    def __init__(
        self,
        req: CallerRequest,
        route: Route,
        service: str,
        workspace: Workspace | None,
        arrived_ms: int,
        deadline_ms: int,
    ) -> None:
        self.req = req
        self.route = route
        self.service = service
        self.workspace = workspace
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.server: BackendServer | None = None
        self.unread = 0
        self.tried: set[str] = set()
        self.runs = 0
        self.sends = 0
        self.begun = False
        self.last_event_id = req.last_event_id

    def urgency(self) -> int:
        """Returns the rank at the server, 0 first."""
        rank = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            rank = self.workspace.priority
        return max(0, min(9, rank))
