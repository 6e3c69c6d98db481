"""Sends a request to a backend server."""

from __future__ import annotations

from typing import Final

import h11

from ..adapters.http1 import H11Protocol
from ..adapters.logs import log_event
from ..core.entry.flights import Flight, Send
from ..core.entry.loads import Loads
from ..platform.headers import build_server_headers

HEAD: Final = "HEAD"


def begin_exchange(protocol: H11Protocol, flight: Flight) -> bool:
    """Returns whether a connection can take a request.

    It can't if bytes have arrived there, as they belong to no request.
    """
    req = flight.req
    return protocol.exchange.begin(
        req.id.encode("latin-1"),
        framed=req.method != HEAD,
        unread=protocol.bytes_received,
    )


def send_request(
    protocol: H11Protocol,
    flight: Flight,
    send: Send,
    loads: Loads,
    now_ms: int,
) -> h11.Request:
    """Writes a request to a connection and returns its head.

    Args:
        protocol: Connection to the server.
        flight: The request.
        send: The server, and how to send.
        loads: In-flight requests at the servers, for the log.
        now_ms: Monotonic time in ms.

    Raises:
        ConnectionBrokenError: The connection broke.
    """
    req = flight.req
    workspace = flight.workspace
    source = send.fetch_from
    headers = build_server_headers(
        req,
        send.server.id,
        workspace.name if workspace is not None else None,
        send.urgency,
        flight.deadline_ms - now_ms,
        flight.last_event_id,
        (source.host, source.port) if source is not None else None,
    )
    sent = h11.Request(method=req.method, target=req.target, headers=headers)
    protocol.write(sent)
    if req.body:
        protocol.write(h11.Data(data=req.body))
    protocol.write(h11.EndOfMessage())
    protocol.exchange.record_sent()
    log_event(
        "request_sent",
        request_id=req.id,
        route=flight.route.name,
        server=send.server.id,
        version=send.server.version,
        left_ms=send.left_ms,
        attempt=flight.sends,
        after_event=flight.last_event_id,
        resumes=req.resumes,
        load=loads.of(send.server.id, now_ms),
        unread=flight.unread,
        backlog=loads.unread_of(send.server.id, now_ms),
        parts=",".join(f"{part.id}:{part.tokens}" for part in req.parts),
        fetch_from=source.id if source is not None else "",
    )
    return sent
