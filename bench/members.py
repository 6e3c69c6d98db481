"""Simulated fleet of membership cores for benches and tests."""

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

from .drive import Simulation

EPOCH_MS = 1_800_000_000_000
DATAGRAM_OVERHEAD_BYTES = 28
SEED_CHOICE = 101


class MemberInstance:
    """Membership core as an instance of a simulation.

    Attributes:
        incarnation: Incarnation sent with each message.
        changes: (time in ms, update) of each change that it observed.
    """

    def __init__(self, fleet: MemberFleet, entry: EntryHost, seed: int):
        now_ms = fleet.simulation.now_ms
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
        """Time of the core's next wake-up, in ms."""
        return self.core.due_ms

    def wake(self, now_ms: int) -> list[tuple[str, Any]]:
        """Handles a wake-up."""
        return self.feed(Tick(), now_ms)

    def receive(
        self, sender: str, message: Any, now_ms: int
    ) -> list[tuple[str, Any]]:
        """Handles a message that carries its sender's incarnation."""
        incarnation, body = message
        return self.feed(Received(sender, incarnation, body), now_ms)

    def feed(self, event: Event, now_ms: int) -> list[tuple[str, Any]]:
        """Passes an event to the core; returns the messages to send."""
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
    """Membership cores and the platform's host list.

    Args:
        count: Number of members.
        regions: Number of regions.
        seed: Seed of the simulation.
        loss: Share of the messages that are lost.
        count_bytes: Whether to fill `bytes_sent` and `messages`.

    Attributes:
        entries: The platform's host list, by name.
        members: The instances by name, with those that are stopped.
        bytes_sent: Bytes sent by each member, with IP and UDP headers.
        messages: Number of messages sent, by class.
    """

    def __init__(
        self,
        count: int,
        regions: int = 1,
        seed: int = 1,
        loss: float = 0.0,
        count_bytes: bool = False,
    ) -> None:
        self.simulation = Simulation(seed, (1, 5), loss)
        self.simulation.lag_bounds_ms = self._choose_lag_bounds
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
        self._start_count = 0
        if count_bytes:
            self.simulation.on_send = self._count_bytes
        for name in self.entries:
            self.start(name)

    def start(self, name: str) -> MemberInstance:
        """Starts a new instance of `name`, which reads the host list."""
        self._start_count += 1
        seed = self._seed * 10_007 + self._start_count
        member = MemberInstance(self, self.entries[name], seed)
        self.members[name] = member
        member.feed(
            HostsListed(tuple(self.entries.values())), self.simulation.now_ms
        )
        self.simulation.start(name, member)
        return member

    def stop(self, name: str) -> None:
        """Stops or pauses a member without a message to others."""
        self.simulation.running.pop(name, None)

    def resume(self, name: str) -> None:
        """Resumes a paused member."""
        self.simulation.start(name, self.members[name])

    def leave(self, name: str) -> None:
        """Stops a member gracefully."""
        now_ms = self.simulation.now_ms
        pairs = self.members[name].feed(LeaveRequested(), now_ms)
        self.simulation.transmit(name, pairs)
        self.stop(name)

    def run_for(self, span_ms: int) -> None:
        """Advances virtual time by `span_ms`."""
        self.simulation.run(self.simulation.now_ms + span_ms)

    def count_observers(self, name: str, alive: bool) -> int:
        """Returns how many running members see `name` (not) alive."""
        return sum(
            self.members[other].core.is_alive(name) == alive
            for other in self.simulation.running
            if other != name
        )

    def converged(self) -> bool:
        """Returns whether all running members see exactly each other."""
        running = set(self.simulation.running)
        return all(
            {update.name for update in self.members[name].core.alive()}
            == running - {name}
            for name in running
        )

    def wait_converged(self, limit_ms: int, step_ms: int = 250) -> int | None:
        """Returns the time to converge in ms, None if not in `limit_ms`."""
        start_ms = self.simulation.now_ms
        while not self.converged():
            if self.simulation.now_ms - start_ms >= limit_ms:
                return None
            self.run_for(step_ms)
        return self.simulation.now_ms - start_ms

    def deaths(self, since_ms: int = 0) -> list[tuple[int, str, str]]:
        """Returns (time in ms, observer, name) of each observed death."""
        return sorted(
            (at_ms, name, update.name)
            for name, member in self.members.items()
            for at_ms, update in member.changes
            if at_ms >= since_ms and update.state is State.DEAD
        )

    def _choose_lag_bounds(self, sender: str, to: str) -> tuple[int, int]:
        same_region = self.region(sender) == self.region(to)
        return (1, 5) if same_region else (20, 150)

    def region(self, name: str) -> str:
        """Returns the region of `name`."""
        return self.entries[name].region

    def _count_bytes(self, sender: str, to: str, message: Any) -> None:
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
    """Returns entry host `number`; hosts go to the regions in turn."""
    region = number % regions
    centre = f"dc-{region}-{number // regions % 3}"
    return EntryHost(
        f"entry-{number:03}",
        centre,
        f"region-{region}",
        f"http://10.{region}.0.{number}:8080",
        f"10.{region}.0.{number}:7946",
    )
