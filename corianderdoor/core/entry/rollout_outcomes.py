"""What the first host has to write about a rollout."""

from __future__ import annotations

from typing import Final

from .loads import Loads
from .rollout_plan import end_plan
from .rollout_progress import RolloutProgress
from .rollout_records import RolloutOutcome, RolloutState
from .rollout_stages import may_complete
from .servers import Servers

# How long all live hosts must be in stage full before the outcome, as
# reports may arrive out of order.
FULL_MS: Final = 400


def find_outcome(
    progress: RolloutProgress, servers: Servers, loads: Loads, now_ms: int
) -> RolloutOutcome | None:
    """Returns what has to be written; None if the store has it already.

    Args:
        progress: The rollout.
        servers: The listed servers.
        loads: In-flight requests at the servers.
        now_ms: Monotonic time in ms.
    """
    plan = progress.plan
    if plan is None or not progress.order_known:
        return None
    if _is_complete(progress, servers, loads, now_ms):
        plan = end_plan(plan, RolloutState.COMPLETED)
    elif progress.is_stored:
        return None
    order, stored = progress.order, progress.stored
    return RolloutOutcome(
        plan,
        0 if order is None else order.revision,
        0 if stored is None else stored.revision,
    )


def _is_complete(
    progress: RolloutProgress, servers: Servers, loads: Loads, now_ms: int
) -> bool:
    since_ms = progress.full_since_ms
    if not progress.is_in_progress or since_ms is None:
        return False
    listed = servers.listed(progress.service)
    if all(server.version != progress.to for server in listed):
        return False
    requests = sum(
        loads.of(server.id, now_ms)
        for server in listed
        if server.version != progress.to
    )
    return may_complete(
        progress.fraction,
        progress.is_back,
        now_ms - since_ms >= FULL_MS,
        requests,
    )
