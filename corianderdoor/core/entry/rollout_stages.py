"""Shares of requests to a new version, and the count that bounds them."""

from __future__ import annotations

from collections.abc import Iterable
import enum
import math
from typing import Final

import xxhash

from .rollout_records import RolloutOrder, RolloutState

# Parts of the bound on exposure that the canary may use. The rest is for
# the stage after it.
CANARY_PART: Final = 0.6
SLACK_PART: Final = 0.5
# Part of the canary's count that chats take by their hash; the rest is left
# to routes from which answers are still missing.
CHAT_PART: Final = 0.8
# Fractions of the time budget from which a share holds.
STEPS: Final = ((0.70, 1.0), (0.62, 0.6), (0.55, 0.25))
# Part of the bound that may be used before the full share.
EXPAND_PART: Final = 0.98
# Fractions from which the rollout is completed although requests are in
# progress at old servers, after which it is no longer completed, as the hosts
# have to learn of it before the end, and at which it ends.
COMPLETE_AT: Final = 0.93
LAST_COMPLETE_AT: Final = 0.98
MIN_CANARY_SERVERS: Final = 2


class Stage(enum.Enum):
    """Stage of a rollout at one host."""

    NOTHING = "nothing"
    CANARY = "canary"
    EXPAND = "expand"
    FULL = "full"


def find_share(fraction: float) -> float:
    """Returns the share for an elapsed fraction of the budget.

    Returns:
        The share; 0 if requests are limited by the canary's count.
    """
    for start, share in STEPS:
        if fraction >= start:
            return share
    return 0.0


def find_stage(share: float, is_silent: bool) -> Stage:
    """Returns the stage of a host with the share `share`."""
    if is_silent:
        return Stage.NOTHING
    if share >= 1:
        return Stage.FULL
    return Stage.EXPAND if share > 0 else Stage.CANARY


def find_slack(slack: int, name: str, hosts: Iterable[str]) -> int:
    """Returns the part of the canary's slack that one host may use.

    The parts of hosts with equal views add up to the canary's slack.
    """
    names = sorted(hosts)
    total = int(SLACK_PART * slack)
    if name not in names:
        return 0
    place = names.index(name)
    return total // len(names) + (place < total % len(names))


def find_point(service: str, to: str, key: str) -> float:
    """Returns the point from 0 to 1 of a chat, below which shares take it."""
    digest = xxhash.xxh3_64_intdigest(f"{service}\0{to}\0{key}".encode())
    return digest / 2**64


def choose_canaries(
    service: str, to: str, new_ids: Iterable[str], old_count: int, share: float
) -> frozenset[str]:
    """Returns the new servers that serve in the canary.

    They are few, so that each gets as much as an old server, and the first
    ones of an order that all hosts share.
    """
    count = max(MIN_CANARY_SERVERS, math.ceil(share * old_count))
    ordered = sorted(
        new_ids, key=lambda server_id: find_point(service, to, server_id)
    )
    return frozenset(ordered[:count])


def may_complete(
    fraction: float, is_back: bool, all_full: bool, old_requests: int
) -> bool:
    """Returns whether a host may write that a rollout is completed.

    Args:
        fraction: Elapsed fraction of the budget.
        is_back: Whether the order leads back to the version before, which
            does not end with the budget.
        all_full: Whether this host and all live ones are in stage full.
        old_requests: Known requests in progress at servers of other versions.
    """
    if not all_full or (fraction >= LAST_COMPLETE_AT and not is_back):
        return False
    return not old_requests or fraction >= COMPLETE_AT


def may_use_new(
    state: RolloutState, order: RolloutOrder | None, is_bad: bool
) -> bool:
    """Returns whether any request may go to the version that is ordered."""
    if state is RolloutState.COMPLETED:
        return True
    return (
        state is RolloutState.IN_PROGRESS and order is not None and not is_bad
    )


class ExposureCount:
    """Own requests to a service since the order, and those sent to `to`.

    Each host keeps its own count within its own requests, so the sum over
    all hosts is bounded whatever they know of each other.

    Attributes:
        requests: Requests that were sent to any server.
        sent: Sends to the new version.
        slack: This host's part of the canary's slack.
    """

    __slots__ = ("requests", "sent", "slack", "_share")

    def __init__(self, exposure_share: float, slack: int) -> None:
        """Creates the count of a host at the start of an order.

        Args:
            exposure_share: Share of all requests that a bad version may get.
            slack: This host's part of the canary's slack.
        """
        self.requests = 0
        self.sent = 0
        self.slack = slack
        self._share = exposure_share

    def may_send(self, share: float, fraction: float) -> bool:
        """Returns whether one more request may go to the new version.

        Args:
            share: The share in force; 0 in the canary.
            fraction: Elapsed fraction of the budget.
        """
        if share >= 1:
            return True
        limit = CANARY_PART * self._share * self.requests
        if share > 0:
            # The bound is on all requests until the end of the budget.
            limit = EXPAND_PART * self._share * self.requests / fraction
        return self.sent + 1 <= limit + self.slack
