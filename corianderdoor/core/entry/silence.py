"""How long a backend server may be silent before a request leaves it."""

from __future__ import annotations

from typing import Final

from .flights import Flight
from .server_selection import ServerSelection
from .servers import BackendServer

# Timeout for a server that sends no data, as a multiple of the target
# latency. It applies if another server may run the request.
SILENCE_FACTOR: Final = 1.5
MIN_SILENCE_MS: Final = 350
# The same for a stream, before and after its first event. A server that runs
# well may be silent for a second or so, and would go on with a stream that
# runs elsewhere by then.
MIN_STREAM_SILENCE_MS: Final = 1_500


def get_silence_timeout_ms(
    flight: Flight,
    selection: ServerSelection,
    server: BackendServer,
    now_ms: int,
) -> int:
    """Returns the timeout in ms for a `server` that sends no data.

    It grows with the tokens that the server has to prefill: a busy
    server is not a dead one, and a retry elsewhere would prefill the
    same prompts twice when the servers are busiest.
    """
    usual_ms = max(
        MIN_STREAM_SILENCE_MS if flight.route.is_stream else MIN_SILENCE_MS,
        int(flight.route.target_latency_ms * SILENCE_FACTOR),
    )
    unread = selection.loads.unread_of(server.id, now_ms)
    if flight.req.parts:
        unread += selection.count_unread(flight.req, server, now_ms)
    rate = selection.rates.get(flight.service, now_ms)
    return usual_ms + int(unread / rate)
