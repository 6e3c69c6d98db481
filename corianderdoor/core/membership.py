"""Failure detection and membership by gossip, in the manner of SWIM.

Each interval a daemon pings one other member. Without an answer it retries
for a while, directly and through relays. It declares the member dead to the
others only if a relay could not reach the member either. Updates are gossiped
on the probe messages themselves and are ordered by version; a member that is
reported dead refutes the report with a higher version.
"""

from __future__ import annotations

from functools import singledispatchmethod
import random
from typing import Final

from .members import estimate_bytes, GossipQueue, MemberTable, split_pages
from .membership_events import (
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
from .membership_messages import (
    Ack,
    Gossip,
    IndirectPing,
    listed_update,
    Nack,
    Ping,
    State,
    SyncPage,
    SyncRequest,
    Update,
)
from .probing import choose_relays, Relayed, Rota, round_ms, Trial, trial_ms
from .records import Record

PROBE_INTERVAL_MS: Final = 1_000
UNCONFIRMED_FACTOR: Final = 3
SUSPECT_ROUND: Final = 2
RELAY_TIMEOUT_SHARE: Final = 0.6
PAUSE_THRESHOLD_MS: Final = 1_000
DEAD_PING_INTERVAL_MS: Final = 5_000
EXPIRE_INTERVAL_MS: Final = 60_000
SYNC_INTERVAL_MS: Final = 5_000
SYNC_REPLY_INTERVAL_MS: Final = 1_000
MAX_SYNC_PAGES: Final = 8
MAX_PROBES: Final = 16
MAX_RELAYED: Final = 256
MAX_ID: Final = 2**32
GOSSIP_BYTES: Final = 576
LEAVE_FANOUT: Final = 8


class Membership:
    """The membership as one daemon sees it.

    Attributes:
        revision: Revision of this daemon's configuration, sent to peers.
        due_ms: When the next `Tick` is due, in ms of monotonic time.
    """

    __slots__ = (
        "revision",
        "due_ms",
        "_own",
        "_table",
        "_gossip_queue",
        "_rng",
        "_probes",
        "_relayed",
        "_probe_ids",
        "_rota",
        "_next_probe_ms",
        "_next_dead_ping_ms",
        "_next_expire_ms",
        "_next_sync_ms",
        "_next_sync_reply_ms",
        "_actions",
        "_now_ms",
    )

    def __init__(self, own: Update, rng: random.Random, now_ms: int) -> None:
        self.revision = 0
        self._own = own
        self._table = MemberTable()
        self._gossip_queue = GossipQueue(rng)
        self._gossip_queue.add(own, now_ms)
        self._rng = rng
        self._probes: dict[str, Trial] = {}
        self._relayed: dict[int, Relayed] = {}
        self._probe_ids: dict[int, str] = {}
        self._rota = Rota(self._table, own.region, rng)
        self._next_probe_ms = now_ms
        self._next_dead_ping_ms = now_ms + rng.randrange(DEAD_PING_INTERVAL_MS)
        self._next_expire_ms = now_ms + EXPIRE_INTERVAL_MS
        self._next_sync_ms = now_ms
        self._next_sync_reply_ms = now_ms
        self._actions: list[Action] = []
        self._now_ms = now_ms
        self.due_ms = now_ms

    @property
    def own(self) -> Update:
        """The update that this daemon gossips about itself."""
        return self._own

    def alive(self) -> tuple[Update, ...]:
        """Returns the other members believed alive, sorted by name."""
        return self._table.alive()

    def is_alive(self, name: str) -> bool:
        """Returns whether `name` is believed alive; this daemon always is."""
        member = self._table.get(name)
        if member is None:
            return name == self._own.name
        return member.update.state is State.ALIVE

    def is_suspect(self, name: str) -> bool:
        """Returns whether `name` missed the first rounds of a probe."""
        member = self._table.get(name)
        return member is not None and member.suspect

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Handles one event and returns the actions to carry out."""
        self._now_ms = now_ms
        self._actions = []
        self._on(event)
        self.due_ms = self._earliest_due_ms()
        return self._actions

    @singledispatchmethod
    def _on(self, event: Event) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_on.register
    def _(self, event: Tick) -> None:
        overdue_ms = self._now_ms - self.due_ms
        if overdue_ms > PAUSE_THRESHOLD_MS:
            self._abandon_probes()
        self._expire_relayed()
        for probe in list(self._probes.values()):
            if probe.next_ms <= self._now_ms:
                self._run_round(probe)
        if self._now_ms >= self._next_probe_ms:
            self._next_probe_ms = self._now_ms + self._jitter(
                PROBE_INTERVAL_MS
            )
            self._probe_next()
        if self._now_ms >= self._next_dead_ping_ms:
            self._next_dead_ping_ms = self._now_ms + self._jitter(
                DEAD_PING_INTERVAL_MS
            )
            self._ping_dead()
        if self._now_ms >= self._next_expire_ms:
            self._next_expire_ms = self._now_ms + EXPIRE_INTERVAL_MS
            self._actions += map(
                MemberRemoved, self._table.expire(self._now_ms)
            )

    @_on.register
    def _(self, event: HostsListed) -> None:
        names = set()
        for entry in event.entries:
            names.add(entry.name)
            if entry.name != self._own.name:
                self._merge(listed_update(entry), disseminate=False)
        for member in self._table.all():
            member.listed = member.update.name in names

    @_on.register
    def _(self, event: LeaveRequested) -> None:
        self._own = self._own.with_state(State.LEFT)
        self._gossip_queue.add(self._own, self._now_ms)
        alive = self._table.alive()
        receivers = self._rng.sample(alive, min(LEAVE_FANOUT, len(alive)))
        for update in receivers:
            self._ping(update.name)

    @_on.register
    def _(self, event: Received) -> None:
        if event.sender == self._own.name:
            return
        gossip = getattr(event.message, "gossip", None)
        if isinstance(gossip, Gossip):
            self._merge_all(gossip.updates)
        self._learn_incarnation(event.sender, event.incarnation)
        self._on_message(event.message, event.sender)
        if isinstance(gossip, Gossip):
            self._sync_if_different(event.sender, gossip.digest)

    @singledispatchmethod
    def _on_message(self, message: Record, sender: str) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_on_message.register
    def _(self, message: Ping, sender: str) -> None:
        self._transmit(sender, Ack(message.id, self._build_gossip(sender)))

    @_on_message.register
    def _(self, message: IndirectPing, sender: str) -> None:
        member = self._table.get(message.target)
        if member is None or len(self._relayed) >= MAX_RELAYED:
            return
        far = member.update.region != self._own.region
        until_ms = self._now_ms + int(round_ms(far) * RELAY_TIMEOUT_SHARE)
        own_id = self._ping(message.target)
        self._relayed[own_id] = Relayed(sender, message.id, until_ms)

    @_on_message.register
    def _(self, message: Ack, sender: str) -> None:
        relayed = self._relayed.pop(message.id, None)
        if relayed is not None:
            gossip = self._build_gossip(relayed.asker)
            self._transmit(relayed.asker, Ack(relayed.id, gossip))
        target = self._probe_ids.get(message.id)
        if target is not None:
            self._end_probe(target)
            member = self._table.get(target)
            if member is not None:
                member.suspect = False

    @_on_message.register
    def _(self, message: Nack, sender: str) -> None:
        probe = self._probes.get(self._probe_ids.get(message.id, ""))
        if probe is not None:
            probe.nacks += 1

    @_on_message.register
    def _(self, message: SyncRequest, sender: str) -> None:
        if self._now_ms < self._next_sync_reply_ms:
            return
        self._next_sync_reply_ms = self._now_ms + SYNC_REPLY_INTERVAL_MS
        updates = self._table.differing_updates(self._own, message.digests)
        self._rng.shuffle(updates)
        for page in split_pages(updates, MAX_SYNC_PAGES):
            self._transmit(sender, SyncPage(page))

    @_on_message.register
    def _(self, message: SyncPage, sender: str) -> None:
        self._merge_all(message.updates, disseminate=False)

    def _learn_incarnation(self, name: str, incarnation: int) -> None:
        """Records a higher incarnation that the member itself sent."""
        member = self._table.get(name)
        if member is not None and member.update.incarnation < incarnation:
            self._merge(member.update.with_state(State.ALIVE, incarnation, 0))

    def _merge_all(
        self, updates: tuple[Update, ...], disseminate: bool = True
    ) -> None:
        for update in updates:
            if update.name == self._own.name:
                self._refute_if_newer(update)
            else:
                self._merge(update, disseminate)

    def _merge(self, update: Update, disseminate: bool = True) -> None:
        if not self._table.merge(update, self._now_ms):
            return
        self._actions.append(MemberChanged(update))
        if disseminate:
            self._gossip_queue.add(update, self._now_ms)
        if update.state is not State.ALIVE:
            self._end_probe(update.name)

    def _refute_if_newer(self, claim: Update) -> None:
        """Refutes an update about this daemon that is newer than its own.

        If it shows another process alive at another address, another daemon
        has this name: that is reported instead.
        """
        own = self._own
        if claim.version_key() <= own.version_key() or own.state is State.LEFT:
            return
        if claim.incarnation == own.incarnation:
            self._own = own.with_state(
                State.ALIVE, refutations=claim.refutations + 1
            )
        elif claim.state is State.ALIVE and claim.control != own.control:
            self._actions.append(NameTaken(claim.control))
            return
        else:
            higher = claim.incarnation + 1
            self._own = own.with_state(State.ALIVE, higher, 0)
            self._actions.append(IncarnationRaised(higher))
        self._gossip_queue.add(self._own, self._now_ms)

    def _sync_if_different(self, sender: str, digest: int) -> None:
        if self._now_ms < self._next_sync_ms:
            return
        if digest == self._table.digest(self._own):
            return
        self._next_sync_ms = self._now_ms + self._jitter(SYNC_INTERVAL_MS)
        digests = self._table.bucket_digests(self._own)
        self._transmit(sender, SyncRequest(digests))

    def _probe_next(self) -> None:
        target = self._rota.next()
        if target is None or len(self._probes) >= MAX_PROBES:
            return
        if target.name in self._probes:
            return
        far = target.region != self._own.region
        probe = Trial(target.name, self._now_ms, far)
        self._probes[target.name] = probe
        self._run_round(probe)

    def _run_round(self, probe: Trial) -> None:
        member = self._table.get(probe.target)
        if member is None:
            self._end_probe(probe.target)
            return
        if self._has_timed_out(probe):
            self._end_probe(probe.target)
            dead = member.update.with_state(State.DEAD)
            self._merge(dead, disseminate=probe.nacks > 0)
            return
        if probe.round >= SUSPECT_ROUND:
            member.suspect = True
        if probe.round > 0:
            self._ask_relays(probe)
        self._probe_ids[self._ping(probe.target)] = probe.target
        probe.round += 1
        probe.next_ms = self._now_ms + round_ms(probe.far)

    def _has_timed_out(self, probe: Trial) -> bool:
        """Returns whether the member counts as dead.

        Without a relay that missed the member too, this daemon may itself be
        cut off: it waits longer and does not gossip the death.
        """
        age_ms = self._now_ms - probe.started_ms
        limit_ms = trial_ms(probe.far)
        if probe.nacks > 0:
            return age_ms >= limit_ms
        return age_ms >= UNCONFIRMED_FACTOR * limit_ms

    def _ask_relays(self, probe: Trial) -> None:
        for name in choose_relays(
            probe,
            self._table.alive(),
            set(self._probes),
            self._own.region,
            self._rng,
        ):
            id = self._new_id()
            self._probe_ids[id] = probe.target
            gossip = self._build_gossip(name)
            self._transmit(name, IndirectPing(id, probe.target, gossip))

    def _end_probe(self, target: str) -> None:
        if self._probes.pop(target, None) is None:
            return
        self._probe_ids = {
            id: name for id, name in self._probe_ids.items() if name != target
        }

    def _expire_relayed(self) -> None:
        for id, relayed in list(self._relayed.items()):
            if relayed.until_ms <= self._now_ms:
                del self._relayed[id]
                self._transmit(relayed.asker, Nack(relayed.id))

    def _ping_dead(self) -> None:
        """Pings one dead member: it may only have been unreachable."""
        dead = [
            member.update.name
            for member in self._table.all()
            if member.update.state is State.DEAD
        ]
        if dead:
            self._ping(self._rng.choice(dead))

    def _abandon_probes(self) -> None:
        """Drops open probes: this process was paused, not the others."""
        self._probes.clear()
        self._probe_ids.clear()
        self._relayed.clear()

    def _ping(self, name: str) -> int:
        id = self._new_id()
        self._transmit(name, Ping(id, self._build_gossip(name)))
        return id

    def _new_id(self) -> int:
        return self._rng.randrange(MAX_ID)

    def _build_gossip(self, to: str) -> Gossip:
        """Returns the gossip to attach to a message to `to`.

        If the receiver is believed dead or left, that update goes first, so
        that the receiver can refute it.
        """
        member = self._table.get(to)
        first = []
        if member is not None and member.update.state is not State.ALIVE:
            first = [member.update]
        members = len(self._table.alive())
        budget = GOSSIP_BYTES - sum(map(estimate_bytes, first))
        picked = self._gossip_queue.pick(budget, members, self._now_ms)
        digest = self._table.digest(self._own)
        return Gossip(self.revision, digest, (*first, *picked))

    def _transmit(self, to: str, message: Record) -> None:
        self._actions.append(Transmit(to, message))

    def _jitter(self, span_ms: int) -> int:
        return int(span_ms * self._rng.uniform(0.9, 1.1))

    def _earliest_due_ms(self) -> int:
        dues = [
            self._next_probe_ms,
            self._next_dead_ping_ms,
            self._next_expire_ms,
        ]
        dues += [probe.next_ms for probe in self._probes.values()]
        dues += [relayed.until_ms for relayed in self._relayed.values()]
        return min(dues)
