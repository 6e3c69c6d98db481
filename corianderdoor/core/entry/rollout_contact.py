"""Which peers a rollout waits for, and from which it needs heartbeats."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from ..records import Record
from .heartbeat import HEARTBEAT_MS
from .peers import Peers

# Oldest heartbeat that counts as contact, and the number of intervals to
# which it grows in fleets with long ones: a host in reserve gets a heartbeat
# of an active host every 2.6 s among 330 hosts.
CONTACT_MS: Final = 2_000
CONTACT_INTERVALS: Final = 1.5
# Time since the last tick after which a host counts as paused, and how long
# after a pause heartbeats may still be those that waited in its socket.
MAX_GAP_MS: Final = 1_200
BACKLOG_MS: Final = 250
# Parts of `rollback_ms` that limit the gap and the age of heartbeats.
GAP_PART: Final = 0.24
CONTACT_PART: Final = 0.8
# Number of peers from which hearing none of them means a fault of this host.
SEVERAL: Final = 2


class RolloutContact(Record):
    """Contact of a host with its peers.

    Attributes:
        live: Names of the peers that have not timed out.
        expected: Names of the peers that should send heartbeats often: the
            active ones, as those in reserve send them rarely.
        max_age_ms: Oldest heartbeat that counts as contact.
    """

    __slots__ = ("live", "expected", "max_age_ms")

    def __init__(
        self,
        live: frozenset[str],
        expected: frozenset[str],
        max_age_ms: int = CONTACT_MS,
    ) -> None:
        self.live = live
        self.expected = expected
        self.max_age_ms = max_age_ms


def find_contact(peers: Peers, now_ms: int) -> RolloutContact:
    """Returns the contact of a host, for `Rollouts.tick`."""
    live = frozenset(
        peer.name for peer in peers.all() if now_ms <= peer.alive_until_ms
    )
    active, reserve = peers.split_by_active()
    expected = [
        peer
        for peer in active or reserve
        if peer.listed or now_ms <= peer.alive_until_ms
    ]
    interval_ms = max(
        (
            peer.last_heartbeat.interval_ms
            for peer in expected
            if peer.last_heartbeat is not None
        ),
        default=HEARTBEAT_MS,
    )
    return RolloutContact(
        live,
        frozenset(peer.name for peer in expected),
        max(CONTACT_MS, int(CONTACT_INTERVALS * interval_ms)),
    )


class ContactWatch:
    """When heartbeats of peers arrived, and whether it was paused."""

    __slots__ = (
        "_max_gap_ms",
        "_max_age_ms",
        "_received",
        "_trusted_from_ms",
        "_last_tick_ms",
    )

    def __init__(self, rollback_ms: int) -> None:
        self._max_gap_ms = min(MAX_GAP_MS, int(GAP_PART * rollback_ms))
        self._max_age_ms = int(CONTACT_PART * rollback_ms)
        self._received: dict[str, int] = {}
        self._trusted_from_ms = 0
        self._last_tick_ms: int | None = None

    def record(self, peer: str, now_ms: int) -> None:
        """Records a heartbeat, unless it may have waited during a pause."""
        if now_ms >= self._trusted_from_ms and not self.is_paused(now_ms):
            self._received[peer] = now_ms

    def is_paused(self, now_ms: int) -> bool:
        """Returns whether the last tick is too long ago."""
        return (
            self._last_tick_ms is None
            or now_ms - self._last_tick_ms > self._max_gap_ms
        )

    def tick(self, now_ms: int) -> None:
        """Records a tick; after a pause, only later heartbeats count."""
        if self.is_paused(now_ms):
            self._received.clear()
            if self._last_tick_ms is not None:
                self._trusted_from_ms = now_ms + BACKLOG_MS
        self._last_tick_ms = now_ms

    def count_recent(
        self, peers: Collection[str], max_age_ms: int, now_ms: int
    ) -> int:
        """Returns from how many of `peers` a heartbeat arrived lately."""
        oldest_ms = now_ms - min(max_age_ms, self._max_age_ms)
        received = self._received
        return sum(received.get(p, oldest_ms - 1) >= oldest_ms for p in peers)
