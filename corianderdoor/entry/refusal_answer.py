"""Answers a request with an error of this host."""

from __future__ import annotations

from ..adapters.http1_server import ServerConnection
from ..adapters.logs import log_event
from ..core.entry.counters import Counters
from ..core.entry.flights import Flight, Refuse
from ..core.entry.requests import CallerRequest
from ..platform.headers import build_refusal_headers
from .overload_log import log_forecast


async def send_refusal(
    conn: ServerConnection,
    req: CallerRequest,
    flight: Flight | None,
    refusal: Refuse,
    counters: Counters,
    now_ms: int,
    received_ms: int,
    detail: str,
) -> None:
    """Sends a refusal, or cuts the connection if the answer has begun.

    Args:
        conn: Connection to the caller.
        req: The request.
        flight: The same, if it was admitted.
        refusal: Status, reason and time of return.
        counters: Counts the refusal.
        now_ms: Monotonic time in ms.
        received_ms: When the last server sent a byte, for the log.
        detail: Why its connection failed, for the log.
    """
    log_event(
        "refusal_sent",
        request_id=req.id,
        status=refusal.status,
        reason=refusal.reason,
        service=flight.service if flight else "",
        runs=flight.runs if flight else 0,
        begun=flight.answer_started if flight else False,
        held_ms=now_ms - flight.arrived_ms if flight else 0,
        retry_after_ms=refusal.retry_after_ms,
    )
    log_forecast(flight, refusal)
    counters.add(
        "refusals",
        reason=refusal.reason,
        status=str(refusal.status),
        kind=flight.route.kind.value if flight else "none",
    )
    if conn.response_started:
        log_event(
            "answer_aborted",
            "WARNING",
            request_id=req.id,
            reason=refusal.reason,
            after_event=flight.last_event_id if flight else None,
            silent_ms=now_ms - received_ms,
            detail=detail,
        )
        counters.add("answers_aborted", reason=refusal.reason)
        # Cutting the connection shows that the answer is incomplete.
        conn.protocol.abort()
        return
    headers = build_refusal_headers(req.id, refusal.retry_after_ms)
    await conn.respond(refusal.status, headers)
