"""State of an entry host: items of the store, servers and peers.

Late, duplicate or reordered messages must never replace newer state.
"""

from __future__ import annotations

from entry_builders import build_server
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import MIN_JUDGED_HEARTBEATS, Peers
from corianderdoor.core.entry.replica import Change, Page, Replica
from corianderdoor.core.entry.servers import Servers

HISTORY = st.lists(
    st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=30
)


def build_history(steps) -> list[Change]:
    """Returns the changes of a store, with rising revisions."""
    return [
        Change(key, None if gone else b"%d" % number, number)
        for number, (key, gone) in enumerate(steps, 1)
    ]


def final_state(changes) -> dict[str, bytes]:
    """Returns what the store holds after `changes`."""
    state: dict[str, bytes] = {}
    for change in changes:
        if change.value is None:
            state.pop(change.key, None)
        else:
            state[change.key] = change.value
    return state


def read_items(replica: Replica) -> dict[str, bytes | None]:
    """Returns what the replica holds."""
    return {item.key: item.value for item in replica.items()}


@settings(max_examples=200, deadline=None)
@given(HISTORY, st.randoms(use_true_random=False))
def test_late_duplicate_and_reordered_pages_converge_to_the_store_state(
    steps, rng
):
    changes = build_history(steps)
    pages = []
    for _ in range(6):
        start = rng.randrange(len(changes))
        end = rng.randrange(start, len(changes)) + 1
        pages.append(Page(tuple(changes[start:end]), end, False))
    pages.append(Page(tuple(changes), len(changes), False))
    rng.shuffle(pages)
    replica = Replica()
    for page in pages:
        replica.apply(page)
    assert read_items(replica) == final_state(changes)


@settings(max_examples=200, deadline=None)
@given(HISTORY, st.data())
def test_peer_that_is_behind_catches_up_from_any_revision(steps, data):
    changes = build_history(steps)
    source = Replica()
    source.apply(Page(tuple(changes), len(changes), False))
    cut = data.draw(st.integers(0, len(changes)))
    peer = Replica()
    if cut:
        peer.apply(Page(tuple(changes[:cut]), cut, False))
    peer.apply(source.changes_since(peer.revision))
    assert read_items(peer) == final_state(changes)
    assert peer.revision == len(changes)


def test_full_page_removes_missing_items_but_nothing_newer():
    replica = Replica()
    old, new = Change("old", b"1", 1), Change("new", b"2", 9)
    replica.apply(Page((old, new), 9, False))
    gone = replica.apply(Page((Change("b", b"3", 4),), 5, True), 700)
    assert set(read_items(replica)) == {"new", "b"}
    removals = [change for change in gone if change.value is None]
    assert [(c.key, c.grace_ms) for c in removals] == [("old", 700)]


def test_late_copy_does_not_restore_a_removed_item():
    replica = Replica()
    replica.apply(Page((Change("a", b"1", 1),), 1, False))
    replica.apply(Page((Change("a", None, 2),), 2, False))
    assert replica.apply(Page((Change("a", b"1", 1),), 3, False)) == []
    assert read_items(replica) == {}


def test_entry_that_expired_in_an_outage_may_be_listed_again():
    servers = Servers()
    servers.put(build_server("s1"), 0)
    servers.remove("s1", 100, grace_ms=2_000)
    assert servers.usable("llm")
    servers.put(build_server("s1"), 900)
    assert servers.remove_expired(5_000) == []
    assert servers.usable("llm")


def test_entry_that_is_not_listed_again_is_removed_after_the_grace_time():
    servers = Servers()
    servers.put(build_server("s1"), 0)
    servers.remove("s1", 100, grace_ms=2_000)
    assert servers.remove_expired(2_099) == []
    assert servers.remove_expired(2_100) == ["s1"]
    assert not servers.usable("llm")


def test_second_removal_does_not_extend_the_grace_time():
    servers = Servers()
    servers.put(build_server("s1"), 0)
    servers.remove("s1", 100, grace_ms=500)
    servers.remove("s1", 500, grace_ms=2_000)
    assert servers.remove_expired(600) == ["s1"]


def test_restarted_server_with_the_same_id_is_another_server():
    servers = Servers()
    old = build_server("s1")
    assert not servers.put(old, 0)
    assert servers.put(build_server("s1", started_ms=2), 10)
    assert not servers.may_use(old)


def test_draining_server_is_not_usable_and_cold_server_is_marked():
    servers = Servers()
    servers.put(build_server("s1", available=False), 0)
    servers.put(build_server("s2", cold_ms=3_000), 0)
    assert [server.id for server in servers.usable("llm")] == ["s2"]
    assert servers.is_cold("s2", 2_999)
    assert not servers.is_cold("s2", 3_000)


def build_heartbeat(
    sender, boot=1, revision=1, contact_age_ms=0, leaving=False, live_peers=3
):
    """Returns a heartbeat."""
    return Heartbeat(
        sender, boot, revision, contact_age_ms, leaving, (), (), live_peers
    )


def build_peers(count=4) -> Peers:
    """Returns peers that are listed and sent heartbeats at 0."""
    peers = Peers("h0")
    for number in range(1, count):
        name = f"h{number}"
        address = ("10.0.0.1", 9_000 + number)
        peers.add_listed(name, address, address, "a", 0)
        for _ in range(MIN_JUDGED_HEARTBEATS):
            peers.record_heartbeat(build_heartbeat(name), 0)
    return peers


def names_in_service(
    peers: Peers, now_ms: int, store_reached=True
) -> list[str]:
    """Returns the peers that callers are sent to."""
    found = peers.in_service(now_ms, store_reached)
    return sorted(peer.name for peer in found)


def test_directory_names_only_hosts_with_heartbeats_that_are_not_stopping():
    peers = build_peers()
    peers.record_heartbeat(build_heartbeat("h1"), 4_000)
    peers.record_heartbeat(build_heartbeat("h2", leaving=True), 4_000)
    assert names_in_service(peers, 4_000) == ["h1"]


def test_host_that_receives_no_heartbeats_is_not_named_though_it_sends_them():
    """Packets from that host arrive, but packets to it are lost."""
    peers = build_peers(5)
    for name in ("h1", "h2", "h3"):
        peers.record_heartbeat(build_heartbeat(name, live_peers=4), 1_000)
    peers.record_heartbeat(build_heartbeat("h4", live_peers=1), 1_000)
    assert names_in_service(peers, 1_000) == ["h1", "h2", "h3"]


def test_started_host_is_named_before_it_receives_heartbeats():
    """When all hosts start at once, callers need all of them."""
    peers = build_peers(4)
    for name in ("h1", "h2", "h3"):
        peers.record_heartbeat(
            build_heartbeat(name, boot=2, live_peers=0), 1_000
        )
    assert names_in_service(peers, 1_000) == ["h1", "h2", "h3"]


def test_host_without_heartbeats_names_the_hosts_that_the_store_lists():
    peers = build_peers(3)
    peers.mark_unlisted("h2")
    assert names_in_service(peers, 5_000) == ["h1"]
    assert names_in_service(peers, 5_000, store_reached=False) == []


def test_heartbeat_of_an_earlier_start_is_dropped():
    peers = build_peers(2)
    peers.record_heartbeat(build_heartbeat("h1", boot=5), 10)
    assert (
        peers.record_heartbeat(build_heartbeat("h1", boot=4, leaving=True), 20)
        is None
    )
    assert names_in_service(peers, 30) == ["h1"]


def test_few_hosts_watch_and_another_one_takes_over():
    names = [f"h{number}" for number in range(8)]
    fleets = {}
    for own in names:
        peers = Peers(own)
        for name in names:
            if name != own:
                peers.add_listed(name, ("x", 1), ("x", 1), "a", 0)
                peers.record_heartbeat(
                    build_heartbeat(name, contact_age_ms=100), 0
                )
        fleets[own] = peers
    watching = [n for n in names if fleets[n].should_watch(100)]
    assert len(watching) == 2
    rest = [name for name in names if name not in watching]
    for name in rest:
        peers = fleets[name]
        for other in rest:
            if other != name:
                peers.record_heartbeat(
                    build_heartbeat(other, contact_age_ms=2**31), 1_000
                )
        assert peers.should_watch(1_000)


def test_watcher_without_contact_to_the_store_does_not_count():
    peers = Peers("h0")
    for number in range(1, 8):
        name = f"h{number}"
        peers.add_listed(name, ("x", 1), ("x", 1), "a", 0)
        peers.record_heartbeat(build_heartbeat(name, contact_age_ms=9_000), 0)
    assert peers.should_watch(100)


def test_peer_with_the_newest_revision_is_asked():
    peers = build_peers()
    peers.record_heartbeat(build_heartbeat("h2", revision=8), 10)
    ahead = peers.find_peer_ahead(5, 20)
    assert ahead is not None
    assert ahead.name == "h2"
    assert peers.find_peer_ahead(8, 20) is None


def test_allowances_are_shared_with_all_hosts_that_may_be_alive():
    peers = build_peers()
    assert peers.hosts_sharing_limits(9_000) == ["h0", "h1", "h2", "h3"]
    peers.mark_unlisted("h1")
    assert peers.hosts_sharing_limits(9_000) == ["h0", "h2", "h3"]
    assert peers.remove_expired(9_000) == ["h1"]
