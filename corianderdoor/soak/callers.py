"""Callers of a soak run, which send requests and record the answers."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Final

import anyio
import msgspec

from ..adapters.http1 import H11Protocol
from ..adapters.http1_connect import connect
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.addresses import Address
from ..platform.directory import DIRECTORY_PATH
from ..standins.platform_caller import read_answer, write_chat
from ..standins.platform_fleet import (
    CALLER_HOST,
    KEY,
    send_request,
    TIMEOUT_MS,
)
from .ledger import Attempt, Ledger

REQUEST_KINDS: Final = (
    "chat",
    "chat",
    "chat",
    "draft",
    "pay",
    "pay",
    "read",
    "read",
)
CHAT_COUNT: Final = 16
MEAN_PAUSE_MS: Final = 150
CONNECT_TIMEOUT_MS: Final = 500
# A caller closes the connection this long after the deadline of a request.
DEADLINE_GRACE_MS: Final = 3_000
# Share of the requests whose caller disconnects before the answer.
DISCONNECT_SHARE: Final = 0.03
DISCONNECT_AFTER_MS: Final = 60
RECONNECT_DELAY_MS: Final = 100
# Share of the callers that use a connection for as long as it is open. The
# others reconnect if its host is no longer listed.
KEEP_CONNECTION_SHARE: Final = 0.5


class Caller:
    """A caller with at most one open connection."""

    __slots__ = (
        "_name",
        "_ledger",
        "_clock",
        "_rng",
        "_directories",
        "_find_host_name",
        "_keeps_connection",
        "_protocol",
        "_host",
        "_sent_count",
        "_addresses",
    )

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        clock: Clock,
        rng: random.Random,
        directories: list[Address],
        find_host_name: Callable[[str], str],
    ) -> None:
        """Creates a caller without a connection.

        Args:
            name: Prefix of the ids of its requests.
            ledger: Receives the observations.
            clock: The clock of the run.
            rng: Source of all random choices.
            directories: Addresses of the directory services to query.
            find_host_name: Returns the name of the host at an address.
        """
        self._name = name
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        self._directories = directories
        self._find_host_name = find_host_name
        self._keeps_connection = rng.random() < KEEP_CONNECTION_SHARE
        self._protocol: H11Protocol | None = None
        self._host = ""
        self._sent_count = 0
        self._addresses: list[str] = []

    async def run(self, stop: anyio.Event) -> None:
        """Sends requests until `stop` is set and the last one has ended."""
        try:
            while not stop.is_set():
                pause_ms = self._rng.expovariate(1 / MEAN_PAUSE_MS)
                await anyio.sleep(pause_ms / MS_PER_SECOND)
                await self.refresh_addresses()
                await self.call(self._rng.choice(REQUEST_KINDS))
        finally:
            self._close_connection()

    async def refresh_addresses(self) -> None:
        """Updates the addresses of the hosts in service.

        Keeps the old addresses if the directory service does not answer.
        """
        if self._protocol is not None and self._keeps_connection:
            return
        address = self._rng.choice(self._directories)
        with anyio.move_on_after(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
            reply = await send_request(address, DIRECTORY_PATH.decode())
            if reply.status == 200 and reply.complete:
                self._addresses = msgspec.json.decode(reply.body)["addresses"]
        if self._protocol is not None and self._host not in map(
            self._find_host_name, self._addresses
        ):
            self._close_connection()

    def _close_connection(self) -> None:
        if self._protocol is not None:
            self._protocol.abort()
            self._protocol = None

    async def call(self, kind: str) -> Attempt | None:
        """Sends one request; returns None if it could not connect."""
        first_on_connection = self._protocol is None
        if self._protocol is None and not await self._connect():
            return None
        assert self._protocol is not None
        self._sent_count += 1
        attempt = Attempt(
            f"{self._name}-{self._sent_count}",
            kind,
            self._host,
            self._clock.now_ms(),
            first_on_connection,
        )
        self._ledger.attempts[attempt.id] = attempt
        limit_ms = TIMEOUT_MS + DEADLINE_GRACE_MS
        if self._rng.random() < DISCONNECT_SHARE:
            limit_ms = DISCONNECT_AFTER_MS
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
        attempt.disconnected = (
            scope.cancelled_caught and limit_ms == DISCONNECT_AFTER_MS
        )
        attempt.ended_ms = self._clock.now_ms()
        if not attempt.complete or not self._protocol.reset_cycle():
            self._close_connection()
        return attempt

    async def _connect(self) -> bool:
        if not self._addresses:
            return False
        host, _, port = self._rng.choice(self._addresses).rpartition(":")
        self._protocol = await connect(
            (host, int(port)), CONNECT_TIMEOUT_MS, 0
        )
        self._host = self._find_host_name(f"{host}:{port}")
        if self._protocol is None:
            await anyio.sleep(RECONNECT_DELAY_MS / MS_PER_SECOND)
        return self._protocol is not None

    def _prompt(self, kind: str) -> str:
        if kind not in ("chat", "draft"):
            return ""
        chat = self._rng.randrange(CHAT_COUNT)
        return (
            f"t{chat % 4}:2500,c{chat}:3000,{self._name}{self._sent_count}:300"
        )
