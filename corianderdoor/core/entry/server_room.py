"""Room of brittle backend servers, shared by the hosts.

A brittle server falls over when it has to turn away more requests in a second
than it announces. What it turns away is counted over all hosts, so each host
may cause only its share.
"""

from __future__ import annotations

from collections import Counter
from typing import Final

from .brittle_room import (
    BrittleRoom,
    PEER_REJECTION_TTL_MS,
    REPORT_MS,
    RoomChange,
    RoomReport,
)
from .flights import Flight
from .loads import Loads
from .process_pauses import SETTLE_MS
from .servers import BackendServer, digest_id, Servers
from .windows import SAFE_SHARE

# Answers without the announcement after which a server is no longer brittle;
# answers on different connections may overtake each other.
PLAIN_ANSWERS: Final = 2
# How long a server stays brittle without a sign; longer than it is away
# after a fall.
SIGN_TTL_MS: Final = 15_000
# Share of the announced limit in use above which no host takes a risk.
RISK_SHARE: Final = 0.5
# Interval at which a request that waits for room chooses again.
ROOM_POLL_MS: Final = 25
# Servers reported in one heartbeat; bounds a datagram.
MAX_REPORTS: Final = 24


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
        self._rooms: dict[str, BrittleRoom] = {}
        self._unanswered: Counter[str] = Counter()
        self._reserved: Counter[str] = Counter()
        self._settled_ms = 0

    def record_pause(self, gap_ms: int, now_ms: int) -> None:
        """Records that this process was suspended for `gap_ms` until now.

        The time in which nothing could arrive shows neither that a server
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
        self, server_id: str, room: BrittleRoom, hosts: list[str]
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
    ) -> BrittleRoom:
        """Adds a brittle server.

        Memory may allow fewer requests than slots, so the room starts at
        what is known to fit and grows with the server's answers.
        """
        server = self._servers.get(server_id)
        slots = server.slots if server is not None else 1
        room = self._rooms[server_id] = BrittleRoom(limit, slots, now_ms)
        room.room = max(1.0, min(room.room, float(fitting)))
        return room

    def begin_process(self, server_id: str) -> None:
        """Fits the room of a server that has started anew to its slots.

        It counts as brittle like the process before, until its answers say
        otherwise: it would fall over again if hosts sent without a bound.
        """
        room = self._rooms.get(server_id)
        server = self._servers.get(server_id)
        if room is not None and server is not None:
            room.slots = max(1, server.slots)
            room.room = min(room.room, float(room.slots))

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
