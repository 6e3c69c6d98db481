"""One other entry host."""

from __future__ import annotations

from typing import Final

from .active_hosts import Candidate
from .addresses import Address
from .heartbeat import Heartbeat

# Time without a heartbeat after which a peer counts as unreachable, and
# after which callers are no longer sent to it. For a peer with a longer
# heartbeat interval, both grow to `MISSED_HEARTBEATS` intervals.
PEER_TIMEOUT_MS: Final = 2_500
DIRECTORY_TIMEOUT_MS: Final = 1_200
MISSED_HEARTBEATS: Final = 3
# How long a newly listed host counts as a watcher with contact to the store
# before its heartbeats show it. Hosts that start together would all watch
# otherwise.
WATCHER_GRACE_MS: Final = 1_500
# Age of the contact to the store of a host that does not watch it.
NOT_WATCHING_MS: Final = 2**31
# Time before the first heartbeat of a peer.
NEVER_MS: Final = -1


class Peer:
    """One other entry host.

    Attributes:
        name: Name of the peer.
        callers: Address for callers; None until the peer is listed.
        address: Address for heartbeats and for copies of the store's items;
            None until it is known.
        data_centre: Data centre of the peer; empty until it is listed.
        listed: Whether the peer has a record in the store.
        listed_ms: When that record was first seen.
        last_heartbeat_ms: When the last heartbeat arrived; None before the
            first.
        last_heartbeat: The last heartbeat; None before the first.
        heartbeats: Number of heartbeats since the peer's last start.
        link_mbps: Link speed in Mbit/s; 0 if unknown.
        alive_until_ms: When the peer counts as unreachable without another
            heartbeat.
        named_until_ms: When callers are no longer sent to the peer without
            another heartbeat.
        candidate: The peer as a possible active host.
    """

    __slots__ = (
        "name",
        "callers",
        "address",
        "data_centre",
        "listed",
        "listed_ms",
        "last_heartbeat_ms",
        "last_heartbeat",
        "heartbeats",
        "link_mbps",
        "alive_until_ms",
        "named_until_ms",
        "candidate",
    )

    def __init__(self, name: str) -> None:
        self.heartbeats = 0
        self.link_mbps = 0.0
        self.name = name
        self.callers: Address | None = None
        self.address: Address | None = None
        self.data_centre = ""
        self.listed = False
        self.listed_ms = 0
        self.last_heartbeat_ms: int | None = None
        self.last_heartbeat: Heartbeat | None = None
        self.alive_until_ms = NEVER_MS
        self.named_until_ms = NEVER_MS
        self.candidate = Candidate(name, "", 0.0, 0)

    def record_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Records a heartbeat of the peer and when the peer times out."""
        self.last_heartbeat = heartbeat
        self.last_heartbeat_ms = now_ms
        self.heartbeats += 1
        missed_ms = MISSED_HEARTBEATS * heartbeat.interval_ms
        self.alive_until_ms = now_ms + max(PEER_TIMEOUT_MS, missed_ms)
        self.named_until_ms = now_ms + max(DIRECTORY_TIMEOUT_MS, missed_ms)
        if self.candidate.cpu_percent != heartbeat.cpu_percent:
            self.update_candidate()

    def update_candidate(self) -> None:
        """Updates `candidate` from the other attributes."""
        heartbeat = self.last_heartbeat
        self.candidate = Candidate(
            self.name,
            self.data_centre,
            self.link_mbps,
            heartbeat.cpu_percent if heartbeat else 0,
        )

    @property
    def leaving(self) -> bool:
        """Whether the last heartbeat said that the peer shuts down."""
        return self.last_heartbeat is not None and self.last_heartbeat.leaving

    @property
    def links_cut(self) -> bool:
        """Whether the peer reaches servers only through its peers."""
        return (
            self.last_heartbeat is not None and self.last_heartbeat.links_cut
        )

    def is_ahead_of(self, known: tuple[int, int] | None) -> bool:
        """Returns whether the peer told of changes beyond what is known.

        Args:
            known: Era and revision; None to compare with nothing. What a
                peer knows of another era does not compare either.
        """
        heartbeat = self.last_heartbeat
        if heartbeat is None or known is None:
            return False
        return heartbeat.era != known[0] or heartbeat.revision > known[1]

    def is_starting(self, now_ms: int) -> bool:
        """Returns whether the peer may not have read the store yet."""
        if not self.listed or now_ms - self.listed_ms >= WATCHER_GRACE_MS:
            return False
        return (
            self.last_heartbeat is None
            or self.last_heartbeat.contact_age_ms >= NOT_WATCHING_MS
        )

    def timed_out(self, now_ms: int, limit_ms: int) -> bool:
        """Returns whether the last heartbeat is too old or missing.

        Args:
            now_ms: Monotonic time in ms.
            limit_ms: Timeout; it grows to `MISSED_HEARTBEATS` intervals of
                the peer if these are longer.
        """
        if self.last_heartbeat_ms is None or self.last_heartbeat is None:
            return True
        limit_ms = max(
            limit_ms, MISSED_HEARTBEATS * self.last_heartbeat.interval_ms
        )
        return now_ms - self.last_heartbeat_ms > limit_ms
