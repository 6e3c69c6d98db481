"""Hosts learn from each other what a restored store has lost."""

from __future__ import annotations

import pytest
from test_entry_store_restore import encode_config, encode_entry, Host

from corianderdoor.core.entry.copy_sources import find_overriding_peer
from corianderdoor.core.entry.departed_servers import HELD_BACK_MS
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peer import Peer
from corianderdoor.core.entry.replica import Page
from corianderdoor.entry.peer_codec import (
    decode_heartbeat,
    decode_page,
    encode_heartbeat,
    encode_page,
)
from corianderdoor.entry.state_applier import OUTAGE_GRACE_MS

ENTRY = (encode_entry(), 3)
SERVERS = 4


def restore_with_evacuation() -> Host:
    """Returns a host that knows what the copy of the store lacks."""
    host = Host()
    host.list(
        9,
        1,
        servers_s1=ENTRY,
        op_config=(encode_config(30), 8),
        op_evacuate_a=(b"{}", 9),
    )
    host.list(5, 2, servers_s1=ENTRY, op_config=(encode_config(20), 4))
    return host


def start_later(revision: int) -> Host:
    """Returns a host that lists the store at a later revision."""
    host = Host()
    host.list(revision, 2, servers_s1=ENTRY, op_config=(encode_config(20), 4))
    return host


# Guards against CONFIG: a host that started and watches the store went by the
# copy for two seconds, as peers that follow it were behind all the while.
def test_host_ahead_of_its_peers_learns_what_the_store_lost():
    host = restore_with_evacuation()
    started = start_later(7)
    started.copy_from(host)
    assert started.planner.desired.version == 30
    assert started.usable() == []


# Guards against an end of an evacuation that a peer does not know yet.
def test_peer_that_is_behind_undoes_nothing_that_was_written_since():
    host = restore_with_evacuation()
    started = start_later(5)
    started.write("op/evacuate/a", b"{}", 6, 2)
    started.write("op/evacuate/a", None, 7, 2)
    started.copy_from(host)
    assert started.usable() == ["s1"]


# Guards against a server that is held back, as a peer that is behind does not
# know that it has written its entry again.
@pytest.mark.parametrize("listed", [True, False])
def test_server_that_wrote_again_stays_in_use_beside_a_peer_behind(listed):
    host = Host()
    host.list(7, 1, servers_s1=ENTRY)
    host.write("servers/s1", None, 9, 1)
    host.list(5, 2, servers_s1=ENTRY)
    started = Host()
    if listed:
        started.list(7, 2, servers_s1=(encode_entry(), 7))
    else:
        started.list(5, 2, servers_s1=ENTRY)
        started.write("servers/s1", encode_entry(), 7, 2)
    started.copy_from(host)
    assert started.usable() == ["s1"]


def port_of(host: Host) -> int | None:
    """Returns the port at which a host reaches the server."""
    server = host.planner.servers.get("s1")
    return server.port if server else None


def restore_with_later_start(restores: int = 1) -> Host:
    """Returns a host that knows a later start of a server than the copy's."""
    host = Host()
    later = encode_entry(born=200, address="10.0.0.9:81")
    host.list(7, 1, servers_s1=(later, 7))
    for era in range(2, 2 + restores):
        # Each copy differs from the one before.
        entry = encode_entry(sequence_number=era)
        host.list(5, era, servers_s1=(entry, 3))
    return host


# Guards against requests to the former address of a server, from hosts that
# start after a restore.
@pytest.mark.parametrize("restores", [1, 2])
def test_later_start_of_a_server_is_passed_on(restores):
    host = restore_with_later_start(restores)
    host.wait(OUTAGE_GRACE_MS - 10)
    started = host.started_by_it()
    assert started.started_by_it().usable() == ["s1"]
    for each in (host, started, started.started_by_it()):
        assert port_of(each) == 81
        each.wait(9)
        assert each.usable() == ["s1"]
        each.wait(1)
        assert each.usable() == []
        assert not each.applier.replica.overrides


def test_later_start_that_wrote_again_is_no_longer_passed_on():
    host = restore_with_later_start()
    started = host.started_by_it()
    for each in (host, started):
        each.write("servers/s1", encode_entry(born=300), 6, 2)
        assert not each.applier.replica.overrides
        each.wait(OUTAGE_GRACE_MS)
        assert each.usable() == ["s1"]


# Guards against an order of peers in which a host goes on without a server
# that one of them saw leave and another one saw start again.
@pytest.mark.parametrize("later_first", [True, False])
def test_later_start_is_used_though_another_peer_saw_the_server_leave(
    later_first,
):
    peer = Host()
    peer.list(7, 1, servers_s1=ENTRY)
    peer.write("servers/s1", None, 8, 1)
    peer.list(5, 2, servers_s1=ENTRY)
    host, started = restore_with_later_start(), Host()
    started.list(5, 2, servers_s1=ENTRY)
    for source in (host, peer) if later_first else (peer, host):
        started.copy_from(source)
    assert (port_of(started), started.usable()) == (81, ["s1"])
    assert started.started_by_it().usable() == ["s1"]


def build_heartbeat(name: str, host: Host) -> Heartbeat:
    """Returns a host's heartbeat, as peers read it."""
    replica = host.applier.replica
    heartbeat = Heartbeat(
        name,
        1,
        replica.changed_revision,
        0,
        False,
        (),
        era=replica.era,
        has_overrides=bool(replica.overrides),
        overrides_digest=replica.overrides.digest,
    )
    return decode_heartbeat(encode_heartbeat(heartbeat))


class Fleet:
    """Hosts that copy from each other what the store has lost.

    Attributes:
        pages: Pages that were copied.
    """

    def __init__(self, hosts: list[Host]) -> None:
        self.hosts = {f"h{number}": host for number, host in enumerate(hosts)}
        self.pages = 0

    def _build_peers(self, own: str) -> list[Peer]:
        peers = []
        for name, host in self.hosts.items():
            if name != own:
                peer = Peer(name)
                peer.address = ("x", 1)
                peer.last_heartbeat = build_heartbeat(name, host)
                peer.alive_until_ms = 2**31
                peers.append(peer)
        return peers

    def settle(self) -> None:
        """Lets the hosts copy, one after the other, until none asks."""
        asked = True
        while asked:
            asked = False
            for name, host in self.hosts.items():
                found = find_overriding_peer(
                    name, self._build_peers(name), host.applier.replica, 0
                )
                if found is not None:
                    host.copy_from(self.hosts[found.name])
                    self.pages += 1
                    asked = True


def build_restored(version: int, left: range) -> Host:
    """Returns a host that knew a version, and which servers had left."""
    host = Host()
    entries = {
        f"servers_s{number}": ENTRY
        for number in range(SERVERS)
        if number not in left
    }
    copy = {f"servers_s{number}": ENTRY for number in range(SERVERS)}
    host.list(7, 1, **copy)
    host.list(9, 1, op_config=(encode_config(version), 8), **entries)
    host.list(5, 2, op_config=(encode_config(10), 4), **copy)
    return host


# Guards against CONFIG: a host copied only from the peer that started first,
# which had missed one write; found by the model check with three versions.
def test_started_host_learns_of_the_newest_of_several_lists():
    hosts = [build_restored(version, range(0)) for version in (20, 30)]
    fleet = Fleet([*hosts, Host()])
    fleet.hosts["h2"].list(5, 2, op_config=(encode_config(10), 4))
    fleet.settle()
    for host in fleet.hosts.values():
        assert host.planner.desired.version == 30


# Guards against hosts that learn of one peer's departures alone, and against
# more pages than lists that differ.
def test_hosts_with_different_lists_end_with_the_same_in_few_pages():
    lists = [range(number) for number in (0, 2, 4)]
    hosts = [build_restored(30, lists[number % 3]) for number in range(12)]
    fleet = Fleet(hosts)
    fleet.settle()
    for host in hosts:
        assert host.usable() == []
        assert host.applier.replica.overrides.digest == (
            hosts[0].applier.replica.overrides.digest
        )
    assert fleet.pages <= len(lists) * len(hosts)


# Guards against pages after each restore that tell nothing new, and against
# hosts that start and make all others ask.
def test_hosts_with_the_same_list_ask_nobody():
    fleet = Fleet([build_restored(30, range(2)) for _ in range(12)])
    fleet.settle()
    assert fleet.pages == 0
    # Written since by some of the servers.
    for host in fleet.hosts.values():
        host.write("servers/s3", encode_entry(born=300), 6, 2)
    copy = {f"servers_s{number}": ENTRY for number in range(SERVERS)}
    for number in range(3):
        started = fleet.hosts[f"started-{number}"] = Host()
        started.list(6, 2, op_config=(encode_config(10), 4), **copy)
        fleet.settle()
        assert started.planner.desired.version == 30
        assert fleet.pages == 1 + number


# Guards against a server that is held back again for each list of a peer that
# differs, though the store goes on listing it.
def test_server_that_is_used_again_is_not_held_back_by_another_list():
    host, peer = build_restored(10, range(1)), build_restored(10, range(2))
    host.wait(HELD_BACK_MS)
    assert "s0" in host.usable()
    host.copy_from(peer)
    assert host.usable() == ["s0", "s2", "s3"]


# Guards against lists of hosts of the release before, which tell no digest.
def test_host_asks_one_peer_of_the_release_before_once():
    started, peer = start_later(5), restore_with_evacuation()
    page = peer.applier.replica.changes_since(5)
    heartbeat = Heartbeat("h1", 1, 5, 0, False, (), era=2, has_overrides=True)
    told = decode_heartbeat(encode_heartbeat(heartbeat)).told_overrides
    assert started.applier.replica.misses(2, told)
    former = Page(
        page.changes, 5, False, 2, page.restored_revision, page.overrides
    )
    started.applier.apply(decode_page(encode_page(former)), "h1", 0)
    assert started.planner.desired.version == 30
    assert not started.applier.replica.misses(2, told)
    # A peer of this release has the same list.
    assert not started.applier.replica.misses(
        2, build_heartbeat("h2", peer).told_overrides
    )


def test_digest_and_list_survive_their_encoding():
    host = restore_with_evacuation()
    page = host.applier.replica.changes_since(0)
    assert page.listed and decode_page(encode_page(page)) == page
    heartbeat = build_heartbeat("h1", host)
    assert heartbeat.overrides_digest == host.applier.replica.overrides.digest
    assert heartbeat.told_overrides == heartbeat.overrides_digest


# Guards against control traffic beyond its bound: a host sends and receives
# at most 125 heartbeats a second.
def test_digest_takes_at_most_eight_bytes_of_a_heartbeat():
    without, with_digest = (
        Heartbeat("h1", 2**40, 9, 0, False, (), overrides_digest=told)
        for told in (0, 2**32 - 1)
    )
    assert len(encode_heartbeat(with_digest)) <= 8 + len(
        encode_heartbeat(without)
    )
