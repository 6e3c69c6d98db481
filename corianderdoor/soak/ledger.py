"""Observations of a soak run by callers, backend servers and the soak."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

from ..core.records import Record

EVERYWHERE: Final = "*"


class Attempt:
    """One request, as seen by its caller.

    Attributes:
        id: Id of the request.
        kind: Name of its route.
        host: The entry host that it was sent to.
        sent_ms: When the caller sent it.
        ended_ms: When the answer or the connection ended or the caller gave
            up.
        status: HTTP status; 0 without an answer.
        headers: Headers of the answer, with names in lower case.
        body: The part of the body that arrived.
        complete: Whether the end of the answer arrived.
        first_on_connection: Whether it was the first request on its
            connection.
        disconnected: Whether the caller disconnected on purpose before the
            end.
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
        """Whether the answer is complete and has status 200."""
        return self.status == 200 and self.complete


class Arrival(Record):
    """A request, as seen by a backend server.

    Attributes:
        at_ms: When it arrived.
        worker: Name of the server.
        engine: Whether the server is a model engine, which streams.
        id: Id of the request.
        path: Path of the request.
        body: Body of the request.
        workspace: Workspace in the headers from the entry host.
        has_caller_key: Whether the caller's API key was forwarded.
        ran: Whether the server ran the request.
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
    """A period with a fault or an operation, or with a server excluded.

    Attributes:
        begin_ms: Start of the period.
        end_ms: End of the period; None while it lasts.
        scope: Name of the affected host or server, or `EVERYWHERE`.
        kind: Kind of the step.
        planned: Whether it is an operation that must not affect callers.
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
        """Returns whether the span overlaps a period, ends included."""
        if self.begin_ms > end_ms:
            return False
        return self.end_ms is None or self.end_ms >= begin_ms


class Ledger:
    """All observations of one run.

    Attributes:
        attempts: Requests of callers, by id.
        arrivals: Requests at backend servers, in order of arrival.
        spans: Faults and operations that disturb hosts or servers.
        exclusions: Periods in which a server must receive no requests, by
            server; each starts when the exclusion was accepted.
        probes: Probes of the desired state: id, when the version was
            accepted in ms, and the statuses that the version allows.
        unexpected_exits: Processes that exited by themselves, with their
            exit status.
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
        """Records the start of a fault or an operation."""
        span = Span(now_ms, scope, kind, planned)
        self.spans.append(span)
        return span

    def arrivals_by_id(self) -> dict[str, list[Arrival]]:
        """Returns the arrivals by the id of their request."""
        found: defaultdict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            found[arrival.id].append(arrival)
        return found

    def has_unplanned_fault(
        self, begin_ms: int, end_ms: int, scopes: frozenset[str] | None
    ) -> bool:
        """Returns whether an unplanned fault overlaps a period.

        Args:
            begin_ms: Start of the period.
            end_ms: End of the period.
            scopes: Hosts and servers to consider; None for all.
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
        """Returns whether any span, planned or not, affects a host."""
        return any(
            span.overlaps(begin_ms, end_ms)
            for span in self.spans
            if span.scope in (host, EVERYWHERE)
        )
