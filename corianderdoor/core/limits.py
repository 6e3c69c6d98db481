"""Workspace limits at one router: its quota and what it grants as home."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from .errors import Fault
from .quota import Quota, Verdict
from .quota_home import QuotaHome
from .quota_messages import QuotaAsk, QuotaGrant
from .rendezvous import rank
from .rules import Rule

MAX_CACHED_HOMES: Final = 10_000


class Limits:
    """Admits requests under limits that apply across all live routers.

    Messages to other routers collect in an outbox. Quota of a limit whose
    home is this router needs no message.
    """

    __slots__ = ("_me", "_routers", "_homes", "_quota", "_home", "_outbox")

    def __init__(self, me: str) -> None:
        self._me = me
        self._routers: tuple[str, ...] = (me,)
        self._homes: dict[str, str] = {}
        self._quota = Quota()
        self._home = QuotaHome()
        self._outbox: list[tuple[str, QuotaAsk | QuotaGrant]] = []

    def set_routers(self, names: Collection[str]) -> None:
        """Sets the live routers; this one is always included."""
        routers = tuple(sorted({self._me, *names}))
        if routers == self._routers:
            return
        self._routers = routers
        self._homes.clear()
        self._quota.set_routers(len(self._routers))
        self._home.set_routers(len(self._routers))

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
        verdict = self._quota.admit(workspace, rule, now_ms, waited)
        if self._route_asks(now_ms) and verdict is Verdict.PENDING:
            return self._quota.admit(workspace, rule, now_ms, True)
        return verdict

    def release(self, workspace: str, rule: Rule) -> None:
        """Releases the quota of one request."""
        self._quota.release(workspace, rule)

    def answer_ask(
        self, router: str, incarnation: int, ask: QuotaAsk, now_ms: int
    ) -> None:
        """Answers a router in whose view this one is the limit's home."""
        grant = self._home.answer(router, incarnation, ask, now_ms)
        if grant is not None:
            self._outbox.append((router, grant))

    def apply_grant(self, grant: QuotaGrant, now_ms: int) -> None:
        """Applies the answer of a limit's home."""
        self._quota.apply_grant(grant, now_ms)

    def tick(self, now_ms: int) -> None:
        """Renews, expires and evicts quota; call about every 250 ms."""
        self._quota.tick(now_ms)
        self._home.tick(now_ms)
        self._route_asks(now_ms)

    def take_outbox(self) -> list[tuple[str, QuotaAsk | QuotaGrant]]:
        """Returns and removes the queued messages with their receivers."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def _route_asks(self, now_ms: int) -> bool:
        """Answers asks to this router itself and queues the others.

        Returns:
            Whether it answered any.
        """
        answered = False
        for ask in self._quota.take_outgoing():
            home = self._find_home(ask.limit.key())
            if home != self._me:
                self._outbox.append((home, ask))
                continue
            grant = self._home.answer(self._me, 1, ask, now_ms)
            if grant is not None:
                self._quota.apply_grant(grant, now_ms)
                answered = True
        return answered

    def _find_home(self, key: str) -> str:
        home = self._homes.get(key)
        if home is None:
            if len(self._homes) >= MAX_CACHED_HOMES:
                self._homes.clear()
            home = self._homes[key] = rank(key, self._routers)[0]
        return home
