"""Log lines of requests and their attempts."""

from __future__ import annotations

from ..adapters.logs import log_event
from ..core.entry.counters import Counters
from ..core.entry.flights import Again, Deliver, Ending, Flight, Refuse
from ..core.entry.planned_stop import PlannedStop
from ..core.entry.servers import BackendServer


def log_done(flight: Flight, now_ms: int) -> None:
    """Logs a request whose caller has its answer."""
    log_event(
        "request_done",
        request_id=flight.req.id,
        service=flight.service,
        sends=flight.sends,
        took_ms=now_ms - flight.arrived_ms,
    )


def log_failed_send(
    flight: Flight,
    server: BackendServer,
    ending: Ending,
    follow: Again | Refuse | Deliver,
    stop: PlannedStop,
    now_ms: int,
    *,
    head: bool,
    silent_ms: int,
    via_peer: bool,
    detail: str,
) -> None:
    """Logs an attempt that failed.

    Args:
        flight: The request.
        server: The server that it was sent to.
        ending: How the attempt ended.
        follow: What comes next.
        stop: The stop of this host, if it has begun.
        now_ms: Monotonic time in ms.
        head: Whether the head of the answer had arrived.
        silent_ms: How long the server had sent nothing.
        via_peer: Whether a peer passed the bytes on.
        detail: What ended the connection.
    """
    log_event(
        "send_failed",
        request_id=flight.req.id,
        server=server.id,
        ending=ending.value,
        follow=type(follow).__name__.lower(),
        runs=flight.runs,
        head=head,
        begun=flight.answer_started,
        silent_ms=silent_ms,
        via_peer=via_peer,
        stopping_ms=stop.since_begin_ms(now_ms),
        detail=detail,
    )


def record_unanswered(
    flight: Flight,
    stop: PlannedStop,
    counters: Counters,
    now_ms: int,
    *,
    silent_ms: int,
    via_peer: bool,
) -> None:
    """Records a request that its caller, or the stop of this host, ended.

    Args:
        flight: The request.
        stop: The stop of this host, if it has begun.
        counters: Counts the outcome.
        now_ms: Monotonic time in ms.
        silent_ms: How long the server had sent nothing.
        via_peer: Whether a peer passed the bytes on.
    """
    outcome = "cut-by-stop" if stop.ended else "caller-disconnected"
    kind = flight.route.kind.value
    counters.add("requests", kind=kind, outcome=outcome)
    if not stop.ended:
        log_event(
            "caller_disconnected",
            request_id=flight.req.id,
            runs=flight.runs,
            begun=flight.answer_started,
        )
        return
    log_event(
        "request_cut_by_stop",
        "WARNING",
        request_id=flight.req.id,
        runs=flight.runs,
        begun=flight.answer_started,
        arrived_ms=stop.since_begin_ms(flight.arrived_ms),
        left_ms=flight.deadline_ms - now_ms,
        silent_ms=silent_ms,
        via_peer=via_peer,
    )
