"""Runs the configuration of a daemon: watch, pulls, pushes and notices."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Final

import anyio
from expression import Result

from ..adapters.control_http import ControlClient, Status
from ..adapters.keyring import Keyring
from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.config import Config, CONFIG_KEY, decode_in_steps
from ..core.config_delta import ConfigArchive
from ..core.config_sync import (
    Action,
    ConfigLoaded,
    ConfigNotice,
    ConfigSync,
    Enforce,
    Event,
    may_replace,
    MembersChanged,
    Pull,
    PullFailed,
    RevisionReported,
    SendNotice,
    SyncTick,
)
from ..core.errors import Fault
from ..core.membership_messages import Update
from ..core.topology import EntryHost
from ..ports.peers import Peers, Sender
from ..ports.store import Store, Versioned

WATCH_MS: Final = 20_000
STORE_RETRY_MS: Final = 500
DUTY_POLL_MS: Final = 500
START_SPREAD_MS: Final = 500
LINES_A_SLICE: Final = 8


class ConfigRunner:
    """Keeps one daemon's configuration up to date.

    Attributes:
        archive: The newest stored form, for the control port to serve.
    """

    __slots__ = (
        "archive",
        "_own",
        "_sync",
        "_store",
        "_peers",
        "_client",
        "_clock",
        "_rng",
        "_enforce",
        "_alive",
        "_in_force",
        "_pulls",
        "_taken",
        "_lock",
    )

    def __init__(
        self,
        own: EntryHost,
        store: Store,
        peers: Peers,
        keyring: Keyring,
        clock: Clock,
        rng: random.Random,
        enforce: Callable[[Config], None],
    ) -> None:
        """Creates the runner.

        Args:
            own: This daemon.
            store: The key-value service.
            peers: The datagrams to other daemons.
            keyring: Keys of the fleet.
            clock: The clock of the daemon.
            rng: Source of choices and jitter.
            enforce: Puts a configuration in force; called upwards only.
        """
        self.archive = ConfigArchive()
        self._own = own
        self._sync = ConfigSync(
            own.name, own.data_centre, own.region, rng, clock.now_ms()
        )
        self._store = store
        self._peers = peers
        self._client = ControlClient(keyring)
        self._clock = clock
        self._rng = rng
        self._enforce = enforce
        self._alive: tuple[Update, ...] = ()
        self._in_force = 0
        self._pulls, self._taken = anyio.create_memory_object_stream[Pull](1)
        self._lock = anyio.Lock()
        peers.listen(ConfigNotice, self._hear)

    def set_members(self, alive: tuple[Update, ...]) -> None:
        """Takes the other daemons believed alive."""
        self._alive = alive
        self._feed(MembersChanged(alive))

    def record_peer_revision(self, name: str, revision: int) -> None:
        """Takes the revision that a peer told along with other news."""
        self._feed(RevisionReported(name, revision))

    def status(self) -> Status:
        """Returns what this daemon tells of itself."""
        members = [self._own.name, *(one.name for one in self._alive)]
        return Status(
            self._own.name, self._in_force, sorted(members), self._sync.ready
        )

    async def run(self) -> None:
        """Follows the configuration, for ever."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._watch)
            tg.start_soon(self._pull_for_ever)
            tg.start_soon(self._tick)

    async def load(
        self, revision: int, raw: bytes, from_store: bool = False
    ) -> bool:
        """Takes a stored form; tells whether it was valid.

        It is read in slices, between which the loop serves others.
        """
        async with self._lock:
            held = self._sync.held
            if not may_replace(held.revision, revision):
                self._feed(ConfigLoaded(held, from_store))
                return True
            match await read_in_slices(raw, revision, held):
                case Result(tag="ok", ok=cfg):
                    self.archive.put(revision, raw)
                    self._feed(ConfigLoaded(cfg, from_store))
                    return True
                case Result(error=fault):
                    log_event(
                        "config_refused",
                        "ERROR",
                        revision=revision,
                        detail=fault.detail,
                    )
                    return False

    async def _watch(self) -> None:
        delay_ms = self._rng.uniform(0, START_SPREAD_MS)
        await anyio.sleep(delay_ms / MS_PER_SECOND)
        await self._take_answer(await self._store.read(CONFIG_KEY))
        while True:
            if not self._sync.should_watch:
                await anyio.sleep(DUTY_POLL_MS / MS_PER_SECOND)
                continue
            above = self._sync.held.revision
            answer = await self._store.wait_above(CONFIG_KEY, above, WATCH_MS)
            await self._take_answer(answer)

    async def _take_answer(
        self, answer: Result[Versioned | None, Fault]
    ) -> None:
        match answer:
            case Result(tag="ok", ok=None):
                self._feed(ConfigLoaded(self._sync.held, from_store=True))
            case Result(tag="ok", ok=Versioned() as found):
                await self.load(found.version, found.value, from_store=True)
            case Result(error=fault):
                log_event("store_failed", "WARNING", detail=fault.detail)
                delay_ms = STORE_RETRY_MS * self._rng.uniform(0.5, 1.5)
                await anyio.sleep(delay_ms / MS_PER_SECOND)

    async def _pull_for_ever(self) -> None:
        async for pull in self._taken:
            control = self._find_control(pull.name)
            pulled = await self._client.pull(
                control, self.archive.revision, self.archive.raw
            )
            match pulled:
                case Result(tag="ok", ok=(revision, raw)):
                    if not await self.load(revision, raw):
                        self._feed(PullFailed(pull.name))
                case Result(error=fault):
                    log_event(
                        "config_pull_failed",
                        "WARNING",
                        peer=pull.name,
                        detail=fault.detail,
                    )
                    self._feed(PullFailed(pull.name))

    async def _tick(self) -> None:
        while True:
            self._feed(SyncTick())
            left_ms = max(self._sync.due_ms - self._clock.now_ms(), 1)
            await anyio.sleep(left_ms / MS_PER_SECOND)

    def _find_control(self, name: str) -> str:
        for update in self._alive:
            if update.name == name:
                return update.control
        return ""

    def _hear(self, sender: Sender, notice: ConfigNotice) -> None:
        self._feed(RevisionReported(sender.name, notice.revision, notice.ask))

    def _feed(self, event: Event) -> None:
        for action in self._sync.handle(event, self._clock.now_ms()):
            self._act(action)

    def _act(self, action: Action) -> None:
        match action:
            case SendNotice(name=name, notice=notice):
                self._peers.set_address(name, self._find_control(name))
                self._peers.send(name, notice)
            case Pull():
                self._pulls.send_nowait(action)
            case Enforce(cfg=cfg):
                if may_replace(self._in_force, cfg.revision):
                    self._in_force = cfg.revision
                    self._enforce(cfg)
                    log_event("config_in_force", revision=cfg.revision)


async def read_in_slices(
    raw: bytes, revision: int, old: Config
) -> Result[Config, Fault]:
    """Reads a stored form; the loop runs on after every few lines."""
    steps = decode_in_steps(raw, revision, old)
    count = 0
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result[Config, Fault] = end.value
            return result
        count += 1
        if count % LINES_A_SLICE == 0:
            await anyio.sleep(0)
