"""Port to the other daemons of the fleet: datagrams, delivery not assured.

A datagram may be lost, delayed, duplicated or reordered; nothing is retried
here. A component that needs an answer puts a correlation id into its message
and sets its own timeout. Messages are `core.records.Record` classes of the
core; `adapters.peer_capnp` describes how to add a kind.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from expression import Result

from ..core.errors import Fault
from ..core.records import Record

MessageT = TypeVar("MessageT", bound=Record)


class Sender(Record):
    """The sender of a message, from its authenticated envelope.

    Attributes:
        name: Name of the sending host.
        incarnation: Start of the sending process in Unix ms; larger after
            each restart.
    """

    __slots__ = ("name", "incarnation")

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation


class Peers(Protocol):
    """Sends messages to daemons by name and dispatches received ones."""

    def set_address(self, name: str, control: str) -> None:
        """Sets the "ip:port" at which the daemon `name` listens."""

    def remove_address(self, name: str) -> None:
        """Removes the address of `name`."""

    def send(self, to: str, message: Record) -> Result[None, Fault]:
        """Sends a message once, without waiting.

        Returns:
            A `Kind.PEER_FAILED` fault if the message was not sent: the
            address is unknown, the message is over the size limit, or the
            queue of the socket is full. Ok does not imply delivery.
        """

    def listen(
        self,
        kind: type[MessageT],
        handler: Callable[[Sender, MessageT], None],
    ) -> None:
        """Calls `handler` for each message of `kind`; one per kind."""
