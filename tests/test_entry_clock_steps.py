"""Hosts that restart after their wall clock has been set back.

The number of a start comes from the wall clock, so the new start has a lower
number than the last one.
"""

from __future__ import annotations

from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import Peers

CALLERS = ("10.0.0.2", 80)
PEERS_AT = ("10.0.0.2", 81)
RESTART_MS = 3_000


def build_heartbeat(boot: int, revision: int = 1) -> Heartbeat:
    return Heartbeat("b", boot, revision, 0, False, (), live_peers=1)


def build_listed_peers() -> Peers:
    peers = Peers("a")
    peers.add_listed("b", CALLERS, PEERS_AT, "x", 0)
    return peers


def test_host_that_restarts_with_an_earlier_time_is_accepted() -> None:
    peers = build_listed_peers()
    peers.record_heartbeat(build_heartbeat(60_000), 0)
    sender = peers.record_heartbeat(build_heartbeat(1_000), RESTART_MS)
    assert sender is not None and sender.heartbeats == 1
    in_service = peers.in_service(RESTART_MS, True)
    assert [peer.name for peer in in_service] == ["b"]


def test_late_heartbeat_of_the_previous_start_is_dropped() -> None:
    peers = build_listed_peers()
    peers.record_heartbeat(build_heartbeat(60_000, revision=9), 0)
    assert (
        peers.record_heartbeat(build_heartbeat(1_000, revision=1), 100) is None
    )
    assert peers.all()[0].last_heartbeat is not None
    assert peers.all()[0].last_heartbeat.revision == 9
