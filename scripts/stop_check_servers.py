"""Servers of the check of planned stops: answers of very different lengths."""

from __future__ import annotations

import anyio
import h11

from corianderdoor.adapters.http1_server import ServerConnection
from corianderdoor.core.clock import MS_PER_SECOND
from corianderdoor.standins.platform_worker import Worker

GAP_MS = 50


def build_id(number: int, took_ms: int) -> str:
    """Returns the id of a request that its server takes a time for."""
    return f"r{number}-{took_ms}"


def count_events(id: str) -> int:
    """Returns how many events the stream of a request has."""
    return 1 + _took_ms(id) // GAP_MS


def _took_ms(id: str) -> int:
    return int(id.rpartition("-")[2])


class VariedWorker(Worker):
    """A worker whose answers last as long as the ids of requests say.

    While it is silent, all its answers are.
    """

    __slots__ = ()

    def fall_silent(self, span_ms: int) -> None:
        """Sends nothing for a time, then goes on."""
        self._silent_until_ms = self._clock.now_ms() + span_ms

    async def _read_prompt(self, headers: dict[bytes, bytes]) -> None:
        if not self.engine:
            id = headers[b"attempt-id"].decode()
            await anyio.sleep(_took_ms(id) / MS_PER_SECOND)
        await self._wait_while_silent()

    async def _stream(
        self,
        conn: ServerConnection,
        headers: dict[bytes, bytes],
        signed_headers: list[tuple[bytes, bytes]],
        pace: float,
    ) -> None:
        kind = (b"Content-Type", b"text/event-stream")
        coding = (b"Transfer-Encoding", b"chunked")
        conn.start(200, [*signed_headers, kind, coding])
        first = int(headers.get(b"last-event-id", b"0")) + 1
        last = count_events(headers[b"attempt-id"].decode())
        for number in range(first, last + 1):
            await self._wait_while_silent()
            event = b"id: %d\ndata: token-%d\n\n" % (number, number)
            conn.protocol.write(h11.Data(data=event))
            await conn.protocol.flush()
            await anyio.sleep(GAP_MS / MS_PER_SECOND)
        conn.protocol.write(h11.EndOfMessage())
