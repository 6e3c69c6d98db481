"""Plain records about rollouts of new versions of a service."""

from __future__ import annotations

import enum

from ..records import Record


class RolloutState(enum.Enum):
    """State of a rollout, as the operators read it in its status."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


class RolloutOrder(Record):
    """The operators' order to move a service to a new version.

    Attributes:
        service: Name of the service.
        to: The new version.
        duration_ms: Time budget in ms, counted from the order.
        revision: Revision of the order in the store; identifies the order.
    """

    __slots__ = ("service", "to", "duration_ms", "revision")

    def __init__(
        self, service: str, to: str, duration_ms: int, revision: int
    ) -> None:
        self.service = service
        self.to = to
        self.duration_ms = duration_ms
        self.revision = revision


class RolloutRecord(Record):
    """What the hosts keep in the store about the last order of a service.

    Attributes:
        service: Name of the service.
        order_revision: Revision of the order.
        to: The version that it names.
        baseline: The version that served before; empty if unknown.
        started_wall_ms: Unix time in ms at which the order was first seen.
        state: State of the rollout.
        rejected: Versions that no host may use, because their orders did not
            complete.
        revision: Revision of this record in the store; 0 if it is not
            written yet.
    """

    __slots__ = (
        "service",
        "order_revision",
        "to",
        "baseline",
        "started_wall_ms",
        "state",
        "rejected",
        "revision",
    )

    def __init__(
        self,
        service: str,
        order_revision: int,
        to: str,
        baseline: str,
        started_wall_ms: int,
        state: RolloutState,
        rejected: tuple[str, ...] = (),
        revision: int = 0,
    ) -> None:
        self.service = service
        self.order_revision = order_revision
        self.to = to
        self.baseline = baseline
        self.started_wall_ms = started_wall_ms
        self.state = state
        self.rejected = rejected
        self.revision = revision


class RolloutOutcome(Record):
    """A record and a status to write in one conditional transaction.

    Attributes:
        record: The record to write; the status has its state and version.
        order_revision: Revision that the order must still have; 0 if there
            must be none.
        record_revision: Revision that the stored record must still have; 0
            if there must be none.
    """

    __slots__ = ("record", "order_revision", "record_revision")

    def __init__(
        self,
        record: RolloutRecord,
        order_revision: int,
        record_revision: int,
    ) -> None:
        self.record = record
        self.order_revision = order_revision
        self.record_revision = record_revision


class RouteCounts(Record):
    """Answers of one route since the order, by version.

    Attributes:
        route: Digest of the route's name.
        old_answers: Answers of the old version.
        old_bad: Failures and slow answers among them.
        new_answers: Answers of the new version.
        new_bad: Failures and slow answers among them.
    """

    __slots__ = (
        "route",
        "old_answers",
        "old_bad",
        "new_answers",
        "new_bad",
    )

    def __init__(
        self,
        route: int,
        old_answers: int,
        old_bad: int,
        new_answers: int,
        new_bad: int,
    ) -> None:
        self.route = route
        self.old_answers = old_answers
        self.old_bad = old_bad
        self.new_answers = new_answers
        self.new_bad = new_bad


class RolloutReport(Record):
    """What a host tells its peers about a rollout in progress.

    Counts only grow within one boot of the host.

    Attributes:
        service: Digest of the service's name.
        order_revision: Revision of the order.
        share_permille: Share of requests that the host sends to the new
            version at present, in thousandths.
        is_bad: Whether the host has found the version bad.
        routes: Answers by route.
        servers: Digests of servers of the new version, each with its answers
            and the bad ones among them.
    """

    __slots__ = (
        "service",
        "order_revision",
        "share_permille",
        "is_bad",
        "routes",
        "servers",
    )

    def __init__(
        self,
        service: int,
        order_revision: int,
        share_permille: int,
        is_bad: bool,
        routes: tuple[RouteCounts, ...],
        servers: tuple[tuple[int, int, int], ...],
    ) -> None:
        self.service = service
        self.order_revision = order_revision
        self.share_permille = share_permille
        self.is_bad = is_bad
        self.routes = routes
        self.servers = servers
