"""Tests of ejection: one server of a busy service fails part of its requests.

Without ejection it would keep its share of the requests and fail them.
"""

from __future__ import annotations

import random

from entry_builders import build_planner, build_request

from corianderdoor.core.entry.flights import Ending, Send
from corianderdoor.core.entry.server_ejection import (
    FIRST_EJECTION_MS,
    MAX_EJECTION_MS,
    PEER_EJECTION_TTL_MS,
    ServerEjections,
)


def test_two_failures_in_a_row_eject_a_server_and_answers_clear_it():
    ejections = ServerEjections()
    assert not ejections.record_failure("s1", 0)
    assert ejections.record_failure("s1", 10)
    assert ejections.is_ejected("s1", 10 + FIRST_EJECTION_MS - 1)
    assert not ejections.is_ejected("s1", 10 + FIRST_EJECTION_MS)
    for _ in range(20):
        ejections.record_success("s1")
    assert not ejections.record_failure("s1", 5_000)


def test_rare_failures_eject_no_server():
    ejections = ServerEjections()
    for number in range(200):
        if number % 10 == 0:
            assert not ejections.record_failure("s1", number)
        else:
            ejections.record_success("s1")


def test_ejection_time_doubles_up_to_a_limit():
    ejections = ServerEjections()
    now_ms, durations = 0, []
    for _ in range(6):
        ejections.record_unreachable("s1", now_ms)
        start_ms = now_ms
        while ejections.is_ejected("s1", now_ms):
            now_ms += 100
        durations.append(now_ms - start_ms)
    assert durations == sorted(durations)
    assert durations[-1] == MAX_EJECTION_MS


def test_two_peers_that_agree_eject_a_server_here():
    ejections = ServerEjections()
    ejections.update_peer("h1", frozenset({"s1"}), 0)
    assert not ejections.is_ejected("s1", 10)
    ejections.update_peer("h2", frozenset({"s1", "s2"}), 0)
    assert ejections.is_ejected("s1", 10)
    assert not ejections.is_ejected("s2", 10)
    assert not ejections.is_ejected("s1", PEER_EJECTION_TTL_MS)
    assert ejections.own_ejected(10) == []


def test_peer_that_withdraws_its_ejection_counts_no_longer():
    ejections = ServerEjections()
    for peer in ("h1", "h2"):
        ejections.update_peer(peer, frozenset({"s1"}), 0)
    ejections.update_peer("h1", frozenset(), 50)
    assert not ejections.is_ejected("s1", 60)


def test_fleet_sends_few_requests_to_a_server_that_fails_all():
    """Without reports of peers, each of 66 hosts has to find out by itself."""
    rng = random.Random(4)
    planners = [build_planner(name=f"h{number}") for number in range(66)]
    failed = 0
    for number in range(700):
        now_ms = number * 5
        planner = rng.choice(planners)
        parts = (("t", 9), (f"c{rng.randrange(40)}", 9), ("o", 9))
        req = build_request("/once/x", f"r{number}", parts)
        flight = planner.admit(req, now_ms)
        step = planner.choose(flight, now_ms)
        assert isinstance(step, Send)
        planner.record_sent(flight, step.server, now_ms)
        if step.server.id == "s0":
            failed += 1
            planner.handle_failure(flight, step.server, Ending.BROKEN, now_ms)
        else:
            planner.record_complete_answer(flight)
        if number % 20 == 0:
            for one in planners:
                # As a host's tick does with contact to the store.
                one.restarts.update_contact(now_ms, now_ms)
                ejected = frozenset(one.ejections.own_ejected(now_ms))
                for other in planners:
                    if other is not one:
                        other.ejections.update_peer(
                            str(id(one)), ejected, now_ms
                        )
    # Without ejection a fifth of all goes there; at most half of it may.
    assert failed <= 700 / 5 / 2
