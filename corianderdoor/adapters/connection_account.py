"""What an accepted connection takes of the process's memory."""

from __future__ import annotations

from typing import Final

import h11

from ..core.connection_guard import CONNECTION_BYTES, ConnectionGuard, Phase
from .http1 import H11Protocol

# Memory of a request that is being served, besides its bytes.
SERVING_BYTES: Final = 24_000
# Memory of a header besides its bytes, which exist in two spellings.
HEADER_BYTES: Final = 400
# Memory of an item of a list, such as a part of a prompt.
ITEM_BYTES: Final = 200
# Callers may send this much behind a request that is being served.
MAX_EARLY_BYTES: Final = 65_536
# The request of a connection that is closed for its memory has not run.
EVICTED_ANSWER: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class ConnectionAccount:
    """Memory and phase of one connection, which a guard may close.

    Attributes:
        order: Position of the beginning of its phase among all connections.
        served: Whether a request of it has been served.
        evicted: Whether the guard has closed the connection.
        body: The part of the request's body that has arrived.
        upstream: Connection to the server that answers the request.
    """

    __slots__ = (
        "order",
        "served",
        "evicted",
        "body",
        "upstream",
        "_protocol",
        "_guard",
        "_phase",
        "_request_bytes",
    )

    def __init__(
        self, protocol: H11Protocol, guard: ConnectionGuard | None
    ) -> None:
        """Initializes the account.

        Args:
            protocol: The connection.
            guard: Bounds what all connections of the listener take; None
                for no bound.
        """
        self.order = 0
        self.served = False
        self.evicted = False
        self.body = bytearray()
        self.upstream: H11Protocol | None = None
        self._protocol = protocol
        self._guard = guard
        self._phase = Phase.IDLE
        # Memory of the request, besides the incomplete body.
        self._request_bytes = 0
        if guard is not None:
            protocol.on_bytes = self._record_bytes
            protocol.on_lost = self._record_lost
            guard.add(self)

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        if self._phase is Phase.SERVING and (
            self._protocol.is_blocked
            or self._protocol.unparsed_bytes > MAX_EARLY_BYTES
        ):
            return Phase.STALLED
        return self._phase

    def count_bytes(self) -> int:
        """Returns the memory that the connection takes, in bytes."""
        count = CONNECTION_BYTES + self._request_bytes + len(self.body)
        count += _count_buffered(self._protocol)
        if self.upstream is not None:
            count += _count_buffered(self.upstream)
        return count

    def evict(self) -> None:
        """Closes the connection and frees its memory at once."""
        self.evicted = True
        protocol = self._protocol
        protocol.on_bytes = None
        if self._phase is Phase.RECEIVING and not protocol.unsent_bytes():
            protocol.write_raw(EVICTED_ANSWER)
        protocol.discard_input()
        self.body = bytearray()
        if self._phase is Phase.SERVING or protocol.unsent_bytes():
            protocol.abort()
        else:
            protocol.close()

    def limit_body(self, limit: int) -> int:
        """Returns the largest body in bytes, at most `limit`."""
        if self._guard is None:
            return limit
        return min(limit, self._guard.max_body_bytes)

    def has_room(self) -> bool:
        """Returns whether there is memory for a request that has arrived."""
        return self._guard is None or self._guard.has_room()

    @property
    def is_crowded(self) -> bool:
        """Whether the connection has to close after the next answer."""
        return self._guard is not None and self._guard.is_crowded

    def begin_request(self) -> None:
        """Records that a request begins to arrive."""
        if self._phase is Phase.IDLE:
            self._enter(Phase.RECEIVING)

    def record_head(self, head: h11.Request) -> None:
        """Records the head of the request."""
        self._request_bytes = sum(
            HEADER_BYTES
            + 2 * (len(name) + len(value))
            + ITEM_BYTES * value.count(b",")
            for name, value in head.headers
        )
        self._record_memory(self._request_bytes)

    def take_body(self) -> bytes:
        """Returns the complete body."""
        body, self.body = bytes(self.body), bytearray()
        # It is held once more while it is sent to a server.
        self._request_bytes += 2 * len(body)
        self._record_memory(len(body))
        return body

    def begin_service(self) -> None:
        """Records that the complete request is served from now on."""
        self._request_bytes += SERVING_BYTES
        self._enter(Phase.SERVING)
        self._record_memory(SERVING_BYTES)

    def end_service(self) -> None:
        """Records that the request has been served."""
        self._request_bytes = 0
        self.served = True
        self._enter(Phase.IDLE)

    def begin_close(self) -> None:
        """Records that the connection closes after the unsent bytes."""
        self._request_bytes = 0
        self.body = bytearray()
        if self._phase is not Phase.LEAVING:
            self._enter(Phase.LEAVING)

    def set_upstream(self, upstream: H11Protocol | None) -> None:
        """Sets the connection to the server that answers the request.

        What the server sends is held as long as the caller does not read.
        """
        if self.upstream is not None:
            self.upstream.on_bytes = None
        self.upstream = upstream
        if upstream is not None:
            upstream.on_bytes = self._record_memory

    def _enter(self, phase: Phase) -> None:
        self._phase = phase
        if self._guard is not None:
            self.order = self._guard.next_order()

    def _record_bytes(self, count: int) -> None:
        """Records bytes that were received or queued for sending."""
        if self._protocol.bytes_received:
            self.begin_request()
        self._record_memory(count)

    def _record_lost(self) -> None:
        """Records that the connection is closed."""
        # The objects refer to each other.
        self._protocol.on_bytes = self._protocol.on_lost = None
        if self._guard is not None:
            self._guard.remove(self)

    def _record_memory(self, count: int) -> None:
        if self._guard is not None:
            self._guard.record_bytes(count)


def _count_buffered(protocol: H11Protocol) -> int:
    """Returns the bytes in both buffers of a connection, at most."""
    return protocol.unparsed_bytes + protocol.unsent_bytes()
