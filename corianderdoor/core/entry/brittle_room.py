"""What is known about the room of one brittle backend server."""

from __future__ import annotations

import enum
from typing import Final

import xxhash

from ..clock import MS_PER_SECOND
from ..records import Record
from .windows import COLD_WINDOW_MARGIN_MS, SAFE_SHARE, SlidingCount

# A request and its rejection take time, so rejections that are counted here
# within a second can reach the server closer together.
REJECTION_WINDOW_MS: Final = MS_PER_SECOND + COLD_WINDOW_MARGIN_MS
# Age up to which a host reports a sign of its own to its peers.
REPORT_MS: Final = 2_000
# How long rejections that a peer reported count.
PEER_REJECTION_TTL_MS: Final = 2_000
# Time after an announcement before which an answer tells nothing about the
# room: servers reduce it only later.
NOTICE_MS: Final = 3_000
# Decrease on a rejection and increase per second without one, as shares of
# the room.
DECREASE: Final = 0.9
LOWEST_DECREASE: Final = 0.7
INCREASE_PER_S: Final = 0.05
MIN_INCREASE_PER_S: Final = 0.25
# Rejections within this time are one sign of a full server.
DECREASE_INTERVAL_MS: Final = 200


class RoomChange(enum.Enum):
    """What an answer changed in what is known about a server's room.

    BRITTLE: The server announces that it is brittle.
    SOUND: The server is no longer brittle.
    LOWERED: The server has less room than was known.
    """

    BRITTLE = "brittle"
    SOUND = "sound"
    LOWERED = "lowered"


class RoomReport(Record):
    """What a host tells its peers about a brittle server.

    Attributes:
        server: Digest of the server's id.
        limit: Rejections in a second above which the server falls over.
        rejected: Rejections that the host caused in the last second.
        room: Requests in progress for which the server has room.
    """

    __slots__ = ("server", "limit", "rejected", "room")

    def __init__(
        self, server: int, limit: int, rejected: int, room: int
    ) -> None:
        self.server = server
        self.limit = limit
        self.rejected = rejected
        self.room = room


class BrittleRoom:
    """What is known about one brittle server."""

    __slots__ = (
        "limit",
        "room",
        "slots",
        "since_ms",
        "sign_ms",
        "own_sign_ms",
        "plain_answers",
        "lowered_ms",
        "grown_ms",
        "reported_ms",
        "rejections",
        "peers",
        "_hosts",
        "_rank",
    )

    def __init__(self, limit: int, slots: int, now_ms: int) -> None:
        self.limit = limit
        self.slots = max(1, slots)
        self.room = float(self.slots)
        self.since_ms = now_ms
        self.sign_ms = now_ms
        self.own_sign_ms = now_ms - REPORT_MS
        self.plain_answers = 0
        self.lowered_ms = now_ms - DECREASE_INTERVAL_MS
        self.grown_ms = now_ms
        self.reported_ms = 0
        self.rejections = SlidingCount(REJECTION_WINDOW_MS)
        # By peer: when its last rejections were reported, and their number.
        self.peers: dict[str, tuple[int, int]] = {}
        self._hosts: list[str] = []
        self._rank = 0

    def rank(self, server_id: str, host: str, hosts: list[str]) -> int:
        """Returns the place of `host` in an order specific to the server."""
        if hosts != self._hosts:
            self._hosts = list(hosts)
            own = _score(server_id, host)
            self._rank = sum(_score(server_id, name) < own for name in hosts)
        return self._rank

    def peer_rejections(self, now_ms: int) -> int:
        """Returns the rejections that peers reported lately."""
        return sum(
            count
            for at_ms, count in self.peers.values()
            if now_ms - at_ms < PEER_REJECTION_TTL_MS
        )

    def lower(self, seen: int, exact: bool, now_ms: int) -> bool:
        """Lowers the room after a rejection; returns whether it did.

        Args:
            seen: Requests in progress at the server when it was full.
            exact: Whether the server itself stated `seen`.
            now_ms: Monotonic time in ms.
        """
        before = self.room
        if exact:
            self.room = max(1.0, min(self.room, float(seen)))
        elif now_ms - self.lowered_ms >= DECREASE_INTERVAL_MS:
            highest = self.room * DECREASE
            lowest = self.room * LOWEST_DECREASE
            self.room = max(1.0, min(highest, max(lowest, float(seen))))
        if self.room < before:
            self.lowered_ms = now_ms
        return self.room < before

    def may_grow(self, now_ms: int) -> bool:
        """Returns whether the room may grow after an answer at its limit.

        Beyond the server's slots, hosts find out that it is too large by a
        rejection each, so all of them must have a share of the rejections.
        """
        return (
            (now_ms - self.since_ms >= NOTICE_MS or self.room < self.slots)
            and not self.rejections.count(now_ms)
            and (
                self.room < self.slots
                or int(self.limit * SAFE_SHARE) >= max(1, len(self._hosts))
            )
        )

    def follow(self, load: int, running: int, now_ms: int) -> None:
        """Follows what the server states about its load.

        While requests wait, it processes as many as it can, which may be
        fewer than its slots. What it processes has room.
        """
        if load > running:
            self.room = min(self.room, max(1.0, float(running)))
        self.raise_to(running, now_ms)

    def raise_to(self, fitting: int, now_ms: int) -> None:
        """Raises the room to what fits elsewhere, without rejections."""
        if self.rejections.count(now_ms) or self.peer_rejections(now_ms):
            return
        self.room = max(self.room, float(min(fitting, self.slots)))

    def recover(self, now_ms: int) -> None:
        """Raises the room towards the server's slots without rejections."""
        span_ms, self.grown_ms = now_ms - self.grown_ms, now_ms
        if self.room >= self.slots or self.rejections.count(now_ms):
            return
        if self.peer_rejections(now_ms):
            return
        per_s = max(MIN_INCREASE_PER_S, INCREASE_PER_S * self.room)
        step = per_s * span_ms / MS_PER_SECOND
        self.room = min(float(self.slots), self.room + step)


def _score(server_id: str, host: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{server_id}\0{host}".encode()), host
