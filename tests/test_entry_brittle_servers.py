"""Falls of brittle servers, with many hosts in virtual time."""

from __future__ import annotations

from entry_builders import build_planner, build_request
import pytest

from corianderdoor.core.entry.flights import Hold, Refuse, Send
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.loads import PeerLoads
from corianderdoor.core.entry.server_room import (
    PLAIN_ANSWERS,
    RoomChange,
    RoomReport,
    SIGN_TTL_MS,
)
from corianderdoor.core.entry.servers import digest_id
from corianderdoor.entry.peer_codec import decode_heartbeat, encode_heartbeat
from corianderdoor.standins.brittle_fleet import BrittleFleet
from corianderdoor.standins.brittle_scenario import Scenario

READ = "/read/x"
LIMIT = 6
# Hosts and servers of the small and the large deployment.
SIZES = ((8, 5), (195, 24))


def announce(planner, id="p0", limit=LIMIT, now_ms=0):
    """Makes the planner get an answer in which a server is brittle.

    The server has five requests of another host then, one fewer than slots.
    """
    planner.loads.update_peer("gone", PeerLoads(10_000, {id: 5}, {}))
    planner.rooms.record_sent(id)
    change = planner.rooms.record_answer(id, limit, False, None, now_ms)
    planner.loads.remove("gone")
    return change


def reject(planner, id="p0", limit=LIMIT, load=None, now_ms=0):
    """Makes a server turn away a request of the planner's host."""
    planner.rooms.record_sent(id)
    return planner.rooms.record_answer(id, limit, True, load, now_ms)


def send_until_full(planner, now_ms=0):
    """Returns how many plain requests the planner sends, and what is next."""
    for number in range(1_000):
        flight = planner.admit(build_request(READ, f"r{number}", ()), now_ms)
        step = planner.choose(flight, now_ms)
        if not isinstance(step, Send):
            return number, step
        planner.record_sent(flight, step.server, now_ms)
    raise AssertionError("no end of sends")


# Guards against LIMIT: all hosts together had brittle servers turn away so
# much that they fell over again and again.
@pytest.mark.parametrize(("hosts", "servers"), SIZES)
def test_brittle_servers_fall_no_more_often_than_allowed(hosts, servers):
    result = BrittleFleet(Scenario(hosts, servers, LIMIT)).run()
    assert result.falls <= 2 + servers / 10


# Guards against LIMIT: room that was raised step by step ended in a fall of
# servers that bear no rejection.
@pytest.mark.parametrize("limit", [0, 1])
def test_servers_that_bear_hardly_a_rejection_stay_up(limit):
    scenario = Scenario(8, 5, limit, surge=3.0, slots=12, waiting=0)
    assert BrittleFleet(scenario).run().falls <= 2 + 5 / 10


def test_model_without_the_announcement_exceeds_the_bound():
    result = BrittleFleet(Scenario(8, 5, LIMIT, uses_signs=False)).run()
    assert result.falls > 2 + 5 / 10


def test_servers_that_are_not_brittle_get_the_same_requests():
    outcomes = [
        BrittleFleet(Scenario(8, 5, LIMIT, False, uses_signs)).run().outcomes
        for uses_signs in (False, True)
    ]
    assert outcomes[0] == outcomes[1]
    assert outcomes[0]["served"]


def test_rejection_without_the_announcement_changes_nothing():
    planner = build_planner(plain=1)
    before = planner.rooms.filter(planner.servers.usable("plain"), ["h1"], 0)
    assert reject(planner, limit=None, load=1) is None
    usable = planner.servers.usable("plain")
    assert planner.rooms.filter(usable, ["h1"], 0) == before == usable
    assert planner.rooms.take_reports(0) == []


@pytest.mark.parametrize("hosts", [1, 2, 7, 8, 66, 195])
@pytest.mark.parametrize("limit", [0, 1, 5, 100])
def test_sends_of_all_hosts_stay_within_room_and_limit(hosts, limit):
    total = 0
    for number in range(hosts):
        planner = build_planner(plain=1, name=f"h{number + 1}", hosts=hosts)
        announce(planner, limit=limit)
        total += send_until_full(planner)[0]
    # The server of the builder has six slots.
    assert 6 * (hosts > 1) <= total <= 6 + limit


# Guards against LIMIT: requests of a burst that were still connecting did not
# count, and the whole burst was sent.
def test_requests_that_are_about_to_be_sent_count():
    planner = build_planner(plain=1)
    announce(planner, limit=0)
    flights = [
        planner.admit(build_request(READ, f"r{number}", ()), 0)
        for number in range(20)
    ]
    steps = [planner.choose(flight, 0) for flight in flights]
    assert sum(isinstance(step, Send) for step in steps) == 6
    for flight in flights:
        planner.record_attempt_end(flight)
    assert send_until_full(planner)[0] == 6


def test_request_waits_for_room_and_is_refused_with_a_delay_at_last():
    planner = build_planner(plain=1)
    announce(planner, limit=0)
    assert isinstance(send_until_full(planner)[1], Hold)
    flight = planner.admit(build_request(READ, "late", ()), 0)
    step = planner.choose(flight, 900)
    assert isinstance(step, Refuse)
    assert (step.status, step.reason) == (503, "brittle-servers")
    assert step.retry_after_ms is not None


def test_host_without_a_part_of_the_room_refuses_at_once():
    steps = []
    for number in range(8):
        planner = build_planner(plain=1, name=f"h{number + 1}", hosts=8)
        announce(planner, limit=0)
        steps.append(send_until_full(planner))
    refused = [step for sent, step in steps if sent == 0]
    # Two of eight hosts have none of the six slots.
    assert len(refused) == 2
    assert all(isinstance(step, Refuse) for step in refused)


def test_other_servers_take_the_work_of_a_full_one():
    planner = build_planner(plain=2)
    announce(planner, "p0", limit=0)
    for number in range(40):
        flight = planner.admit(build_request(READ, f"r{number}", ()), 0)
        step = planner.choose(flight, 0)
        assert isinstance(step, Send)
        planner.record_sent(flight, step.server, 0)
    assert planner.loads.own["p0"] <= 6


# Guards against LIMIT: servers whose memory allows fewer requests than they
# have slots got a request for each slot.
def test_room_starts_at_what_the_server_has_and_grows_with_its_answers():
    planner = build_planner(plain=1)
    planner.rooms.record_sent("p0")
    planner.rooms.record_answer("p0", LIMIT, False, None, 0)
    assert planner.rooms.room_of("p0") == 1
    for _ in range(4):
        planner.loads.start("p0")
    for _ in range(40):
        planner.rooms.record_sent("p0")
        planner.rooms.record_answer("p0", LIMIT, False, None, 0)
    assert planner.rooms.room_of("p0") == 5


def test_memory_that_allows_fewer_requests_than_slots_ends_no_server():
    scenario = Scenario(8, 5, 2, slots=24, capacity=8)
    assert BrittleFleet(scenario).run().falls <= 2 + 5 / 10


def test_first_rejection_lowers_the_room_at_once():
    planner = build_planner(plain=1)
    announce(planner)
    assert reject(planner, load=4) is RoomChange.LOWERED
    assert planner.rooms.room_of("p0") == 4


def test_host_that_used_its_share_waits_for_a_second():
    planner = build_planner(plain=1, hosts=8)
    announce(planner)
    reject(planner, load=6)
    assert send_until_full(planner, 900)[0] == 0
    fresh = build_planner(plain=1, hosts=8)
    announce(fresh)
    assert send_until_full(planner, 1_200)[0] == send_until_full(fresh)[0] > 0


def test_request_without_a_sign_of_the_server_counts_as_rejected():
    planner = build_planner(plain=1, hosts=8)
    announce(planner)
    planner.rooms.record_sent("p0")
    planner.rooms.record_no_answer("p0", 0)
    assert send_until_full(planner, 900)[0] == 0


def test_peers_hear_of_a_brittle_server_and_lower_its_room():
    planner, peer = build_planner(plain=1), build_planner(plain=1, name="h2")
    announce(planner)
    reject(planner, load=3)
    heartbeat = Heartbeat(
        *("h1", 1, 1, 0, False, ()),
        rooms=tuple(planner.rooms.take_reports(0)),
    )
    decoded = decode_heartbeat(encode_heartbeat(heartbeat))
    assert decoded == heartbeat
    assert decoded.rooms == (RoomReport(digest_id("p0"), LIMIT, 1, 3),)
    assert peer.rooms.merge_reports("h1", decoded.rooms, 0) == ["p0"]
    assert (peer.rooms.limit_of("p0"), peer.rooms.room_of("p0")) == (LIMIT, 3)


def test_report_of_an_unknown_server_is_ignored():
    planner = build_planner(plain=1)
    report = RoomReport(1, LIMIT, 1, 3)
    assert planner.rooms.merge_reports("h2", (report,), 0) == []
    assert planner.rooms.count() == 0


def test_server_is_sound_after_answers_without_the_announcement():
    planner = build_planner(plain=1)
    assert announce(planner) is RoomChange.BRITTLE
    changes = [announce(planner, limit=None) for _ in range(PLAIN_ANSWERS)]
    assert changes == [None, RoomChange.SOUND]
    assert planner.rooms.limit_of("p0") is None


def test_brittle_server_without_a_sign_is_forgotten():
    planner = build_planner(plain=1)
    announce(planner)
    planner.tick(SIGN_TTL_MS - 1)
    assert planner.rooms.count() == 1
    planner.tick(SIGN_TTL_MS)
    assert planner.rooms.count() == 0
