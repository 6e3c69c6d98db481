"""Passes orders, records and time to the decisions about rollouts."""

from __future__ import annotations

from typing import Final

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.counters import Counters
from ..core.entry.peers import Peers
from ..core.entry.replica import Change, Replica
from ..core.entry.rollout_changes import RolloutChange
from ..core.entry.rollout_contact import find_contact
from ..core.entry.rollout_records import RolloutOrder, RolloutReport
from ..core.entry.rollouts import Rollouts
from ..core.entry.servers import digest_id
from ..platform.changes import RolloutOrderChange, RolloutRecordChange
from ..platform.rollouts import ORDER_PREFIX, ROLLOUT_PREFIX

# An order that is missing after a restore of the store stays in force for
# this long, in which the operators write it again.
ORDER_GRACE_MS: Final = 30_000
# Stands for all versions but the ordered one in metrics.
FORMER_VERSION: Final = "former"
NO_ANSWERS: Final = (0, 0, 0, 0)


def list_rollouts_kept(
    replica: Replica, changes: list[Change]
) -> list[Change]:
    """Returns the items about rollouts that are not in `changes`.

    In a new era they may have other revisions with the same values, and an
    order with another revision is another order.
    """
    changed = {change.key for change in changes}
    return [
        item
        for item in replica.items()
        if item.key.startswith((ORDER_PREFIX, ROLLOUT_PREFIX))
        and item.key not in changed
    ]


class RolloutFeed:
    """Feeds the decisions about rollouts and logs what they decide.

    Attributes:
        rollouts: The decisions of this host.
    """

    __slots__ = (
        "rollouts",
        "_peers",
        "_clock",
        "_counters",
        "_kept_orders",
        "_services",
        "_targets",
        "_counted",
    )

    def __init__(
        self,
        rollouts: Rollouts,
        peers: Peers,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.rollouts = rollouts
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._kept_orders: dict[str, int] = {}
        # Services with orders by digest, and their new versions by name.
        self._services: dict[int, str] = {}
        self._targets: dict[str, str] = {}
        # Revision of the order and answers counted so far by service.
        self._counted: dict[str, tuple[int, tuple[int, int, int, int]]] = {}

    def apply_order(self, change: RolloutOrderChange, from_copy: bool) -> None:
        """Applies an order or its removal.

        Args:
            change: The change.
            from_copy: Whether the order may be missing only because the store
                was restored from an older copy.
        """
        now_ms = self._clock.now_ms()
        service = change.service
        if change.order is None and from_copy:
            self._kept_orders[service] = now_ms + ORDER_GRACE_MS
            log_event(
                "rollout_order_kept",
                "WARNING",
                service=service,
                grace_ms=ORDER_GRACE_MS,
            )
            return
        self._kept_orders.pop(service, None)
        self._services[digest_id(service)] = service
        if change.order is not None:
            self._targets[service] = change.order.to
        self.rollouts.set_order(
            service, change.order, now_ms, self._clock.wall_ms()
        )

    def keep_order(self, order: RolloutOrder, until_ms: int) -> bool:
        """Puts an order in force that a peer keeps.

        Args:
            order: The order, which the restored store has lost.
            until_ms: When it ends unless it is written again.

        Returns:
            Whether it was new here.
        """
        if self.rollouts.has_seen(order):
            return False
        self.apply_order(RolloutOrderChange(order.service, order), False)
        self._kept_orders[order.service] = until_ms
        return True

    def apply_record(self, change: RolloutRecordChange) -> None:
        """Applies the stored record of a rollout or its removal."""
        self.rollouts.set_record(
            change.service,
            change.record,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )

    def tick(self, now_ms: int) -> bool:
        """Passes the time on, and logs and counts what is new.

        Returns:
            Whether peers should get a heartbeat without delay.
        """
        for service, until_ms in list(self._kept_orders.items()):
            if until_ms <= now_ms:
                self.apply_order(RolloutOrderChange(service, None), False)
        wall_ms = self._clock.wall_ms()
        if self.rollouts.is_idle:
            # Records the tick without a look at all peers.
            self.rollouts.tick(now_ms, wall_ms, (), ())
            return False
        contact = find_contact(self._peers, now_ms)
        changes = self.rollouts.tick(
            now_ms,
            wall_ms,
            contact.live,
            contact.expected,
            contact.max_age_ms,
        )
        for change in changes:
            _log_change(change)
        self._count_answers(now_ms)
        return self.rollouts.take_urgent()

    def _count_answers(self, now_ms: int) -> None:
        """Adds this host's answers since the last tick to the counters."""
        for report in self.rollouts.reports(now_ms):
            service = self._services.get(report.service, "")
            total = _sum_answers(report)
            order, counted = self._counted.get(service, (0, NO_ANSWERS))
            if order != report.order_revision:
                counted = NO_ANSWERS
            self._counted[service] = report.order_revision, total
            new = [now - then for now, then in zip(total, counted)]
            for version, answers, bad in (
                (FORMER_VERSION, new[0], new[1]),
                (self._targets.get(service, ""), new[2], new[3]),
            ):
                labels = {"service": service, "version": version}
                if answers > 0:
                    self._counters.add("rollout_answers", answers, **labels)
                if bad > 0:
                    self._counters.add("rollout_bad_answers", bad, **labels)


def _sum_answers(report: RolloutReport) -> tuple[int, int, int, int]:
    """Returns old answers, bad ones, new answers and bad ones."""
    routes = report.routes
    return (
        sum(counts.old_answers for counts in routes),
        sum(counts.old_bad for counts in routes),
        sum(counts.new_answers for counts in routes),
        sum(counts.new_bad for counts in routes),
    )


def _log_change(change: RolloutChange) -> None:
    """Logs a change of a rollout."""
    fields = dict(change.fields)
    if change.event == "rollout_ordered":
        log_event(
            "rollout_ordered",
            service=change.service,
            to=change.to,
            baseline=fields["baseline"],
            revision=fields["order"],
        )
    elif change.event == "rollout_stage":
        log_event(
            "rollout_stage",
            service=change.service,
            to=change.to,
            stage=fields["stage"],
        )
    elif change.event == "rollout_verdict":
        log_event(
            "rollout_verdict",
            "WARNING",
            service=change.service,
            to=change.to,
            reason=fields["reason"],
            answers=fields["answers"],
            bad=fields["bad"],
            old_answers=fields["old_answers"],
            old_bad=fields["old_bad"],
        )
    elif change.event == "rollout_outcome":
        log_event(
            "rollout_outcome",
            service=change.service,
            to=change.to,
            state=fields["state"],
        )
    else:
        raise ValueError(f"unknown event {change.event}")
