"""Peer messages over UDP: one socket, several message types, no retries.

`peer_codec` describes how to add a message type. The modules that register
codecs are imported here.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import socket
from typing import Any, Final

from expression import Error, Ok, Result

from . import peer_config  # noqa: F401 - registers its kinds
from . import peer_crash  # noqa: F401 - registers its kinds
from . import peer_load  # noqa: F401 - registers its kinds
from . import peer_membership  # noqa: F401 - registers its kinds
from . import peer_quota  # noqa: F401 - registers its kinds
from ..core.errors import Fault, Kind
from ..core.records import Record
from ..ports.peers import MessageT, Sender
from .keyring import Keyring
from .logs import log_event
from .peer_codec import DatagramDecoder, DatagramEncoder

MAX_PORT: Final = 65_535


def bind_datagrams(host: str, port: int) -> socket.socket:
    """Returns a bound UDP socket; port 0 takes any free port."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock


def split_control(control: str) -> tuple[str, int]:
    """Returns the IP address and the port of "ip:port".

    Raises:
        ValueError: `control` does not have this form.
    """
    host, _, port = control.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{control!r} is not ip:port")
    return host.strip("[]"), int(port)


class UdpPeers:
    """Implements the port `Peers` over one UDP socket.

    Attributes:
        counts: Counters of datagrams and bytes by result: "sent",
            "sent_bytes", "received", "received_bytes", "unsent_<reason>",
            "dropped_<reason>", "failed_handler", "refused" (errors that the
            network reported); also "bad_address".
    """

    __slots__ = (
        "counts",
        "_encoder",
        "_decoder",
        "_addresses",
        "_handlers",
        "_transport",
        "_paused",
    )

    def __init__(self, keyring: Keyring, name: str, incarnation: int) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._encoder = DatagramEncoder(keyring, name, incarnation)
        self._decoder = DatagramDecoder(keyring, name)
        self._addresses: dict[str, tuple[str, int]] = {}
        self._handlers: dict[type[Record], Callable[[Sender, Any], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._paused = False

    @property
    def incarnation(self) -> int:
        """The incarnation that is sent with each message."""
        return self._encoder.incarnation

    def set_incarnation(self, incarnation: int) -> None:
        """Raises the incarnation to `incarnation`; never lowers it."""
        self._encoder.incarnation = max(incarnation, self.incarnation)

    async def open(self, sock: socket.socket) -> None:
        """Starts receiving on `sock` and takes ownership of it."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self), sock=sock
        )
        self._transport = transport

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def set_address(self, name: str, control: str) -> None:
        """Sets the "ip:port" of `name`; counts and ignores a malformed one."""
        try:
            self._addresses[name] = split_control(control)
        except ValueError:
            self.counts["bad_address"] += 1

    def remove_address(self, name: str) -> None:
        """Removes the address of `name`."""
        self._addresses.pop(name, None)

    def listen(
        self,
        kind: type[MessageT],
        handler: Callable[[Sender, MessageT], None],
    ) -> None:
        """Sets the handler for messages of type `kind`, one per type."""
        self._handlers[kind] = handler

    def send(self, to: str, message: Record) -> Result[None, Fault]:
        """Sends once, without waiting; see `Peers.send` for the faults."""
        address = self._addresses.get(to)
        if address is None:
            return self._count_unsent("address", to)
        if self._transport is None or self._transport.is_closing():
            return self._count_unsent("closed", to)
        if self._paused:
            return self._count_unsent("queue", to)
        match self._encoder.encode(to, message):
            case Result(tag="ok", ok=raw):
                self._transport.sendto(raw, address)
                self.counts["sent"] += 1
                self.counts["sent_bytes"] += len(raw)
                return Ok(None)
            case Result(error=fault):
                return self._count_unsent("size", to, fault.detail)

    def set_paused(self, paused: bool) -> None:
        """Pauses or resumes sending, as the socket's buffer allows."""
        self._paused = paused

    def handle_datagram(self, raw: bytes) -> None:
        """Decodes one datagram and calls its handler; never raises."""
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(raw)
        match self._decoder.decode(raw):
            case Result(tag="ok", ok=(sender, message)):
                self._dispatch(sender, message)
            case Result(error=fault):
                self.counts[f"dropped_{fault.step}"] += 1

    def _dispatch(self, sender: Sender, message: Record) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self.counts["dropped_unheard"] += 1
            return
        try:
            handler(sender, message)
        except Exception as exc:  # a failing handler must not stop the others
            self.counts["failed_handler"] += 1
            log_event(
                "peer_handler_failed",
                "ERROR",
                kind=type(message).__name__,
                peer=sender.name,
                detail=f"{type(exc).__name__}: {exc}",
            )

    def _count_unsent(
        self, reason: str, to: str, detail: str = ""
    ) -> Result[None, Fault]:
        self.counts[f"unsent_{reason}"] += 1
        return Error(Fault(Kind.PEER_FAILED, f"send-{reason}", detail, to))


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes datagrams from the event loop to `UdpPeers`."""

    __slots__ = ("_peers",)

    def __init__(self, peers: UdpPeers) -> None:
        self._peers = peers

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handles one datagram; its source address is not trusted."""
        self._peers.handle_datagram(data)

    def pause_writing(self) -> None:
        """Makes sends fail while the socket's buffer is full."""
        self._peers.set_paused(True)

    def resume_writing(self) -> None:
        """Resumes sending."""
        self._peers.set_paused(False)

    def error_received(self, exc: Exception) -> None:
        """Counts an error that the network reported."""
        self._peers.counts["refused"] += 1
