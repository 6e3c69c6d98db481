"""Limits of workspaces that hold over all routers.

Each router admits from what the slot's home granted it, asks for more
before it runs out, and falls back to its plain part of the limit while the
home does not answer. A tenth of the rate is split evenly and needs no
message, so a workspace that a router sees rarely costs no traffic.
"""

from __future__ import annotations

import enum
import math
from typing import Final

from .clock import MS_PER_SECOND
from .errors import Fault, Kind
from .quota_home import BURST_MS, choose_interval_ms, HOME_PART, MILLI
from .quota_messages import QuotaAsk, QuotaGrant, WorkspaceLimit
from .rules import Rule

ASK_RETRY_MS: Final = 250
ASKS_BEFORE_ALONE: Final = 3
ALONE_RETRY_MS: Final = 2_000
FORGET_MS: Final = 10_000
DEMAND_WINDOW_MS: Final = 4_000
PENDING_RETRY_MS: Final = 10


class Verdict(enum.Enum):
    """What becomes of a request at the limit of its workspace."""

    ADMITTED = "admitted"
    PENDING = "pending"  # the home was asked; try again in `PENDING_MS`


class _Share:
    """What this router has of one slot."""

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
        "alone",
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
        self.alone = False
        self.waiting = 0
        self.demand = 0.0
        self.demand_at_ms = now_ms
        self.used_at_ms = now_ms


class Quota:
    """One router's part in the limits of all workspaces.

    State is one entry for each slot used within `FORGET_MS`.
    """

    __slots__ = ("_shares", "_routers", "_interval_ms", "_outgoing", "_seq")

    def __init__(self) -> None:
        self._shares: dict[WorkspaceLimit, _Share] = {}
        self._routers = 1
        self._interval_ms = choose_interval_ms(1)
        self._outgoing: list[QuotaAsk] = []
        self._seq = 0

    @property
    def size(self) -> int:
        """The number of slots it holds state for."""
        return len(self._shares)

    def set_routers(self, count: int) -> None:
        """Sets the number of live routers, this one included."""
        self._routers = max(1, count)
        self._interval_ms = choose_interval_ms(count)

    def admit(
        self, workspace: str, rule: Rule, now_ms: int, waited: bool = False
    ) -> Verdict | Fault:
        """Takes room for one request, or tells why there is none yet.

        Args:
            workspace: The caller's workspace.
            rule: The rule that matched.
            now_ms: Monotonic time.
            waited: Whether the request was pending before.
        """
        limit = name_slot(workspace, rule)
        if limit is None:
            return Verdict.ADMITTED
        share = self._shares.get(limit)
        if share is None:
            share = self._shares[limit] = _Share(now_ms)
        share.used_at_ms = now_ms
        if not waited:
            self._observe(share, now_ms)
        has_place = self._has_place(limit, share, now_ms)
        if has_place and self._take_token(limit, share, now_ms):
            share.in_use += 1
            return Verdict.ADMITTED
        if now_ms < share.refused_until_ms:
            return _refuse(limit, share.refused_until_ms - now_ms)
        share.waiting += not waited
        self._ask(limit, share, now_ms)
        if share.alone:
            return _refuse(limit, MS_PER_SECOND)
        return Verdict.PENDING

    def release(self, workspace: str, rule: Rule) -> None:
        """Returns the room of one request."""
        limit = name_slot(workspace, rule)
        share = self._shares.get(limit) if limit else None
        if share is not None and share.in_use:
            share.in_use -= 1

    def apply_grant(self, grant: QuotaGrant, now_ms: int) -> None:
        """Takes the home's answer; outdated ones are ignored."""
        share = self._shares.get(grant.limit)
        if share is None or grant.seq < share.first_seq:
            return
        share.asks = 0
        share.alone = False
        share.waiting = 0
        share.tokens += grant.tokens
        if grant.seq > share.last_seq:
            share.last_seq = grant.seq
            share.slots = grant.slots
            share.rate = grant.share / MILLI
            share.held_until_ms = now_ms + grant.hold_ms
            share.renew_at_ms = now_ms + self._interval_ms
        if grant.retry_ms:
            share.refused_until_ms = now_ms + grant.retry_ms

    def take_outgoing(self) -> list[QuotaAsk]:
        """Returns the messages to send to their slots' homes."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def tick(self, now_ms: int) -> None:
        """Renews held places, gives up on silent homes, forgets slots.

        Call every `ASK_RETRY_MS` or so.
        """
        for limit, share in list(self._shares.items()):
            if share.in_use == 0 and now_ms - share.used_at_ms > FORGET_MS:
                del self._shares[limit]
                continue
            if share.waiting or self._must_renew(limit, share, now_ms):
                self._ask(limit, share, now_ms)

    def _must_renew(
        self, limit: WorkspaceLimit, share: _Share, now_ms: int
    ) -> bool:
        holds = share.slots or share.rate or share.in_use and limit.concurrency
        return bool(holds) and now_ms >= share.renew_at_ms

    def _observe(self, share: _Share, now_ms: int) -> None:
        """Updates the smoothed arrivals a second."""
        share.demand = share.demand * self._fade(share, now_ms)
        share.demand += MS_PER_SECOND / DEMAND_WINDOW_MS
        share.demand_at_ms = now_ms

    def _fade(self, share: _Share, now_ms: int) -> float:
        return math.exp((share.demand_at_ms - now_ms) / DEMAND_WINDOW_MS)

    def _has_place(
        self, limit: WorkspaceLimit, share: _Share, now_ms: int
    ) -> bool:
        if not limit.concurrency:
            return True
        if share.alone:
            part = max(1, limit.concurrency // self._routers)
            return share.in_use < part
        return now_ms < share.held_until_ms and share.in_use < share.slots

    def _take_token(
        self, limit: WorkspaceLimit, share: _Share, now_ms: int
    ) -> bool:
        if not limit.rate:
            return True
        part = 1.0 if share.alone else 1.0 - HOME_PART
        rate = limit.rate * part / self._routers
        if now_ms < share.held_until_ms and not share.alone:
            rate += share.rate
        gained = (now_ms - share.tokens_at_ms) * rate / MS_PER_SECOND
        ceiling = max(1.0, rate * BURST_MS / MS_PER_SECOND, share.tokens)
        share.tokens = min(ceiling, share.tokens + gained)
        share.tokens_at_ms = now_ms
        if share.tokens < 1.0:
            return False
        share.tokens -= 1.0
        return True

    def _ask(self, limit: WorkspaceLimit, share: _Share, now_ms: int) -> None:
        pause_ms = ALONE_RETRY_MS if share.alone else ASK_RETRY_MS
        if now_ms - share.asked_at_ms < pause_ms:
            return
        refused = now_ms < share.refused_until_ms
        if refused and not self._must_renew(limit, share, now_ms):
            return
        self._seq += 1
        if not share.asks:
            share.first_seq = self._seq
        share.asks += 1
        share.alone = share.alone or share.asks > ASKS_BEFORE_ALONE
        share.asked_at_ms = now_ms
        demand = share.demand * self._fade(share, now_ms)
        places = share.in_use + share.waiting + math.ceil(demand / 2)
        self._outgoing.append(
            QuotaAsk(
                limit,
                self._seq,
                share.in_use,
                places if limit.concurrency else 0,
                share.waiting if limit.rate else 0,
                int(demand * MILLI) if limit.rate else 0,
            )
        )


def name_slot(workspace: str, rule: Rule) -> WorkspaceLimit | None:
    """Returns the slot of a request, None if its rule has no limit."""
    if rule.rate is None and rule.concurrency is None:
        return None
    return WorkspaceLimit(
        workspace, rule.pool, rule.rate or 0, rule.concurrency or 0
    )


def _refuse(limit: WorkspaceLimit, retry_ms: int) -> Fault:
    return Fault(
        Kind.LIMITED,
        "admit",
        f"workspace {limit.workspace} is at its limit in pool {limit.pool}",
        retry_after_ms=retry_ms,
    )
