"""HTTP/1.1 connections on h11, for both sides of an entry host.

h11 is used directly, not through a client or a server library: what decides
here is whether a byte of a request was sent, whether the other end closed
or reset, and what arrives while nothing is due, which those hide.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket
from typing import cast, Final

import h11

from ..core.clock import MS_PER_SECOND
from ..core.entry.addresses import Address

Headers = list[tuple[bytes, bytes]]

# Bytes that wait to be parsed before the peer is made to wait.
READ_HIGH_WATER_BYTES: Final = 262_144
# Bytes that wait to be sent before the producer is made to wait.
WRITE_HIGH_WATER_BYTES: Final = 65_536
# Idle connections are probed so that a silent path shows within seconds.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3
MAX_HEAD_BYTES: Final = 65_536


class ConnectionBrokenError(Exception):
    """The connection ended or broke the protocol.

    Attributes:
        spoiled: What arrived breaks the protocol.
    """

    def __init__(self, detail: str, protocol_error: bool = False) -> None:
        super().__init__(detail)
        self.protocol_error = protocol_error


class H11Protocol(asyncio.Protocol):
    """One connection: parsed events in, serialized events out."""

    def __init__(
        self,
        role: type[h11.CLIENT] | type[h11.SERVER],
        max_head_bytes: int = MAX_HEAD_BYTES,
        unacked_timeout_ms: int = 0,
        on_connected: Callable[[H11Protocol], None] | None = None,
    ) -> None:
        """Creates the parser of a connection.

        Args:
            role: `h11.CLIENT` or `h11.SERVER`, what this side is.
            max_head_bytes: Largest head to accept.
            unacked_ms: How long sent bytes may stay unacknowledged before
                the connection counts as lost; 0 leaves it to the system.
            on_made: Called once the connection is open.
        """
        self.h11 = h11.Connection(
            role, max_incomplete_event_size=max_head_bytes
        )
        self.eof = False
        self.lost = False
        self.on_peer_closed: Callable[[], None] | None = None
        self.bytes_received = 0
        self._role = role
        self._max_head_bytes = max_head_bytes
        self._unacked_timeout_ms = unacked_timeout_ms
        self._on_connected = on_connected
        self._unparsed_bytes = 0
        self._paused = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets socket options."""
        # uvloop's transports are no subclasses of asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(WRITE_HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._set_options(sock)
        if self._on_connected is not None:
            self._on_connected(self)

    def _set_options(self, sock: socket.socket) -> None:
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        if self._unacked_timeout_ms:
            sock.setsockopt(
                tcp, socket.TCP_USER_TIMEOUT, self._unacked_timeout_ms
            )

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the peer."""
        self.bytes_received += len(data)
        self._unparsed_bytes += len(data)
        try:
            self.h11.receive_data(data)
        except (RuntimeError, h11.ProtocolError):
            self.abort()  # the parser takes nothing more
        if self._unparsed_bytes > READ_HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._open_transport().pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Takes the end of what the peer sends."""
        self.eof = True
        self.h11.receive_data(b"")
        self._wake_reader()
        self._notify_peer_closed()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection, in order or not."""
        self.lost = True
        self._wake_reader()
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)
        self._notify_peer_closed()

    def _notify_peer_closed(self) -> None:
        if self.on_peer_closed is not None:
            callback, self.on_peer_closed = self.on_peer_closed, None
            callback()

    def pause_writing(self) -> None:
        """Makes `flush` wait."""
        self._drain_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Lets `flush` go on."""
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)
        self._drain_waiter = None

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    def _open_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event of the peer.

        Raises:
            ConnectionBrokenError: The connection ended inside a message, or
                the peer broke the protocol.
        """
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as exc:
                protocol_error = not self.eof
                raise ConnectionBrokenError(str(exc), protocol_error) from exc
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            self._unparsed_bytes = 0
            if self.lost:
                raise ConnectionBrokenError("the connection was reset")
            if self._paused:
                self._paused = False
                self._open_transport().resume_reading()
            await self._wait_for_data()

    async def wait_for_bytes(self) -> None:
        """Waits until something has arrived since the last message."""
        while not (self.bytes_received or self.eof or self.lost):
            await self._wait_for_data()

    async def discard(self) -> None:
        """Waits for more bytes and drops them."""
        self.h11 = h11.Connection(self._role)
        if self._paused:
            self._paused = False
            self._open_transport().resume_reading()
        await self._wait_for_data()

    async def _wait_for_data(self) -> None:
        self._read_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None

    def write(self, event: h11.Event) -> None:
        """Sends `event` as soon as the peer takes it."""
        data = self.h11.send(event)
        if data and not self.lost:
            self._open_transport().write(data)

    def stop_reading(self) -> None:
        """Takes nothing more, for stand-ins that misbehave."""
        self._open_transport().pause_reading()

    def write_raw(self, data: bytes) -> None:
        """Sends bytes past the serializer, for stand-ins that misbehave."""
        if not self.lost:
            self._open_transport().write(data)

    async def flush(self) -> None:
        """Waits while too much is unsent."""
        if self._drain_waiter is not None and not self.lost:
            await self._drain_waiter

    def unsent_bytes(self) -> int:
        """Returns the bytes that the system has not taken yet."""
        return (
            0 if self.lost else self._open_transport().get_write_buffer_size()
        )

    def restart_reading(self, request: h11.Request, body: bytes) -> None:
        """Reads one more answer to the request that was sent last.

        Used after an answer that belongs to another request.
        """
        rest, closed = self.h11.trailing_data
        parser = h11.Connection(
            self._role, max_incomplete_event_size=self._max_head_bytes
        )
        parser.send(request)
        if body:
            parser.send(h11.Data(data=body))
        parser.send(h11.EndOfMessage())
        self.h11 = parser
        if rest:
            parser.receive_data(rest)
        if closed or self.eof:
            parser.receive_data(b"")

    def reset_cycle(self) -> bool:
        """Makes the connection ready for another request.

        Returns:
            Whether it can be used again: both messages are whole, and
            nothing has arrived that is not due.
        """
        if self.eof or self.lost:
            return False
        if self.h11.trailing_data[0] and self._role is h11.CLIENT:
            return False
        if self.h11.our_state is not h11.DONE:
            return False
        if self.h11.their_state is not h11.DONE:
            return False
        self.h11.start_next_cycle()
        self.bytes_received = 0
        return True

    @property
    def reusable(self) -> bool:
        """Whether an idle connection is open and nothing came over it."""
        return not (self.eof or self.lost or self.bytes_received)

    def close(self) -> None:
        """Closes the connection after what is unsent."""
        if self._transport is not None:
            self._transport.close()

    def end_writing(self) -> None:
        """Tells the peer that nothing more will be sent."""
        if self._transport is not None and not self.lost:
            if self._transport.can_write_eof():
                self._transport.write_eof()

    def abort(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()


async def connect(
    address: Address, timeout_ms: int, unacked_timeout_ms: int
) -> H11Protocol | None:
    """Opens a connection; returns None if that fails in time."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            _, protocol = await loop.create_connection(
                lambda: H11Protocol(
                    h11.CLIENT, unacked_timeout_ms=unacked_timeout_ms
                ),
                address[0],
                address[1],
            )
    except (OSError, TimeoutError):
        return None
    return protocol
