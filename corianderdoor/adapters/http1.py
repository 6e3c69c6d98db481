"""HTTP/1.1 connections on h11, for the client and the server side.

h11 is used directly because client and server libraries hide what the entry
host decides by: whether any byte of a request was sent, whether the peer
closed or reset the connection, and which bytes arrive unexpectedly.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast, Final

import h11

from ..core.entry.addresses import Address
from ..core.entry.server_exchange import ServerExchange
from .parser_feed import create_parser, MAX_HEAD_BYTES, ParserFeed
from .socket_options import set_options

Headers = list[tuple[bytes, bytes]]

# Reading pauses above this number of unparsed bytes.
READ_HIGH_WATER_BYTES: Final = 262_144
# `flush` waits above this number of unsent bytes, by the role of this side.
WRITE_HIGH_WATER_BYTES: Final = {h11.CLIENT: 65_536, h11.SERVER: 16_384}


class ConnectionBrokenError(Exception):
    """The connection ended early or the peer violated the protocol.

    Attributes:
        protocol_error: Whether the received bytes violate the protocol.
    """

    def __init__(self, detail: str, protocol_error: bool = False) -> None:
        super().__init__(detail)
        self.protocol_error = protocol_error


class H11Protocol(asyncio.Protocol):
    """One HTTP/1.1 connection: parses and serializes h11 events.

    Attributes:
        h11: Parser and serializer of the current request cycle.
        eof: Whether the peer has sent its end of stream.
        lost: Whether the connection is closed.
        aborted: Whether this side has given it up. Nothing is read or
            written any more, though the loss is reported later.
        lost_reason: What closed it: the operating system's error, the peer,
            or this side; "" while it is open.
        on_peer_closed: Called once when the peer ends it or it is lost.
        bytes_received: Bytes since the last complete request cycle.
        peer: Address of the peer that passes the bytes on, which hides
            whether the other end closed the connection or reset it; None
            without one.
        exchange: What a connection to a backend server is doing.
        on_bytes: Called with the number of bytes received or sent.
        on_lost: Called once it is closed.
    """

    def __init__(
        self,
        role: type[h11.CLIENT] | type[h11.SERVER],
        unacked_timeout_ms: int = 0,
        on_connected: Callable[[H11Protocol], None] | None = None,
    ) -> None:
        """Initializes the connection.

        Args:
            role: Role of this side, `h11.CLIENT` or `h11.SERVER`.
            unacked_timeout_ms: Passed to `set_options`.
            on_connected: Called with this object once it is connected.
        """
        self.eof = False
        self.lost = False
        self.aborted = False
        self.lost_reason = ""
        self.on_peer_closed: Callable[[], None] | None = None
        self.bytes_received = 0
        self.peer: Address | None = None
        self.exchange = ServerExchange()
        self.on_bytes: Callable[[int], None] | None = None
        self.on_lost: Callable[[], None] | None = None
        self._pass_to: H11Protocol | None = None
        self._discards = False
        self._role = role
        self._unacked_timeout_ms = unacked_timeout_ms
        self._on_connected = on_connected
        self.h11 = create_parser(role)
        self._feed = ParserFeed(self.h11)
        self._paused = False
        self._read_waiter: asyncio.Future[None] | None = None
        # A future would be cancelled with the first task that waits for it.
        self._writable = asyncio.Event()
        self._writable.set()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options and reports the open connection."""
        # uvloop's transports are not subclasses of asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(
            WRITE_HIGH_WATER_BYTES[self._role]
        )
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_options(sock, self._unacked_timeout_ms)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffers received bytes; pauses reading above the high-water mark."""
        if self._pass_to is not None:
            self._pass_to.write_raw(data)
            return
        if self._discards:
            return
        self.bytes_received += len(data)
        self._feed.receive(data)
        self._limit_reading()
        self._wake_reader()
        if self.on_bytes is not None:
            self.on_bytes(len(data))

    def _limit_reading(self) -> None:
        """Reads from the peer while few bytes wait for the parser."""
        if self._feed.count <= READ_HIGH_WATER_BYTES:
            self._resume_reading()
        elif not self._paused:
            self._paused = True
            self._open_transport().pause_reading()

    def _resume_reading(self) -> None:
        if self._paused and not self._open_transport().is_closing():
            self._paused = False
            self._open_transport().resume_reading()

    def eof_received(self) -> bool:
        """Handles the end of the peer's stream."""
        self.eof = True
        self._feed.end()
        self._wake_reader()
        self._notify_peer_closed()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the close of the connection, whether clean or not."""
        self.lost = True
        closer = "closed by the peer" if self.eof else "closed here"
        self.lost_reason = closer if exc is None else str(exc)
        self._wake_reader()
        self._writable.set()
        self._notify_peer_closed()
        if self.on_lost is not None:
            self.on_lost()

    def _notify_peer_closed(self) -> None:
        if self.on_peer_closed is not None:
            callback, self.on_peer_closed = self.on_peer_closed, None
            callback()

    def pause_writing(self) -> None:
        """Makes `flush` wait, or the sender of what is passed on."""
        if self._pass_to is not None:
            self._pass_to._pause_source(True)
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resumes `flush`, or the sender of what is passed on."""
        if self._pass_to is not None:
            self._pass_to._pause_source(False)
        self._writable.set()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    def _open_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Returns the next event from the peer.

        Raises:
            ConnectionBrokenError: The connection ended inside a message, or
                the peer violated the protocol.
        """
        while True:
            event = self.poll_event()
            if event is not None:
                return event
            await self.wait_for_data()

    def poll_event(self) -> h11.Event | type[h11.PAUSED] | None:
        """Returns the next event if it has arrived, else None.

        Raises:
            ConnectionBrokenError: As for `next_event`.
        """
        if self.aborted:
            raise ConnectionBrokenError("connection given up")
        try:
            event = self._feed.next_event()
        except h11.RemoteProtocolError as exc:
            protocol_error = not self.eof
            raise ConnectionBrokenError(str(exc), protocol_error) from exc
        if event is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                # The end of the connection has to be noticed while the
                # message is handled.
                self._limit_reading()
            return event  # type: ignore[return-value]
        if self.lost:
            raise ConnectionBrokenError(f"connection lost: {self.lost_reason}")
        self._resume_reading()
        return None

    async def wait_for_bytes(self) -> None:
        """Waits until bytes arrive after the last message, or the end."""
        while not (self.bytes_received or self.ended):
            await self.wait_for_data()

    def discard_input(self) -> None:
        """Drops the received bytes and all that still arrive."""
        self._discards = True
        self._use_parser(create_parser(self._role), keep=False)
        if not self.lost:
            self._resume_reading()

    async def wait_for_end(self) -> None:
        """Waits until the peer ends its stream or the connection is lost."""
        while not self.ended:
            await self.wait_for_data()

    async def wait_for_data(self) -> None:
        """Waits for more bytes, or the end of the connection."""
        self._read_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None

    def write(self, event: h11.Event) -> None:
        """Serializes `event` and queues it for sending."""
        data = self.h11.send(event)
        if data:
            self.write_raw(data)

    def stop_reading(self) -> None:
        """Stops reading; used to simulate misbehaving peers."""
        self._open_transport().pause_reading()

    @property
    def via_peer(self) -> bool:
        """Whether a peer passes the bytes on."""
        return self.peer is not None

    def restart_as_tunnel(self, peer: Address, early_bytes: int = 0) -> None:
        """Prepares a connection through a peer for its first request.

        Args:
            peer: Address of the peer.
            early_bytes: Number of bytes that the server sent before it.
        """
        self._use_parser(create_parser(self._role), keep=False)
        self.bytes_received = early_bytes
        self.peer = peer
        self.exchange = ServerExchange()

    def pass_to(self, other: H11Protocol, on_end: Callable[[], None]) -> None:
        """Passes all bytes that arrive from now on to `other`.

        Args:
            other: Connection to write to; it passes its bytes back here.
            on_end: Called once when this connection ends.
        """
        self._pass_to = other
        self.on_peer_closed = on_end
        if self.eof or self.lost:
            self._notify_peer_closed()

    def _pause_source(self, paused: bool) -> None:
        if self.lost:
            return
        if paused:
            self._open_transport().pause_reading()
        else:
            self._open_transport().resume_reading()

    def write_raw(self, data: bytes) -> None:
        """Sends `data` as it is, past the serializer."""
        if self.lost or self.aborted:
            return
        self._open_transport().write(data)
        if self.on_bytes is not None:
            self.on_bytes(len(data))

    async def flush(self) -> None:
        """Waits while the unsent bytes exceed the high-water mark."""
        if not self._writable.is_set() and not self.aborted:
            await self._writable.wait()

    def unsent_bytes(self) -> int:
        """Returns the number of bytes not yet passed to the system."""
        if self.lost:
            return 0
        return self._open_transport().get_write_buffer_size()

    @property
    def unparsed_bytes(self) -> int:
        """Upper bound of the received bytes that wait for the parser."""
        return self._feed.count

    @property
    def has_unparsed(self) -> bool:
        """Whether received bytes wait for the parser."""
        return self._feed.has_rest()

    def get_unparsed(self) -> bytes:
        """Returns those bytes."""
        return self._feed.get_rest()

    def limit_head(self, head_bytes: int) -> None:
        """Sets the size of the largest head that is accepted."""
        self._feed.max_head_bytes = min(head_bytes, MAX_HEAD_BYTES)

    @property
    def is_blocked(self) -> bool:
        """Whether the peer does not read what is sent to it."""
        return not self._writable.is_set()

    def restart_reading(self, request: h11.Request, body: bytes) -> None:
        """Resets the parser to read one more response to `request`.

        Used after a response that belongs to another request.

        Args:
            request: The head that was sent last.
            body: The body that was sent with it.
        """
        parser = create_parser(self._role)
        parser.send(request)
        if body:
            parser.send(h11.Data(data=body))
        parser.send(h11.EndOfMessage())
        self._use_parser(parser, keep=True)

    def _use_parser(self, parser: h11.Connection, keep: bool) -> None:
        """Uses another parser, which gets the unparsed bytes if `keep`."""
        self.h11 = parser
        self._feed.replace_parser(parser, keep)

    def reset_cycle(self) -> bool:
        """Prepares the connection for another request.

        Returns:
            Whether it can be reused: both messages are complete, no
            unexpected bytes have arrived, and neither side has ended it.
        """
        if self.ended:
            return False
        if self._role is h11.CLIENT and self._feed.has_rest():
            return False
        if self.h11.our_state is not h11.DONE:
            return False
        if self.h11.their_state is not h11.DONE:
            return False
        self.h11.start_next_cycle()
        self.bytes_received = 0
        return True

    @property
    def ended(self) -> bool:
        """Whether either side has ended the connection."""
        return self.eof or self.lost or self.aborted

    @property
    def reusable(self) -> bool:
        """Whether the idle connection is open and has received nothing."""
        return not (self.ended or self.bytes_received)

    def close(self) -> None:
        """Closes the connection after the unsent bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def end_writing(self) -> None:
        """Closes the sending direction of the connection."""
        if self._transport is not None and not self.lost:
            if self._transport.can_write_eof():
                self._transport.write_eof()

    def abort(self) -> None:
        """Closes the connection immediately and drops unsent bytes."""
        self.aborted = True
        self._writable.set()
        if self._transport is not None:
            self._transport.abort()
