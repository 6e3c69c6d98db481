"""Events that `Membership` handles and actions that it returns."""

from __future__ import annotations

from typing import TypeAlias

from .membership_messages import Update
from .records import Record
from .topology import EntryHost


class Tick(Record):
    """Event: the time `due_ms` was reached."""


class Received(Record):
    """Event: a message from another daemon arrived.

    Attributes:
        sender: Authenticated name of the sender.
        incarnation: Start time of the sender's process, in Unix ms.
        message: One of the membership messages.
    """

    __slots__ = ("sender", "incarnation", "message")

    def __init__(self, sender: str, incarnation: int, message: Record) -> None:
        self.sender = sender
        self.incarnation = incarnation
        self.message = message


class HostsListed(Record):
    """Event: the platform's host list, which may be stale, was read."""

    __slots__ = ("entries",)

    def __init__(self, entries: tuple[EntryHost, ...]) -> None:
        self.entries = entries


class LeaveRequested(Record):
    """Event: this daemon starts a graceful shutdown."""


class Transmit(Record):
    """Action: send `message` once to the daemon `to`."""

    __slots__ = ("to", "message")

    def __init__(self, to: str, message: Record) -> None:
        self.to = to
        self.message = message


class MemberChanged(Record):
    """Action: record a member's new state or address."""

    __slots__ = ("update",)

    def __init__(self, update: Update) -> None:
        self.update = update


class MemberRemoved(Record):
    """Action: drop the state kept for a member that was removed."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class IncarnationRaised(Record):
    """Action: send messages with this incarnation from now on.

    Peers know a higher one from an earlier process of this daemon.
    """

    __slots__ = ("incarnation",)

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation


class NameTaken(Record):
    """Action: report that another daemon uses this daemon's name."""

    __slots__ = ("control",)

    def __init__(self, control: str) -> None:
        self.control = control


Event: TypeAlias = Tick | Received | HostsListed | LeaveRequested
Action: TypeAlias = (
    Transmit | MemberChanged | MemberRemoved | IncarnationRaised | NameTaken
)
