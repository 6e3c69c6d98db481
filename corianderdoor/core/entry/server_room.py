"""Room of brittle backend servers, shared by the hosts.

A brittle server falls over when it has to turn away more requests in a second
than it announces. What it turns away is counted over all hosts, so each host
may cause only its share.
"""

from __future__ import annotations

from collections import Counter
import enum
from typing import Final

import xxhash

from ..clock import MS_PER_SECOND
from ..records import Record
from .flights import Flight
from .loads import Loads
from .process_pauses import SETTLE_MS
from .servers import BackendServer, digest_id, Servers
from .windows import COLD_WINDOW_MARGIN_MS, SAFE_SHARE, SlidingCount

# A request and its rejection take time, so rejections that are counted here
# within a second can reach the server closer together.
REJECTION_WINDOW_MS: Final = MS_PER_SECOND + COLD_WINDOW_MARGIN_MS
# Answers without the announcement after which a server is no longer brittle;
# answers on different connections may overtake each other.
PLAIN_ANSWERS: Final = 2
# How long a server stays brittle without a sign; longer than it is away
# after a fall.
SIGN_TTL_MS: Final = 15_000
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
# Share of the announced limit in use above which no host takes a risk.
RISK_SHARE: Final = 0.5
# Interval at which a request that waits for room chooses again.
ROOM_POLL_MS: Final = 25
# Servers reported in one heartbeat; bounds a datagram.
MAX_REPORTS: Final = 24


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


class _Room:
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


class ServerRooms:
    """Admits requests to brittle servers within the room of each.

    Each host has a part of the room that is known, and a share of the
    rejections that the server bears in a second. It sends what fits into its
    part, and beyond that only as many requests at a time as its share still
    allows to be rejected.

    Holds one record for each brittle server, and two numbers for each server
    that has not answered a request of this host yet.
    """

    __slots__ = (
        "_name",
        "_servers",
        "_loads",
        "_rooms",
        "_unanswered",
        "_reserved",
        "_settled_ms",
    )

    def __init__(self, name: str, servers: Servers, loads: Loads) -> None:
        """Creates the rooms of the host `name`, without brittle servers.

        Args:
            name: Name of this host.
            servers: The listed servers.
            loads: Requests in progress at them.
        """
        self._name = name
        self._servers = servers
        self._loads = loads
        self._rooms: dict[str, _Room] = {}
        self._unanswered: Counter[str] = Counter()
        self._reserved: Counter[str] = Counter()
        self._settled_ms = 0

    def record_pause(self, gap_ms: int, now_ms: int) -> None:
        """Records that this process was suspended for `gap_ms` until now.

        The time in which nothing could be heard shows neither that a server
        is sound again, nor that it has more room, nor that peers cause no
        rejections.
        """
        self._settled_ms = now_ms + SETTLE_MS
        for room in self._rooms.values():
            room.sign_ms += gap_ms
            room.grown_ms = now_ms
            for peer, (at_ms, count) in room.peers.items():
                room.peers[peer] = (at_ms + gap_ms, count)

    def filter(
        self, servers: list[BackendServer], hosts: list[str], now_ms: int
    ) -> list[BackendServer]:
        """Returns the servers to which this host may send one more request."""
        if not self._rooms:
            return servers
        return [s for s in servers if self._may_send(s.id, hosts, now_ms)]

    def wait_ms(
        self, servers: list[BackendServer], hosts: list[str]
    ) -> int | None:
        """Returns when to ask again for room, in ms; None if it is no use.

        It is no use if this host has neither a part of the room nor a share
        of the rejections of any of `servers`.
        """
        for server in servers:
            room = self._rooms.get(server.id)
            if room is None or any(self._parts(server.id, room, hosts)):
                return ROOM_POLL_MS
        return None

    def _parts(
        self, server_id: str, room: _Room, hosts: list[str]
    ) -> tuple[int, int]:
        """Returns this host's parts of the room and of the rejections.

        Where there is less than one for each host, the first hosts of the
        order have one of the room, and the last ones of the rejections.
        """
        rank = room.rank(server_id, self._name, hosts)
        count = max(1, len(hosts))
        places = int(room.room) // count + (rank < int(room.room) % count)
        total = int(room.limit * SAFE_SHARE)
        if total >= count:
            return places, total // count
        return places, int(count - 1 - rank < total)

    def _may_send(self, server_id: str, hosts: list[str], now_ms: int) -> bool:
        room = self._rooms.get(server_id)
        if room is None:
            return True
        reserved = self._reserved[server_id]
        load = self._loads.of(server_id, now_ms) + reserved
        if load >= room.room:
            return False
        own = self._loads.own.get(server_id, 0) + reserved
        places, share = self._parts(server_id, room, hosts)
        rejected = room.rejections.count(now_ms)
        if rejected >= max(1, share):
            return False
        if own < places or now_ms < self._settled_ms:
            return own < places
        known = rejected + room.peer_rejections(now_ms)
        if known > RISK_SHARE * room.limit:
            return False
        waiting = self._unanswered[server_id] + reserved
        at_risk = min(waiting, own - places)
        return rejected + at_risk < share

    def reserve(self, flight: Flight, server_id: str) -> None:
        """Reserves a place for a request until it is sent.

        Connecting takes a while, in which other requests choose too.
        """
        self.release(flight)
        flight.reserved = server_id
        self._reserved[server_id] += 1

    def release(self, flight: Flight) -> None:
        """Releases the place that is reserved for a request, if any."""
        if flight.reserved is not None:
            _decrement(self._reserved, flight.reserved)
            flight.reserved = None

    def record_sent(self, server_id: str) -> None:
        """Records a request that is sent to `server_id`."""
        self._unanswered[server_id] += 1

    def record_no_answer(self, server_id: str, now_ms: int) -> None:
        """Records that a request ended without a sign of the server.

        The server may have turned it away, so it counts as a rejection.
        """
        _decrement(self._unanswered, server_id)
        room = self._rooms.get(server_id)
        if room is not None:
            room.rejections.add(now_ms)

    def record_answer(
        self,
        server_id: str,
        limit: int | None,
        rejected: bool,
        load: int | None,
        now_ms: int,
        running: int | None = None,
    ) -> RoomChange | None:
        """Records the head of an answer to a request of this host.

        Args:
            server_id: Id of the server.
            limit: Rejections in a second above which the server says that
                it falls over; None if it does not say that it is brittle.
            rejected: Whether it turned the request away for want of room.
            load: Requests in progress that the server states; None if it
                states none.
            now_ms: Monotonic time in ms.
            running: How many of them it processes; None if unknown.

        Returns:
            What is new about the server; None for nothing.
        """
        _decrement(self._unanswered, server_id)
        room = self._rooms.get(server_id)
        change: RoomChange | None = None
        if limit is None:
            if room is None:
                return None
            room.plain_answers += 1
            if room.plain_answers >= PLAIN_ANSWERS:
                del self._rooms[server_id]
                return RoomChange.SOUND
        else:
            if room is None:
                fitting = self._loads.of(server_id, now_ms) + 1
                room = self._add(server_id, limit, fitting, now_ms)
                change = RoomChange.BRITTLE
            room.limit = limit
            room.plain_answers = 0
            room.sign_ms = room.own_sign_ms = now_ms
        known = self._loads.of(server_id, now_ms)
        if rejected:
            room.rejections.add(now_ms)
            seen = known if load is None else load
            if room.lower(seen, load is not None, now_ms):
                change = change or RoomChange.LOWERED
        elif change is not None:
            return change
        elif load is not None and running is not None:
            room.follow(load, running, now_ms)
        elif known >= room.room - 1 and room.may_grow(now_ms):
            room.room += 1 / room.room
        return change

    def _add(
        self, server_id: str, limit: int, fitting: int, now_ms: int
    ) -> _Room:
        """Adds a brittle server.

        Memory may allow fewer requests than slots, so the room starts at
        what is known to fit and grows with the server's answers.
        """
        server = self._servers.get(server_id)
        slots = server.slots if server is not None else 1
        room = self._rooms[server_id] = _Room(limit, slots, now_ms)
        room.room = max(1.0, min(room.room, float(fitting)))
        return room

    def limit_of(self, server_id: str) -> int | None:
        """Returns the rejections in a second that a brittle server bears."""
        room = self._rooms.get(server_id)
        return None if room is None else room.limit

    def room_of(self, server_id: str) -> int | None:
        """Returns the known room of a brittle server; None for others."""
        room = self._rooms.get(server_id)
        return None if room is None else int(room.room)

    def lowest_room(self) -> float:
        """Returns the least room of a brittle server; 0 if there is none."""
        return min((room.room for room in self._rooms.values()), default=0.0)

    def count(self) -> int:
        """Returns the number of brittle servers."""
        return len(self._rooms)

    def take_reports(self, now_ms: int) -> list[RoomReport]:
        """Returns what peers should hear, at most `MAX_REPORTS` servers.

        Servers with rejections come first, then those that were not reported
        for the longest time.
        """
        due = [
            (-room.rejections.count(now_ms), room.reported_ms, server_id)
            for server_id, room in self._rooms.items()
            if now_ms - room.own_sign_ms < REPORT_MS
            or room.rejections.count(now_ms)
        ]
        reports = []
        for rejected, _, server_id in sorted(due)[:MAX_REPORTS]:
            room = self._rooms[server_id]
            room.reported_ms = now_ms
            digest = digest_id(server_id)
            reports.append(
                RoomReport(digest, room.limit, -rejected, int(room.room))
            )
        return reports

    def merge_reports(
        self, peer: str, reports: tuple[RoomReport, ...], now_ms: int
    ) -> list[str]:
        """Adds the reports of a peer.

        Returns:
            The ids of servers that were not known to be brittle.
        """
        added = []
        for report in reports:
            server_id = self._servers.find(report.server)
            if server_id is None:
                continue
            room = self._rooms.get(server_id)
            if room is None:
                room = self._add(server_id, report.limit, report.room, now_ms)
                added.append(server_id)
            room.sign_ms = now_ms
            if report.rejected:
                room.peers[peer] = (now_ms, report.rejected)
                room.room = max(1.0, min(room.room, float(report.room)))
            else:
                room.peers.pop(peer, None)
                room.raise_to(report.room, now_ms)
        return added

    def tick(self, now_ms: int) -> None:
        """Raises rooms without rejections and drops old records."""
        for server_id, room in list(self._rooms.items()):
            if now_ms - room.sign_ms >= SIGN_TTL_MS:
                del self._rooms[server_id]
                continue
            room.recover(now_ms)
            for peer, (at_ms, _) in list(room.peers.items()):
                if now_ms - at_ms >= PEER_REJECTION_TTL_MS:
                    del room.peers[peer]


def _decrement(counts: Counter[str], key: str) -> None:
    counts[key] -= 1
    if counts[key] <= 0:
        del counts[key]


def _score(server_id: str, host: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{server_id}\0{host}".encode()), host
