"""Takes an entry host out of service."""

from __future__ import annotations

import asyncio
import functools
from typing import Final

import anyio

from ..adapters.http1_connect import deliver_pending
from ..adapters.logs import log_event
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.planner import Planner
from .callers import CallerService
from .directory import DirectoryService
from .peering import Peering
from .registration import Registration
from .tunnels import TunnelService
from .upkeep import keep_running, run_once

# A stopping host accepts connections for this long, as callers may still hold
# a directory answer that names it.
ACCEPT_AFTER_STOP_MS: Final = 2_500
# Idle connections of callers are closed after this delay, when peers no
# longer name this host in directory answers.
IDLE_CLOSE_DELAY_MS: Final = 700
# Share of the grace period after which answers in progress are cut off.
GRACE_PERIOD_SHARE: Final = 0.93
# Share of the grace period by which that end moves forward at most, as the
# signal may have come before it could be handled.
MAX_LATE_SHARE: Final = 0.09
# Share of the grace period after which tunnels of peers are cut off. A peer
# needs no answer then, so that they may last longer.
TUNNEL_SHARE: Final = 0.97
# Time in which the requests that are cut off get their answers.
LAST_ANSWERS_MS: Final = 60
STOP_POLL_MS: Final = 20


class HostStop:
    """Ends the work of an entry host without cutting off answers.

    Attributes:
        grace_ms: Time after the signal at which the process is killed; a
            change counts until the stop begins.
    """

    __slots__ = (
        "grace_ms",
        "_callers",
        "_peering",
        "_directory",
        "_registration",
        "_tunnels",
        "_counters",
        "_pauses",
        "_clock",
        "_started_ms",
        "_signal_ms",
        "_late_ms",
    )

    def __init__(
        self,
        grace_ms: float,
        callers: CallerService,
        peering: Peering,
        directory: DirectoryService,
        registration: Registration,
        tunnels: TunnelService,
        planner: Planner,
        clock: Clock,
    ) -> None:
        """Initializes the object with the parts that a stop ends.

        Args:
            grace_ms: Time after the signal at which the process is killed.
            callers: Connections of callers.
            peering: Tells the peers.
            directory: Names this host to callers no longer.
            registration: Withdraws this host's record.
            tunnels: Connections that peers use.
            planner: Counts unexpected errors, none of which ends the stop,
                and knows when this process last ran.
            clock: The clock.
        """
        self.grace_ms = grace_ms
        self._callers = callers
        self._peering = peering
        self._directory = directory
        self._registration = registration
        self._tunnels = tunnels
        self._counters = planner.counters
        self._pauses = planner.selection.process_pauses
        self._clock = clock
        self._started_ms = clock.now_ms()
        # When the signal was handled first, and how long before it may have
        # come.
        self._signal_ms: int | None = None
        self._late_ms = 0

    def record_signal(self) -> None:
        """Records the signal to stop; may be called in its handler."""
        if self._signal_ms is None:
            self._signal_ms = self._clock.now_ms()
            self._late_ms = self._pauses.signal_delay_ms(
                self._signal_ms, self._started_ms
            )

    async def run(self, listener: asyncio.Server) -> None:
        """Takes the host out of service and waits for answers in progress."""
        self.record_signal()
        assert self._signal_ms is not None
        since_ms = self._clock.now_ms() - self._signal_ms
        log_event(
            "stopping",
            in_progress=self._callers.count_busy(),
            waited_ms=since_ms,
            late_ms=self._late_ms,
        )
        self._peering.leaving = True
        self._directory.leaving = True
        full_ms = int(self.grace_ms * GRACE_PERIOD_SHARE)
        late_ms = min(self._late_ms, int(self.grace_ms * MAX_LATE_SHARE))
        span_ms = max(0, full_ms - since_ms - late_ms)
        accept_ms = min(ACCEPT_AFTER_STOP_MS, full_ms // 2)
        self._callers.drain(accept_ms, full_ms, since_ms + self._late_ms)
        # Bounds all of the stop: the store may not answer, and a grace period
        # may be shorter than the delays below.
        with anyio.move_on_after(span_ms / MS_PER_SECOND):
            async with anyio.create_task_group() as tasks:
                for name, job in (
                    ("announcement", self._announce),
                    ("withdrawal", self._registration.withdraw),
                ):
                    tasks.start_soon(run_once, name, job, self._counters)
                drain = functools.partial(
                    self._drain_connections, listener, accept_ms
                )
                await keep_running("drain", drain, self._counters)
        listener.close()
        log_event(
            "shutdown_done",
            in_progress=self._callers.count_busy(),
            tunnels=self._tunnels.open,
            since_ms=self._clock.now_ms() - self._signal_ms,
        )
        if self._callers.count_open():
            self._callers.end_requests()
            await anyio.sleep(LAST_ANSWERS_MS / MS_PER_SECOND)
        tunnels_ms = int(self.grace_ms * TUNNEL_SHARE) - late_ms
        await self._wait_for_tunnels(self._signal_ms + tunnels_ms)

    async def _wait_for_tunnels(self, until_ms: int) -> None:
        while self._tunnels.open and self._clock.now_ms() < until_ms:
            await anyio.sleep(STOP_POLL_MS / MS_PER_SECOND)

    async def _announce(self) -> None:
        self._peering.send_heartbeats()

    async def _drain_connections(
        self, listener: asyncio.Server, accept_ms: int
    ) -> None:
        """Waits until callers and peers have no connection here.

        Args:
            listener: Accepts connections.
            accept_ms: How long it goes on doing so.
        """
        idle_ms = min(IDLE_CLOSE_DELAY_MS, accept_ms)
        await anyio.sleep(idle_ms / MS_PER_SECOND)
        await self._callers.close_idle()
        await anyio.sleep((accept_ms - idle_ms) / MS_PER_SECOND)
        # Accepts what waits in the queue, which the close would drop.
        await deliver_pending()
        listener.close()
        await self._callers.close_idle()
        while self._callers.count_open() or self._tunnels.open:
            await anyio.sleep(STOP_POLL_MS / MS_PER_SECOND)
            await self._callers.close_idle()
