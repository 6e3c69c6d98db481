"""Messages of failure detection and gossip between daemons."""

from __future__ import annotations

import enum

from .records import Record
from .topology import EntryHost


class State(enum.IntEnum):
    """State of a member; at equal versions the larger value wins."""

    ALIVE = 0
    DEAD = 1
    LEFT = 2


class Update(Record):
    """The state of one member at a version, as gossiped.

    Attributes:
        name: Name of the member.
        incarnation: Start time of its process in Unix ms; 0 if it is known
            only from the platform's host list.
        refutations: How often this process has refuted its death.
        state: Its state.
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

    def version_key(self) -> tuple[int, int, int]:
        """Returns the key that orders updates about one member by age."""
        return (self.incarnation, self.refutations, self.state)

    def with_state(
        self,
        state: State,
        incarnation: int | None = None,
        refutations: int | None = None,
    ) -> Update:
        """Returns a copy with another state and, if given, version."""
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
    """Returns an update that a listed host is alive, at the lowest version.

    Any update from a process of the host overrides it.
    """
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
    """The gossip attached to pings and their answers.

    Attributes:
        revision: Revision of the sender's configuration.
        digest: Digest of the members that the sender believes alive.
        updates: Updates to merge. One about the receiver, if it is not
            believed alive, goes first, then the least often sent.
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
    """Requests an `Ack` with the same id."""

    __slots__ = ("id", "gossip")

    def __init__(self, id: int, gossip: Gossip) -> None:
        self.id = id
        self.gossip = gossip


class IndirectPing(Record):
    """Requests a ping of `target`, answered with `Ack` or `Nack`."""

    __slots__ = ("id", "target", "gossip")

    def __init__(self, id: int, target: str, gossip: Gossip) -> None:
        self.id = id
        self.target = target
        self.gossip = gossip


class Ack(Record):
    """Answers a ping, or an indirect ping whose target answered."""

    __slots__ = ("id", "gossip")

    def __init__(self, id: int, gossip: Gossip) -> None:
        self.id = id
        self.gossip = gossip


class Nack(Record):
    """Reports that the target of an indirect ping did not answer in time."""

    __slots__ = ("id",)

    def __init__(self, id: int) -> None:
        self.id = id


class SyncRequest(Record):
    """Requests the updates in buckets whose digests differ."""

    __slots__ = ("digests",)

    def __init__(self, digests: tuple[int, ...]) -> None:
        self.digests = digests


class SyncPage(Record):
    """One page of the updates that answer a `SyncRequest`."""

    __slots__ = ("updates",)

    def __init__(self, updates: tuple[Update, ...]) -> None:
        self.updates = updates
