"""HTTP endpoint for the metrics of an entry host."""

from __future__ import annotations

from typing import Final

from ..adapters.http1_server import ReceivedRequest, ServerConnection
from ..adapters.metrics_text import MetricsText
from ..core.entry.routing import BODILESS_LIMITS

METRICS_PATH: Final = b"/metrics"
TEXT_TYPE: Final = (b"Content-Type", b"text/plain; version=0.0.4")


class MetricsService:
    """Serves metrics in the Prometheus text format."""

    __slots__ = ("_text",)

    def __init__(self, text: MetricsText) -> None:
        self._text = text

    async def serve(self, conn: ServerConnection) -> None:
        """Answers the requests of one connection."""
        while True:
            received = await conn.read_request(BODILESS_LIMITS)
            if not isinstance(received, ReceivedRequest):
                return
            if received.target.partition(b"?")[0] == METRICS_PATH:
                await conn.respond(200, [TEXT_TYPE], self._text.render())
            else:
                await conn.respond(404, [])
            if not await conn.finish():
                return
