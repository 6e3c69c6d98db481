"""The store comes back from a copy that is some seconds old.

Revisions and lease ids are given out again, and what was written since the
copy is gone until its writers write it again.
"""

from __future__ import annotations

from entry_builders import build_planner, build_server
from hypothesis import given, settings
from hypothesis import strategies as st
import msgspec
import pytest

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.departed_servers import (
    HELD_BACK_MS,
    MAX_REMEMBERED,
    REMEMBERED_MS,
)
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.replica import Change, Page, Replica
from corianderdoor.entry.backends import ConnectionPool
from corianderdoor.entry.kept_evacuations import EVACUATION_GRACE_MS
from corianderdoor.entry.peer_codec import (
    decode_heartbeat,
    decode_page,
    encode_heartbeat,
    encode_page,
)
from corianderdoor.entry.state_applier import OUTAGE_GRACE_MS, StateApplier

ITEMS = st.dictionaries(st.sampled_from("abcd"), st.binary(max_size=2))


def page_of(items: dict[str, bytes], revision: int, era: int) -> Page:
    """Returns a full page of `items`."""
    changes = [Change(key, value, revision) for key, value in items.items()]
    return Page(tuple(changes), revision, True, era, revision)


def read_items(replica: Replica) -> dict[str, bytes | None]:
    """Returns what the replica holds."""
    return {item.key: item.value for item in replica.items()}


# Guards against a revision given out again that hides a change.
def test_reused_revision_of_a_new_era_replaces_the_former_item():
    replica = Replica()
    replica.apply(page_of({"a": b"lost", "b": b"lost"}, 9, 1))
    merged = replica.apply(page_of({"a": b"kept"}, 5, 2), 700)
    assert read_items(replica) == {"a": b"kept"}
    assert (replica.era, replica.revision) == (2, 5)
    assert [(c.key, c.value, c.grace_ms) for c in merged] == [
        ("a", b"kept", 0),
        ("b", None, 700),
    ]


# Guards against a peer that has not heard of the restore yet.
def test_page_of_an_older_era_is_never_applied():
    replica = Replica()
    replica.apply(page_of({"a": b"new"}, 5, 2))
    for full in (True, False):
        late = Page((Change("a", b"lost", 9),), 9, full, 1)
        assert replica.apply(late) == []
    assert read_items(replica) == {"a": b"new"}
    assert (replica.era, replica.revision) == (2, 5)


# Guards against changes of a new era on top of items that the store lost.
def test_changes_of_a_newer_era_are_not_applied_without_a_full_page():
    replica = Replica()
    replica.apply(page_of({"a": b"lost"}, 9, 1))
    assert replica.apply(Page((Change("b", b"1", 10),), 10, False, 2)) == []
    assert (replica.era, read_items(replica)) == (1, {"a": b"lost"})


@settings(max_examples=200, deadline=None)
@given(st.lists(ITEMS, min_size=2, max_size=4), st.randoms())
def test_replica_holds_the_newest_era_in_any_order_of_pages(states, rng):
    pages = [
        page_of(items, rng.randrange(1, 20), era)
        for era, items in enumerate(states, 1)
    ]
    shuffled = pages * 2
    rng.shuffle(shuffled)
    replica = Replica()
    for page in shuffled:
        replica.apply(page)
    assert read_items(replica) == states[-1]
    assert (replica.era, replica.revision) == (
        len(states),
        pages[-1].revision,
    )


# Guards against a host that keeps an item which was removed before a peer
# that restarted read the store.
def test_peer_behind_the_listing_of_an_era_gets_a_full_page():
    replica = Replica()
    replica.apply(page_of({"a": b"1"}, 9, 2))
    assert replica.changes_since(8).full
    assert not replica.changes_since(9).full
    assert replica.changes_since(8).era == 2


def test_era_travels_between_hosts():
    heartbeat = Heartbeat("h1", 1, 3, 0, False, (), era=7)
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat
    page = page_of({"a": b"x"}, 4, 7)
    assert decode_page(encode_page(page)) == page


# Guards against a host that takes a high revision of a former era for news.
def test_peer_of_a_newer_era_is_ahead_whatever_its_revision():
    peers = Peers("h0")
    for name, era, revision in (("h1", 1, 90), ("h2", 2, 5), ("h3", 2, 4)):
        peers.add_listed(name, ("x", 1), ("x", 2), "a", 0)
        peers.record_heartbeat(
            Heartbeat(name, 1, revision, 0, False, (), era=era), 0
        )
    ahead = peers.find_peer_ahead(90, 10, 1)
    assert ahead is not None
    assert ahead.name == "h2"
    assert peers.find_peer_ahead(5, 10, 2) is None


def encode_entry(**changes) -> bytes:
    """Returns the store's entry of a plain server."""
    entry = {
        "service": "plain",
        "address": "10.0.0.9:80",
        "zone": "a",
        "slots": 8,
        "state": "available",
        "cold_remaining_ms": 0,
        "version": "v1",
        "sequence_number": 1,
        "born": 100,
    }
    return msgspec.json.encode({**entry, **changes})


def encode_config(version: int) -> bytes:
    """Returns a desired state without routes."""
    limits = {
        "max_header_bytes": 1,
        "max_body_bytes": 1,
        "header_timeout_ms": 1,
        "idle_timeout_ms": 1,
    }
    return msgspec.json.encode(
        {"version": version, "routes": [], "services": [], "limits": limits}
    )


class Host:
    """The state of one host."""

    def __init__(self) -> None:
        self.clock = ManualClock(10_000)
        self.planner = build_planner(servers=0, plain=0)
        self.peers = Peers("h0")
        pool = ConnectionPool(self.clock, self.planner.counters)
        self.applier = StateApplier(self.planner, self.peers, pool, self.clock)

    def list(self, revision, era, restored=0, **items) -> None:
        """Applies a full page; `_` in names stands for "/"."""
        changes = tuple(
            Change(name.replace("_", "/"), value, at)
            for name, (value, at) in items.items()
        )
        page = Page(changes, revision, True, era, restored or revision)
        self.applier.apply(page, "store", 0)

    def write(self, name, value, revision, era) -> None:
        """Applies one change."""
        change = Change(name, value, revision)
        self.applier.apply(Page((change,), revision, False, era), "store", 0)

    def wait(self, ms: int) -> None:
        """Lets time pass."""
        self.clock.advance(ms)
        self.planner.tick(self.clock.now_ms())
        self.applier.tick(self.clock.now_ms())

    def copy_from(self, peer: Host) -> None:
        """Applies the page of a peer with the same revision."""
        replica = peer.applier.replica
        page = decode_page(
            encode_page(replica.changes_since(replica.revision))
        )
        self.applier.apply(page, "peer", 0)

    def started_by_it(self) -> Host:
        """Returns a host that lists the store and copies from this one."""
        started = Host()
        page = self.applier.replica.changes_since(0)
        listing = (page.changes, page.revision, True, page.era, page.revision)
        started.applier.apply(Page(*listing), "store", 0)
        started.applier.apply(decode_page(encode_page(page)), "peer", 0)
        return started

    def usable(self) -> list[str]:
        """Returns the ids of the plain servers that get requests."""
        return [s.id for s in self.planner.servers.usable("plain")]


# Guards against removing servers that the copy does not know.
def test_server_missing_in_the_copy_stays_in_use_for_the_grace_time():
    host = Host()
    host.list(9, 1, servers_s1=(encode_entry(), 8))
    host.list(5, 2)
    host.wait(OUTAGE_GRACE_MS - 1)
    assert host.usable() == ["s1"]
    host.write("servers/s1", encode_entry(), 6, 2)
    host.wait(OUTAGE_GRACE_MS)
    assert host.usable() == ["s1"]


def test_server_that_does_not_write_again_is_removed_after_the_grace_time():
    host = Host()
    host.list(9, 1, servers_s1=(encode_entry(), 8))
    host.list(5, 2)
    host.wait(OUTAGE_GRACE_MS)
    assert host.usable() == []


# Guards against the end of a grace time that a second restore has begun anew.
def test_second_restore_extends_the_grace_time():
    host = Host()
    host.list(9, 1, servers_s1=(encode_entry(), 8))
    host.list(5, 2)
    host.wait(OUTAGE_GRACE_MS - 1)
    host.list(5, 3)
    host.wait(OUTAGE_GRACE_MS - 1)
    assert host.usable() == ["s1"]
    host.wait(1)
    assert host.usable() == []


# Guards against sending to a server that left after the copy was made.
def test_server_that_left_is_not_used_again_because_the_copy_lists_it():
    host = Host()
    host.list(7, 1, servers_s1=(encode_entry(), 5))
    host.write("servers/s1", None, 9, 1)
    host.list(7, 2, servers_s1=(encode_entry(), 5))
    host.wait(HELD_BACK_MS - 1)
    assert host.usable() == []


@pytest.mark.parametrize("born", [100, 200])
def test_server_that_left_is_used_again_when_it_writes_after_the_restore(born):
    host = Host()
    host.list(7, 1, servers_s1=(encode_entry(), 5))
    host.write("servers/s1", None, 9, 1)
    host.list(7, 2, servers_s1=(encode_entry(), 5))
    host.write("servers/s1", encode_entry(born=born), 8, 2)
    assert host.usable() == ["s1"]


def test_server_that_wrote_between_the_restore_and_the_listing_is_used():
    host = Host()
    host.list(7, 1, servers_s1=(encode_entry(), 5))
    host.write("servers/s1", None, 9, 1)
    host.list(9, 2, restored=7, servers_s1=(encode_entry(), 8))
    assert host.usable() == ["s1"]


def test_new_incarnation_in_the_copy_is_used():
    host = Host()
    host.list(7, 1, servers_s1=(encode_entry(), 5))
    host.write("servers/s1", None, 9, 1)
    host.list(7, 2, servers_s1=(encode_entry(born=101), 6))
    assert host.usable() == ["s1"]


# Guards against DRAIN: a host that started between a departure and a
# restore sent to the server, and asked no peer.
@pytest.mark.parametrize("age_ms", [0, REMEMBERED_MS - 1])
def test_host_that_started_after_a_departure_learns_of_it(age_ms):
    host, started = Host(), Host()
    host.list(7, 1, servers_s1=(encode_entry(), 5))
    host.write("servers/s1", None, 9, 1)
    started.list(9, 1)
    host.wait(age_ms)
    started.wait(age_ms)
    for each in (host, started):
        each.list(7, 2, servers_s1=(encode_entry(), 5))
    assert started.usable() == ["s1"]
    started.copy_from(host)
    assert started.usable() == []
    started.write("servers/s1", encode_entry(born=200), 8, 2)
    assert started.usable() == ["s1"]


# Guards against losing a sound server for good: its entry does not change.
def test_held_back_server_is_used_again_if_the_store_goes_on_listing_it():
    host = Host()
    host.list(7, 1, servers_s1=(encode_entry(), 5))
    host.write("servers/s1", None, 9, 1)
    host.list(7, 2, servers_s1=(encode_entry(), 5))
    host.wait(HELD_BACK_MS)
    assert host.usable() == ["s1"]


def test_held_back_server_whose_entry_goes_is_not_used():
    host = Host()
    host.list(7, 1, servers_s1=(encode_entry(), 5))
    host.write("servers/s1", None, 9, 1)
    host.list(7, 2, servers_s1=(encode_entry(), 5))
    host.write("servers/s1", None, 8, 2)
    host.wait(HELD_BACK_MS)
    assert host.usable() == []


# Guards against undoing a drain that began after the copy was made.
def test_draining_server_stays_so_though_the_copy_says_otherwise():
    host = Host()
    host.list(7, 1, servers_s1=(encode_entry(state="draining"), 7))
    host.list(6, 2, servers_s1=(encode_entry(), 5))
    host.wait(HELD_BACK_MS)
    assert host.usable() == []
    host.write("servers/s1", encode_entry(), 7, 2)
    assert host.usable() == ["s1"]


# Guards against DRAIN: a host that starts after the restore, or saw neither
# the drain nor its end, sends to the server.
@pytest.mark.parametrize("restores", [1, 2])
def test_draining_server_is_passed_on_while_the_copy_says_otherwise(restores):
    host = Host()
    host.list(7, 1, servers_s1=(encode_entry(state="draining"), 7))
    for era in range(2, 2 + restores):
        # Each copy differs from the one before.
        entry = encode_entry(sequence_number=era)
        host.list(6, era, servers_s1=(entry, 5))
    started = host.started_by_it()
    assert started.usable() == []
    assert started.started_by_it().usable() == []
    for each in (host, started):
        each.write("servers/s1", encode_entry(), 7, 1 + restores)
        assert each.started_by_it().usable() == ["s1"]


def test_draining_server_of_the_copy_is_not_used():
    host = Host()
    host.list(7, 1, servers_s1=(encode_entry(), 7))
    host.list(9, 2, servers_s1=(encode_entry(state="draining"), 9))
    assert host.usable() == []


# Guards against requests to the process that was there before a restart.
def test_former_incarnation_in_the_copy_does_not_replace_the_known_one():
    host = Host()
    later = encode_entry(born=200, address="10.0.0.9:81")
    host.list(7, 1, servers_s1=(later, 7))
    host.list(6, 2, servers_s1=(encode_entry(), 5))
    known = host.planner.servers.get("s1")
    assert known is not None
    assert (known.started_ms, host.usable()) == (200, ["s1"])
    host.wait(OUTAGE_GRACE_MS)
    assert host.usable() == []


# Guards against a desired state that goes back until it is written again.
def test_desired_state_in_force_does_not_go_back():
    host = Host()
    host.list(9, 1, op_config=(encode_config(30), 8))
    host.list(5, 2, op_config=(encode_config(20), 4))
    assert host.planner.desired is not None
    assert host.planner.desired.version == 30
    host.write("op/config", encode_config(30), 6, 2)
    host.write("op/config", encode_config(40), 7, 2)
    assert host.planner.desired.version == 40


# Guards against CONFIG: after a second restore no host passed the newer
# desired state on.
def test_desired_state_is_passed_on_after_a_second_restore():
    host = Host()
    host.list(9, 1, op_config=(encode_config(30), 8))
    for era in (2, 3):
        host.list(5, era, op_config=(encode_config(20), 4))
        assert host.started_by_it().planner.desired.version == 30
    host.write("op/config", encode_config(40), 6, 3)
    assert host.started_by_it().planner.desired.version == 40


# Guards against CONFIG: a host that had missed the last write before the
# restore asked no peer; found by the model check.
@pytest.mark.parametrize(("mine", "peers"), [(20, 30), (30, 20)])
def test_the_newest_desired_state_of_two_hosts_is_in_force(mine, peers):
    host, peer = Host(), Host()
    for each, version in ((host, mine), (peer, peers)):
        each.list(9, 1, op_config=(encode_config(version), 8))
        each.list(5, 2, op_config=(encode_config(10), 4))
    host.copy_from(peer)
    for each in (host, host.started_by_it()):
        assert each.planner.desired.version == 30


# Guards against a peer's older knowledge that ends the use of a server.
def test_later_start_of_a_server_stays_in_use_though_a_peer_saw_it_leave():
    host, peer = Host(), Host()
    for each in (host, peer):
        each.list(7, 1, servers_s1=(encode_entry(), 5))
    peer.write("servers/s1", None, 8, 1)
    host.write("servers/s1", encode_entry(born=200), 9, 1)
    for each in (host, peer):
        each.list(7, 2, servers_s1=(encode_entry(), 5))
    host.copy_from(peer)
    assert host.usable() == ["s1"]


# Guards against requests to a data centre whose evacuation the copy lacks.
def test_evacuation_missing_in_the_copy_stays_until_it_is_written_again():
    host = Host()
    entry = (encode_entry(), 3)
    host.list(9, 1, servers_s1=entry, op_evacuate_a=(b"{}", 8))
    host.list(5, 2, servers_s1=entry)
    host.wait(EVACUATION_GRACE_MS - 1)
    assert host.usable() == []
    host.write("op/evacuate/a", b"{}", 6, 2)
    host.wait(EVACUATION_GRACE_MS)
    assert host.usable() == []
    host.write("op/evacuate/a", None, 7, 2)
    assert host.usable() == ["s1"]


# Guards against EVAC: a host that starts after the restore sends there.
@pytest.mark.parametrize("restores", [1, 2])
def test_evacuation_is_passed_on_while_the_store_lacks_it(restores):
    host = Host()
    entry = (encode_entry(), 3)
    host.list(9, 1, servers_s1=entry, op_evacuate_a=(b"{}", 8))
    for era in range(2, 2 + restores):
        host.list(5, era, servers_s1=entry)
    host.wait(EVACUATION_GRACE_MS - 10)
    started = host.started_by_it()
    assert started.usable() == []
    second = started.started_by_it()
    assert second.usable() == []
    for each in (started, second):
        each.wait(9)
        assert each.usable() == []
        each.wait(1)
        assert each.usable() == ["s1"]


@pytest.mark.parametrize("again", [True, False])
def test_evacuation_that_ended_is_not_passed_on(again):
    host = Host()
    entry = (encode_entry(), 3)
    host.list(9, 1, servers_s1=entry, op_evacuate_a=(b"{}", 8))
    host.list(5, 2, servers_s1=entry)
    if again:
        host.write("op/evacuate/a", b"{}", 6, 2)
        host.write("op/evacuate/a", None, 7, 2)
    else:
        host.wait(EVACUATION_GRACE_MS)
    assert host.started_by_it().usable() == ["s1"]


def test_evacuation_that_is_not_written_again_ends_after_its_grace_time():
    host = Host()
    entry = (encode_entry(), 3)
    host.list(9, 1, servers_s1=entry, op_evacuate_a=(b"{}", 8))
    host.list(5, 2, servers_s1=entry)
    host.wait(EVACUATION_GRACE_MS)
    assert host.usable() == ["s1"]


def test_second_restore_keeps_the_evacuation_for_its_time_anew():
    host = Host()
    entry = (encode_entry(), 3)
    host.list(9, 1, servers_s1=entry, op_evacuate_a=(b"{}", 8))
    host.list(5, 2, servers_s1=entry)
    host.wait(EVACUATION_GRACE_MS - 1)
    host.list(5, 3, servers_s1=entry)
    host.wait(EVACUATION_GRACE_MS - 1)
    assert host.usable() == []


def test_memory_of_servers_that_left_is_bounded_in_number_and_time():
    departed = build_planner().servers.departed
    for number in range(MAX_REMEMBERED + 1):
        departed.record(build_server(f"s{number}"), 0)
    assert not departed.hold_back(build_server("s0"), 1)
    assert departed.hold_back(build_server("s1"), 1)
    assert not departed.hold_back(build_server("s2"), REMEMBERED_MS)
