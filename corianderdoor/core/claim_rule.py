"""Decides what a router does with an idempotency key and its claim."""

from __future__ import annotations

import enum

from .errors import Outcome


class Holder(enum.Enum):
    """Holder of the claim on a key, as seen by one router."""

    NOBODY = "nobody"
    SELF_UNSTARTED = "self-unstarted"
    SELF_RUNNING = "self-running"
    SELF_ENDING = "self-ending"  # ended; result not in the log yet
    OTHER = "other"


class Decision(enum.Enum):
    """What a router does with a request that carries a claimed key."""

    CLAIM = "claim"
    RUN = "run"
    HOLD = "hold"  # until the result is in the log
    REPLAY = "replay"
    WAIT = "wait"
    UNKNOWN = "unknown"
    REUSED = "reused"


def decide_claim(
    holder: Holder, outcome: Outcome | None, before_deadline: bool
) -> Decision:
    """Returns what to do with a key.

    Besides the compare-and-swap on the log, this check alone keeps a key
    from running twice.

    Args:
        holder: Holder of the claim.
        outcome: Outcome of the run in the log, None if not in the log.
        before_deadline: Whether the deadline of the claim has not passed.
    """
    if holder is Holder.NOBODY:
        return Decision.CLAIM
    if outcome is Outcome.RUN:
        return Decision.REPLAY
    if outcome is not None:
        return Decision.UNKNOWN
    if holder is Holder.SELF_ENDING:
        return Decision.HOLD
    if not before_deadline:
        return Decision.UNKNOWN
    return Decision.RUN if holder is Holder.SELF_UNSTARTED else Decision.WAIT
