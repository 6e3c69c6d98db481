"""What callers, backend servers and the soak itself saw of a run."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

from ..core.records import Record

EVERYWHERE: Final = "*"


class Attempt:
    """One request as its caller saw it.

    Attributes:
        id: Its id.
        kind: Its route's name.
        host: The entry host that it was sent to.
        sent_ms: When its last byte was sent.
        ended_ms: When its answer or its connection ended.
        status: HTTP status; 0 if no answer came.
        headers: Headers of the answer, with names in lower case.
        body: The body as far as it came.
        complete: Whether the answer ended in order.
        fresh: Whether it was the first request of its connection.
        left: Whether the caller went away before the end.
    """

    __slots__ = (
        "id",
        "kind",
        "host",
        "sent_ms",
        "ended_ms",
        "status",
        "headers",
        "body",
        "complete",
        "first_on_connection",
        "disconnected",
    )

    def __init__(
        self,
        id: str,
        kind: str,
        host: str,
        sent_ms: int,
        first_on_connection: bool,
    ) -> None:
        self.id = id
        self.kind = kind
        self.host = host
        self.sent_ms = sent_ms
        self.ended_ms = sent_ms
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.complete = False
        self.first_on_connection = first_on_connection
        self.disconnected = False

    @property
    def served(self) -> bool:
        """Whether it ended in a whole success."""
        return self.status == 200 and self.complete


class Arrival(Record):
    """A request as a backend server saw it.

    Attributes:
        at_ms: When it arrived.
        worker: The server.
        engine: Whether that server streams.
        id: Id of the request.
        path: Its path.
        body: Its body.
        workspace: Workspace that the entry host named.
        keyed: Whether the caller's key was passed on.
        ran: Whether the server ran it.
        cold: Whether the server was cold.
    """

    __slots__ = (
        "at_ms",
        "worker",
        "engine",
        "id",
        "path",
        "body",
        "workspace",
        "has_caller_key",
        "ran",
        "cold",
    )

    def __init__(
        self,
        at_ms: int,
        worker: str,
        engine: bool,
        id: str,
        path: bytes,
        body: bytes,
        workspace: bytes,
        has_caller_key: bool,
        ran: bool,
        cold: bool,
    ) -> None:
        self.at_ms = at_ms
        self.worker = worker
        self.engine = engine
        self.id = id
        self.path = path
        self.body = body
        self.workspace = workspace
        self.has_caller_key = has_caller_key
        self.ran = ran
        self.cold = cold


class Span(Record):
    """A time in which something was disturbed or excluded.

    Attributes:
        begin_ms: Its begin.
        end_ms: Its end; None while it lasts.
        scope: A host, a server, or `EVERYWHERE`.
        kind: What it was.
        planned: Whether it must not cost callers anything.
    """

    __slots__ = ("begin_ms", "end_ms", "scope", "kind", "planned")

    def __init__(
        self, begin_ms: int, scope: str, kind: str, planned: bool
    ) -> None:
        self.begin_ms = begin_ms
        self.end_ms: int | None = None
        self.scope = scope
        self.kind = kind
        self.planned = planned

    def overlaps(self, begin_ms: int, end_ms: int) -> bool:
        """Returns whether it overlaps another time."""
        if self.begin_ms > end_ms:
            return False
        return self.end_ms is None or self.end_ms >= begin_ms


class Ledger:
    """All that was seen in one run.

    Attributes:
        attempts: Requests by id.
        arrivals: What backend servers got, in order.
        spans: Disturbances.
        closed: Times in which a server must get nothing, by server, with
            when the exclusion was accepted as their begin.
        probes: Probes of the desired state: id, acceptance of the version
            in ms, and the statuses that it allows.
        ended: Processes that ended by themselves, with their status.
    """

    __slots__ = (
        "attempts",
        "arrivals",
        "spans",
        "exclusions",
        "probes",
        "unexpected_exits",
    )

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        self.arrivals: list[Arrival] = []
        self.spans: list[Span] = []
        self.exclusions: defaultdict[str, list[Span]] = defaultdict(list)
        self.probes: list[tuple[str, int, frozenset[int]]] = []
        self.unexpected_exits: list[tuple[str, int]] = []

    def open_span(
        self, now_ms: int, scope: str, kind: str, planned: bool
    ) -> Span:
        """Notes that a disturbance begins."""
        span = Span(now_ms, scope, kind, planned)
        self.spans.append(span)
        return span

    def arrivals_by_id(self) -> dict[str, list[Arrival]]:
        """Returns the arrivals by request."""
        found: defaultdict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            found[arrival.id].append(arrival)
        return found

    def has_unplanned_fault(
        self, begin_ms: int, end_ms: int, scopes: frozenset[str] | None
    ) -> bool:
        """Returns whether unplanned trouble met a time.

        Args:
            begin_ms: Begin of the time.
            end_ms: Its end.
            scopes: Hosts and servers that matter; None for all.
        """
        return any(
            span.overlaps(begin_ms, end_ms)
            for span in self.spans
            if not span.planned
            and (
                scopes is None
                or span.scope in scopes
                or span.scope == EVERYWHERE
            )
        )

    def is_host_disturbed(self, host: str, begin_ms: int, end_ms: int) -> bool:
        """Returns whether a host was disturbed, restarts included."""
        return any(
            span.overlaps(begin_ms, end_ms)
            for span in self.spans
            if span.scope in (host, EVERYWHERE)
        )
