"""The account that a home router keeps of one backend server."""

from __future__ import annotations

from typing import Final, TypeAlias

from .load_report import LoadReport
from .permits import Ask, HandOff, Release, Tier, Verdict
from .shedding import Habits, Shedder
from .slow_start import Ramp
from .topology import Server
from .unaccounted_work import OtherWork

# A home that has just taken over admits only the part of the bound that
# settled homes leave free, so that two homes in belief stay within it.
SETTLED_SHARE: Final = 0.9
# The mean falls as other requests end, so none is filled to the brim.
BEST_FIT_SHARE: Final = 0.95
HANDOVER_MS: Final = 5_000

PermitKey: TypeAlias = tuple[str, int]


class Permit:
    """Room given to one request.

    Attributes:
        weight: Work of the request, in tokens.
        expires_at_ms: When the permit lapses if it is not released.
        workspace: Hash of the workspace's name.
    """

    __slots__ = ("weight", "expires_at_ms", "workspace")

    def __init__(
        self, weight: int, expires_at_ms: int, workspace: int
    ) -> None:
        self.weight = weight
        self.expires_at_ms = expires_at_ms
        self.workspace = workspace


class AdmissionState:
    """Work in progress on one server, by permits and by its own report.

    The load is the sum of the permits given here plus what the server
    reports beyond them: work that a former home admitted, or whose permit
    has expired.
    """

    __slots__ = (
        "server",
        "ramp",
        "leaving",
        "work",
        "shedder",
        "_permits",
        "_other_work",
        "_other_requests",
        "_reported",
        "_settled_at_ms",
    )

    def __init__(
        self,
        server: Server,
        now_ms: int,
        settled: bool,
        habits: Habits | None = None,
    ) -> None:
        self.server = server
        self.ramp = Ramp(server.capacity, server.incarnation, now_ms)
        self.leaving = False
        self.work = 0
        self.shedder = Shedder(habits or Habits(now_ms))
        self._permits: dict[PermitKey, Permit] = {}
        self._other_work = OtherWork(inherited=not settled)
        self._other_requests = OtherWork(inherited=not settled)
        self._reported = settled
        self._settled_at_ms = now_ms if settled else now_ms + HANDOVER_MS

    @property
    def load(self) -> int:
        """Tokens of all requests in progress, as far as known."""
        return self.work + self._other_work.amount

    @property
    def requests(self) -> int:
        """All requests in progress, as far as known."""
        return len(self._permits) + self._other_requests.amount

    @property
    def capacity(self) -> int:
        """Requests at once that the server may get as it is now."""
        return 0 if self.leaving else self.ramp.allowed

    @property
    def has_report(self) -> bool:
        """Whether the server, or its former home, has told its load."""
        return self._reported

    def in_handover(self, now_ms: int) -> bool:
        """Tells whether another router may believe itself the home."""
        return now_ms < self._settled_at_ms

    def judge(
        self, ask: Ask, limit: float, mean: float, now_ms: int
    ) -> Verdict:
        """Decides whether there is room for `ask`.

        Args:
            ask: The request for room.
            limit: Highest load, in tokens, by the multiple of the mean.
            mean: Mean load of a server of this capacity, in tokens.
            now_ms: Monotonic time.
        """
        if self.leaving:
            return Verdict.LEAVING
        if self.requests >= self.ramp.allowed:
            return Verdict.FULL if self.ramp.warm else Verdict.COLD
        shed = self.shedder.refuses(
            ask.workspace, ask.priority, self.requests, self.ramp.allowed
        )
        if shed and self.ramp.warm:
            return Verdict.SHED
        if self.in_handover(now_ms):
            return self._judge_in_handover(ask, limit)
        if not self.requests:
            return Verdict.GRANTED
        chat_order = ask.tier == Tier.CHAT_ORDER
        share = SETTLED_SHARE if chat_order else BEST_FIT_SHARE
        if self.load + ask.weight <= share * limit:
            return Verdict.GRANTED
        if ask.tier == Tier.BELOW_MEAN and self.load <= mean:
            return Verdict.GRANTED
        return Verdict.OVER_MEAN

    def _judge_in_handover(self, ask: Ask, limit: float) -> Verdict:
        if not self._reported:
            return Verdict.OVER_MEAN
        if not self.requests:
            return Verdict.GRANTED
        within = self.load + ask.weight <= SETTLED_SHARE * limit
        own = self.work + ask.weight <= (1 - SETTLED_SHARE) * limit
        return Verdict.GRANTED if within and own else Verdict.OVER_MEAN

    def grant(self, key: PermitKey, ask: Ask, now_ms: int) -> None:
        """Takes the room that `judge` found."""
        until_ms = now_ms + ask.ttl_ms
        self._permits[key] = Permit(ask.weight, until_ms, ask.workspace)
        self.shedder.take(ask.workspace)
        self.work += ask.weight

    def holds(self, key: PermitKey) -> bool:
        """Tells whether the permit is in force."""
        return key in self._permits

    def release(self, key: PermitKey, release: Release, now_ms: int) -> None:
        """Returns a permit's room and learns from how it ended."""
        permit = self._permits.pop(key, None)
        if permit is None:
            return
        self.work -= permit.weight
        self.shedder.release(permit.workspace)
        if release.served:
            self.ramp.take_completion(
                permit.weight, release.first_token_ms, now_ms
            )
        elif release.crashed:
            self.ramp.take_crash(now_ms)

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Compares the server's own report with the permits given."""
        self.ramp.apply_report(report, now_ms)
        self.leaving = self.leaving or report.leaving
        self._other_work.apply_report(report.work, self.work, now_ms)
        self._other_requests.apply_report(
            report.in_flight, len(self._permits), now_ms
        )
        self._reported = True

    def apply_hand_off(self, handed: HandOff, now_ms: int) -> None:
        """Ends the handover: the former home admits no more."""
        if handed.incarnation != self.server.incarnation:
            return
        if not self.in_handover(now_ms):
            return
        self._other_work.inherit(handed.work)
        self._other_requests.inherit(handed.requests)
        self.ramp.allowed = max(self.ramp.allowed, handed.allowed)
        self._reported = True
        self._settled_at_ms = now_ms

    def hand_off(self) -> HandOff:
        """Returns what the next home needs to know."""
        return HandOff(
            self.server.name,
            self.server.incarnation,
            self.load,
            self.requests,
            self.ramp.allowed,
        )

    def tick(self, now_ms: int) -> None:
        """Drops the permits that have expired."""
        old = [
            key
            for key, permit in self._permits.items()
            if permit.expires_at_ms <= now_ms
        ]
        for key in old:
            permit = self._permits.pop(key)
            self.work -= permit.weight
            self.shedder.release(permit.workspace)
