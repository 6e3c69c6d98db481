"""Port to the other daemons of the fleet: small datagrams, no promises.

A datagram may be lost, late, doubled or out of order; nothing is retried
here. A part that wants an answer puts a correlation id into its message and
decides itself how long to wait. Messages are `core.records.Record` classes
of the core; `adapters.peer_capnp` tells how to add a kind.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from expression import Result

from ..core.errors import Fault
from ..core.records import Record

MessageT = TypeVar("MessageT", bound=Record)


class Sender(Record):
    """Who sent a message, as its authenticated envelope says.

    Attributes:
        name: Name of the sending host.
        incarnation: Start of the sending process in Unix ms; grows with
            each restart.
    """

    __slots__ = ("name", "incarnation")

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation


class Peers(Protocol):
    """Sends messages to daemons by name and hands on what they send."""

    def set_address(self, name: str, control: str) -> None:
        """Sets the "ip:port" at which the daemon `name` listens."""

    def remove_address(self, name: str) -> None:
        """Drops the address of `name`."""

    def send(self, to: str, message: Record) -> Result[None, Fault]:
        """Sends once, without waiting.

        Returns:
            A `Kind.PEER_FAILED` fault if the message did not leave: its
            address is not known, it is over the size limit, or the queue
            of the socket is full. Ok says nothing about its arrival.
        """

    def listen(
        self,
        kind: type[MessageT],
        handler: Callable[[Sender, MessageT], None],
    ) -> None:
        """Calls `handler` for each message of `kind`; one for each kind."""
