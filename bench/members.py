"""A fleet of membership cores for benches and tests."""

from __future__ import annotations

import collections
import random
from typing import Any

from corianderdoor.adapters.keyring import Keyring
from corianderdoor.adapters.peer_codec import DatagramEncoder
import corianderdoor.adapters.peer_membership  # noqa: F401
from corianderdoor.core.membership import Membership
from corianderdoor.core.membership_events import (
    Event,
    HostsListed,
    IncarnationRaised,
    LeaveRequested,
    MemberChanged,
    Received,
    Tick,
    Transmit,
)
from corianderdoor.core.membership_messages import State, Update
from corianderdoor.core.topology import EntryHost

from .drive import Drive

EPOCH_MS = 1_800_000_000_000
DATAGRAM_OVERHEAD_BYTES = 28
SEED_CHOICE = 101


class MemberInstance:
    """One membership core, as the drive runs it.

    Attributes:
        incarnation: Goes out with each message.
        changes: (time, update) for each change that it saw.
    """

    def __init__(self, fleet: MemberFleet, entry: EntryHost, seed: int):
        now_ms = fleet.drive.now_ms
        self.incarnation = EPOCH_MS + now_ms
        own = Update(
            entry.name,
            self.incarnation,
            0,
            State.ALIVE,
            entry.control,
            entry.data_centre,
            entry.region,
        )
        self.core = Membership(own, random.Random(seed), now_ms)
        self.changes: list[tuple[int, Update]] = []
        self.fleet = fleet

    @property
    def due_ms(self) -> int:
        """When it wants to be woken."""
        return self.core.due_ms

    def wake(self, now_ms: int) -> list[tuple[str, Any]]:
        """Is due."""
        return self.feed(Tick(), now_ms)

    def receive(
        self, sender: str, message: Any, now_ms: int
    ) -> list[tuple[str, Any]]:
        """Takes a message with the incarnation of its sender."""
        incarnation, body = message
        return self.feed(Received(sender, incarnation, body), now_ms)

    def feed(self, event: Event, now_ms: int) -> list[tuple[str, Any]]:
        """Hands an event to the core; returns what to transmit."""
        pairs: list[tuple[str, Any]] = []
        for action in self.core.handle(event, now_ms):
            match action:
                case Transmit(to=to, message=message):
                    pairs.append((to, (self.incarnation, message)))
                case MemberChanged(update=update):
                    self.changes.append((now_ms, update))
                case IncarnationRaised(incarnation=incarnation):
                    self.incarnation = incarnation
        return pairs


class MemberFleet:
    """Many membership cores and the list that the platform shows.

    Attributes:
        entries: The platform's list, by name.
        members: The instances, by name; also those that are stopped.
        bytes_sent: Bytes sent by each member, with IP and UDP headers.
        messages: Number of messages sent by kind.
    """

    def __init__(
        self,
        count: int,
        regions: int = 1,
        seed: int = 1,
        loss: float = 0.0,
        weigh: bool = False,
    ) -> None:
        self.drive = Drive(seed, (1, 5), loss)
        self.drive.lag = self._lag
        self.entries = {
            entry.name: entry
            for entry in (
                build_entry(number, regions) for number in range(count)
            )
        }
        self.members: dict[str, MemberInstance] = {}
        self.bytes_sent: collections.Counter[str] = collections.Counter()
        self.messages: collections.Counter[str] = collections.Counter()
        self._encoders: dict[str, DatagramEncoder] = {}
        self._seed = seed
        self._starts = 0
        if weigh:
            self.drive.sent = self._weigh
        for name in self.entries:
            self.start(name)

    def start(self, name: str) -> MemberInstance:
        """Starts the member `name` afresh; it reads the platform's list."""
        self._starts += 1
        seed = self._seed * 10_007 + self._starts
        member = MemberInstance(self, self.entries[name], seed)
        self.members[name] = member
        member.feed(
            HostsListed(tuple(self.entries.values())), self.drive.now_ms
        )
        self.drive.start(name, member)
        return member

    def stop(self, name: str) -> None:
        """Ends or pauses a member without a word."""
        self.drive.up.pop(name, None)

    def resume(self, name: str) -> None:
        """Lets a paused member go on."""
        self.drive.start(name, self.members[name])

    def leave(self, name: str) -> None:
        """Ends a member gracefully."""
        now_ms = self.drive.now_ms
        pairs = self.members[name].feed(LeaveRequested(), now_ms)
        self.drive.transmit(name, pairs)
        self.stop(name)

    def run_for(self, span_ms: int) -> None:
        """Lets `span_ms` of virtual time pass."""
        self.drive.run(self.drive.now_ms + span_ms)

    def believers(self, name: str, alive: bool) -> int:
        """Returns how many running members believe `name` (not) alive."""
        return sum(
            self.members[other].core.is_alive(name) == alive
            for other in self.drive.up
            if other != name
        )

    def agreed(self) -> bool:
        """Tells whether every running member sees just the running ones."""
        running = set(self.drive.up)
        return all(
            {update.name for update in self.members[name].core.alive()}
            == running - {name}
            for name in running
        )

    def wait_agreed(self, limit_ms: int, step_ms: int = 250) -> int | None:
        """Returns after what time all agree, None if not in `limit_ms`."""
        start_ms = self.drive.now_ms
        while not self.agreed():
            if self.drive.now_ms - start_ms >= limit_ms:
                return None
            self.run_for(step_ms)
        return self.drive.now_ms - start_ms

    def deaths(self, since_ms: int = 0) -> list[tuple[int, str, str]]:
        """Returns (time, believer, name) of each death that was believed."""
        return sorted(
            (at_ms, name, update.name)
            for name, member in self.members.items()
            for at_ms, update in member.changes
            if at_ms >= since_ms and update.state is State.DEAD
        )

    def _lag(self, sender: str, to: str) -> tuple[int, int]:
        near = self.region(sender) == self.region(to)
        return (1, 5) if near else (20, 150)

    def region(self, name: str) -> str:
        """Returns the region of `name`."""
        return self.entries[name].region

    def _weigh(self, sender: str, to: str, message: Any) -> None:
        incarnation, body = message
        encoder = self._encoders.get(sender)
        if encoder is None:
            encoder = DatagramEncoder(
                Keyring(["bench-key"]), sender, incarnation
            )
            self._encoders[sender] = encoder
        raw = encoder.encode(to, body).default_value(b"")
        assert raw, body
        self.bytes_sent[sender] += len(raw) + DATAGRAM_OVERHEAD_BYTES
        self.messages[type(body).__name__] += 1


def build_entry(number: int, regions: int) -> EntryHost:
    """Returns the entry host of that number, regions taken in turn."""
    region = number % regions
    centre = f"dc-{region}-{number // regions % 3}"
    return EntryHost(
        f"entry-{number:03}",
        centre,
        f"region-{region}",
        f"http://10.{region}.0.{number}:8080",
        f"10.{region}.0.{number}:7946",
    )
