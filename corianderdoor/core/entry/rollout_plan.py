"""What the hosts' record about an order of a service should say."""

from __future__ import annotations

from collections.abc import Iterable

from .rollout_records import RolloutOrder, RolloutRecord, RolloutState


def plan_order(
    order: RolloutOrder,
    record: RolloutRecord | None,
    versions: Iterable[str],
    wall_ms: int,
) -> RolloutRecord:
    """Returns the record for an order that is seen for the first time.

    Args:
        order: The order.
        record: What is known of the order before it.
        versions: Versions of the listed servers.
        wall_ms: Unix time in ms.
    """
    rejected: set[str] = set()
    if record is None:
        others = set(versions) - {order.to}
        baseline = others.pop() if len(others) == 1 else ""
        revision = 0
    else:
        rejected.update(record.rejected)
        baseline, revision = record.baseline, record.revision
        if record.state is RolloutState.COMPLETED:
            baseline = record.to
        elif record.to != baseline:
            rejected.add(record.to)
    return RolloutRecord(
        order.service,
        order.revision,
        order.to,
        baseline,
        wall_ms,
        RolloutState.IN_PROGRESS,
        tuple(sorted(rejected - {order.to, ""})),
        revision,
    )


def end_plan(plan: RolloutRecord, state: RolloutState) -> RolloutRecord:
    """Returns `plan` with its final state."""
    rejected = set(plan.rejected)
    if state is RolloutState.REVERTED and plan.to != plan.baseline:
        rejected.add(plan.to)
    return RolloutRecord(
        plan.service,
        plan.order_revision,
        plan.to,
        plan.baseline,
        plan.started_wall_ms,
        state,
        tuple(sorted(rejected)),
        plan.revision,
    )


def is_about(record: RolloutRecord | None, order: RolloutOrder) -> bool:
    """Returns whether a record is about an order."""
    return (
        record is not None
        and record.order_revision == order.revision
        and record.to == order.to
    )


def is_newer(plan: RolloutRecord | None, record: RolloutRecord) -> bool:
    """Returns whether a host knows more than a record in the store."""
    if plan is None or plan.order_revision < record.order_revision:
        return False
    return plan.order_revision > record.order_revision or is_final(
        plan, record
    )


def is_final(plan: RolloutRecord, record: RolloutRecord) -> bool:
    """Returns whether `plan` is the final state of the order of `record`."""
    return (
        plan.state is not RolloutState.IN_PROGRESS
        and record.state is RolloutState.IN_PROGRESS
    )
