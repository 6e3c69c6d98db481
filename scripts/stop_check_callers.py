"""Callers of the check of planned stops, and the rule that judges them."""

from __future__ import annotations

from collections import Counter
import random

import anyio
from soak_deployment import Host
from stop_check_servers import build_id, count_events

from corianderdoor.adapters.http1 import H11Protocol
from corianderdoor.adapters.http1_connect import connect
from corianderdoor.core.clock import MS_PER_SECOND
from corianderdoor.standins.platform_caller import read_answer, write_chat
from corianderdoor.standins.platform_fleet import (
    build_route,
    CALLER_HOST,
    ENGINE_SERVICE,
    GRACE_PERIOD_S,
    KEY,
    PLAIN_SERVICE,
    PlatformFleet,
    PORT,
    Reply,
    ROUTES,
    TIMEOUT_MS,
)

# Callers use a directory answer for up to two seconds.
CALLER_TTL_MS = 2_000
THINK_S = 0.02
LONG_TIMEOUT_MS = 12_000
PATHS = {
    "/chat/x": TIMEOUT_MS,
    "/draft/x": TIMEOUT_MS,
    "/pay/x": TIMEOUT_MS,
    "/read/x": TIMEOUT_MS,
    "/long/x": LONG_TIMEOUT_MS,
    "/session/x": LONG_TIMEOUT_MS,
    "/order/x": LONG_TIMEOUT_MS,
}
LONG_ROUTES = (
    build_route(
        "/long/", "streaming", ENGINE_SERVICE, timeout_ms=LONG_TIMEOUT_MS
    ),
    build_route(
        "/session/",
        "streaming",
        ENGINE_SERVICE,
        timeout_ms=LONG_TIMEOUT_MS,
        stream_resumption=False,
    ),
    build_route(
        "/order/", "non_idempotent", PLAIN_SERVICE, timeout_ms=LONG_TIMEOUT_MS
    ),
)
ALL_ROUTES = (*ROUTES, *LONG_ROUTES)
SHORT_MS = 200
# Most answers are short, so that they say little about the next one.
LONG_SHARE = 0.05
# A silent server delays an answer; longer ones would reach their timeout.
MAX_SHARE = 0.7
# The rule's excuses: a request that its deadline ended, and one sent up to
# this long after the signal and in progress in the last sixth of the grace
# period.
DEADLINE_SLACK_MS = 50
EXCUSED_SENT_MS = 3_000
EXCUSED_SHARE = 5 / 6


class Callers:
    """Sends requests to hosts, and judges how each one ended.

    Attributes:
        signal_ms: When each host got SIGTERM; hosts that serve are missing.
        starting: Hosts that start; the directory doesn't name them yet.
        outcomes: Number of requests by how they ended.
        failures: What breaks the rule.
        done: Whether the run is over; what ends later doesn't count.
    """

    def __init__(
        self, fleet: PlatformFleet, rng: random.Random, think_s: float
    ) -> None:
        self.signal_ms: dict[str, int] = {}
        self.starting: set[str] = set()
        self.outcomes: Counter[str] = Counter()
        self.failures: list[str] = []
        self.done = False
        self._fleet = fleet
        self._rng = rng
        self._think_s = think_s
        self._number = 0

    async def call(self, host: Host, keeps: bool, patient: bool) -> None:
        """Sends requests to a host, one after the other.

        Args:
            host: The host.
            keeps: Whether to use a connection again.
            patient: Whether to use it for as long as it lasts, though the
                directory may no longer name the host.
        """
        kept: H11Protocol | None = None
        while True:
            protocol = kept if kept is not None and kept.reusable else None
            reused = protocol is not None
            if self._is_unused(host) and not (reused and patient):
                if kept is not None:
                    kept.abort()
                kept = None
                await anyio.sleep(THINK_S)
                continue
            if protocol is None:
                protocol = await connect((host.address, PORT), 1_000, 0)
            if protocol is None:
                self.outcomes["not accepted"] += 1
                if host.name in self.signal_ms:
                    self.failures.append(f"{host.name}: refused connection")
                await anyio.sleep(THINK_S)
                continue
            await self._send(host, protocol, reused)
            kept = protocol if keeps and protocol.reset_cycle() else None
            if kept is None:
                protocol.abort()
            await anyio.sleep(self._rng.choice((0, 0, THINK_S, self._think_s)))

    def _is_unused(self, host: Host) -> bool:
        if host.name in self.starting:
            return True
        signal_ms = self.signal_ms.get(host.name)
        now_ms = self._fleet.clock.now_ms()
        return signal_ms is not None and now_ms > signal_ms + CALLER_TTL_MS

    async def _send(
        self, host: Host, protocol: H11Protocol, reused: bool
    ) -> None:
        self._number += 1
        path, timeout_ms = self._rng.choice(list(PATHS.items()))
        longest_ms = float(SHORT_MS)
        if self._rng.random() < LONG_SHARE:
            longest_ms = timeout_ms * MAX_SHARE
        took_ms = self._rng.uniform(5, longest_ms)
        id = build_id(self._number, int(took_ms))
        reply = Reply()
        sent_ms = self._fleet.clock.now_ms()
        write_chat(protocol, CALLER_HOST, id, path, KEY, "", timeout_ms)
        await read_answer(protocol, reply)
        if self.done:
            return
        now_ms = self._fleet.clock.now_ms()
        runs = sum(worker.runs[id] for worker in self._fleet.workers.values())
        if reply.complete:
            self.outcomes[f"status {reply.status}"] += 1
            is_stream = b"content-length" not in reply.headers
            events = reply.body.count(b"data: ")
            if is_stream and events != count_events(id):
                self.failures.append(f"{host.name}: {id} {path} is not whole")
            return
        begun = "cut" if reply.status else "unanswered"
        signal_ms = self.signal_ms.get(host.name)
        excuse = self._find_excuse(
            signal_ms, sent_ms, now_ms, timeout_ms, runs > 0, reused
        )
        if excuse:
            self.outcomes[f"{begun}, allowed: {excuse}"] += 1
            return
        way = "kept" if reused else "new"
        self.outcomes[f"{begun} on a {way} connection"] += 1
        after_ms = None if signal_ms is None else sent_ms - signal_ms
        self.failures.append(
            f"{host.name}: {id} {path} {begun} on a {way} connection after "
            f"{now_ms - sent_ms} ms, sent {after_ms} ms after the signal, "
            f"runs {runs}"
        )

    def _find_excuse(
        self,
        signal_ms: int | None,
        sent_ms: int,
        now_ms: int,
        timeout_ms: int,
        has_run: bool,
        reused: bool,
    ) -> str:
        """Returns why the rule allows a request to end without an answer."""
        if now_ms - sent_ms >= timeout_ms - DEADLINE_SLACK_MS:
            return "deadline"
        if signal_ms is None:
            return ""
        after_ms = sent_ms - signal_ms
        is_late = after_ms > CALLER_TTL_MS
        if is_late and reused and not has_run and now_ms - sent_ms < SHORT_MS:
            return "crossed the close"
        last_sixth_ms = GRACE_PERIOD_S * MS_PER_SECOND * EXCUSED_SHARE
        if (
            has_run
            and after_ms <= EXCUSED_SENT_MS
            and now_ms - signal_ms >= last_sixth_ms
        ):
            return "last sixth"
        return ""
