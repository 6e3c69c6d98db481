"""Rollouts of versions in `corianderdoorctl platform status`."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from ..core.clock import MS_PER_SECOND
from ..core.entry.replica import Change
from ..core.entry.rollout_records import RolloutState
from ..core.entry.rollout_stages import find_share, find_stage
from ..platform.changes import (
    decode_change,
    RolloutOrderChange,
    RolloutRecordChange,
    ServerListed,
)
from ..platform.decoding import RecordError
from ..platform.rollouts import decode_status, STATUS_PREFIX


def summarize_rollouts(
    changes: list[Change], wall_ms: int
) -> dict[str, dict[str, Any]]:
    """Returns orders, records, statuses and versions by service.

    Args:
        changes: The items of the store.
        wall_ms: Time since the Unix epoch in ms.
    """
    found: dict[str, dict[str, Any]] = {}
    versions: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for change in changes:
        if change.key.startswith(STATUS_PREFIX) and change.value is not None:
            service = change.key[len(STATUS_PREFIX) :]
            status = _describe_status(service, change.value)
            found.setdefault(service, {})["status"] = status
        decoded = decode_change(change)
        if isinstance(decoded, RolloutOrderChange) and decoded.order:
            found.setdefault(decoded.service, {})["order"] = {
                "to": decoded.order.to,
                "duration_s": decoded.order.duration_ms / MS_PER_SECOND,
                "revision": decoded.order.revision,
            }
        elif isinstance(decoded, RolloutRecordChange) and decoded.record:
            record = decoded.record
            found.setdefault(decoded.service, {})["record"] = {
                "to": record.to,
                "baseline": record.baseline,
                "state": record.state.value,
                "order_revision": record.order_revision,
                "started_ms": record.started_wall_ms,
                "rejected": list(record.rejected),
            }
        elif isinstance(decoded, ServerListed):
            server = decoded.server
            versions[server.service][server.version] += 1
    for service, rollout in found.items():
        rollout["stage"] = _estimate_stage(rollout, wall_ms)
        rollout["versions"] = dict(sorted(versions[service].items()))
    return {service: found[service] for service in sorted(found)}


def _describe_status(service: str, value: bytes) -> dict[str, str]:
    try:
        state, to = decode_status(service, value)
    except RecordError as exc:
        return {"state": "unusable", "detail": str(exc)}
    return {"state": state, "to": to}


def _estimate_stage(rollout: dict[str, Any], wall_ms: int) -> str:
    """Returns the stage that the time allows; hosts may be behind it."""
    order, record = rollout.get("order"), rollout.get("record")
    if record is None:
        return "not begun" if order else "none"
    if record["state"] != RolloutState.IN_PROGRESS.value:
        return str(record["state"])
    if order is None or order["revision"] != record["order_revision"]:
        return "changing"
    elapsed_ms = wall_ms - record["started_ms"]
    part = elapsed_ms / (MS_PER_SECOND * order["duration_s"])
    if part < 0:
        return "unknown, as the order is from the future"
    stage = find_stage(find_share(part), False)
    return f"{stage.value}, {part:.0%} of the time budget"


def print_rollout(service: str, rollout: dict[str, Any]) -> None:
    """Prints what `summarize_rollouts` found for one service."""
    order = rollout.get("order")
    status = rollout.get("status", {"state": "none"})
    versions = ", ".join(
        f"{count} {version or 'unknown'}"
        for version, count in rollout["versions"].items()
    )
    wanted = "no order"
    if order is not None:
        wanted = (
            f"to {order['to']} within {order['duration_s']:g} s "
            f"(revision {order['revision']})"
        )
    print(f"rollout of {service}: {wanted}")
    print(f"  stage: {rollout['stage']}")
    print(f"  status: {' '.join(status.values())}")
    rejected = rollout.get("record", {}).get("rejected")
    if rejected:
        print(f"  rejected versions: {', '.join(rejected)}")
    print(f"  servers: {versions or 'none'}")
