"""Callers of a soak: they keep connections and note what they get."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Final

import anyio
import msgspec

from ..adapters.http1 import connect, H11Protocol
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.addresses import Address
from ..platform.directory import DIRECTORY_PATH
from ..standins.platform_caller import read_answer, write_chat
from ..standins.platform_fleet import ask, CALLER_HOST, KEY, TIMEOUT_MS
from .ledger import Attempt, Ledger

KINDS: Final = ("chat", "chat", "chat", "draft", "pay", "pay", "read", "read")
CHATS: Final = 16
MEAN_PAUSE_MS: Final = 150
CONNECT_MS: Final = 500
# A caller gives up this long after its time has passed.
PATIENCE_MS: Final = 3_000
# Share of the requests whose caller goes away before the answer.
LEAVING: Final = 0.03
LEAVE_MS: Final = 60
RETRY_MS: Final = 100
# Share of the callers that stay on a connection while it is open.
STAYING: Final = 0.5


class Caller:
    """One caller with one connection at a time."""

    __slots__ = (
        "_name",
        "_ledger",
        "_clock",
        "_rng",
        "_directories",
        "_name_of",
        "_stays",
        "_protocol",
        "_host",
        "_number",
        "_named",
    )

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        clock: Clock,
        rng: random.Random,
        directories: list[Address],
        name_of: Callable[[str], str],
    ) -> None:
        """Creates it.

        Args:
            name: Begins the ids of its requests.
            ledger: Takes what it sees.
            clock: The clock of the run.
            rng: Decides what it asks for.
            directories: Where it asks which host to use.
            name_of: Returns the host that serves callers at an address.
        """
        self._name = name
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        self._directories = directories
        self._name_of = name_of
        self._stays = rng.random() < STAYING
        self._protocol: H11Protocol | None = None
        self._host = ""
        self._number = 0
        self._named: list[str] = []

    async def run(self, stop: anyio.Event) -> None:
        """Sends requests until `stop` is set; the last one ends first."""
        try:
            while not stop.is_set():
                pause_ms = self._rng.expovariate(1 / MEAN_PAUSE_MS)
                await anyio.sleep(pause_ms / MS_PER_SECOND)
                await self.look_up()
                await self.call(self._rng.choice(KINDS))
        finally:
            self._drop()

    async def look_up(self) -> None:
        """Asks which hosts are in service; keeps the old answer on failure."""
        if self._protocol is not None and self._stays:
            return
        address = self._rng.choice(self._directories)
        with anyio.move_on_after(CONNECT_MS / MS_PER_SECOND):
            reply = await ask(address, DIRECTORY_PATH.decode())
            if reply.status == 200 and reply.whole:
                self._named = msgspec.json.decode(reply.body)["addresses"]
        if self._protocol is not None and self._host not in map(
            self._name_of, self._named
        ):
            self._drop()

    def _drop(self) -> None:
        if self._protocol is not None:
            self._protocol.abort()
            self._protocol = None

    async def call(self, kind: str) -> Attempt | None:
        """Sends one request; returns None if no host took a connection."""
        fresh = self._protocol is None
        if self._protocol is None and not await self._connect():
            return None
        assert self._protocol is not None
        self._number += 1
        attempt = Attempt(
            f"{self._name}-{self._number}",
            kind,
            self._host,
            self._clock.now_ms(),
            fresh,
        )
        self._ledger.attempts[attempt.id] = attempt
        limit_ms = TIMEOUT_MS + PATIENCE_MS
        if self._rng.random() < LEAVING:
            limit_ms = LEAVE_MS
        write_chat(
            self._protocol,
            CALLER_HOST,
            attempt.id,
            f"/{kind}/x",
            KEY,
            self._prompt(kind),
            TIMEOUT_MS,
        )
        with anyio.move_on_after(limit_ms / MS_PER_SECOND) as scope:
            await read_answer(self._protocol, attempt)
        attempt.left = scope.cancelled_caught and limit_ms == LEAVE_MS
        attempt.ended_ms = self._clock.now_ms()
        if not attempt.whole or not self._protocol.reset_cycle():
            self._drop()
        return attempt

    async def _connect(self) -> bool:
        if not self._named:
            return False
        host, _, port = self._rng.choice(self._named).rpartition(":")
        self._protocol = await connect((host, int(port)), CONNECT_MS, 0)
        self._host = self._name_of(f"{host}:{port}")
        if self._protocol is None:
            await anyio.sleep(RETRY_MS / MS_PER_SECOND)
        return self._protocol is not None

    def _prompt(self, kind: str) -> str:
        if kind not in ("chat", "draft"):
            return ""
        chat = self._rng.randrange(CHATS)
        return f"t{chat % 4}:2500,c{chat}:3000,{self._name}{self._number}:300"
