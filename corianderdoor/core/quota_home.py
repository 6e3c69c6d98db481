"""The home of a workspace's limit: shares it out to the routers.

The rendezvous of a slot's key over the live routers names one of them its
home. A router that sees much of a workspace gets a part of the rate of its
own; one that sees little gets single tokens out of what is left. Parts
follow the routers' demand by max-min fairness.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .clock import MS_PER_SECOND
from .quota_messages import QuotaAsk, QuotaGrant, WorkspaceLimit

HOME_PART: Final = 0.9
SHARED_PART: Final = 0.9
MIN_SHARE_DEMAND: Final = 500
DEMAND_SLACK: Final = 1.2
MILLI: Final = 1_000
MIN_BURST: Final = 5.0
BURST_MS: Final = 2_000
MIN_INTERVAL_MS: Final = 2_000
MIN_RETRY_MS: Final = 100
INTERVAL_MS_A_ROUTER: Final = 25
HOLD_INTERVALS: Final = 3
FORGET_MS: Final = 60_000


def choose_interval_ms(routers: int) -> int:
    """Returns how often a router renews what it holds, in ms.

    It grows with the fleet, so that the home of a slot that every router
    uses hears no more messages a second in a larger fleet.
    """
    return max(MIN_INTERVAL_MS, INTERVAL_MS_A_ROUTER * routers)


def max_min_fair_level(demands: Iterable[float], capacity: float) -> float:
    """Returns the max-min fair level of `demands`.

    Where each gets min(demand, level), the sum is at most `capacity` and
    none could get more without another getting less. The level is infinite
    if all demands fit.
    """
    ordered = sorted(demands)
    left = capacity
    for number, demand in enumerate(ordered):
        level = left / (len(ordered) - number)
        if demand > level:
            return level
        left -= demand
    return float("inf")


class _Holder:
    """What one router holds of a slot."""

    __slots__ = ("incarnation", "seq", "slots", "share", "demand", "until_ms")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.seq = 0
        self.slots = 0
        self.share = 0.0
        self.demand = 0.0
        self.until_ms = 0


class _Account:
    """The state of one slot."""

    __slots__ = ("level", "at_ms", "holders")

    def __init__(self, now_ms: int) -> None:
        self.level = 0.0
        self.at_ms = now_ms
        self.holders: dict[str, _Holder] = {}

    def list_live(self, now_ms: int) -> list[_Holder]:
        """Returns the holders whose hold has not ended."""
        return [
            holder
            for holder in self.holders.values()
            if holder.until_ms > now_ms
        ]


class QuotaHome:
    """Grants room for the slots whose home this router is.

    A router that becomes a slot's home starts with an empty bucket. Parts
    that the old home gave may still be in use for the time of one hold, so
    a change of home can let through up to twice the rate for that time.
    """

    __slots__ = ("_accounts", "_interval_ms")

    def __init__(self) -> None:
        self._accounts: dict[WorkspaceLimit, _Account] = {}
        self._interval_ms = MIN_INTERVAL_MS

    @property
    def size(self) -> int:
        """The number of slots it holds state for."""
        return len(self._accounts)

    def set_routers(self, count: int) -> None:
        """Sets the number of live routers, this one included."""
        self._interval_ms = choose_interval_ms(count)

    def answer(
        self, router: str, incarnation: int, ask: QuotaAsk, now_ms: int
    ) -> QuotaGrant | None:
        """Returns the grant for `ask`, None if the message is outdated.

        Args:
            router: Name of the asking router.
            incarnation: Incarnation of its process.
            ask: What it asks for.
            now_ms: Monotonic time.
        """
        account = self._accounts.get(ask.limit)
        if account is None:
            account = self._accounts[ask.limit] = _Account(now_ms)
        holder = account.holders.get(router)
        if holder is None or holder.incarnation < incarnation:
            holder = account.holders[router] = _Holder(incarnation)
        if holder.incarnation > incarnation or holder.seq >= ask.seq:
            return None
        holder.seq = ask.seq
        hold_ms = self._interval_ms * HOLD_INTERVALS
        slots = _take_slots(account, holder, ask, now_ms)
        share = _take_share(account, holder, ask, now_ms)
        tokens = _take_tokens(account, ask)
        holder.until_ms = now_ms + hold_ms
        retry_ms = 0
        if tokens < ask.want_tokens or slots < ask.want_slots:
            retry_ms = _guess_wait_ms(account, ask, tokens)
        return QuotaGrant(
            ask.limit, ask.seq, slots, tokens, int(share), hold_ms, retry_ms
        )

    def tick(self, now_ms: int) -> None:
        """Forgets slots without holders; call about once a second."""
        for limit, account in list(self._accounts.items()):
            account.holders = {
                name: holder
                for name, holder in account.holders.items()
                if holder.until_ms + FORGET_MS > now_ms
            }
            if not account.holders:
                del self._accounts[limit]


def _take_share(
    account: _Account, holder: _Holder, ask: QuotaAsk, now_ms: int
) -> float:
    """Sets and returns the holder's part of the rate, in 1/1000 a second."""
    _refill(account, ask.limit, now_ms)
    holder.demand = 0.0
    if ask.demand >= MIN_SHARE_DEMAND:
        holder.demand = ask.demand * DEMAND_SLACK
    others = [item for item in account.list_live(now_ms) if item is not holder]
    capacity = ask.limit.rate * HOME_PART * SHARED_PART * MILLI
    level = max_min_fair_level(
        [holder.demand, *(item.demand for item in others)], capacity
    )
    room = max(0.0, capacity - sum(item.share for item in others))
    holder.share = min(holder.demand, level, room)
    return holder.share


def _refill(account: _Account, limit: WorkspaceLimit, now_ms: int) -> None:
    """Fills the bucket with the rate that no part took since."""
    given = sum(item.share for item in account.list_live(account.at_ms))
    rate = max(0.0, limit.rate * HOME_PART - given / MILLI)
    gained = (now_ms - account.at_ms) * rate / MS_PER_SECOND
    burst = max(MIN_BURST, rate * BURST_MS / MS_PER_SECOND)
    account.level = min(burst, account.level + gained)
    account.at_ms = now_ms


def _take_tokens(account: _Account, ask: QuotaAsk) -> int:
    tokens = min(ask.want_tokens, int(account.level))
    account.level -= tokens
    return tokens


def _guess_wait_ms(account: _Account, ask: QuotaAsk, tokens: int) -> int:
    """Returns when what was not granted may be there, in ms."""
    lacking = ask.want_tokens - tokens - account.level
    if lacking <= 0 or not ask.limit.rate:
        return MS_PER_SECOND // 2
    rate = ask.limit.rate * (1 - SHARED_PART * HOME_PART)
    return max(MIN_RETRY_MS, int(lacking / rate * MS_PER_SECOND))


def _take_slots(
    account: _Account, holder: _Holder, ask: QuotaAsk, now_ms: int
) -> int:
    held = sum(
        other.slots
        for other in account.list_live(now_ms)
        if other is not holder
    )
    room = max(0, ask.limit.concurrency - held)
    holder.slots = max(ask.in_use, min(ask.want_slots, room))
    return holder.slots
