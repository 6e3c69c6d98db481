"""Admission state of one backend server, kept by its home router."""

from __future__ import annotations

from typing import Final, TypeAlias

from .load_report import LoadReport
from .permits import Ask, HandOff, Release, Tier, Verdict
from .shedding import Shedder, WorkspaceShares
from .slow_start import SlowStart
from .topology import Server
from .unaccounted_work import UnaccountedWork

# A settled home admits in chat order up to this share of the bound. A home in
# handover admits only what this share leaves free, so that two routers that
# both consider themselves the home stay within the bound together.
SETTLED_SHARE: Final = 0.9
# The mean falls as other requests end, so best fit stays below the bound.
BEST_FIT_SHARE: Final = 0.95
HANDOVER_MS: Final = 5_000

PermitKey: TypeAlias = tuple[str, int]


class Permit:
    """A permit granted to one request.

    Attributes:
        weight: Work of the request, in tokens.
        expires_at_ms: When the permit expires if it is not released.
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
    """Load of one server, from the permits granted and its own reports.

    The load is the sum of the permits granted here plus the work that the
    server reports beyond them: work that a former home admitted, or whose
    permit has expired.
    """

    __slots__ = (
        "server",
        "slow_start",
        "leaving",
        "work",
        "shedder",
        "_permits",
        "_unaccounted_work",
        "_unaccounted_requests",
        "_reported",
        "_settled_at_ms",
    )

    def __init__(
        self,
        server: Server,
        now_ms: int,
        settled: bool,
        shares: WorkspaceShares | None = None,
    ) -> None:
        """Creates the state of a server for which no permit is granted.

        Args:
            server: The server.
            now_ms: Monotonic time.
            settled: Whether this router was the server's home already, so
                that there is no handover.
            shares: Shares of the workspaces in the server's pool.
        """
        self.server = server
        self.slow_start = SlowStart(
            server.capacity, server.incarnation, now_ms
        )
        self.leaving = False
        self.work = 0
        self.shedder = Shedder(shares or WorkspaceShares(now_ms))
        self._permits: dict[PermitKey, Permit] = {}
        self._unaccounted_work = UnaccountedWork(inherited=not settled)
        self._unaccounted_requests = UnaccountedWork(inherited=not settled)
        self._reported = settled
        self._settled_at_ms = now_ms if settled else now_ms + HANDOVER_MS

    @property
    def load(self) -> int:
        """Tokens of all requests in progress, as far as known."""
        return self.work + self._unaccounted_work.amount

    @property
    def requests(self) -> int:
        """All requests in progress, as far as known."""
        return len(self._permits) + self._unaccounted_requests.amount

    @property
    def capacity(self) -> int:
        """Concurrent requests that the server may get at present."""
        return 0 if self.leaving else self.slow_start.limit

    @property
    def has_report(self) -> bool:
        """Whether the server or its former home has reported its load."""
        return self._reported

    def in_handover(self, now_ms: int) -> bool:
        """Returns whether another router may consider itself the home."""
        return now_ms < self._settled_at_ms

    def check(
        self, ask: Ask, max_load: float, mean: float, now_ms: int
    ) -> Verdict:
        """Returns the verdict on `ask`; does not grant the permit.

        Args:
            ask: The request for a permit.
            max_load: The load bound, in tokens: a multiple of the mean.
            mean: Mean load of a server of this capacity, in tokens.
            now_ms: Monotonic time.
        """
        if self.leaving:
            return Verdict.LEAVING
        if self.requests >= self.slow_start.limit:
            return Verdict.FULL if self.slow_start.warm else Verdict.COLD
        shed = self.shedder.should_shed(
            ask.workspace, ask.priority, self.requests, self.slow_start.limit
        )
        if shed and self.slow_start.warm:
            return Verdict.SHED
        if self.in_handover(now_ms):
            return self._check_in_handover(ask, max_load)
        if not self.requests:
            return Verdict.GRANTED
        chat_order = ask.tier == Tier.CHAT_ORDER
        share = SETTLED_SHARE if chat_order else BEST_FIT_SHARE
        if self.load + ask.weight <= share * max_load:
            return Verdict.GRANTED
        if ask.tier == Tier.BELOW_MEAN and self.load <= mean:
            return Verdict.GRANTED
        return Verdict.OVER_MEAN

    def _check_in_handover(self, ask: Ask, max_load: float) -> Verdict:
        if not self._reported:
            return Verdict.OVER_MEAN
        if not self.requests:
            return Verdict.GRANTED
        within = self.load + ask.weight <= SETTLED_SHARE * max_load
        own = self.work + ask.weight <= (1 - SETTLED_SHARE) * max_load
        return Verdict.GRANTED if within and own else Verdict.OVER_MEAN

    def grant(self, key: PermitKey, ask: Ask, now_ms: int) -> None:
        """Adds the permit that `check` allowed."""
        until_ms = now_ms + ask.ttl_ms
        self._permits[key] = Permit(ask.weight, until_ms, ask.workspace)
        self.shedder.admit(ask.workspace)
        self.work += ask.weight

    def holds(self, key: PermitKey) -> bool:
        """Returns whether the permit is in force."""
        return key in self._permits

    def release(self, key: PermitKey, release: Release, now_ms: int) -> None:
        """Removes a permit and updates slow start by how it ended."""
        permit = self._permits.pop(key, None)
        if permit is None:
            return
        self.work -= permit.weight
        self.shedder.release(permit.workspace)
        if release.served:
            self.slow_start.record_completion(
                permit.weight, release.first_token_ms, now_ms
            )
        elif release.crashed:
            self.slow_start.record_crash(now_ms)

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Updates the state from a report of the server."""
        self.slow_start.apply_report(report, now_ms)
        self.leaving = self.leaving or report.leaving
        self._unaccounted_work.apply_report(report.work, self.work, now_ms)
        self._unaccounted_requests.apply_report(
            report.in_flight, len(self._permits), now_ms
        )
        self._reported = True

    def apply_hand_off(self, handed: HandOff, now_ms: int) -> None:
        """Merges the former home's state and ends the handover.

        The former home admits no more requests by then.
        """
        if handed.incarnation != self.server.incarnation:
            return
        if not self.in_handover(now_ms):
            return
        self._unaccounted_work.inherit(handed.work)
        self._unaccounted_requests.inherit(handed.requests)
        self.slow_start.limit = max(self.slow_start.limit, handed.allowed)
        self._reported = True
        self._settled_at_ms = now_ms

    def hand_off(self) -> HandOff:
        """Returns the state that the next home needs."""
        return HandOff(
            self.server.name,
            self.server.incarnation,
            self.load,
            self.requests,
            self.slow_start.limit,
        )

    def tick(self, now_ms: int) -> None:
        """Drops expired permits."""
        old = [
            key
            for key, permit in self._permits.items()
            if permit.expires_at_ms <= now_ms
        ]
        for key in old:
            permit = self._permits.pop(key)
            self.work -= permit.weight
            self.shedder.release(permit.workspace)
