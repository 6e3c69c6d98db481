"""What an entry host knows of its peers, the other entry hosts."""

from __future__ import annotations

from collections import Counter
from typing import Final

from ..records import Record
from .active_hosts import ActiveHosts, Candidate, rank_host, SLOW_LINK_MBPS
from .addresses import Address
from .replica import is_ahead
from .server_room import RoomReport

# Time without a heartbeat after which a peer counts as unreachable, and
# after which callers are no longer sent to it. For a peer with a longer
# heartbeat interval, both grow to `MISSED_HEARTBEATS` intervals.
PEER_TIMEOUT_MS: Final = 2_500
DIRECTORY_TIMEOUT_MS: Final = 1_200
MISSED_HEARTBEATS: Final = 3
# Heartbeat interval between active hosts. It grows with the number of active
# hosts, so that a host sends and receives at most 125 heartbeats per second.
HEARTBEAT_MS: Final = 200
HEARTBEAT_MS_PER_ACTIVE: Final = 8
# Interval per host of the fleet at which a reserve host sends heartbeats, so
# that it sends at most 50 per second.
HEARTBEAT_MS_PER_PEER: Final = 20
# Active hosts send every n-th heartbeat to the reserve hosts too.
RESERVE_HEARTBEAT_EVERY: Final = 4
# How long a newly listed peer counts as reachable if this host gets no
# heartbeats at all and can't reach the store.
NEW_PEER_GRACE_MS: Final = 2_500
# Heartbeats after a start before a peer's count of live peers is judged; it
# may not know its peers earlier.
MIN_JUDGED_HEARTBEATS: Final = 5
# Hosts that watch the store and pass changes on to the others: at least two,
# and one per this many hosts, so that each sends few copies over its link.
# More than four would cost the store more calls than they save a link: the
# hosts with the fastest links watch, and hosts that have a copy pass it on.
MIN_WATCHERS: Final = 2
HOSTS_PER_WATCHER: Final = 20
MAX_WATCHERS: Final = 4
# How long a newly listed host counts as a watcher with contact to the store
# before its heartbeats show it. Hosts that start together would all watch
# otherwise.
WATCHER_GRACE_MS: Final = 1_500
# Age of the contact to the store of a host that does not watch it.
NOT_WATCHING_MS: Final = 2**31
# After a restore of the store, hosts that do not watch it wait so long for a
# peer's copy, and then read it themselves at this interval.
RELIST_WAIT_MS: Final = 1_500
RELIST_STEP_MS: Final = 20
# Interval at which hosts write their records again after a restore.
REWRITE_STEP_MS: Final = 10
# Time before the first heartbeat of a peer.
NEVER_MS: Final = -1
# A watcher does not count if its last contact with the store is older.
MAX_CONTACT_AGE_MS: Final = 1_400


class Heartbeat(Record):
    """State that a host sends to its peers periodically.

    Attributes:
        sender: Name of the host.
        boot: Number that rises with each start of the host's process.
        revision: Newest revision of the store at which an item changed in
            the host's replica.
        contact_age_ms: Time since the host's last contact with the store.
        leaving: Whether the host shuts down.
        loads: Digests of server ids, each with the number of the host's
            in-flight requests there and their prompt tokens not prefilled
            yet.
        cached_parts: Digests of prompt parts and of the servers that have
            them cached.
        live_peers: Number of peers from which the host gets heartbeats.
        ejected: Digests of the servers that the host has ejected.
        crashes: Fingerprints of requests and digests of the servers that
            crashed while they ran them.
        interval_ms: Time until the next heartbeat to the same peer.
        cpu_percent: CPU use of the host in percent.
        unreached: Digests of the servers that the host could not reach
            lately.
        links_cut: Whether the host reaches servers only through its peers.
        era: Era of the store to which `revision` belongs.
        leaving_servers: Digests of the incarnations of servers whose
            answers to the host announced that they leave.
        rooms: Room of the brittle servers.
    """

    __slots__ = (
        "sender",
        "boot",
        "revision",
        "contact_age_ms",
        "leaving",
        "loads",
        "cached_parts",
        "live_peers",
        "ejected",
        "crashes",
        "interval_ms",
        "cpu_percent",
        "unreached",
        "links_cut",
        "era",
        "leaving_servers",
        "rooms",
    )

    def __init__(
        self,
        sender: str,
        boot: int,
        revision: int,
        contact_age_ms: int,
        leaving: bool,
        loads: tuple[tuple[int, int, int], ...],
        cached_parts: tuple[tuple[int, int], ...] = (),
        live_peers: int = 0,
        ejected: tuple[int, ...] = (),
        crashes: tuple[tuple[int, int], ...] = (),
        interval_ms: int = HEARTBEAT_MS,
        cpu_percent: int = 0,
        unreached: tuple[int, ...] = (),
        links_cut: bool = False,
        era: int = 0,
        leaving_servers: tuple[int, ...] = (),
        rooms: tuple[RoomReport, ...] = (),
    ) -> None:
        self.rooms = rooms
        self.era = era
        self.links_cut = links_cut
        self.leaving_servers = leaving_servers
        self.unreached = unreached
        self.interval_ms = interval_ms
        self.cpu_percent = cpu_percent
        self.crashes = crashes
        self.ejected = ejected
        self.live_peers = live_peers
        self.cached_parts = cached_parts
        self.sender = sender
        self.boot = boot
        self.revision = revision
        self.contact_age_ms = contact_age_ms
        self.leaving = leaving
        self.loads = loads


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


class Peers:
    """The other entry hosts, with one record for each.

    Attributes:
        active: The active hosts, to which callers are sent.
        cpu_percent: CPU use of this host in percent.
        links_cut: Whether this host reaches servers only through peers.
    """

    __slots__ = (
        "active",
        "cpu_percent",
        "links_cut",
        "_own",
        "_own_link",
        "_data_centre",
        "_peers",
        "_ordered",
        "_ordered_links",
        "_ordered_active",
    )

    def __init__(
        self, own: str, link_mbps: float = 0.0, data_centre: str = ""
    ) -> None:
        """Creates the peers of a host, none at first.

        Args:
            own: Name of this host.
            link_mbps: Link speed of this host in Mbit/s; 0 if unknown.
            data_centre: Data centre of this host.
        """
        self.active = ActiveHosts()
        self.cpu_percent = 0
        self.links_cut = False
        self._own = own
        self._own_link = link_mbps
        self._data_centre = data_centre
        self._peers: dict[str, Peer] = {}
        # The last order of hosts, and what it was computed from.
        self._ordered: list[str] = []
        self._ordered_links: dict[str, float] = {}
        self._ordered_active: frozenset[str] = frozenset()

    def add_listed(
        self,
        name: str,
        callers: Address,
        address: Address,
        data_centre: str,
        now_ms: int,
        link_mbps: float = 0.0,
    ) -> None:
        """Adds or updates a peer from its record in the store."""
        if name == self._own:
            return
        peer = self._peers.setdefault(name, Peer(name))
        if not peer.listed:
            peer.listed_ms = now_ms
        peer.callers = callers
        peer.address = address
        peer.data_centre = data_centre
        peer.link_mbps = link_mbps
        peer.listed = True
        peer.update_candidate()

    def mark_unlisted(self, name: str) -> None:
        """Marks that the record of a peer is gone from the store."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.listed = False

    def record_heartbeat(
        self, heartbeat: Heartbeat, now_ms: int
    ) -> Peer | None:
        """Records a heartbeat of a peer.

        A heartbeat with a lower boot number comes from an earlier start and
        is dropped, unless the peer has timed out: boot numbers come from the
        wall clock, which can jump back before a restart.

        Returns:
            The sender, or None if the heartbeat was dropped.
        """
        if heartbeat.sender == self._own:
            return None
        peer = self._peers.setdefault(heartbeat.sender, Peer(heartbeat.sender))
        if peer.last_heartbeat is not None:
            timed_out = now_ms > peer.named_until_ms
            if heartbeat.boot < peer.last_heartbeat.boot and not timed_out:
                return None
            if heartbeat.boot != peer.last_heartbeat.boot:
                peer.heartbeats = 0
        peer.record_heartbeat(heartbeat, now_ms)
        return peer

    def all(self) -> list[Peer]:
        """Returns all known peers."""
        return list(self._peers.values())

    def in_service(self, now_ms: int, store_reached: bool) -> list[Peer]:
        """Returns the peers to which callers are sent.

        Each host returns them in its own order, as a directory answer may
        be too short for the last ones and all of them should get callers.

        Args:
            now_ms: Monotonic time in ms.
            store_reached: Whether this host can reach the store, so that
                its list of hosts is up to date.
        """
        candidates = self._list_candidates(now_ms, store_reached)
        active = [
            peer for peer in candidates if self.active.includes(peer.name)
        ]
        return sorted(
            active or candidates,
            key=lambda peer: rank_host(f"{self._own} {peer.name}"),
        )

    def choose_active(
        self, now_ms: int, store_reached: bool, leaving: bool
    ) -> bool:
        """Chooses the active hosts; returns whether the choice changed.

        Args:
            now_ms: Monotonic time in ms.
            store_reached: Whether this host can reach the store, so that
                its list of hosts is up to date.
            leaving: Whether this host shuts down.
        """
        hosts = [
            peer.candidate
            for peer in self._list_candidates(now_ms, store_reached)
        ]
        if not leaving and not (self.links_cut and hosts):
            own = Candidate(
                self._own, self._data_centre, self._own_link, self.cpu_percent
            )
            hosts.append(own)
        return self.active.choose(hosts, now_ms)

    def _list_candidates(self, now_ms: int, store_reached: bool) -> list[Peer]:
        """Returns the peers to which callers can be sent.

        Leaves out a peer that sends heartbeats but receives few: packets no
        longer reach it, and callers would time out there. If this host gets
        no heartbeats at all, the fault is on its own side, and it returns
        all listed peers, or only newly listed ones without the store.
        """
        known = [
            peer
            for peer in self._peers.values()
            if peer.callers is not None and not peer.leaving
        ]
        live = self.count_live(now_ms)
        if live == 0:
            return [
                peer
                for peer in known
                if peer.listed
                and (
                    store_reached
                    or now_ms - peer.listed_ms < NEW_PEER_GRACE_MS
                )
            ]
        found = [
            peer for peer in known if self._is_reachable(peer, live, now_ms)
        ]
        with_servers = [peer for peer in found if not peer.links_cut]
        if with_servers or not self.links_cut:
            return with_servers
        return found

    def list_helpers(self, server_id: str, now_ms: int) -> list[Address]:
        """Returns the peers to ask for a connection to a server, best first.

        Peers that reach servers themselves come first, the data centres in
        turn, in an order of this host and the server. Peers that are listed
        and were not heard yet come last: this host may just have started.
        """
        live = [
            peer
            for peer in self._peers.values()
            if peer.address is not None
            and (
                now_ms <= peer.named_until_ms
                or peer.listed
                and peer.last_heartbeat is None
            )
        ]
        live.sort(key=lambda p: rank_host(f"{self._own} {server_id} {p.name}"))
        seen: Counter[str] = Counter()
        turns: dict[str, int] = {}
        for peer in live:
            turns[peer.name] = seen[peer.data_centre]
            seen[peer.data_centre] += 1
        live.sort(
            key=lambda p: (
                p.last_heartbeat is None,
                p.links_cut,
                turns[p.name],
            )
        )
        return [peer.address for peer in live if peer.address is not None]

    @property
    def is_active(self) -> bool:
        """Whether callers are sent to this host."""
        return self.active.includes(self._own)

    def split_by_active(self) -> tuple[list[Peer], list[Peer]]:
        """Returns the active and the reserve peers."""
        active: list[Peer] = []
        reserve: list[Peer] = []
        for peer in self._peers.values():
            part = active if self.active.includes(peer.name) else reserve
            part.append(peer)
        return active, reserve

    def heartbeat_interval_ms(self) -> int:
        """Returns the time between two heartbeats of this host."""
        if not self.is_active:
            return max(HEARTBEAT_MS, HEARTBEAT_MS_PER_PEER * len(self._peers))
        active_peers = len(self.active.names) - 1 or len(self._peers)
        return max(HEARTBEAT_MS, HEARTBEAT_MS_PER_ACTIVE * active_peers)

    def count_live(self, now_ms: int) -> int:
        """Returns the number of peers that have not timed out."""
        return sum(
            now_ms <= peer.named_until_ms for peer in self._peers.values()
        )

    def _is_reachable(self, peer: Peer, live: int, now_ms: int) -> bool:
        if peer.last_heartbeat is None or now_ms > peer.named_until_ms:
            return False
        if peer.heartbeats < MIN_JUDGED_HEARTBEATS:
            return True
        return 2 * peer.last_heartbeat.live_peers >= live

    def hosts_sharing_limits(self, now_ms: int) -> list[str]:
        """Returns the names of the hosts that share fleet-wide limits.

        Includes this host. Too many names are safe: each host then uses a
        smaller share.
        """
        names = [
            peer.name
            for peer in self._peers.values()
            if peer.listed or now_ms <= peer.alive_until_ms
        ]
        return sorted([*names, self._own])

    def remove_expired(self, now_ms: int) -> list[str]:
        """Removes peers that are not listed and have timed out.

        Returns:
            The names of the removed peers.
        """
        expired = [
            peer.name
            for peer in self._peers.values()
            if not peer.listed and now_ms > peer.alive_until_ms
        ]
        for name in expired:
            del self._peers[name]
        return expired

    def is_first(self, now_ms: int) -> bool:
        """Returns whether this host does the work that one host does for all.

        During a change two hosts can both be first.
        """
        return self._order(now_ms)[0] == self._own

    def _order(self, now_ms: int) -> list[str]:
        """Returns the live hosts in an order that all of them share."""
        links = {
            peer.name: peer.link_mbps
            for peer in self._peers.values()
            if (
                now_ms <= peer.alive_until_ms
                and not peer.leaving
                or peer.is_starting(now_ms)
            )
        }
        links[self._own] = self._own_link
        active = self.active.names
        # Sorting costs far more than the comparison, and hosts rarely change.
        if links != self._ordered_links or active != self._ordered_active:
            self._ordered_links = links
            self._ordered_active = active
            self._ordered = sorted(
                links,
                key=lambda name: (
                    not self.active.includes(name),
                    links[name] < SLOW_LINK_MBPS,
                    rank_host(name),
                ),
            )
        return self._ordered

    def should_watch(self, now_ms: int) -> bool:
        """Returns whether this host watches the store itself.

        The first hosts of an order that all hosts share do. So does a host
        that knows no watcher with contact to the store.
        """
        watching = self._watchers(now_ms)
        if self._own in watching:
            return True
        return not any(
            self._has_contact(self._peers[name], now_ms) for name in watching
        )

    def _watchers(self, now_ms: int) -> list[str]:
        order = self._order(now_ms)
        count = max(MIN_WATCHERS, len(order) // HOSTS_PER_WATCHER)
        return order[: min(MAX_WATCHERS, count)]

    def has_contact(self, now_ms: int) -> bool:
        """Returns whether a peer that is heard has contact to the store."""
        # The watchers come first, as one of them is enough.
        names = [*self._watchers(now_ms), *self._peers]
        return any(
            peer.last_heartbeat is not None and self._has_contact(peer, now_ms)
            for peer in map(self._peers.get, names)
            if peer is not None
        )

    def _has_contact(self, peer: Peer, now_ms: int) -> bool:
        if peer.is_starting(now_ms):
            return True
        if peer.last_heartbeat is None or peer.timed_out(
            now_ms, MISSED_HEARTBEATS * HEARTBEAT_MS
        ):
            return False
        return peer.last_heartbeat.contact_age_ms < MAX_CONTACT_AGE_MS

    def relist_delay_ms(self, now_ms: int) -> int:
        """Returns how long to wait for a peer's copy of a restored store.

        The watchers read the store at once. The others do so only if they
        get no copy, one after the other.
        """
        order = self._order(now_ms)
        position = order.index(self._own)
        if position < len(self._watchers(now_ms)):
            return 0
        return RELIST_WAIT_MS + RELIST_STEP_MS * position

    def rewrite_delay_ms(self, now_ms: int) -> int:
        """Returns when to write this host's record after a restore."""
        return REWRITE_STEP_MS * self._order(now_ms).index(self._own)

    def find_peer_ahead(
        self, revision: int, now_ms: int, era: int = 0
    ) -> Peer | None:
        """Returns the peer with the highest revision above `revision`.

        Hosts break ties differently, so that no peer has to send copies to
        all of them.

        Returns:
            The peer; None if no reachable peer is ahead.
        """
        ahead = [
            peer
            for peer in self._peers.values()
            if peer.last_heartbeat is not None
            and peer.address is not None
            and is_ahead(
                peer.last_heartbeat.era,
                peer.last_heartbeat.revision,
                era,
                revision,
            )
            and now_ms <= peer.alive_until_ms
        ]
        return max(
            ahead,
            key=lambda peer: (
                peer.last_heartbeat.era if peer.last_heartbeat else 0,
                peer.last_heartbeat.revision if peer.last_heartbeat else 0,
                rank_host(f"{self._own} {peer.name}"),
            ),
            default=None,
        )
