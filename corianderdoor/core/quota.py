"""Admission by workspace limits that apply across all routers.

Each router admits requests from the quota that the limit's home granted it
and requests more before it runs out. While the home is unreachable, it falls
back to an even split of the limit over the live routers. A tenth of the rate
is always split evenly and needs no messages, so a router that rarely gets
requests of a workspace sends none for it.
"""

from __future__ import annotations

import enum
import math
from typing import Final

from .clock import MS_PER_SECOND
from .errors import Fault, Kind
from .quota_home import BURST_MS, choose_interval_ms, HOME_FRACTION, MILLI
from .quota_messages import QuotaAsk, QuotaGrant, WorkspaceLimit
from .rules import Rule

ASK_RETRY_MS: Final = 250
MAX_UNANSWERED_ASKS: Final = 3
UNREACHABLE_RETRY_MS: Final = 2_000
IDLE_EVICTION_MS: Final = 10_000
DEMAND_WINDOW_MS: Final = 4_000
PENDING_RETRY_MS: Final = 10


class Verdict(enum.Enum):
    """Result of admission for a request that is not refused."""

    ADMITTED = "admitted"
    PENDING = "pending"  # waits for the home; retry in `PENDING_RETRY_MS`


class _LimitState:
    """Quota and demand of this router for one limit."""

    __slots__ = (
        "in_use",
        "slots",
        "rate",
        "held_until_ms",
        "renew_at_ms",
        "tokens",
        "tokens_at_ms",
        "asked_at_ms",
        "asks",
        "first_seq",
        "last_seq",
        "refused_until_ms",
        "home_unreachable",
        "waiting",
        "demand",
        "demand_at_ms",
        "used_at_ms",
    )

    def __init__(self, now_ms: int) -> None:
        self.in_use = 0
        self.slots = 0
        self.rate = 0.0
        self.held_until_ms = now_ms
        self.renew_at_ms = now_ms
        self.tokens = 0.0
        self.tokens_at_ms = now_ms
        self.asked_at_ms = now_ms - ASK_RETRY_MS
        self.asks = 0
        self.first_seq = 0
        self.last_seq = 0
        self.refused_until_ms = now_ms
        self.home_unreachable = False
        self.waiting = 0
        self.demand = 0.0
        self.demand_at_ms = now_ms
        self.used_at_ms = now_ms


class Quota:
    """One router's quota of the limits of all workspaces.

    Holds one entry for each limit used within `IDLE_EVICTION_MS`.
    """

    __slots__ = ("_states", "_routers", "_interval_ms", "_outgoing", "_seq")

    def __init__(self) -> None:
        self._states: dict[WorkspaceLimit, _LimitState] = {}
        self._routers = 1
        self._interval_ms = choose_interval_ms(1)
        self._outgoing: list[QuotaAsk] = []
        self._seq = 0

    @property
    def size(self) -> int:
        """Number of limits with state."""
        return len(self._states)

    def set_routers(self, count: int) -> None:
        """Sets the number of live routers, this one included."""
        self._routers = max(1, count)
        self._interval_ms = choose_interval_ms(count)

    def admit(
        self, workspace: str, rule: Rule, now_ms: int, waited: bool = False
    ) -> Verdict | Fault:
        """Reserves quota for one request, or returns why there is none.

        Args:
            workspace: Workspace of the caller.
            rule: The rule that matched.
            now_ms: Monotonic time, in ms.
            waited: Whether an earlier call returned `PENDING`.
        """
        limit = find_limit(workspace, rule)
        if limit is None:
            return Verdict.ADMITTED
        state = self._states.get(limit)
        if state is None:
            state = self._states[limit] = _LimitState(now_ms)
        state.used_at_ms = now_ms
        if not waited:
            self._observe(state, now_ms)
        has_slot = self._has_slot(limit, state, now_ms)
        if has_slot and self._take_token(limit, state, now_ms):
            state.in_use += 1
            return Verdict.ADMITTED
        if now_ms < state.refused_until_ms:
            return _build_fault(limit, state.refused_until_ms - now_ms)
        state.waiting += not waited
        self._ask(limit, state, now_ms)
        if state.home_unreachable:
            return _build_fault(limit, MS_PER_SECOND)
        return Verdict.PENDING

    def release(self, workspace: str, rule: Rule) -> None:
        """Releases the concurrency slot of one request."""
        limit = find_limit(workspace, rule)
        state = self._states.get(limit) if limit else None
        if state is not None and state.in_use:
            state.in_use -= 1

    def apply_grant(self, grant: QuotaGrant, now_ms: int) -> None:
        """Applies an answer of the home; outdated ones are ignored."""
        state = self._states.get(grant.limit)
        if state is None or grant.seq < state.first_seq:
            return
        state.asks = 0
        state.home_unreachable = False
        state.waiting = 0
        state.tokens += grant.tokens
        if grant.seq > state.last_seq:
            state.last_seq = grant.seq
            state.slots = grant.slots
            state.rate = grant.share / MILLI
            state.held_until_ms = now_ms + grant.hold_ms
            state.renew_at_ms = now_ms + self._interval_ms
        if grant.retry_ms:
            state.refused_until_ms = now_ms + grant.retry_ms

    def take_outgoing(self) -> list[QuotaAsk]:
        """Returns and clears the messages to send to the homes."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def tick(self, now_ms: int) -> None:
        """Renews quota, retries unanswered messages and evicts idle limits.

        Call about every `ASK_RETRY_MS`.
        """
        for limit, state in list(self._states.items()):
            if (
                state.in_use == 0
                and now_ms - state.used_at_ms > IDLE_EVICTION_MS
            ):
                del self._states[limit]
                continue
            if state.waiting or self._must_renew(limit, state, now_ms):
                self._ask(limit, state, now_ms)

    def _must_renew(
        self, limit: WorkspaceLimit, state: _LimitState, now_ms: int
    ) -> bool:
        holds = state.slots or state.rate or state.in_use and limit.concurrency
        return bool(holds) and now_ms >= state.renew_at_ms

    def _observe(self, state: _LimitState, now_ms: int) -> None:
        """Updates the smoothed arrival rate, in requests a second."""
        state.demand = state.demand * self._decay(state, now_ms)
        state.demand += MS_PER_SECOND / DEMAND_WINDOW_MS
        state.demand_at_ms = now_ms

    def _decay(self, state: _LimitState, now_ms: int) -> float:
        return math.exp((state.demand_at_ms - now_ms) / DEMAND_WINDOW_MS)

    def _has_slot(
        self, limit: WorkspaceLimit, state: _LimitState, now_ms: int
    ) -> bool:
        if not limit.concurrency:
            return True
        if state.home_unreachable:
            even_slots = max(1, limit.concurrency // self._routers)
            return state.in_use < even_slots
        return now_ms < state.held_until_ms and state.in_use < state.slots

    def _take_token(
        self, limit: WorkspaceLimit, state: _LimitState, now_ms: int
    ) -> bool:
        if not limit.rate:
            return True
        fraction = 1.0 if state.home_unreachable else 1.0 - HOME_FRACTION
        rate = limit.rate * fraction / self._routers
        if now_ms < state.held_until_ms and not state.home_unreachable:
            rate += state.rate
        gained = (now_ms - state.tokens_at_ms) * rate / MS_PER_SECOND
        ceiling = max(1.0, rate * BURST_MS / MS_PER_SECOND, state.tokens)
        state.tokens = min(ceiling, state.tokens + gained)
        state.tokens_at_ms = now_ms
        if state.tokens < 1.0:
            return False
        state.tokens -= 1.0
        return True

    def _ask(
        self, limit: WorkspaceLimit, state: _LimitState, now_ms: int
    ) -> None:
        pause_ms = (
            UNREACHABLE_RETRY_MS if state.home_unreachable else ASK_RETRY_MS
        )
        if now_ms - state.asked_at_ms < pause_ms:
            return
        refused = now_ms < state.refused_until_ms
        if refused and not self._must_renew(limit, state, now_ms):
            return
        self._seq += 1
        if not state.asks:
            state.first_seq = self._seq
        state.asks += 1
        state.home_unreachable = (
            state.home_unreachable or state.asks > MAX_UNANSWERED_ASKS
        )
        state.asked_at_ms = now_ms
        demand = state.demand * self._decay(state, now_ms)
        slots_wanted = state.in_use + state.waiting + math.ceil(demand / 2)
        self._outgoing.append(
            QuotaAsk(
                limit,
                self._seq,
                state.in_use,
                slots_wanted if limit.concurrency else 0,
                state.waiting if limit.rate else 0,
                int(demand * MILLI) if limit.rate else 0,
            )
        )


def find_limit(workspace: str, rule: Rule) -> WorkspaceLimit | None:
    """Returns the limit of a request, None if its rule has none."""
    if rule.rate is None and rule.concurrency is None:
        return None
    return WorkspaceLimit(
        workspace, rule.pool, rule.rate or 0, rule.concurrency or 0
    )


def _build_fault(limit: WorkspaceLimit, retry_ms: int) -> Fault:
    return Fault(
        Kind.LIMITED,
        "admit",
        f"workspace {limit.workspace} is at its limit in pool {limit.pool}",
        retry_after_ms=retry_ms,
    )
