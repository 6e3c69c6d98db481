"""How one daemon keeps up with the operators' configuration.

There is one order between configurations: their revision. A daemon takes a
higher one from wherever it comes and never a lower one. Few daemons of a
data centre watch the key-value service; the others hear of a new revision
from peers, and pull it from one that has it.
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
START_ASKS: Final = 8
START_ASKS_WITH_STORE: Final = 2
START_TIMEOUT_MS: Final = 5_000
ASK_EVERY_MS: Final = 500
RETRY_MS: Final = 200


class ConfigNotice(Record):
    """Message: the sender holds this revision.

    Attributes:
        revision: The revision; 0 for none.
        ask: Whether the receiver is to answer with its own notice.
    """

    __slots__ = ("revision", "ask")

    def __init__(self, revision: int, ask: bool = False) -> None:
        self.revision = revision
        self.ask = ask


class RevisionReported(Record):
    """Event: a peer told its revision, by a notice or by gossip."""

    __slots__ = ("name", "revision", "ask")

    def __init__(self, name: str, revision: int, ask: bool = False) -> None:
        self.name = name
        self.revision = revision
        self.ask = ask


class ConfigLoaded(Record):
    """Event: an authentic configuration was read and parsed.

    Attributes:
        cfg: The configuration.
        from_store: Whether the key-value service itself gave it.
    """

    __slots__ = ("cfg", "from_store")

    def __init__(self, cfg: Config, from_store: bool = False) -> None:
        self.cfg = cfg
        self.from_store = from_store


class PullFailed(Record):
    """Event: a peer did not give the revision that it told."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class MembersChanged(Record):
    """Event: these other daemons are believed alive now."""

    __slots__ = ("alive",)

    def __init__(self, alive: tuple[Update, ...]) -> None:
        self.alive = alive


class SyncTick(Record):
    """Event: `due_ms` has come."""


class Pull(Record):
    """Action: fetch the configuration of the daemon `name`."""

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
    """Tells whether a configuration may take the place of the held one."""
    return candidate > held


def may_start(
    held: int,
    highest_heard: int,
    answers: int,
    needed: int,
    store_confirmed: bool,
) -> bool:
    """Tells whether a daemon that has just started may use what it holds.

    As many peers as are needed must have told their revision, and none a
    higher one. Fewer are needed after an answer of the service itself, but
    not none, since its answers may be stale.

    Args:
        held: Revision that it holds.
        highest_heard: Highest revision that a peer told.
        answers: Number of peers that told one.
        needed: Number of peers to ask.
        store_confirmed: Whether the service answered since the start.
    """
    if held == 0 or held < highest_heard:
        return False
    if store_confirmed:
        needed = min(needed, START_ASKS_WITH_STORE)
    return answers >= needed


class ConfigSync:
    """The configuration as one daemon knows it.

    Attributes:
        due_ms: When the next `SyncTick` is due.
    """

    __slots__ = (
        "due_ms",
        "_name",
        "_data_centre",
        "_region",
        "_rng",
        "_held",
        "_ready",
        "_confirmed",
        "_alive",
        "_names",
        "_heard",
        "_pulling",
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
        self._confirmed = False
        self._alive: tuple[Update, ...] = ()
        self._names: set[str] | None = None
        self._heard: dict[str, int] = {}
        self._pulling = ""
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
        """Whether the held configuration may be in force."""
        return self._ready

    @property
    def should_watch(self) -> bool:
        """Whether this daemon is to watch the key-value service."""
        return self._should_watch

    def behind(self) -> list[str]:
        """Returns live peers not known to hold this revision yet."""
        return [
            update.name
            for update in self._alive
            if self._heard.get(update.name, 0) < self._held.revision
        ]

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Takes one event and returns what to do."""
        self._now_ms = now_ms
        self._actions = []
        self._on(event)
        self._start_if_may()
        self._pull_if_behind()
        return self._actions

    @singledispatchmethod
    def _on(self, event: Event) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_on.register
    def _(self, event: MembersChanged) -> None:
        self._alive = event.alive
        names = {update.name for update in event.alive}
        self._names = names
        self._heard = {
            name: revision
            for name, revision in self._heard.items()
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
        if self._names and event.name in self._names:
            self._heard[event.name] = event.revision
        if event.ask or 0 < event.revision < self._held.revision:
            self._tell(event.name)

    @_on.register
    def _(self, event: ConfigLoaded) -> None:
        self._pulling = ""
        self._confirmed = self._confirmed or event.from_store
        if not may_replace(self._held.revision, event.cfg.revision):
            return
        self._held = event.cfg
        if self._ready:
            self._actions.append(Enforce(event.cfg))
        self._spread()

    @_on.register
    def _(self, event: PullFailed) -> None:
        self._pulling = ""
        self._heard.pop(event.name, None)
        self._next_pull_ms = self._now_ms + RETRY_MS

    @_on.register
    def _(self, event: SyncTick) -> None:
        self.due_ms = self._now_ms + ASK_EVERY_MS
        if self._ready:
            return
        count = min(START_ASKS, len(self._alive))
        for update in self._rng.sample(self._alive, count):
            self._tell(update.name, ask=True)

    def _start_if_may(self) -> None:
        if self._ready:
            return
        highest = max(self._heard.values(), default=0)
        waited = self._now_ms - self._started_ms >= START_TIMEOUT_MS
        if self._names is None and not waited:
            return
        needed = 0 if waited else min(START_ASKS, len(self._alive))
        self._ready = may_start(
            self._held.revision,
            highest,
            len(self._heard),
            needed,
            self._confirmed,
        )
        if self._ready:
            self._actions.append(Enforce(self._held))

    def _pull_if_behind(self) -> None:
        if self._pulling or self._now_ms < self._next_pull_ms:
            return
        highest = max(self._heard.values(), default=0)
        if not may_replace(self._held.revision, highest):
            return
        holders = [
            name
            for name, revision in self._heard.items()
            if revision == highest
        ]
        self._pulling = self._rng.choice(holders)
        self._actions.append(Pull(self._pulling, highest))

    def _spread(self) -> None:
        """Tells some peers at once; the rest hear from those."""
        near: list[str] = []
        far: list[str] = []
        for update in self._alive:
            if self._heard.get(update.name, 0) >= self._held.revision:
                continue
            side = near if update.region == self._region else far
            side.append(update.name)
        for names, count in ((near, FANOUT_NEAR), (far, FANOUT_FAR)):
            for name in self._rng.sample(names, min(count, len(names))):
                self._tell(name)

    def _tell(self, name: str, ask: bool = False) -> None:
        notice = ConfigNotice(self._held.revision, ask)
        self._actions.append(SendNotice(name, notice))
