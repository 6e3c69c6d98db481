"""Admission control by the home router of backend servers."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Final

from .admission_state import AdmissionState, HANDOVER_MS
from .load_report import LoadReport
from .load_sums import (
    have_changed,
    LEVEL_STEPS,
    LoadDigest,
    LoadSums,
    PoolSum,
)
from .permits import Ask, HandOff, PermitAnswer, Release, Verdict
from .shedding import WorkspaceShares
from .topology import Server

# The level of a full server; digests carry levels as 8-bit integers.
MAX_LEVEL: Final = 255
# Lifetime of the tombstones by which asks that arrive after their release
# are refused.
RELEASED_KEEP_MS: Final = 2_000
OBSERVE_INTERVAL_MS: Final = 1_000


class HomeAdmission:
    """Grants permits for the servers whose home this router is.

    A server's load is limited by `bound` times the mean of its pool, by its
    capacity and by slow start. As only the home admits, the bound is exact
    without a shared table; only the mean, which routers exchange, lags.
    """

    __slots__ = (
        "_bound",
        "_sums",
        "_states",
        "_totals",
        "_sent_totals",
        "_released",
        "_handed_off",
        "_shares",
        "_observed_at_ms",
        "_seq",
    )

    def __init__(self, bound: float, sums: LoadSums, first_seq: int) -> None:
        """Creates the admission control of a router without servers.

        Args:
            bound: Highest load of a server, as a multiple of the mean.
            sums: Loads that other routers report.
            first_seq: Larger after each restart, such as the Unix time.
        """
        self._bound = bound
        self._sums = sums
        self._states: dict[str, AdmissionState] = {}
        self._totals: dict[str, tuple[int, int]] = {}
        self._sent_totals: dict[str, tuple[int, int]] = {}
        self._released: dict[tuple[str, int], int] = {}
        self._handed_off: dict[str, int] = {}
        self._shares: dict[str, WorkspaceShares] = {}
        self._observed_at_ms = 0
        self._seq = first_seq

    @property
    def states(self) -> dict[str, AdmissionState]:
        """The admission states by server name."""
        return self._states

    def set_servers(
        self, servers: Iterable[Server], now_ms: int
    ) -> list[HandOff]:
        """Replaces the servers whose home this router is.

        A server handed off within the last `HANDOVER_MS` is not taken back.

        Returns:
            The states of the servers removed, for their next homes.
        """
        states: dict[str, AdmissionState] = {}
        for server in servers:
            if server.name in self._handed_off:
                continue
            old = self._states.pop(server.name, None)
            if old is None:
                states[server.name] = self._open(server, now_ms, False)
            elif old.server.incarnation < server.incarnation:
                states[server.name] = self._open(server, now_ms, True)
            else:
                old.server = server
                states[server.name] = old
        handed = [state.hand_off() for state in self._states.values()]
        self._states = states
        self._recount()
        return handed

    def handle_ask(self, holder: str, ask: Ask, now_ms: int) -> PermitAnswer:
        """Answers a request for a permit, of another router or of this one."""
        key = (holder, ask.id)
        state = self._states.get(ask.server)
        if state is None or key in self._released:
            return PermitAnswer(ask.id, Verdict.NOT_HOME)
        if state.holds(key):
            return PermitAnswer(ask.id, Verdict.GRANTED)
        capacity = max(1, state.capacity)
        mean = self.mean(state.server.pool, ask.weight) * capacity
        verdict = state.check(ask, self._bound * mean, mean, now_ms)
        if verdict is Verdict.GRANTED:
            state.grant(key, ask, now_ms)
            self._count(state, ask.weight, 0)
        return PermitAnswer(ask.id, verdict)

    def release(self, holder: str, release: Release, now_ms: int) -> None:
        """Releases a permit; an ask that arrives later is refused."""
        key = (holder, release.id)
        self._released[key] = now_ms
        state = self._states.get(release.server)
        if state is not None:
            load, capacity = state.load, state.capacity
            state.release(key, release, now_ms)
            self._count(state, state.load - load, state.capacity - capacity)

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Updates a server's state from its own report."""
        state = self._states.get(report.server)
        if state is not None:
            state.apply_report(report, now_ms)
            self._recount()

    def apply_hand_off(self, handed: HandOff, now_ms: int) -> None:
        """Merges the former home's state of a server."""
        state = self._states.get(handed.server)
        if state is not None:
            state.apply_hand_off(handed, now_ms)
            self._recount()

    def hand_off(self, name: str, now_ms: int) -> HandOff | None:
        """Hands a server off to the new home that asks for it.

        Returns:
            The state for the new home; None if this router is not the home.
        """
        state = self._states.pop(name, None)
        if state is None:
            return None
        self._handed_off[name] = now_ms
        self._recount()
        return state.hand_off()

    def in_handover(self, now_ms: int) -> list[Server]:
        """Returns the servers whose handover is not complete."""
        return [
            state.server
            for state in self._states.values()
            if state.in_handover(now_ms)
        ]

    def digest(self) -> LoadDigest:
        """Returns the next digest of these servers for other routers."""
        self._seq += 1
        self._sent_totals = dict(self._totals)
        levels = tuple(
            (name, self._level(state)) for name, state in self._states.items()
        )
        return LoadDigest(self._seq, tuple(self.sums().values()), levels)

    def has_changed(self) -> bool:
        """Returns whether a pool's load changed much since `digest`."""
        return have_changed(self._sent_totals, self._totals)

    def sums(self) -> dict[str, PoolSum]:
        """Returns load and capacity of these servers by pool."""
        return {
            pool: PoolSum(pool, load, capacity)
            for pool, (load, capacity) in self._totals.items()
        }

    def mean(self, pool: str, extra: int) -> float:
        """Returns the mean load per unit of capacity, with `extra` added."""
        load, capacity = self._sums.total(pool)
        own_load, own_capacity = self._totals.get(pool, (0, 0))
        return (load + own_load + extra) / max(1, capacity + own_capacity)

    def tick(self, now_ms: int) -> None:
        """Drops expired permits, tombstones and hand-offs; samples usage."""
        for state in self._states.values():
            state.tick(now_ms)
        self._observe_usage(now_ms)
        self._recount()
        self._released = {
            key: at_ms
            for key, at_ms in self._released.items()
            if now_ms - at_ms < RELEASED_KEEP_MS
        }
        self._handed_off = {
            name: at_ms
            for name, at_ms in self._handed_off.items()
            if now_ms - at_ms < HANDOVER_MS
        }

    def _open(
        self, server: Server, now_ms: int, settled: bool
    ) -> AdmissionState:
        shares = self._shares.get(server.pool)
        if shares is None:
            shares = self._shares[server.pool] = WorkspaceShares(now_ms)
        return AdmissionState(server, now_ms, settled, shares)

    def _observe_usage(self, now_ms: int) -> None:
        """Samples each pool's requests by workspace for its shares."""
        if now_ms - self._observed_at_ms < OBSERVE_INTERVAL_MS:
            return
        self._observed_at_ms = now_ms
        usage: dict[str, collections.Counter[int]] = {}
        for state in self._states.values():
            counts = usage.setdefault(state.server.pool, collections.Counter())
            counts.update(state.shedder.usage)
        for pool, counts in usage.items():
            self._shares[pool].observe(counts, now_ms)

    def _count(self, state: AdmissionState, load: int, capacity: int) -> None:
        pool = state.server.pool
        old_load, old_capacity = self._totals.get(pool, (0, 0))
        self._totals[pool] = (old_load + load, old_capacity + capacity)

    def _recount(self) -> None:
        self._totals = {}
        for state in self._states.values():
            self._count(state, state.load, state.capacity)

    def _level(self, state: AdmissionState) -> int:
        if state.requests >= state.slow_start.limit:
            return MAX_LEVEL
        capacity = max(1, state.capacity)
        mean = self.mean(state.server.pool, 1) * capacity
        return min(MAX_LEVEL - 1, round(LEVEL_STEPS * state.load / mean))
