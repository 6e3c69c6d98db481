"""Messages by which daemons watch over each other, and their parts."""

from __future__ import annotations

import enum

from .records import Record
from .topology import EntryHost


class State(enum.IntEnum):
    """What is believed of a member; of equal versions the larger wins."""

    ALIVE = 0
    DEAD = 1
    LEFT = 2


class Update(Record):
    """A belief about one member, passed on as a rumour.

    Attributes:
        name: Name of the member.
        incarnation: Start of its process in Unix ms; 0 if it was only seen
            on the platform's list.
        refutations: How often this process has denied its death.
        state: What is believed.
        control: "ip:port" at which it listens.
        data_centre: Name of its data centre.
        region: Name of its region.
    """

    __slots__ = (
        "name",
        "incarnation",
        "refutations",
        "state",
        "control",
        "data_centre",
        "region",
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        refutations: int,
        state: State,
        control: str,
        data_centre: str,
        region: str,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.refutations = refutations
        self.state = state
        self.control = control
        self.data_centre = data_centre
        self.region = region

    def order(self) -> tuple[int, int, int]:
        """Returns the key by which the newer of two beliefs is known."""
        return (self.incarnation, self.refutations, self.state)

    def with_state(
        self,
        state: State,
        incarnation: int | None = None,
        refutations: int | None = None,
    ) -> Update:
        """Returns this belief in another state and, if given, version."""
        return Update(
            self.name,
            self.incarnation if incarnation is None else incarnation,
            self.refutations if refutations is None else refutations,
            state,
            self.control,
            self.data_centre,
            self.region,
        )


def listed_update(entry: EntryHost) -> Update:
    """Returns the belief that a listed host lives, older than any other."""
    return Update(
        entry.name,
        0,
        0,
        State.ALIVE,
        entry.control,
        entry.data_centre,
        entry.region,
    )


class Gossip(Record):
    """What rides on each membership message.

    Attributes:
        revision: Revision of the sender's configuration.
        digest: Digest of the members that the sender believes alive.
        updates: Rumours, the least often sent first.
    """

    __slots__ = ("revision", "digest", "updates")

    def __init__(
        self,
        revision: int = 0,
        digest: int = 0,
        updates: tuple[Update, ...] = (),
    ) -> None:
        self.revision = revision
        self.digest = digest
        self.updates = updates


class Ping(Record):
    """Asks a member for an `Ack` with the same id."""

    __slots__ = ("id", "gossip")

    def __init__(self, id: int, gossip: Gossip) -> None:
        self.id = id
        self.gossip = gossip


class IndirectPing(Record):
    """Asks a member to ping `target` and to answer `Ack` or `Nack`."""

    __slots__ = ("id", "target", "gossip")

    def __init__(self, id: int, target: str, gossip: Gossip) -> None:
        self.id = id
        self.target = target
        self.gossip = gossip


class Ack(Record):
    """Answers a ping, or passes on the answer to an indirect one."""

    __slots__ = ("id", "gossip")

    def __init__(self, id: int, gossip: Gossip) -> None:
        self.id = id
        self.gossip = gossip


class Nack(Record):
    """Tells that the target of an indirect ping did not answer."""

    __slots__ = ("id",)

    def __init__(self, id: int) -> None:
        self.id = id


class SyncRequest(Record):
    """Asks for the members in the buckets whose digests differ."""

    __slots__ = ("digests",)

    def __init__(self, digests: tuple[int, ...]) -> None:
        self.digests = digests


class SyncPage(Record):
    """Some of the members that a `SyncRequest` asked for."""

    __slots__ = ("updates",)

    def __init__(self, updates: tuple[Update, ...]) -> None:
        self.updates = updates
