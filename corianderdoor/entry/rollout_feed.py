"""Passes orders, records and time to the decisions about rollouts."""

from __future__ import annotations

from typing import Final, Protocol

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.counters import Counters
from ..core.entry.peers import Peers
from ..core.entry.rollout_records import (
    RolloutOrder,
    RolloutOutcome,
    RolloutRecord,
    RolloutReport,
)
from ..core.entry.servers import digest_id
from ..platform.changes import RolloutOrderChange, RolloutRecordChange

# An order that is missing after a restore of the store stays in force for
# this long, in which the operators write it again.
ORDER_GRACE_MS: Final = 30_000


class RolloutDecisions(Protocol):
    """The decisions of one host about rollouts."""

    def set_order(
        self,
        service: str,
        order: RolloutOrder | None,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Sets the order of a service; None if it was removed."""

    def set_record(
        self,
        service: str,
        record: RolloutRecord | None,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Sets the stored record of a service; None if there is none."""

    def reports(self, now_ms: int) -> tuple[RolloutReport, ...]:
        """Returns what this host tells its peers."""

    def merge(
        self,
        peer: str,
        boot: int,
        reports: tuple[RolloutReport, ...],
        now_ms: int,
    ) -> None:
        """Merges what a peer reported since its start `boot`."""

    def tick(
        self, now_ms: int, wall_ms: int, live_peers: int, listed_peers: int
    ) -> None:
        """Updates stages and verdicts."""

    def outcomes(self, now_ms: int) -> list[RolloutOutcome]:
        """Returns what has to be written to the store."""


class RolloutFeed:
    """Feeds the decisions about rollouts and logs what they decide.

    Attributes:
        decisions: The decisions of this host.
    """

    __slots__ = (
        "decisions",
        "_peers",
        "_clock",
        "_kept_orders",
        "_names",
        "_targets",
        "_last",
        "_counters",
    )

    def __init__(
        self,
        decisions: RolloutDecisions,
        peers: Peers,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.decisions = decisions
        self._counters = counters
        self._peers = peers
        self._clock = clock
        self._kept_orders: dict[str, int] = {}
        # Names of the services with orders, by digest.
        self._names: dict[int, str] = {}
        self._targets: dict[str, str] = {}
        # The last report of each service.
        self._last: dict[int, RolloutReport] = {}

    def apply_order(self, change: RolloutOrderChange, from_copy: bool) -> None:
        """Applies an order or its removal.

        Args:
            change: The change.
            from_copy: Whether the order is missing because the store was
                restored from an older copy.
        """
        now_ms = self._clock.now_ms()
        service, order = change.service, change.order
        if order is None and from_copy:
            self._kept_orders[service] = now_ms + ORDER_GRACE_MS
            self._log_order(service, None, ORDER_GRACE_MS)
            return
        self._kept_orders.pop(service, None)
        self._names[digest_id(service)] = service
        if order is not None:
            self._targets[service] = order.to
        self._log_order(service, order, 0)
        self.decisions.set_order(service, order, now_ms, self._clock.wall_ms())

    def _log_order(
        self, service: str, order: RolloutOrder | None, grace_ms: int
    ) -> None:
        log_event(
            "rollout_ordered",
            service=service,
            to=order.to if order else "",
            duration_ms=order.duration_ms if order else 0,
            revision=order.revision if order else 0,
            removed=order is None,
            grace_ms=grace_ms,
        )

    def apply_record(self, change: RolloutRecordChange) -> None:
        """Applies the stored record of a rollout or its removal."""
        self.decisions.set_record(
            change.service,
            change.record,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )

    def tick(self, now_ms: int) -> bool:
        """Passes the time on and logs new stages and verdicts.

        Returns:
            Whether there is a new verdict, which peers have to be told.
        """
        for service, until_ms in list(self._kept_orders.items()):
            if until_ms <= now_ms:
                self.apply_order(RolloutOrderChange(service, None), False)
        self.decisions.tick(
            now_ms,
            self._clock.wall_ms(),
            self._peers.count_live(now_ms),
            sum(peer.listed for peer in self._peers.all()),
        )
        reports = self.decisions.reports(now_ms)
        last, self._last = self._last, {r.service: r for r in reports}
        found = [self._compare(r, last.get(r.service)) for r in reports]
        return any(found)

    def _compare(
        self, report: RolloutReport, last: RolloutReport | None
    ) -> bool:
        """Logs and counts what is new; returns whether the verdict is."""
        if last is not None and last.order_revision != report.order_revision:
            last = None
        service = self._names.get(report.service, "")
        self._count(report, last, service)
        if last is None or last.share_permille != report.share_permille:
            log_event(
                "rollout_stage",
                service=service,
                revision=report.order_revision,
                share_permille=report.share_permille,
            )
        if not report.is_bad or last is not None and last.is_bad:
            return False
        answers, bad = _sum_new(report)
        log_event(
            "rollout_verdict",
            "WARNING",
            service=service,
            revision=report.order_revision,
            answers=answers,
            bad=bad,
        )
        return True

    def _count(
        self, report: RolloutReport, last: RolloutReport | None, service: str
    ) -> None:
        for version, total in (
            (self._targets.get(service, ""), _sum_new),
            ("former", _sum_old),
        ):
            answers, bad = total(report)
            former = total(last) if last is not None else (0, 0)
            for name, count in (
                ("rollout_answers", answers - former[0]),
                ("rollout_bad_answers", bad - former[1]),
            ):
                if count > 0:
                    self._counters.add(
                        name, count, service=service, version=version
                    )


def _sum_new(report: RolloutReport) -> tuple[int, int]:
    """Returns this host's answers of the new version and the bad ones."""
    return (
        sum(counts.new_answers for counts in report.routes),
        sum(counts.new_bad for counts in report.routes),
    )


def _sum_old(report: RolloutReport) -> tuple[int, int]:
    """Returns this host's answers of the old version and the bad ones."""
    return (
        sum(counts.old_answers for counts in report.routes),
        sum(counts.old_bad for counts in report.routes),
    )
