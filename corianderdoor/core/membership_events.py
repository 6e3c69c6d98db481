"""Events that a daemon's view of the members takes, and its actions."""

from __future__ import annotations

from typing import TypeAlias

from .membership_messages import Update
from .records import Record
from .topology import EntryHost


class Tick(Record):
    """Event: `due_ms` has come."""


class Received(Record):
    """Event: a message of another daemon arrived.

    Attributes:
        sender: Name of the sender, as authenticated.
        incarnation: Start of the sender's process.
        message: One of the membership messages.
    """

    __slots__ = ("sender", "incarnation", "message")

    def __init__(self, sender: str, incarnation: int, message: Record) -> None:
        self.sender = sender
        self.incarnation = incarnation
        self.message = message


class HostsListed(Record):
    """Event: the platform's lagging list was read."""

    __slots__ = ("entries",)

    def __init__(self, entries: tuple[EntryHost, ...]) -> None:
        self.entries = entries


class LeaveRequested(Record):
    """Event: this daemon shuts down gracefully."""


class Transmit(Record):
    """Action: send `message` once to the daemon `to`."""

    __slots__ = ("to", "message")

    def __init__(self, to: str, message: Record) -> None:
        self.to = to
        self.message = message


class MemberChanged(Record):
    """Action: take note of a member's new state or address."""

    __slots__ = ("update",)

    def __init__(self, update: Update) -> None:
        self.update = update


class MemberRemoved(Record):
    """Action: drop what is kept for a member that is long dead."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class IncarnationRaised(Record):
    """Action: send with this incarnation; an earlier one was higher."""

    __slots__ = ("incarnation",)

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation


class NameTaken(Record):
    """Action: tell operators that another daemon has this one's name."""

    __slots__ = ("control",)

    def __init__(self, control: str) -> None:
        self.control = control


Event: TypeAlias = Tick | Received | HostsListed | LeaveRequested
Action: TypeAlias = (
    Transmit | MemberChanged | MemberRemoved | IncarnationRaised | NameTaken
)
