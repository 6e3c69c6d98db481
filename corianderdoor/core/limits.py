"""The limits of workspaces at one router: its part and its homes' part."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from .errors import Fault
from .quota import Quota, Verdict
from .quota_home import QuotaHome
from .quota_messages import QuotaAsk, QuotaGrant
from .rendezvous import rank
from .rules import Rule

MAX_KEPT_HOMES: Final = 10_000


class Limits:
    """Admits requests under limits that hold over all live routers.

    What it has to tell other routers gathers in an outbox. Room in a slot
    whose home is this router costs no message.
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
        """Sets the live routers; this one counts as live in any case."""
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
        """Takes room for one request, or tells why there is none yet.

        Args:
            workspace: The caller's workspace.
            rule: The rule that matched.
            now_ms: Monotonic time.
            waited: Whether the request was pending before.
        """
        verdict = self._quota.admit(workspace, rule, now_ms, waited)
        if self._post(now_ms) and verdict is Verdict.PENDING:
            return self._quota.admit(workspace, rule, now_ms, True)
        return verdict

    def release(self, workspace: str, rule: Rule) -> None:
        """Returns the room of one request."""
        self._quota.release(workspace, rule)

    def answer_ask(
        self, router: str, incarnation: int, ask: QuotaAsk, now_ms: int
    ) -> None:
        """Answers another router that takes this one for a slot's home."""
        grant = self._home.answer(router, incarnation, ask, now_ms)
        if grant is not None:
            self._outbox.append((router, grant))

    def apply_grant(self, grant: QuotaGrant, now_ms: int) -> None:
        """Takes the answer of a slot's home."""
        self._quota.apply_grant(grant, now_ms)

    def tick(self, now_ms: int) -> None:
        """Renews, gives up and forgets; call about every 250 ms."""
        self._quota.tick(now_ms)
        self._home.tick(now_ms)
        self._post(now_ms)

    def take_outbox(self) -> list[tuple[str, QuotaAsk | QuotaGrant]]:
        """Returns the messages to send, each with its receiver."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def _post(self, now_ms: int) -> bool:
        """Answers own questions, posts others; True if it answered any."""
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
            if len(self._homes) >= MAX_KEPT_HOMES:
                self._homes.clear()
            home = self._homes[key] = rank(key, self._routers)[0]
        return home
