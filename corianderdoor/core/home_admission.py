"""The home router's side: who may send work to its backend servers."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Final

from .admission_state import AdmissionState, HANDOVER_MS
from .load_report import LoadReport
from .load_sums import (
    have_moved,
    LEVEL_STEPS,
    LoadDigest,
    LoadSums,
    PoolSum,
)
from .permits import Ask, HandOff, PermitAnswer, Release, Verdict
from .shedding import Habits
from .topology import Server

MAX_LEVEL: Final = 255
ENDED_KEEP_MS: Final = 2_000
OBSERVE_MS: Final = 1_000


class HomeAdmission:
    """Admits work to the servers whose home this router is.

    A server's load is bounded by `bound` times the mean of its pool, by
    its capacity and by its ramp. As only the home admits, the bound is
    exact without a shared table; only the mean is told with a lag.
    """

    __slots__ = (
        "_bound",
        "_sums",
        "_states",
        "_totals",
        "_told",
        "_ended",
        "_given_up",
        "_habits",
        "_observed_at_ms",
        "_seq",
    )

    def __init__(self, bound: float, sums: LoadSums, first_seq: int) -> None:
        """Creates an empty book.

        Args:
            bound: Highest load of a server, as a multiple of the mean.
            sums: What other routers tell of their servers.
            first_seq: Larger after each restart, such as the Unix time.
        """
        self._bound = bound
        self._sums = sums
        self._states: dict[str, AdmissionState] = {}
        self._totals: dict[str, tuple[int, int]] = {}
        self._told: dict[str, tuple[int, int]] = {}
        self._ended: dict[tuple[str, int], int] = {}
        self._given_up: dict[str, int] = {}
        self._habits: dict[str, Habits] = {}
        self._observed_at_ms = 0
        self._seq = first_seq

    @property
    def states(self) -> dict[str, AdmissionState]:
        """The accounts by name of server."""
        return self._states

    def set_servers(
        self, servers: Iterable[Server], now_ms: int
    ) -> list[HandOff]:
        """Makes this router the home of just `servers`.

        Returns:
            What the next homes of the servers given up need to know.
        """
        fresh: dict[str, AdmissionState] = {}
        for server in servers:
            if server.name in self._given_up:
                continue
            old = self._states.pop(server.name, None)
            if old is None:
                fresh[server.name] = self._open(server, now_ms, False)
            elif old.server.incarnation < server.incarnation:
                fresh[server.name] = self._open(server, now_ms, True)
            else:
                old.server = server
                fresh[server.name] = old
        handed = [state.hand_off() for state in self._states.values()]
        self._states = fresh
        self._recount()
        return handed

    def ask(self, holder: str, ask: Ask, now_ms: int) -> PermitAnswer:
        """Answers a router that asks for room, itself included."""
        key = (holder, ask.id)
        state = self._states.get(ask.server)
        if state is None or key in self._ended:
            return PermitAnswer(ask.id, Verdict.NOT_HOME)
        if state.holds(key):
            return PermitAnswer(ask.id, Verdict.GRANTED)
        capacity = max(1, state.capacity)
        mean = self.mean(state.server.pool, ask.weight) * capacity
        verdict = state.judge(ask, self._bound * mean, mean, now_ms)
        if verdict is Verdict.GRANTED:
            state.grant(key, ask, now_ms)
            self._count(state, ask.weight, 0)
        return PermitAnswer(ask.id, verdict)

    def release(self, holder: str, release: Release, now_ms: int) -> None:
        """Takes a permit back; an ask that comes later gets none."""
        key = (holder, release.id)
        self._ended[key] = now_ms
        state = self._states.get(release.server)
        if state is not None:
            load, capacity = state.load, state.capacity
            state.release(key, release, now_ms)
            self._count(state, state.load - load, state.capacity - capacity)

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Takes a server's own report."""
        state = self._states.get(report.server)
        if state is not None:
            state.apply_report(report, now_ms)
            self._recount()

    def apply_hand_off(self, handed: HandOff, now_ms: int) -> None:
        """Takes a server over from its former home."""
        state = self._states.get(handed.server)
        if state is not None:
            state.apply_hand_off(handed, now_ms)
            self._recount()

    def give_up(self, name: str, now_ms: int) -> HandOff | None:
        """Gives a server up to the home that asks for it.

        Returns:
            What the new home needs to know; None if this was not the home.
        """
        state = self._states.pop(name, None)
        if state is None:
            return None
        self._given_up[name] = now_ms
        self._recount()
        return state.hand_off()

    def in_handover(self, now_ms: int) -> list[Server]:
        """Returns the servers that another home may still believe its own."""
        return [
            state.server
            for state in self._states.values()
            if state.in_handover(now_ms)
        ]

    def digest(self) -> LoadDigest:
        """Returns what other routers should know of these servers."""
        self._seq += 1
        self._told = dict(self._totals)
        levels = tuple(
            (name, self._level(state)) for name, state in self._states.items()
        )
        return LoadDigest(self._seq, tuple(self.sums().values()), levels)

    def has_news(self) -> bool:
        """Tells whether a pool's load has moved by much since `digest`."""
        return have_moved(self._told, self._totals)

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
        """Drops what has expired; call about once a second."""
        for state in self._states.values():
            state.tick(now_ms)
        self._observe_habits(now_ms)
        self._recount()
        self._ended = {
            key: at_ms
            for key, at_ms in self._ended.items()
            if now_ms - at_ms < ENDED_KEEP_MS
        }
        self._given_up = {
            name: at_ms
            for name, at_ms in self._given_up.items()
            if now_ms - at_ms < HANDOVER_MS
        }

    def _open(
        self, server: Server, now_ms: int, settled: bool
    ) -> AdmissionState:
        habits = self._habits.get(server.pool)
        if habits is None:
            habits = self._habits[server.pool] = Habits(now_ms)
        return AdmissionState(server, now_ms, settled, habits)

    def _observe_habits(self, now_ms: int) -> None:
        """Lets each pool's habits see its present use by workspace."""
        if now_ms - self._observed_at_ms < OBSERVE_MS:
            return
        self._observed_at_ms = now_ms
        usage: dict[str, collections.Counter[int]] = {}
        for state in self._states.values():
            counts = usage.setdefault(state.server.pool, collections.Counter())
            counts.update(state.shedder.usage)
        for pool, counts in usage.items():
            self._habits[pool].observe(counts, now_ms)

    def _count(self, state: AdmissionState, load: int, capacity: int) -> None:
        pool = state.server.pool
        old_load, old_capacity = self._totals.get(pool, (0, 0))
        self._totals[pool] = (old_load + load, old_capacity + capacity)

    def _recount(self) -> None:
        self._totals = {}
        for state in self._states.values():
            self._count(state, state.load, state.capacity)

    def _level(self, state: AdmissionState) -> int:
        if state.requests >= state.ramp.allowed:
            return MAX_LEVEL
        capacity = max(1, state.capacity)
        mean = self.mean(state.server.pool, 1) * capacity
        return min(MAX_LEVEL - 1, round(LEVEL_STEPS * state.load / mean))
