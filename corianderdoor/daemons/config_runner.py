"""Keeps a daemon's configuration current by watch, pulls and notices."""

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
WATCHER_POLL_MS: Final = 500
START_JITTER_MS: Final = 500
LINES_PER_SLICE: Final = 8


class ConfigRunner:
    """Connects `ConfigSync` to the key-value service and to peers.

    Attributes:
        archive: The newest stored form, which the control port serves.
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
        "_pull_sender",
        "_pull_receiver",
        "_load_lock",
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
            peers: Port to the other daemons.
            keyring: Shared keys of the fleet.
            clock: The clock of the daemon.
            rng: Source of random choices and jitter.
            enforce: Puts a configuration in force; called with increasing
                revisions only.
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
        self._pull_sender, self._pull_receiver = (
            anyio.create_memory_object_stream[Pull](1)
        )
        self._load_lock = anyio.Lock()
        peers.listen(ConfigNotice, self._receive_notice)

    def set_members(self, alive: tuple[Update, ...]) -> None:
        """Replaces the set of other daemons believed alive."""
        self._alive = alive
        self._handle_event(MembersChanged(alive))

    def record_peer_revision(self, name: str, revision: int) -> None:
        """Records a revision that a peer reported in a gossip message."""
        self._handle_event(RevisionReported(name, revision))

    def status(self) -> Status:
        """Returns the status of this daemon for the control port."""
        members = [self._own.name, *(member.name for member in self._alive)]
        return Status(
            self._own.name, self._in_force, sorted(members), self._sync.ready
        )

    async def run(self) -> None:
        """Keeps the configuration up to date until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._watch)
            tg.start_soon(self._run_pulls)
            tg.start_soon(self._tick)

    async def load(
        self, revision: int, raw: bytes, from_store: bool = False
    ) -> bool:
        """Loads a stored form and hands it to `ConfigSync`.

        The form is parsed in slices, so that other tasks run in between.

        Args:
            revision: Revision of the stored form.
            raw: The stored form.
            from_store: Whether it came directly from the key-value service.

        Returns:
            Whether it was valid; a form that is not newer is not parsed and
            counts as valid.
        """
        async with self._load_lock:
            held = self._sync.held
            if not may_replace(held.revision, revision):
                self._handle_event(ConfigLoaded(held, from_store))
                return True
            match await read_in_slices(raw, revision, held):
                case Result(tag="ok", ok=cfg):
                    self.archive.put(revision, raw)
                    self._handle_event(ConfigLoaded(cfg, from_store))
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
        delay_ms = self._rng.uniform(0, START_JITTER_MS)
        await anyio.sleep(delay_ms / MS_PER_SECOND)
        await self._apply_store_answer(await self._store.read(CONFIG_KEY))
        while True:
            if not self._sync.should_watch:
                await anyio.sleep(WATCHER_POLL_MS / MS_PER_SECOND)
                continue
            above = self._sync.held.revision
            answer = await self._store.wait_above(CONFIG_KEY, above, WATCH_MS)
            await self._apply_store_answer(answer)

    async def _apply_store_answer(
        self, answer: Result[Versioned | None, Fault]
    ) -> None:
        match answer:
            case Result(tag="ok", ok=None):
                self._handle_event(
                    ConfigLoaded(self._sync.held, from_store=True)
                )
            case Result(tag="ok", ok=Versioned() as found):
                await self.load(found.version, found.value, from_store=True)
            case Result(error=fault):
                log_event("store_failed", "WARNING", detail=fault.detail)
                delay_ms = STORE_RETRY_MS * self._rng.uniform(0.5, 1.5)
                await anyio.sleep(delay_ms / MS_PER_SECOND)

    async def _run_pulls(self) -> None:
        async for pull in self._pull_receiver:
            control = self._find_control(pull.name)
            pulled = await self._client.pull(
                control, self.archive.revision, self.archive.raw
            )
            match pulled:
                case Result(tag="ok", ok=(revision, raw)):
                    if not await self.load(revision, raw):
                        self._handle_event(PullFailed(pull.name))
                case Result(error=fault):
                    log_event(
                        "config_pull_failed",
                        "WARNING",
                        peer=pull.name,
                        detail=fault.detail,
                    )
                    self._handle_event(PullFailed(pull.name))

    async def _tick(self) -> None:
        while True:
            self._handle_event(SyncTick())
            left_ms = max(self._sync.due_ms - self._clock.now_ms(), 1)
            await anyio.sleep(left_ms / MS_PER_SECOND)

    def _find_control(self, name: str) -> str:
        for update in self._alive:
            if update.name == name:
                return update.control
        return ""

    def _receive_notice(self, sender: Sender, notice: ConfigNotice) -> None:
        self._handle_event(
            RevisionReported(sender.name, notice.revision, notice.ask)
        )

    def _handle_event(self, event: Event) -> None:
        for action in self._sync.handle(event, self._clock.now_ms()):
            self._run_action(action)

    def _run_action(self, action: Action) -> None:
        match action:
            case SendNotice(name=name, notice=notice):
                self._peers.set_address(name, self._find_control(name))
                self._peers.send(name, notice)
            case Pull():
                self._pull_sender.send_nowait(action)
            case Enforce(cfg=cfg):
                if may_replace(self._in_force, cfg.revision):
                    self._in_force = cfg.revision
                    self._enforce(cfg)
                    log_event("config_in_force", revision=cfg.revision)


async def read_in_slices(
    raw: bytes, revision: int, old: Config
) -> Result[Config, Fault]:
    """Parses a stored form, yielding to the event loop every few lines."""
    steps = decode_in_steps(raw, revision, old)
    count = 0
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result[Config, Fault] = end.value
            return result
        count += 1
        if count % LINES_PER_SLICE == 0:
            await anyio.sleep(0)
