"""Messages by which daemons watch over each other, and their parts."""

from __future__ import annotations

import enum

from .records import Record


class State(enum.IntEnum):
    """What is believed of a member; of equal versions the larger wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(Record):
    """A belief about one member, passed on as a rumour.

    Attributes:
        name: Name of the member.
        incarnation: Start of its process in Unix ms.
        refutations: How often this process has denied a suspicion.
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

    def with_state(self, state: State) -> Update:
        """Returns the same version of the member in another state."""
        return Update(
            self.name,
            self.incarnation,
            self.refutations,
            state,
            self.control,
            self.data_centre,
            self.region,
        )


class Gossip(Record):
    """What rides on each membership message.

    Attributes:
        revision: Revision of the sender's configuration.
        updates: Rumours, the least often sent first.
    """

    __slots__ = ("revision", "updates")

    def __init__(
        self, revision: int = 0, updates: tuple[Update, ...] = ()
    ) -> None:
        self.revision = revision
        self.updates = updates


class Ping(Record):
    """Asks a member for an `Ack` with the same id."""

    __slots__ = ("id", "gossip")

    def __init__(self, id: int, gossip: Gossip) -> None:
        self.id = id
        self.gossip = gossip


class IndirectPing(Record):
    """Asks a member to ping `target` and to pass its answer back."""

    __slots__ = ("id", "target", "gossip")

    def __init__(self, id: int, target: str, gossip: Gossip) -> None:
        self.id = id
        self.target = target
        self.gossip = gossip


class Ack(Record):
    """Answers a ping."""

    __slots__ = ("id", "gossip")

    def __init__(self, id: int, gossip: Gossip) -> None:
        self.id = id
        self.gossip = gossip
