"""What an entry host knows of the others."""

from __future__ import annotations

from typing import Final

import xxhash

from ..records import Record
from .active_hosts import ActiveHosts, Candidate, SLOW_LINK_MBPS
from .addresses import Address

# Without a beat for this long, a peer counts as out of reach, and callers
# are sent there no longer. Both are stretched to `MISSED_BEATS` for a peer
# that beats less often.
PEER_TIMEOUT_MS: Final = 2_500
DIRECTORY_TIMEOUT_MS: Final = 1_200
MISSED_HEARTBEATS: Final = 3
# Hosts in use beat this often to each other. With many of them each beats
# less often, so that a host sends and takes at most 125 beats a second.
HEARTBEAT_MS: Final = 200
HEARTBEAT_MS_PER_ACTIVE: Final = 8
# Hosts in reserve beat for each host of the fleet, 50 times a second.
HEARTBEAT_MS_PER_PEER: Final = 20
# A host in use tells those in reserve once in this many beats.
RESERVE_HEARTBEAT_EVERY: Final = 4
# A host that is listed but was never heard counts this long.
NEW_PEER_GRACE_MS: Final = 2_500
# Beats of a start after which a host should hear its peers.
MIN_JUDGED_HEARTBEATS: Final = 5
# Hosts that watch the store and tell the others: at least two, and one for
# this many hosts, so that each sends few copies over its link.
MIN_WATCHERS: Final = 2
HOSTS_PER_WATCHER: Final = 20
# A watcher whose contact with the store is older than this does not count.
MAX_CONTACT_AGE_MS: Final = 1_200


class Heartbeat(Record):
    """What a host tells its peers several times a second.

    Attributes:
        sender: Its name.
        boot: Number that rises with each start of its process.
        revision: Revision of the store up to which it knows all changes.
        contact_ms: Age of its last contact with the store, in ms.
        leaving: Whether it shuts down.
        loads: Requests in progress and tokens of their prompts that are
            still to be read, by a digest of the server's id.
        held: Parts of prompts and servers that keep them, as digests.
        heard: How many peers it heard of late.
        paused: Servers that it passes over after failures, as digests.
        broke: Requests and the servers that went down while they ran them,
            as digests.
        gap_ms: Time until the next beat to the same host.
        busy: Part of its processor time in use, in percent.
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
    ) -> None:
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
        name: Its name.
        callers: Where it serves callers; None until it is listed.
        address: Where it takes beats.
        data_centre: Where it is; empty until it is listed.
        listed: Whether it has a record in the store.
        listed_ms: When that record was first seen.
        heard_ms: When it was last heard; None if never.
        beat: Its last beat.
        beats: How many beats of its present start were taken.
        link_mbps: Speed of its link; 0 if unknown.
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

    @property
    def leaving(self) -> bool:
        """Whether it said that it shuts down."""
        return self.last_heartbeat is not None and self.last_heartbeat.leaving

    def timed_out(self, now_ms: int, limit_ms: int) -> bool:
        """Returns whether nothing was heard of it for too long.

        Args:
            now_ms: Monotonic time.
            limit_ms: Shortest time that counts, for a peer that beats often.
        """
        if self.last_heartbeat_ms is None or self.last_heartbeat is None:
            return True
        limit_ms = max(
            limit_ms, MISSED_HEARTBEATS * self.last_heartbeat.interval_ms
        )
        return now_ms - self.last_heartbeat_ms > limit_ms


class Peers:
    """The other entry hosts. State is one record for each.

    Attributes:
        active: The hosts that callers are sent to.
        busy: Part of this host's processor time in use, in percent.
    """

    __slots__ = (
        "active",
        "cpu_percent",
        "_own",
        "_own_link",
        "_data_centre",
        "_peers",
    )

    def __init__(
        self, own: str, link_mbps: float = 0.0, data_centre: str = ""
    ) -> None:
        """Creates it.

        Args:
            own: Name of this host.
            link_mbps: Speed of its link; 0 if unknown.
            data_centre: Where this host is.
        """
        self.active = ActiveHosts()
        self.cpu_percent = 0
        self._own = own
        self._own_link = link_mbps
        self._data_centre = data_centre
        self._peers: dict[str, Peer] = {}

    def add_listed(
        self,
        name: str,
        callers: Address,
        address: Address,
        data_centre: str,
        now_ms: int,
        link_mbps: float = 0.0,
    ) -> None:
        """Takes the record of a host."""
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

    def mark_unlisted(self, name: str) -> None:
        """Takes note that the record of a host is gone."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.listed = False

    def record_heartbeat(self, beat: Heartbeat, now_ms: int) -> Peer | None:
        """Takes a beat; returns its sender, or None if it is outdated.

        The numbers of starts come from the time of day, which may jump
        back: a host that was silent counts as started anew.
        """
        if beat.sender == self._own:
            return None
        peer = self._peers.setdefault(beat.sender, Peer(beat.sender))
        if peer.last_heartbeat is not None:
            timed_out = peer.timed_out(now_ms, DIRECTORY_TIMEOUT_MS)
            if beat.boot < peer.last_heartbeat.boot and not timed_out:
                return None
            if beat.boot != peer.last_heartbeat.boot:
                peer.heartbeats = 0
        peer.last_heartbeat = beat
        peer.last_heartbeat_ms = now_ms
        peer.heartbeats += 1
        return peer

    def all(self) -> list[Peer]:
        """Returns all hosts that are known."""
        return list(self._peers.values())

    def in_service(self, now_ms: int, store_reached: bool) -> list[Peer]:
        """Returns the hosts that callers are sent to, but for this one.

        Each host has an order of its own: an answer may have to leave out
        the last ones, and all are to get callers.

        Args:
            now_ms: Monotonic time.
            store_reached: Whether this host knows what the store lists now.
        """
        able = self._eligible(now_ms, store_reached)
        used = [peer for peer in able if self.active.includes(peer.name)]
        return sorted(
            used or able, key=lambda peer: _rank(f"{self._own} {peer.name}")
        )

    def choose_active(
        self, now_ms: int, store_reached: bool, leaving: bool
    ) -> bool:
        """Chooses the hosts to use; returns whether the choice changed.

        Args:
            now_ms: Monotonic time.
            store_reached: Whether this host knows what the store lists now.
            leaving: Whether this host shuts down.
        """
        hosts = [
            Candidate(
                peer.name,
                peer.data_centre,
                peer.link_mbps,
                peer.last_heartbeat.cpu_percent if peer.last_heartbeat else 0,
            )
            for peer in self._eligible(now_ms, store_reached)
        ]
        if not leaving:
            own = Candidate(
                self._own, self._data_centre, self._own_link, self.cpu_percent
            )
            hosts.append(own)
        return self.active.choose(hosts, now_ms)

    def _eligible(self, now_ms: int, store_reached: bool) -> list[Peer]:
        """Returns the peers that callers may be sent to.

        A host that others hear but that hears few of them itself is left
        out: packets reach it no longer, and callers would wait in vain. If
        no peer at all is heard, the fault is on this host's side, and all
        that the store lists are named.
        """
        known = [
            peer
            for peer in self._peers.values()
            if peer.callers is not None and not peer.leaving
        ]
        heard = self.count_live(now_ms)
        if heard == 0:
            return [
                peer
                for peer in known
                if peer.listed
                and (
                    store_reached
                    or now_ms - peer.listed_ms < NEW_PEER_GRACE_MS
                )
            ]
        return [peer for peer in known if self._reachable(peer, heard, now_ms)]

    @property
    def is_active(self) -> bool:
        """Whether callers are sent to this host."""
        return self.active.includes(self._own)

    def split_by_active(self) -> tuple[list[Peer], list[Peer]]:
        """Returns the hosts that callers are sent to, and the others."""
        used: list[Peer] = []
        reserve: list[Peer] = []
        for peer in self._peers.values():
            part = used if self.active.includes(peer.name) else reserve
            part.append(peer)
        return used, reserve

    def heartbeat_interval_ms(self) -> int:
        """Returns the time between two beats of this host."""
        if not self.is_active:
            return max(HEARTBEAT_MS, HEARTBEAT_MS_PER_PEER * len(self._peers))
        others = len(self.active.names) - 1 or len(self._peers)
        return max(HEARTBEAT_MS, HEARTBEAT_MS_PER_ACTIVE * others)

    def count_live(self, now_ms: int) -> int:
        """Returns how many peers were heard of late."""
        return sum(
            not peer.timed_out(now_ms, DIRECTORY_TIMEOUT_MS)
            for peer in self._peers.values()
        )

    def _reachable(self, peer: Peer, heard: int, now_ms: int) -> bool:
        if peer.last_heartbeat is None or peer.timed_out(
            now_ms, DIRECTORY_TIMEOUT_MS
        ):
            return False
        if peer.heartbeats < MIN_JUDGED_HEARTBEATS:
            return True
        return 2 * peer.last_heartbeat.live_peers >= heard

    def hosts_sharing_limits(self, now_ms: int) -> list[str]:
        """Returns the hosts that may share an allowance, own one included.

        Too many is safe: each then spends less.
        """
        names = [
            peer.name
            for peer in self._peers.values()
            if peer.listed or not peer.timed_out(now_ms, PEER_TIMEOUT_MS)
        ]
        return sorted([*names, self._own])

    def prune(self, now_ms: int) -> list[str]:
        """Forgets hosts that are neither listed nor heard."""
        gone = [
            peer.name
            for peer in self._peers.values()
            if not peer.listed and peer.timed_out(now_ms, PEER_TIMEOUT_MS)
        ]
        for name in gone:
            del self._peers[name]
        return gone

    def is_first(self, now_ms: int) -> bool:
        """Returns whether this host does what one host of all does."""
        return self._order(now_ms)[0] == self._own

    def _order(self, now_ms: int) -> list[str]:
        links = {
            peer.name: peer.link_mbps
            for peer in self._peers.values()
            if not peer.leaving and not peer.timed_out(now_ms, PEER_TIMEOUT_MS)
        }
        links[self._own] = self._own_link
        return sorted(
            links,
            key=lambda name: (
                not self.active.includes(name),
                links[name] < SLOW_LINK_MBPS,
                _rank(name),
            ),
        )

    def should_watch(self, now_ms: int) -> bool:
        """Returns whether this host watches the store itself.

        The first `WATCHERS` hosts of an order that all share do. So does a
        host that hears of no watcher in contact with the store.
        """
        order = self._order(now_ms)
        watching = order[: max(MIN_WATCHERS, len(order) // HOSTS_PER_WATCHER)]
        if self._own in watching:
            return True
        return not any(
            self._in_contact(self._peers[name], now_ms) for name in watching
        )

    def _in_contact(self, peer: Peer, now_ms: int) -> bool:
        if peer.last_heartbeat is None or peer.timed_out(
            now_ms, MISSED_HEARTBEATS * HEARTBEAT_MS
        ):
            return False
        return peer.last_heartbeat.contact_age_ms < MAX_CONTACT_AGE_MS

    def find_peer_ahead(self, revision: int, now_ms: int) -> Peer | None:
        """Returns a host that knows most beyond `revision`.

        Of several, each host takes another one, so that none has to send
        copies to all.
        """
        ahead = [
            peer
            for peer in self._peers.values()
            if peer.last_heartbeat is not None
            and peer.address is not None
            and peer.last_heartbeat.revision > revision
            and not peer.timed_out(now_ms, PEER_TIMEOUT_MS)
        ]
        return max(
            ahead,
            key=lambda peer: (
                peer.last_heartbeat.revision if peer.last_heartbeat else 0,
                _rank(f"{self._own} {peer.name}"),
            ),
            default=None,
        )


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
