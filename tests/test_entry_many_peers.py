"""Load pattern: hundreds of entry hosts in front of the same servers.

With 195 hosts, each lookup of a server's load added up the reports of all
peers, so that one decision took 4 ms of processor time.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from corianderdoor.core.entry.loads import Loads, PeerLoads

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
