"""Bounds what the connections of a hypercorn server take together.

hypercorn has no limit on connections, and no view of what they hold.
"""

from __future__ import annotations

import asyncio
from collections.abc import MutableMapping
from typing import Any, Final

import h11
import hypercorn.asyncio.run
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config
from hypercorn.protocol.h2 import H2Protocol

from ..core.connection_guard import CONNECTION_BYTES, ConnectionGuard, Phase
from .work_turns import get_turns, STEPS_PER_TURN

# Key of the connection in the state of an ASGI scope.
STATE_KEY: Final = "connection"
# Memory of an HTTP/2 connection, and of each request besides its bytes.
H2_BYTES: Final = 50_000
STREAM_BYTES: Final = 30_000
# Buffers of an answer that its caller does not read, on the side of the
# server.
STALLED_BYTES: Final = 131_072
# Callers may send this much behind a request that is being served.
MAX_EARLY_BYTES: Final = 65_536
# More bytes than this at once are parsed in turns.
LARGE_READ_BYTES: Final = 8_192


class GuardedConfig(Config):
    """Settings of a server whose connections are bounded.

    Attributes:
        connections: Bounds what all connections take.
        requests: Bounds what all requests take.
    """

    def __init__(
        self, connections: ConnectionGuard, requests: ConnectionGuard
    ) -> None:
        super().__init__()
        self.connections = connections
        connections.small_bytes = (
            CONNECTION_BYTES + H2_BYTES + 2 * STREAM_BYTES
        )
        self.requests = requests


class GuardedServer(TCPServer):
    """One connection, which a guard may close.

    Attributes:
        cfg: Bounds of all connections; None for no bound.
        order: Position of the beginning of its phase among all connections.
        served: Whether a request of it has been served.
        reading: Number of requests that are arriving.
        serving: Number of requests that are being served.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.cfg: GuardedConfig | None = None
        self.order = 0
        self.served = False
        self.reading = 0
        self.serving = 0
        self._stream = self.reader
        if isinstance(self.config, GuardedConfig):
            self.cfg = self.config
            self.state = {**self.state, STATE_KEY: self}
            reader: Any = MeteredReader(self._stream, self.cfg)
            self.reader = reader

    async def run(self) -> None:
        """Serves the connection until it closes."""
        if self.cfg is None:
            await super().run()
            return
        self.cfg.connections.add(self)
        try:
            await super().run()
        finally:
            self.cfg.connections.remove(self)

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        if self._count_unsent() > self._high_water():
            return Phase.STALLED
        if self.serving:
            is_ahead = self._count_unparsed() > MAX_EARLY_BYTES
            return Phase.STALLED if is_ahead else Phase.SERVING
        if self.reading or self._count_unparsed():
            return Phase.RECEIVING
        return Phase.IDLE

    def count_bytes(self) -> int:
        """Returns the memory that the connection takes, in bytes."""
        count = CONNECTION_BYTES + STREAM_BYTES * (self.reading + self.serving)
        unsent = self._count_unsent()
        if unsent > self._high_water():
            count += STALLED_BYTES
        if isinstance(self._find_protocol(), H2Protocol):
            count += H2_BYTES
        return count + unsent + self._count_unparsed()

    def evict(self) -> None:
        """Closes the connection and frees its memory."""
        self.writer.transport.abort()

    def begin_phase(self) -> None:
        """Records that a request begins to arrive, or ends."""
        if self.cfg is not None:
            self.order = self.cfg.connections.next_order()
            self.cfg.connections.record_bytes(STREAM_BYTES)

    def _high_water(self) -> int:
        high: int = self.writer.transport.get_write_buffer_limits()[1]
        return high

    def _find_protocol(self) -> Any:
        """Returns the protocol in use; None before the first byte."""
        return getattr(getattr(self, "protocol", None), "protocol", None)

    def _count_unsent(self) -> int:
        """Returns the bytes of answers that wait to be sent."""
        count: int = self.writer.transport.get_write_buffer_size()
        protocol = self._find_protocol()
        if isinstance(protocol, H2Protocol):
            buffers = protocol.stream_buffers.values()
            count += sum(len(buffer.buffer) for buffer in buffers)
        return count

    def _count_unparsed(self) -> int:
        """Returns the received bytes that wait."""
        # A stream does not tell how much it holds.
        count = len(self._stream._buffer)  # type: ignore[attr-defined]
        connection = getattr(self._find_protocol(), "connection", None)
        if isinstance(connection, h11.Connection):
            count += len(connection.trailing_data[0])
        return count


class MeteredReader:
    """Reads from a connection and records what arrives."""

    __slots__ = ("_stream", "_cfg")

    def __init__(
        self, stream: asyncio.StreamReader, cfg: GuardedConfig
    ) -> None:
        self._stream = stream
        self._cfg = cfg

    def at_eof(self) -> bool:
        """Returns whether the peer has ended its stream."""
        return self._stream.at_eof()

    async def read(self, size: int) -> bytes:
        """Returns the next bytes, at most `size`."""
        data = await self._stream.read(size)
        self._cfg.connections.record_bytes(len(data))
        if len(data) > LARGE_READ_BYTES:
            # What is read may be parsed before anything else gets a turn.
            await get_turns().take(STEPS_PER_TURN)
        return data


def is_crowded(scope: MutableMapping[str, Any]) -> bool:
    """Returns whether a connection has to close after its next answer."""
    conn = (scope.get("state") or {}).get(STATE_KEY)
    if not isinstance(conn, GuardedServer) or conn.cfg is None:
        return False
    return conn.cfg.connections.is_crowded


def install() -> None:
    """Makes hypercorn use `GuardedServer`."""
    # hypercorn has no setting for its server class.
    hypercorn.asyncio.run.TCPServer = GuardedServer  # type: ignore
