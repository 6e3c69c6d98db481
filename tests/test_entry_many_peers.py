"""Load pattern: hundreds of entry hosts in front of the same servers.

With 195 hosts, each lookup of a server's load added up the reports of all
peers, so that one decision took 4 ms of processor time.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from corianderdoor.core.entry import active_hosts
from corianderdoor.core.entry import peers as peers_module
from corianderdoor.core.entry.loads import Loads, PeerLoads
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import Peers

PEERS = 195
PEER_NAMES = st.sampled_from(["h1", "h2", "h3"])
SERVERS = ["s1", "s2"]
COUNTS = st.dictionaries(st.sampled_from(SERVERS), st.integers(0, 5))


class CountedReport(dict[str, int]):
    """A report that counts how often it is read."""

    reads = 0

    def get(self, key, default=None):
        """Returns the value of `key` and counts the read."""
        CountedReport.reads += 1
        return super().get(key, default)


def test_lookup_of_a_load_reads_no_reports():
    loads = Loads()
    for number in range(PEERS):
        report = PeerLoads(9_000, CountedReport(s=1), CountedReport(s=10))
        loads.update_peer(f"h{number}", report)
    CountedReport.reads = 0
    assert loads.of("s", 0) == PEERS
    assert loads.unread_of("s", 0) == 10 * PEERS
    assert CountedReport.reads == 0


@given(
    st.lists(
        st.tuples(st.integers(0, 400), PEER_NAMES, st.integers(1, 900), COUNTS)
    )
)
def test_loads_are_the_sums_of_the_unexpired_reports(steps):
    loads = Loads()
    reports: dict[str, tuple[int, dict[str, int]]] = {}
    now_ms = 0
    for wait_ms, peer, valid_ms, counts in steps:
        now_ms += wait_ms
        report = PeerLoads(now_ms + valid_ms, counts, counts)
        loads.update_peer(peer, report)
        reports[peer] = (now_ms + valid_ms, counts)
        for server in SERVERS:
            expected = sum(
                counts.get(server, 0)
                for expires_ms, counts in reports.values()
                if now_ms < expires_ms
            )
            assert loads.of(server, now_ms) == expected
            assert loads.unread_of(server, now_ms) == expected


def test_report_of_a_removed_peer_no_longer_counts():
    loads = Loads()
    loads.start("s", 7)
    loads.update_peer("h1", PeerLoads(900, {"s": 2}, {"s": 9}))
    loads.remove("h1")
    assert (loads.of("s", 0), loads.unread_of("s", 0)) == (1, 7)


def build_fleet(names: list[str]) -> Peers:
    """Returns the peers of a host that has heard all others."""
    peers = Peers("own", 100.0, "a")
    for number, name in enumerate(names):
        address = ("10.0.0.1", 9_000 + number)
        peers.add_listed(
            name, address, address, "abcde"[number % 5], 0, 10.0 * number
        )
        hear(peers, name, 0)
    return peers


def hear(peers: Peers, name: str, now_ms: int) -> None:
    """Records a heartbeat of `name`."""
    heartbeat = Heartbeat(name, 1, 1, 0, False, (), live_peers=PEERS)
    peers.record_heartbeat(heartbeat, now_ms)


def test_unchanged_fleet_is_not_ranked_again(monkeypatch):
    peers = build_fleet([f"h{number}" for number in range(PEERS)])
    peers.choose_active(0, True, False)
    peers.should_watch(0)
    ranked: list[str] = []
    for module in (active_hosts, peers_module):
        monkeypatch.setattr(module, "rank_host", ranked.append)
    for now_ms in range(100, 1_000, 100):
        peers.choose_active(now_ms, True, False)
        peers.should_watch(now_ms)
    assert not ranked


@given(
    st.lists(
        st.tuples(st.integers(0, 900), st.sets(st.integers(0, 39))),
        max_size=6,
    )
)
def test_choice_follows_the_hosts_that_are_heard(steps):
    names = [f"h{number}" for number in range(40)]
    peers = build_fleet(names)
    heard = {name: 0 for name in names}
    now_ms = 0
    for wait_ms, numbers in steps:
        now_ms += wait_ms
        for number in numbers:
            hear(peers, f"h{number}", now_ms)
            heard[f"h{number}"] = now_ms
        fresh = build_fleet(names)
        for name, heard_ms in heard.items():
            hear(fresh, name, heard_ms)
        for one in (peers, fresh):
            one.choose_active(now_ms, True, False)
        assert peers.active.names == fresh.active.names
        assert peers.is_first(now_ms) == fresh.is_first(now_ms)
        assert peers.should_watch(now_ms) == fresh.should_watch(now_ms)
