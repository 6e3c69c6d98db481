"""Runs the membership protocol of a daemon."""

from __future__ import annotations

from collections.abc import Callable
import random

import anyio

from ..adapters.logs import log_event
from ..adapters.peer_capnp import UdpPeers
from ..core.clock import Clock, MS_PER_SECOND
from ..core.membership import Membership
from ..core.membership_events import (
    Action,
    Event,
    HostsListed,
    IncarnationRaised,
    LeaveRequested,
    MemberChanged,
    MemberRemoved,
    NameTaken,
    Received,
    Tick,
    Transmit,
)
from ..core.membership_messages import (
    Ack,
    Gossip,
    IndirectPing,
    Nack,
    Ping,
    State,
    SyncPage,
    SyncRequest,
    Update,
)
from ..core.records import Record
from ..core.topology import EntryHost
from ..ports.peers import Sender

MEMBERSHIP_MESSAGES = (Ping, IndirectPing, Ack, Nack, SyncRequest, SyncPage)
MAX_SLEEP_MS = 250


class FleetView:
    """This daemon's current view of the members of the fleet."""

    __slots__ = (
        "_core",
        "_peers",
        "_clock",
        "_on_change",
        "_on_revision",
        "_control_addresses",
        "_listed",
    )

    def __init__(
        self,
        own: EntryHost,
        peers: UdpPeers,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[], None],
        on_revision: Callable[[str, int], None],
    ) -> None:
        """Creates the view.

        Args:
            own: This daemon.
            peers: Port to the other daemons.
            clock: The clock of the daemon.
            rng: Source of randomness for choosing members to probe.
            on_change: Called when a member joined, failed or left, and once
                when the first host list arrives.
            on_revision: Called with the sender's name and revision for each
                message with gossip.
        """
        update = Update(
            own.name,
            peers.incarnation,
            0,
            State.ALIVE,
            own.control,
            own.data_centre,
            own.region,
        )
        self._core = Membership(update, rng, clock.now_ms())
        self._peers = peers
        self._clock = clock
        self._on_change = on_change
        self._on_revision = on_revision
        self._control_addresses: dict[str, str] = {}
        self._listed = False
        for kind in MEMBERSHIP_MESSAGES:
            peers.listen(kind, self._receive)

    def alive(self) -> tuple[Update, ...]:
        """Returns the other daemons believed alive, sorted by name."""
        return self._core.alive()

    def is_alive(self, name: str) -> bool:
        """Returns whether `name` is believed alive; this daemon always is."""
        return self._core.is_alive(name)

    def set_revision(self, revision: int) -> None:
        """Sets the configuration revision that gossip reports."""
        self._core.revision = revision

    def set_listing(self, entries: tuple[EntryHost, ...]) -> None:
        """Passes on the platform's list as a hint which daemons to contact."""
        self._handle_event(HostsListed(entries))
        if not self._listed:
            self._listed = True
            self._on_change()

    def leave(self) -> None:
        """Announces to the other daemons that this one shuts down."""
        self._handle_event(LeaveRequested())

    async def run(self) -> None:
        """Probes the other daemons until cancelled."""
        while True:
            left_ms = self._core.due_ms - self._clock.now_ms()
            sleep_ms = min(max(left_ms, 1), MAX_SLEEP_MS)
            await anyio.sleep(sleep_ms / MS_PER_SECOND)
            if self._clock.now_ms() >= self._core.due_ms:
                self._handle_event(Tick())

    def _receive(self, sender: Sender, message: Record) -> None:
        self._handle_event(Received(sender.name, sender.incarnation, message))
        gossip = getattr(message, "gossip", None)
        if isinstance(gossip, Gossip):
            self._on_revision(sender.name, gossip.revision)

    def _handle_event(self, event: Event) -> None:
        changed = False
        for action in self._core.handle(event, self._clock.now_ms()):
            changed = self._run_action(action) or changed
        if changed:
            self._on_change()

    def _run_action(self, action: Action) -> bool:
        """Runs an action; returns whether the view changed."""
        match action:
            case Transmit(to=to, message=message):
                self._peers.set_address(
                    to, self._control_addresses.get(to, "")
                )
                self._peers.send(to, message)
            case MemberChanged(update=update):
                self._control_addresses[update.name] = update.control
                log_event(
                    "member_changed",
                    member=update.name,
                    state=update.state.name.lower(),
                    incarnation=update.incarnation,
                )
                return True
            case MemberRemoved(name=name):
                self._control_addresses.pop(name, None)
                self._peers.remove_address(name)
            case IncarnationRaised(incarnation=incarnation):
                self._peers.set_incarnation(incarnation)
            case NameTaken(control=control):
                log_event("name_taken", "ERROR", control=control)
        return False
