"""The rule that decides whether a claimed key may run."""

from __future__ import annotations

import enum

from .errors import Outcome


class Holder(enum.Enum):
    """Who holds the claim on a key, seen from one router."""

    NOBODY = "nobody"
    SELF_UNSTARTED = "self-unstarted"
    SELF_RUNNING = "self-running"
    SELF_ENDING = "self-ending"  # ended, and the log does not know yet
    OTHER = "other"


class Decision(enum.Enum):
    """What a router does with a key."""

    CLAIM = "claim"
    RUN = "run"
    HOLD = "hold"  # until the log knows the ending
    REPLAY = "replay"
    WAIT = "wait"
    UNKNOWN = "unknown"
    REUSED = "reused"


def decide_claim(
    holder: Holder, outcome: Outcome | None, before_deadline: bool
) -> Decision:
    """Decides on a key; the one guard against a second run.

    Args:
        holder: Who holds the claim.
        outcome: The outcome in the log, None if it has none.
        in_time: Whether the time for which the key was claimed still lasts.
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
