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


class Move(enum.Enum):
    """What a router does with a key."""

    CLAIM = "claim"
    RUN = "run"
    HOLD = "hold"  # until the log knows the ending
    REPLAY = "replay"
    WAIT = "wait"
    UNKNOWN = "unknown"
    REUSED = "reused"


def judge_claim(
    holder: Holder, outcome: Outcome | None, in_time: bool
) -> Move:
    """Decides on a key; the one guard against a second run.

    Args:
        holder: Who holds the claim.
        outcome: The outcome in the log, None if it has none.
        in_time: Whether the time for which the key was claimed still lasts.
    """
    if holder is Holder.NOBODY:
        return Move.CLAIM
    if outcome is Outcome.RUN:
        return Move.REPLAY
    if outcome is not None:
        return Move.UNKNOWN
    if holder is Holder.SELF_ENDING:
        return Move.HOLD
    if not in_time:
        return Move.UNKNOWN
    return Move.RUN if holder is Holder.SELF_UNSTARTED else Move.WAIT
