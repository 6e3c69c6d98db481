"""State of the rollout of one service at one host."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import xxhash

from .rollout_changes import RolloutChange
from .rollout_evidence import RolloutEvidence
from .rollout_latency import RolloutLatency
from .rollout_plan import end_plan, is_about, is_final, is_newer, plan_order
from .rollout_records import (
    RolloutOrder,
    RolloutRecord,
    RolloutReport,
    RolloutState,
)
from .rollout_stages import (
    ExposureCount,
    find_share,
    find_slack,
    find_stage,
    may_use_new,
    Stage,
)

# Fraction of the budget that a host which takes the time from its wall clock
# stays in the canary, so that a clock that is ahead does not skip it.
WALL_CANARY: Final = 0.2
FULL_PERMILLE: Final = 1_000


def digest(name: str) -> int:
    """Returns the number that identifies a name between hosts."""
    return xxhash.xxh3_64_intdigest(name.encode())


class RolloutProgress:
    """What one host knows of the rollout of one service.

    Attributes:
        service: Name of the service.
        order: The order in force; None if there is none.
        order_known: Whether the order, or its absence, has been read.
        stored: The record in the store; None if there is none.
        plan: The record that should be in the store; None until there was
            an order.
        evidence: Counts of answers of all hosts.
        latency: Times of answers of the old version at this host.
        count: Requests and sends of this host.
        bad: Why the new version is bad; empty if it is not known to be.
        share: Share of requests to the new version; 0 in the canary.
        stage: The stage of this host.
        fraction: Elapsed fraction of the budget.
        reported: Shares of the peers in thousandths.
        full_since_ms: Since when all live hosts are in stage full.
    """

    __slots__ = (
        "service",
        "order",
        "order_known",
        "stored",
        "plan",
        "evidence",
        "latency",
        "count",
        "bad",
        "share",
        "stage",
        "fraction",
        "reported",
        "full_since_ms",
        "_service_digest",
        "_started_ms",
        "_wall_offset_ms",
        "_is_late",
        "_ticked",
        "_allowed",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.order: RolloutOrder | None = None
        self.order_known = False
        self.stored: RolloutRecord | None = None
        self.plan: RolloutRecord | None = None
        self._service_digest = digest(service)
        self._allowed: dict[str, bool] = {}
        self._restart(0, ExposureCount(0.0, 0))

    def _restart(self, now_ms: int, count: ExposureCount) -> None:
        self.evidence = RolloutEvidence()
        self.latency = RolloutLatency()
        self.count = count
        self.bad = ""
        self.share = 0.0
        self.stage = Stage.NOTHING
        self.fraction = 0.0
        self.reported: dict[str, int] = {}
        self.full_since_ms: int | None = None
        self._started_ms = now_ms
        # Time before `_started_ms` that the wall clock tells; None if this
        # host saw the order itself.
        self._wall_offset_ms: int | None = None
        # Whether the wall clock says that the budget is over.
        self._is_late = False
        self._ticked = False
        self._allowed.clear()

    def start(
        self,
        order: RolloutOrder,
        exposure_share: float,
        slack: int,
        versions: Iterable[str],
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Starts the rollout of a new order."""
        self.order = order
        self.order_known = True
        self._restart(now_ms, ExposureCount(exposure_share, slack))
        if is_about(self.stored, order):
            self._follow(now_ms, wall_ms)
        else:
            before = self.plan or self.stored
            self.plan = plan_order(order, before, versions, wall_ms)

    def set_stored(
        self,
        record: RolloutRecord | None,
        versions: Iterable[str],
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Applies the record in the store."""
        self.stored = record
        self._allowed.clear()
        if self.order is not None and is_about(record, self.order):
            self._follow(now_ms, wall_ms)
            return
        if record is None:
            return
        if self.order is None:
            self.plan = self.plan if is_newer(self.plan, record) else record
        elif not self._ticked:
            # The record about the order before arrived after this order.
            self.plan = plan_order(self.order, record, versions, wall_ms)

    def _follow(self, now_ms: int, wall_ms: int) -> None:
        """Follows a stored record about the order in force."""
        record = self.stored
        if record is None:
            return
        if record.state is RolloutState.IN_PROGRESS:
            if not self._ticked:
                self._take_wall_time(record, now_ms, wall_ms)
            if self.plan is not None and is_final(self.plan, record):
                return
        self.plan = record
        self._allowed.clear()

    def _take_wall_time(
        self, record: RolloutRecord, now_ms: int, wall_ms: int
    ) -> None:
        """Takes the time since the order from a record that was there before.

        This host started after the order, and has used up its part of the
        slack before it restarted.
        """
        if self.order is None:
            return
        elapsed_ms = wall_ms - record.started_wall_ms
        self._started_ms = now_ms
        self._is_late = elapsed_ms >= self.order.duration_ms
        self._wall_offset_ms = max(0, elapsed_ms)
        if self._is_late:
            self._wall_offset_ms = 0
        self.count.slack = 0

    def remove_order(self) -> None:
        """Ends the rollout because its order was removed."""
        self.order = None
        self.order_known = True
        if self.plan is not None and self.is_in_progress:
            self.plan = end_plan(self.plan, RolloutState.REVERTED)
        self._allowed.clear()

    @property
    def is_in_progress(self) -> bool:
        """Whether a rollout is in progress."""
        return (
            self.plan is not None
            and self.plan.state is RolloutState.IN_PROGRESS
        )

    @property
    def is_stored(self) -> bool:
        """Whether the record in the store is the one that should be there."""
        stored, plan = self.stored, self.plan
        if stored is None or plan is None:
            return stored is plan
        return (
            stored.order_revision == plan.order_revision
            and stored.to == plan.to
            and stored.state is plan.state
        )

    @property
    def to(self) -> str:
        """The version of the last order; empty if there was none."""
        return "" if self.plan is None else self.plan.to

    @property
    def is_back(self) -> bool:
        """Whether the order leads back to the version that served before."""
        return self.plan is not None and self.plan.to == self.plan.baseline

    def allows(
        self, version: str, list_versions: Callable[[str], frozenset[str]]
    ) -> bool:
        """Returns whether any request may go to servers of a version.

        Args:
            version: Version of a server.
            list_versions: Returns the versions of a service's servers.
        """
        found = self._allowed.get(version)
        if found is None:
            versions = list_versions(self.service)
            found = self._allowed[version] = self._allows(version, versions)
        return found

    def forget_allowed(self) -> None:
        """Computes anew which versions are allowed."""
        self._allowed.clear()

    def _allows(self, version: str, versions: frozenset[str]) -> bool:
        plan = self.plan
        if plan is None:
            return True
        if plan.state is RolloutState.COMPLETED:
            return version == plan.to
        if version == plan.to and not (
            plan.state is RolloutState.REVERTED and self.is_back
        ):
            return may_use_new(plan.state, self.order, bool(self.bad))
        if version in ("", plan.baseline):
            return True
        if version in plan.rejected:
            return False
        return not plan.baseline or plan.baseline not in versions

    def tick(
        self,
        now_ms: int,
        name: str,
        hosts: list[str],
        slack: int,
        in_contact: bool,
        is_silent: bool,
        has_servers: bool,
    ) -> list[RolloutChange]:
        """Updates verdict, share and stage; returns what changed.

        Args:
            now_ms: Monotonic time in ms.
            name: Name of this host.
            hosts: Names of all hosts.
            slack: Slack of the bound on exposure.
            in_contact: Whether heartbeats of enough peers arrive.
            is_silent: Whether so few arrive that it sends nothing.
            has_servers: Whether servers of the new version are listed.
        """
        order, plan = self.order, self.plan
        if order is None or plan is None or not self.is_in_progress:
            return []
        changes = []
        if not self._ticked:
            self._ticked = True
            fields = (("baseline", plan.baseline), ("order", order.revision))
            changes.append(self.change("rollout_ordered", fields))
        part = find_slack(slack, name, hosts)
        self.count.slack = min(self.count.slack, part)
        self.fraction = self._find_fraction(order, now_ms)
        reason = self.evidence.verdict()
        if reason is not None and not self.is_back:
            changes += self.set_bad(reason)
        if self.fraction >= 1 and not (self.is_back and has_servers):
            changes += self.set_bad("out-of-time")
        share = 0.0
        if self.is_back:
            share = 1.0
        elif in_contact and not self.bad and self.evidence.is_enough():
            share = self._limit_share(find_share(self.fraction))
            if self.evidence.is_suspect():
                share = min(share, self.share)
        is_silent = is_silent and not self.is_back or bool(self.bad)
        stage = find_stage(share, is_silent or self._is_late)
        self.share = 0.0 if stage is Stage.NOTHING else share
        if stage is not self.stage:
            self.stage = stage
            changes.append(
                self.change("rollout_stage", (("stage", stage.value),))
            )
        return changes

    def _find_fraction(self, order: RolloutOrder, now_ms: int) -> float:
        elapsed_ms = now_ms - self._started_ms
        return (elapsed_ms + (self._wall_offset_ms or 0)) / order.duration_ms

    def _limit_share(self, share: float) -> float:
        """Limits the share of a host that relies on its wall clock."""
        if self._wall_offset_ms is None or self.order is None:
            return share
        if self._is_late:
            return 0.0
        own = self.fraction - self._wall_offset_ms / self.order.duration_ms
        highest = max(self.reported.values(), default=0) / FULL_PERMILLE
        if highest >= find_share(0.55):
            return min(share, highest)
        return share if own >= WALL_CANARY else 0.0

    def merge(
        self, peer: str, boot: int, report: RolloutReport
    ) -> list[RolloutChange]:
        """Merges the report of a peer; returns what changed."""
        order = self.order
        if order is None or order.revision != report.order_revision:
            return []
        self.reported[peer] = report.share_permille
        if not self.is_in_progress:
            return []
        self.evidence.merge(peer, boot, report.routes, report.servers)
        if report.is_bad:
            return self.set_bad("peer")
        return []

    def set_bad(self, reason: str) -> list[RolloutChange]:
        """Records that the new version is bad, which is final."""
        if self.bad or self.plan is None or not self.is_in_progress:
            return []
        self.bad = reason
        self.share = 0.0
        self.stage = Stage.NOTHING
        self.plan = end_plan(self.plan, RolloutState.REVERTED)
        self._allowed.clear()
        total = self.evidence.total()
        return [
            self.change(
                "rollout_verdict",
                (
                    ("reason", reason),
                    ("answers", total.new_answers),
                    ("bad", total.new_bad),
                    ("old_answers", total.old_answers),
                    ("old_bad", total.old_bad),
                ),
            )
        ]

    def change(
        self, event: str, fields: tuple[tuple[str, str | int], ...]
    ) -> RolloutChange:
        """Returns a change of this rollout."""
        return RolloutChange(event, self.service, self.to, fields)

    def report(self) -> RolloutReport | None:
        """Returns what heartbeats carry; None if there is nothing to tell."""
        if self.order is None or self.plan is None:
            return None
        if not self.is_in_progress and (not self.bad or self.is_stored):
            return None
        return RolloutReport(
            self._service_digest,
            self.order.revision,
            int(self.share * FULL_PERMILLE),
            bool(self.bad),
            self.evidence.own_routes(),
            self.evidence.own_servers(),
        )
