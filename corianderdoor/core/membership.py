"""Which daemons of the fleet live: probes, second opinions and rumours.

Each period a daemon pings one other. If no answer comes it keeps trying for
a while, directly and through others. It declares the member dead only when
another daemon has told it that it could not reach the member either. Deaths
and lives spread as rumours on the pings themselves; versions order them, and
a member that hears of its own death refutes it with a higher version.
"""

from __future__ import annotations

from functools import singledispatchmethod
import random
from typing import Final

from .members import estimate_bytes, MemberTable, Rumours, split_pages
from .membership_events import (
    Action,
    Changed,
    Event,
    Forgotten,
    HostsListed,
    IncarnationRaised,
    LeaveRequested,
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
from .probing import (
    answer_timeout_ms,
    choose_relays,
    Probe,
    probe_timeout_ms,
    ProbeSchedule,
    RelayedPing,
)
from .records import Record

PERIOD_MS: Final = 1_000
ALONE_FACTOR: Final = 3
SUSPECT_ROUND: Final = 2
RELAY_SHARE: Final = 0.6
LATE_MS: Final = 1_000
HEAL_EVERY_MS: Final = 5_000
EXPIRE_EVERY_MS: Final = 60_000
SYNC_EVERY_MS: Final = 5_000
SYNC_ANSWER_EVERY_MS: Final = 1_000
MAX_SYNC_PAGES: Final = 8
MAX_TRIALS: Final = 16
MAX_RELAYED: Final = 256
MAX_ID: Final = 2**32
GOSSIP_BYTES: Final = 576
LEAVE_TELLS: Final = 8


class Membership:
    """The members as one daemon sees them.

    Attributes:
        revision: Revision of this daemon's configuration, told to others.
        due_ms: When the next `Tick` is due.
    """

    __slots__ = (
        "revision",
        "due_ms",
        "_own",
        "_table",
        "_rumours",
        "_rng",
        "_trials",
        "_relayed",
        "_ids",
        "_rota",
        "_next_probe_ms",
        "_next_heal_ms",
        "_next_expire_ms",
        "_next_sync_ms",
        "_next_answer_ms",
        "_actions",
        "_now_ms",
    )

    def __init__(self, own: Update, rng: random.Random, now_ms: int) -> None:
        self.revision = 0
        self._own = own
        self._table = MemberTable()
        self._rumours = Rumours(rng)
        self._rumours.add(own, now_ms)
        self._rng = rng
        self._trials: dict[str, Probe] = {}
        self._relayed: dict[int, RelayedPing] = {}
        self._ids: dict[int, str] = {}
        self._rota = ProbeSchedule(self._table, own.region, rng)
        self._next_probe_ms = now_ms
        self._next_heal_ms = now_ms + rng.randrange(HEAL_EVERY_MS)
        self._next_expire_ms = now_ms + EXPIRE_EVERY_MS
        self._next_sync_ms = now_ms
        self._next_answer_ms = now_ms
        self._actions: list[Action] = []
        self._now_ms = now_ms
        self.due_ms = now_ms

    @property
    def own(self) -> Update:
        """This daemon as it shows itself to the others."""
        return self._own

    def alive(self) -> tuple[Update, ...]:
        """Returns the other members believed alive, in order of name."""
        return self._table.alive()

    def is_alive(self, name: str) -> bool:
        """Tells whether `name` is believed alive; this daemon always is."""
        member = self._table.get(name)
        if member is None:
            return name == self._own.name
        return member.update.state is State.ALIVE

    def is_suspect(self, name: str) -> bool:
        """Tells whether `name` has not answered for a moment."""
        member = self._table.get(name)
        return member is not None and member.suspect

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Takes one event and returns what to do."""
        self._now_ms = now_ms
        self._actions = []
        self._on(event)
        self.due_ms = self._find_due()
        return self._actions

    @singledispatchmethod
    def _on(self, event: Event) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_on.register
    def _(self, event: Tick) -> None:
        late_ms = self._now_ms - self.due_ms
        if late_ms > LATE_MS:
            self._forgive()
        self._end_relayed()
        for trial in list(self._trials.values()):
            if trial.next_ms <= self._now_ms:
                self._try_again(trial)
        if self._now_ms >= self._next_probe_ms:
            self._next_probe_ms = self._now_ms + self._jitter(PERIOD_MS)
            self._probe_next()
        if self._now_ms >= self._next_heal_ms:
            self._next_heal_ms = self._now_ms + self._jitter(HEAL_EVERY_MS)
            self._ping_dead()
        if self._now_ms >= self._next_expire_ms:
            self._next_expire_ms = self._now_ms + EXPIRE_EVERY_MS
            self._actions += map(Forgotten, self._table.expire(self._now_ms))

    @_on.register
    def _(self, event: HostsListed) -> None:
        names = set()
        for entry in event.entries:
            names.add(entry.name)
            if entry.name != self._own.name:
                self._merge(listed_update(entry), spread=False)
        for member in self._table.all():
            member.listed = member.update.name in names

    @_on.register
    def _(self, event: LeaveRequested) -> None:
        self._own = self._own.changed(State.LEFT)
        self._rumours.add(self._own, self._now_ms)
        alive = self._table.alive()
        told = self._rng.sample(alive, min(LEAVE_TELLS, len(alive)))
        for update in told:
            self._ping(update.name)

    @_on.register
    def _(self, event: Received) -> None:
        if event.sender == self._own.name:
            return
        gossip = getattr(event.message, "gossip", None)
        if isinstance(gossip, Gossip):
            self._merge_all(gossip.updates)
        self._hear(event.sender, event.incarnation)
        self._take(event.message, event.sender)
        if isinstance(gossip, Gossip):
            self._compare(event.sender, gossip.digest)

    @singledispatchmethod
    def _take(self, message: Record, sender: str) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_take.register
    def _(self, message: Ping, sender: str) -> None:
        self._transmit(sender, Ack(message.id, self._gossip(sender)))

    @_take.register
    def _(self, message: IndirectPing, sender: str) -> None:
        member = self._table.get(message.target)
        if member is None or len(self._relayed) >= MAX_RELAYED:
            return
        far = member.update.region != self._own.region
        until_ms = self._now_ms + int(answer_timeout_ms(far) * RELAY_SHARE)
        own_id = self._ping(message.target)
        self._relayed[own_id] = RelayedPing(sender, message.id, until_ms)

    @_take.register
    def _(self, message: Ack, sender: str) -> None:
        relayed = self._relayed.pop(message.id, None)
        if relayed is not None:
            gossip = self._gossip(relayed.requester)
            self._transmit(relayed.requester, Ack(relayed.id, gossip))
        target = self._ids.get(message.id)
        if target is not None:
            self._end_trial(target)
            member = self._table.get(target)
            if member is not None:
                member.suspect = False

    @_take.register
    def _(self, message: Nack, sender: str) -> None:
        trial = self._trials.get(self._ids.get(message.id, ""))
        if trial is not None:
            trial.nacks += 1

    @_take.register
    def _(self, message: SyncRequest, sender: str) -> None:
        if self._now_ms < self._next_answer_ms:
            return
        self._next_answer_ms = self._now_ms + SYNC_ANSWER_EVERY_MS
        updates = self._table.differing(self._own, message.digests)
        self._rng.shuffle(updates)
        for page in split_pages(updates, MAX_SYNC_PAGES):
            self._transmit(sender, SyncPage(page))

    @_take.register
    def _(self, message: SyncPage, sender: str) -> None:
        self._merge_all(message.updates, spread=False)

    def _hear(self, name: str, incarnation: int) -> None:
        """Learns the incarnation of a member from its own message."""
        member = self._table.get(name)
        if member is not None and member.update.incarnation < incarnation:
            self._merge(member.update.changed(State.ALIVE, incarnation, 0))

    def _merge_all(
        self, updates: tuple[Update, ...], spread: bool = True
    ) -> None:
        for update in updates:
            if update.name == self._own.name:
                self._answer_claim(update)
            else:
                self._merge(update, spread)

    def _merge(self, update: Update, spread: bool = True) -> None:
        if not self._table.merge(update, self._now_ms):
            return
        self._actions.append(Changed(update))
        if spread:
            self._rumours.add(update, self._now_ms)
        if update.state is not State.ALIVE:
            self._end_trial(update.name)

    def _answer_claim(self, claim: Update) -> None:
        """Refutes what others say of this daemon, if it is newer."""
        own = self._own
        if claim.order() <= own.order() or own.state is State.LEFT:
            return
        if claim.incarnation == own.incarnation:
            self._own = own.changed(
                State.ALIVE, refutations=claim.refutations + 1
            )
        elif claim.state is State.ALIVE and claim.control != own.control:
            self._actions.append(NameTaken(claim.control))
            return
        else:
            higher = claim.incarnation + 1
            self._own = own.changed(State.ALIVE, higher, 0)
            self._actions.append(IncarnationRaised(higher))
        self._rumours.add(self._own, self._now_ms)

    def _compare(self, sender: str, digest: int) -> None:
        if self._now_ms < self._next_sync_ms:
            return
        if digest == self._table.digest(self._own):
            return
        self._next_sync_ms = self._now_ms + self._jitter(SYNC_EVERY_MS)
        digests = self._table.bucket_digests(self._own)
        self._transmit(sender, SyncRequest(digests))

    def _probe_next(self) -> None:
        target = self._rota.next()
        if target is None or len(self._trials) >= MAX_TRIALS:
            return
        if target.name in self._trials:
            return
        far = target.region != self._own.region
        trial = Probe(target.name, self._now_ms, far)
        self._trials[target.name] = trial
        self._try_again(trial)

    def _try_again(self, trial: Probe) -> None:
        member = self._table.get(trial.target)
        if member is None:
            self._end_trial(trial.target)
            return
        if self._is_over(trial):
            self._end_trial(trial.target)
            dead = member.update.changed(State.DEAD)
            self._merge(dead, spread=trial.nacks > 0)
            return
        if trial.round >= SUSPECT_ROUND:
            member.suspect = True
        if trial.round > 0:
            self._ask_relays(trial)
        self._ids[self._ping(trial.target)] = trial.target
        trial.round += 1
        trial.next_ms = self._now_ms + answer_timeout_ms(trial.far)

    def _is_over(self, trial: Probe) -> bool:
        """Tells whether the member is to be believed dead.

        Another daemon must have missed it too. One that hears from nobody
        may itself be cut off: it waits longer and keeps its belief to
        itself.
        """
        age_ms = self._now_ms - trial.started_ms
        limit_ms = probe_timeout_ms(trial.far)
        if trial.nacks > 0:
            return age_ms >= limit_ms
        return age_ms >= ALONE_FACTOR * limit_ms

    def _ask_relays(self, trial: Probe) -> None:
        for name in choose_relays(
            trial,
            self._table.alive(),
            set(self._trials),
            self._own.region,
            self._rng,
        ):
            id = self._new_id()
            self._ids[id] = trial.target
            gossip = self._gossip(name)
            self._transmit(name, IndirectPing(id, trial.target, gossip))

    def _end_trial(self, target: str) -> None:
        if self._trials.pop(target, None) is None:
            return
        self._ids = {
            id: name for id, name in self._ids.items() if name != target
        }

    def _end_relayed(self) -> None:
        for id, relayed in list(self._relayed.items()):
            if relayed.until_ms <= self._now_ms:
                del self._relayed[id]
                self._transmit(relayed.requester, Nack(relayed.id))

    def _ping_dead(self) -> None:
        """Pings one dead member: it may only have been cut off."""
        dead = [
            member.update.name
            for member in self._table.all()
            if member.update.state is State.DEAD
        ]
        if dead:
            self._ping(self._rng.choice(dead))

    def _forgive(self) -> None:
        """Drops open trials: this process was paused, not the others."""
        self._trials.clear()
        self._ids.clear()
        self._relayed.clear()

    def _ping(self, name: str) -> int:
        id = self._new_id()
        self._transmit(name, Ping(id, self._gossip(name)))
        return id

    def _new_id(self) -> int:
        return self._rng.randrange(MAX_ID)

    def _gossip(self, to: str) -> Gossip:
        """Returns what rides on a message to `to`.

        What is believed of the receiver goes first unless it is alive, so
        that it can refute it.
        """
        member = self._table.get(to)
        first = []
        if member is not None and member.update.state is not State.ALIVE:
            first = [member.update]
        members = len(self._table.alive())
        budget = GOSSIP_BYTES - sum(map(estimate_bytes, first))
        picked = self._rumours.pick(budget, members, self._now_ms)
        digest = self._table.digest(self._own)
        return Gossip(self.revision, digest, (*first, *picked))

    def _transmit(self, to: str, message: Record) -> None:
        self._actions.append(Transmit(to, message))

    def _jitter(self, span_ms: int) -> int:
        return int(span_ms * self._rng.uniform(0.9, 1.1))

    def _find_due(self) -> int:
        dues = [self._next_probe_ms, self._next_heal_ms, self._next_expire_ms]
        dues += [trial.next_ms for trial in self._trials.values()]
        dues += [relayed.until_ms for relayed in self._relayed.values()]
        return min(dues)
