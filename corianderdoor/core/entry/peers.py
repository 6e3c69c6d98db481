"""What an entry host knows of its peers, the other entry hosts."""

from __future__ import annotations

from typing import Final

from .active_hosts import ActiveHosts, Candidate, rank_host, SLOW_LINK_MBPS
from .addresses import Address
from .copy_sources import find_ahead
from .heartbeat import get_interval_ms, Heartbeat, HEARTBEAT_MS
from .peer import MISSED_HEARTBEATS, NOT_WATCHING_MS, Peer
from .tunnel_helpers import order_helpers

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
# After a restore of the store, hosts that do not watch it wait so long for a
# peer's copy, and then read it themselves at this interval.
RELIST_WAIT_MS: Final = 1_500
RELIST_STEP_MS: Final = 20
# Interval at which hosts write their records again after a restore.
REWRITE_STEP_MS: Final = 10
# A watcher does not count if its last contact with the store is older.
MAX_CONTACT_AGE_MS: Final = 1_400


class Peers:
    """The other entry hosts, with one record for each.

    Attributes:
        active: The active hosts, to which callers are sent.
        cpu_percent: CPU use of this host in percent.
        links_cut: Whether this host reaches servers only through peers.
        own: Name of this host.
    """

    __slots__ = (
        "active",
        "cpu_percent",
        "links_cut",
        "own",
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
        self.own = own
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
        if name == self.own:
            return
        peer = self._peers.setdefault(name, Peer(name))
        if not peer.listed:
            peer.listed_ms = now_ms
            if self.active.names == {self.own}:
                # The choice was made before any peer was known, and would
                # make every host of a starting fleet a watcher.
                self.active.reset()
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
        if heartbeat.sender == self.own:
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
            key=lambda peer: rank_host(f"{self.own} {peer.name}"),
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
                self.own, self._data_centre, self._own_link, self.cpu_percent
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
        """Returns the peers to ask for a server, best first."""
        return order_helpers(self.own, self._peers.values(), server_id, now_ms)

    def is_leaving(self, address: Address) -> bool:
        """Returns whether the peer at an address shuts down, or is gone."""
        return not any(
            peer.address == address and not peer.leaving
            for peer in self._peers.values()
        )

    @property
    def is_active(self) -> bool:
        """Whether callers are sent to this host."""
        return self.active.includes(self.own)

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
        return get_interval_ms(active_peers)

    def count_live(self, now_ms: int) -> int:
        """Returns the number of peers that have not timed out."""
        peers = self._peers.values()
        return sum(now_ms <= peer.named_until_ms for peer in peers)

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
        return sorted([*names, self.own])

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
        return self._order(now_ms)[0] == self.own

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
        links[self.own] = self._own_link
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
        if self.own in watching:
            return True
        return not any(
            self._has_contact(self._peers[name], now_ms) for name in watching
        )

    def _watchers(self, now_ms: int) -> list[str]:
        order = self._order(now_ms)
        count = max(MIN_WATCHERS, len(order) // HOSTS_PER_WATCHER)
        return order[: min(MAX_WATCHERS, count)]

    def latest_contact_ms(
        self, now_ms: int, known: tuple[int, int] | None = None
    ) -> int:
        """Returns when a live peer last had contact to the store.

        The age that a heartbeat states grows until the next one. With the
        era and revision `known`, peers with changes beyond it do not count.
        """
        contacts = [now_ms - NOT_WATCHING_MS]
        # The watchers come first, as one of them is enough.
        for name in (*self._watchers(now_ms), *self._peers):
            peer = self._peers.get(name)
            if peer is None or peer.is_ahead_of(known):
                continue
            if peer.last_heartbeat is None or peer.last_heartbeat_ms is None:
                continue
            age_ms = peer.last_heartbeat.contact_age_ms
            contacts.append(peer.last_heartbeat_ms - age_ms)
            if now_ms - contacts[-1] < MAX_CONTACT_AGE_MS:
                break
        return max(contacts)

    def _has_contact(self, peer: Peer, now_ms: int) -> bool:
        if peer.is_starting(now_ms):
            return True
        limit_ms = MISSED_HEARTBEATS * HEARTBEAT_MS
        if peer.last_heartbeat is None or peer.timed_out(now_ms, limit_ms):
            return False
        return peer.last_heartbeat.contact_age_ms < MAX_CONTACT_AGE_MS

    def relist_delay_ms(self, now_ms: int) -> int:
        """Returns how long to wait for a peer's copy of a restored store.

        The watchers read the store at once. The others do so only if they
        get no copy, one after the other.
        """
        position = self.find_position(now_ms)
        if position < len(self._watchers(now_ms)):
            return 0
        return RELIST_WAIT_MS + RELIST_STEP_MS * position

    def rewrite_delay_ms(self, now_ms: int) -> int:
        """Returns when to write this host's record after a restore."""
        return REWRITE_STEP_MS * self.find_position(now_ms)

    def find_position(self, now_ms: int) -> int:
        """Returns this host's place in the order of the live hosts."""
        return self._order(now_ms).index(self.own)

    def find_peer_ahead(
        self, revision: int, now_ms: int, era: int = 0
    ) -> Peer | None:
        """Returns the reachable peer that is ahead most; None without one."""
        return find_ahead(
            self.own, self._peers.values(), (era, revision), now_ms
        )
