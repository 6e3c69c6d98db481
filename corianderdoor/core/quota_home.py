"""The home of a workspace's limit: distributes it over the routers.

Rendezvous hashing of a limit's key over the live routers chooses one of them
as its home. A router with much demand gets its own share of the rate; one
with little demand gets single tokens from a bucket that fills at the rate
outside the shares. Shares follow demand by max-min fairness.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .clock import MS_PER_SECOND
from .quota_messages import QuotaAsk, QuotaGrant, WorkspaceLimit

HOME_FRACTION: Final = 0.9
SHARES_FRACTION: Final = 0.9
MIN_SHARE_DEMAND: Final = 500
DEMAND_HEADROOM: Final = 1.2
MILLI: Final = 1_000
MIN_BURST: Final = 5.0
BURST_MS: Final = 2_000
MIN_INTERVAL_MS: Final = 2_000
MIN_RETRY_MS: Final = 100
INTERVAL_MS_PER_ROUTER: Final = 25
HOLD_INTERVALS: Final = 3
HOLDER_RETENTION_MS: Final = 60_000


def choose_interval_ms(routers: int) -> int:
    """Returns how often a router renews what it holds, in ms.

    It grows with the fleet, so that the home of a limit that every router
    uses receives no more messages a second in a larger fleet.
    """
    return max(MIN_INTERVAL_MS, INTERVAL_MS_PER_ROUTER * routers)


def max_min_fair_level(demands: Iterable[float], capacity: float) -> float:
    """Returns the max-min fair level of `demands`.

    If each gets min(demand, level), the sum is at most `capacity` and none
    can get more without another getting less. The level is infinite if the
    sum of all demands fits.
    """
    ordered = sorted(demands)
    remaining = capacity
    for number, demand in enumerate(ordered):
        level = remaining / (len(ordered) - number)
        if demand > level:
            return level
        remaining -= demand
    return float("inf")


class _Holder:
    """Quota that one router holds of a limit."""

    __slots__ = (
        "incarnation",
        "seq",
        "slots",
        "share",
        "demand",
        "hold_until_ms",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.seq = 0
        self.slots = 0
        self.share = 0.0
        self.demand = 0.0
        self.hold_until_ms = 0


class _HomeState:
    """Token bucket and holders of one limit."""

    __slots__ = ("tokens", "refilled_at_ms", "holders")

    def __init__(self, now_ms: int) -> None:
        self.tokens = 0.0
        self.refilled_at_ms = now_ms
        self.holders: dict[str, _Holder] = {}

    def list_live(self, now_ms: int) -> list[_Holder]:
        """Returns the holders whose quota has not expired."""
        return [
            holder
            for holder in self.holders.values()
            if holder.hold_until_ms > now_ms
        ]


class QuotaHome:
    """Grants quota for the limits whose home is this router.

    A router that becomes the home of a limit starts with an empty bucket.
    Shares granted by the previous home stay valid until their hold time ends,
    so up to twice the rate may be admitted for that time.
    """

    __slots__ = ("_states", "_interval_ms")

    def __init__(self) -> None:
        self._states: dict[WorkspaceLimit, _HomeState] = {}
        self._interval_ms = MIN_INTERVAL_MS

    @property
    def size(self) -> int:
        """Number of limits with state."""
        return len(self._states)

    def set_routers(self, count: int) -> None:
        """Sets the number of live routers, this one included."""
        self._interval_ms = choose_interval_ms(count)

    def answer(
        self, router: str, incarnation: int, ask: QuotaAsk, now_ms: int
    ) -> QuotaGrant | None:
        """Returns the grant for `ask`, None if `ask` is outdated.

        Args:
            router: Name of the requesting router.
            incarnation: Incarnation of its process.
            ask: Its request.
            now_ms: Monotonic time, in ms.
        """
        state = self._states.get(ask.limit)
        if state is None:
            state = self._states[ask.limit] = _HomeState(now_ms)
        holder = state.holders.get(router)
        if holder is None or holder.incarnation < incarnation:
            holder = state.holders[router] = _Holder(incarnation)
        if holder.incarnation > incarnation or holder.seq >= ask.seq:
            return None
        holder.seq = ask.seq
        hold_ms = self._interval_ms * HOLD_INTERVALS
        slots = _grant_slots(state, holder, ask, now_ms)
        share = _grant_share(state, holder, ask, now_ms)
        tokens = _grant_tokens(state, ask)
        holder.hold_until_ms = now_ms + hold_ms
        retry_ms = 0
        if tokens < ask.want_tokens or slots < ask.want_slots:
            retry_ms = _estimate_wait_ms(state, ask, tokens)
        return QuotaGrant(
            ask.limit, ask.seq, slots, tokens, int(share), hold_ms, retry_ms
        )

    def tick(self, now_ms: int) -> None:
        """Evicts limits without holders; call about once a second."""
        for limit, state in list(self._states.items()):
            state.holders = {
                name: holder
                for name, holder in state.holders.items()
                if holder.hold_until_ms + HOLDER_RETENTION_MS > now_ms
            }
            if not state.holders:
                del self._states[limit]


def _grant_share(
    state: _HomeState, holder: _Holder, ask: QuotaAsk, now_ms: int
) -> float:
    """Sets and returns the holder's share, in 1/1000 requests a second."""
    _refill(state, ask.limit, now_ms)
    holder.demand = 0.0
    if ask.demand >= MIN_SHARE_DEMAND:
        holder.demand = ask.demand * DEMAND_HEADROOM
    others = [item for item in state.list_live(now_ms) if item is not holder]
    capacity = ask.limit.rate * HOME_FRACTION * SHARES_FRACTION * MILLI
    level = max_min_fair_level(
        [holder.demand, *(item.demand for item in others)], capacity
    )
    room = max(0.0, capacity - sum(item.share for item in others))
    holder.share = min(holder.demand, level, room)
    return holder.share


def _refill(state: _HomeState, limit: WorkspaceLimit, now_ms: int) -> None:
    """Refills the bucket at the rate that is not granted as shares."""
    shared = sum(item.share for item in state.list_live(state.refilled_at_ms))
    rate = max(0.0, limit.rate * HOME_FRACTION - shared / MILLI)
    gained = (now_ms - state.refilled_at_ms) * rate / MS_PER_SECOND
    burst = max(MIN_BURST, rate * BURST_MS / MS_PER_SECOND)
    state.tokens = min(burst, state.tokens + gained)
    state.refilled_at_ms = now_ms


def _grant_tokens(state: _HomeState, ask: QuotaAsk) -> int:
    tokens = min(ask.want_tokens, int(state.tokens))
    state.tokens -= tokens
    return tokens


def _estimate_wait_ms(state: _HomeState, ask: QuotaAsk, tokens: int) -> int:
    """Returns an estimate of when the missing tokens are there, in ms."""
    lacking = ask.want_tokens - tokens - state.tokens
    if lacking <= 0 or not ask.limit.rate:
        return MS_PER_SECOND // 2
    rate = ask.limit.rate * (1 - SHARES_FRACTION * HOME_FRACTION)
    return max(MIN_RETRY_MS, int(lacking / rate * MS_PER_SECOND))


def _grant_slots(
    state: _HomeState, holder: _Holder, ask: QuotaAsk, now_ms: int
) -> int:
    held = sum(
        other.slots for other in state.list_live(now_ms) if other is not holder
    )
    room = max(0, ask.limit.concurrency - held)
    holder.slots = max(ask.in_use, min(ask.want_slots, room))
    return holder.slots
