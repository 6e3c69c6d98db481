"""Hosts whose time of day jumps, and that then start again."""

from __future__ import annotations

from corianderdoor.core.entry.peers import Heartbeat, Peers

CALLERS = ("10.0.0.2", 80)
PEERS_AT = ("10.0.0.2", 81)
RESTART_MS = 3_000


def beat(boot: int, revision: int = 1) -> Heartbeat:
    return Heartbeat("b", boot, revision, 0, False, (), live_peers=1)


def listed_peers() -> Peers:
    peers = Peers("a")
    peers.add_listed("b", CALLERS, PEERS_AT, "x", 0)
    return peers


def test_host_that_starts_with_an_earlier_time_is_heard_again() -> None:
    peers = listed_peers()
    peers.record_heartbeat(beat(60_000), 0)
    heard = peers.record_heartbeat(beat(1_000), RESTART_MS)
    assert heard is not None and heard.heartbeats == 1
    named = peers.in_service(RESTART_MS, True)
    assert [peer.name for peer in named] == ["b"]


def test_late_beat_of_the_former_start_is_passed_over() -> None:
    peers = listed_peers()
    peers.record_heartbeat(beat(60_000, revision=9), 0)
    assert peers.record_heartbeat(beat(1_000, revision=1), 100) is None
    assert peers.all()[0].last_heartbeat is not None
    assert peers.all()[0].last_heartbeat.revision == 9
