"""Distribution of the operators' configuration to one daemon.

Revisions order all configurations. A daemon accepts a higher revision from
any source and never a lower one. A few daemons of each data centre watch the
key-value service; the others learn of a new revision from peers and pull it
from one that has it.
"""

from __future__ import annotations

from functools import singledispatchmethod
import random
from typing import Final, TypeAlias

from .config import Config, EMPTY_CONFIG
from .membership_messages import Update
from .records import Record
from .rendezvous import rank

WATCHERS: Final = 2
FANOUT_NEAR: Final = 3
FANOUT_FAR: Final = 1
START_PEERS: Final = 8
START_PEERS_WITH_STORE: Final = 2
START_TIMEOUT_MS: Final = 5_000
ASK_INTERVAL_MS: Final = 500
PULL_RETRY_MS: Final = 200


class ConfigNotice(Record):
    """Message: the revision that the sender holds.

    Attributes:
        revision: The revision; 0 for none.
        ask: Whether the receiver should answer with its own notice.
    """

    __slots__ = ("revision", "ask")

    def __init__(self, revision: int, ask: bool = False) -> None:
        self.revision = revision
        self.ask = ask


class RevisionReported(Record):
    """Event: a peer reported its revision, in a notice or in gossip."""

    __slots__ = ("name", "revision", "ask")

    def __init__(self, name: str, revision: int, ask: bool = False) -> None:
        self.name = name
        self.revision = revision
        self.ask = ask


class ConfigLoaded(Record):
    """Event: an authentic configuration was read and parsed.

    Attributes:
        cfg: The configuration.
        from_store: Whether it came directly from the key-value service.
    """

    __slots__ = ("cfg", "from_store")

    def __init__(self, cfg: Config, from_store: bool = False) -> None:
        self.cfg = cfg
        self.from_store = from_store


class PullFailed(Record):
    """Event: a peer did not return the revision that it reported."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class MembersChanged(Record):
    """Event: the set of other daemons believed alive has changed."""

    __slots__ = ("alive",)

    def __init__(self, alive: tuple[Update, ...]) -> None:
        self.alive = alive


class SyncTick(Record):
    """Event: the time `due_ms` was reached."""


class Pull(Record):
    """Action: fetch the configuration from the daemon `name`."""

    __slots__ = ("name", "revision")

    def __init__(self, name: str, revision: int) -> None:
        self.name = name
        self.revision = revision


class SendNotice(Record):
    """Action: send a notice to the daemon `name`."""

    __slots__ = ("name", "notice")

    def __init__(self, name: str, notice: ConfigNotice) -> None:
        self.name = name
        self.notice = notice


class Enforce(Record):
    """Action: put `cfg` in force."""

    __slots__ = ("cfg",)

    def __init__(self, cfg: Config) -> None:
        self.cfg = cfg


Event: TypeAlias = (
    RevisionReported | ConfigLoaded | PullFailed | MembersChanged | SyncTick
)
Action: TypeAlias = Pull | SendNotice | Enforce


def may_replace(held: int, candidate: int) -> bool:
    """Returns whether revision `candidate` may replace revision `held`."""
    return candidate > held


def may_start(
    held: int,
    highest_reported: int,
    answers: int,
    needed: int,
    store_answered: bool,
) -> bool:
    """Returns whether a daemon that has just started may use what it holds.

    `needed` peers must have reported their revision, and none a higher one.
    Fewer suffice after an answer from the key-value service, but not none,
    since its answers may be stale.

    Args:
        held: Revision that the daemon holds; 0 for none.
        highest_reported: Highest revision that a peer reported.
        answers: Number of peers that reported a revision.
        needed: Number of peers that have to report.
        store_answered: Whether the service has answered since the start.
    """
    if held == 0 or held < highest_reported:
        return False
    if store_answered:
        needed = min(needed, START_PEERS_WITH_STORE)
    return answers >= needed


class ConfigSync:
    """The configuration of one daemon and its exchange with peers.

    Attributes:
        due_ms: When the next `SyncTick` is due, in ms of monotonic time.
    """

    __slots__ = (
        "due_ms",
        "_name",
        "_data_centre",
        "_region",
        "_rng",
        "_held",
        "_ready",
        "_store_answered",
        "_alive",
        "_alive_names",
        "_reported",
        "_pulling_from",
        "_next_pull_ms",
        "_started_ms",
        "_should_watch",
        "_actions",
        "_now_ms",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        region: str,
        rng: random.Random,
        now_ms: int,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._region = region
        self._rng = rng
        self._held = EMPTY_CONFIG
        self._ready = False
        self._store_answered = False
        self._alive: tuple[Update, ...] = ()
        self._alive_names: set[str] | None = None
        self._reported: dict[str, int] = {}
        self._pulling_from = ""
        self._next_pull_ms = now_ms
        self._started_ms = now_ms
        self._should_watch = True
        self._actions: list[Action] = []
        self._now_ms = now_ms
        self.due_ms = now_ms

    @property
    def held(self) -> Config:
        """The newest configuration that this daemon holds."""
        return self._held

    @property
    def ready(self) -> bool:
        """Whether the held configuration is in force."""
        return self._ready

    @property
    def should_watch(self) -> bool:
        """Whether this daemon should watch the key-value service."""
        return self._should_watch

    def peers_behind(self) -> list[str]:
        """Returns live peers not known to hold this revision."""
        return [
            update.name
            for update in self._alive
            if self._reported.get(update.name, 0) < self._held.revision
        ]

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Handles one event and returns the actions to carry out."""
        self._now_ms = now_ms
        self._actions = []
        self._on(event)
        self._start_if_allowed()
        self._pull_if_behind()
        return self._actions

    @singledispatchmethod
    def _on(self, event: Event) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_on.register
    def _(self, event: MembersChanged) -> None:
        self._alive = event.alive
        names = {update.name for update in event.alive}
        self._alive_names = names
        self._reported = {
            name: revision
            for name, revision in self._reported.items()
            if name in names
        }
        near = [
            update.name
            for update in event.alive
            if update.data_centre == self._data_centre
        ]
        order = rank(f"config\0{self._data_centre}", [*near, self._name])
        self._should_watch = self._name in order[:WATCHERS]

    @_on.register
    def _(self, event: RevisionReported) -> None:
        if self._alive_names and event.name in self._alive_names:
            self._reported[event.name] = event.revision
        if event.ask or 0 < event.revision < self._held.revision:
            self._send_notice(event.name)

    @_on.register
    def _(self, event: ConfigLoaded) -> None:
        self._pulling_from = ""
        self._store_answered = self._store_answered or event.from_store
        if not may_replace(self._held.revision, event.cfg.revision):
            return
        self._held = event.cfg
        if self._ready:
            self._actions.append(Enforce(event.cfg))
        self._notify_peers()

    @_on.register
    def _(self, event: PullFailed) -> None:
        self._pulling_from = ""
        self._reported.pop(event.name, None)
        self._next_pull_ms = self._now_ms + PULL_RETRY_MS

    @_on.register
    def _(self, event: SyncTick) -> None:
        self.due_ms = self._now_ms + ASK_INTERVAL_MS
        if self._ready:
            return
        count = min(START_PEERS, len(self._alive))
        for update in self._rng.sample(self._alive, count):
            self._send_notice(update.name, ask=True)

    def _start_if_allowed(self) -> None:
        if self._ready:
            return
        highest = max(self._reported.values(), default=0)
        timed_out = self._now_ms - self._started_ms >= START_TIMEOUT_MS
        if self._alive_names is None and not timed_out:
            return
        needed = 0 if timed_out else min(START_PEERS, len(self._alive))
        self._ready = may_start(
            self._held.revision,
            highest,
            len(self._reported),
            needed,
            self._store_answered,
        )
        if self._ready:
            self._actions.append(Enforce(self._held))

    def _pull_if_behind(self) -> None:
        if self._pulling_from or self._now_ms < self._next_pull_ms:
            return
        highest = max(self._reported.values(), default=0)
        if not may_replace(self._held.revision, highest):
            return
        holders = [
            name
            for name, revision in self._reported.items()
            if revision == highest
        ]
        self._pulling_from = self._rng.choice(holders)
        self._actions.append(Pull(self._pulling_from, highest))

    def _notify_peers(self) -> None:
        """Notifies a few peers at once; those notify the others."""
        near: list[str] = []
        far: list[str] = []
        for update in self._alive:
            if self._reported.get(update.name, 0) >= self._held.revision:
                continue
            side = near if update.region == self._region else far
            side.append(update.name)
        for names, count in ((near, FANOUT_NEAR), (far, FANOUT_FAR)):
            for name in self._rng.sample(names, min(count, len(names))):
                self._send_notice(name)

    def _send_notice(self, name: str, ask: bool = False) -> None:
        notice = ConfigNotice(self._held.revision, ask)
        self._actions.append(SendNotice(name, notice))
