"""Load pattern: one request that crashes each server that runs it."""

from __future__ import annotations

from entry_builders import build_planner, build_request

from corianderdoor.core.entry.crashing_requests import (
    CONFIRM_MS,
    CRASH_TTL_MS,
    CrashingRequests,
    MAX_REQUESTS,
)
from corianderdoor.core.entry.flights import Ending, Refuse, Send


def request(number: int, body: bytes = b"lethal"):
    """Returns a request with a body of its own."""
    req = build_request("/once/x", f"r{number}")
    req.body = body
    return req


def share(planners, now_ms: int) -> None:
    """Tells each planner which requests broke servers."""
    for planner in planners:
        for mark, server_id in planner.crashing_requests.take_updates():
            for other in planners:
                other.crashing_requests.add_crash(mark, server_id, now_ms)


def test_request_that_breaks_three_servers_is_refused_at_every_host():
    planners = [build_planner(servers=8, name=f"h{n}") for n in range(4)]
    broken = set()
    for number in range(12):
        planner = planners[number % 4]
        now_ms = number * 1_000
        flight = planner.admit(request(number), now_ms)
        step = planner.choose(flight, now_ms)
        if isinstance(step, Refuse):
            assert (step.status, step.reason) == (503, "breaks-servers")
            continue
        planner.record_sent(flight, step.server, now_ms)
        planner.handle_failure(flight, step.server, Ending.BROKEN, now_ms)
        broken.add(step.server.id)
        # The server is back under another id, and the chat goes elsewhere.
        planner.crashing_requests.confirm_crash(step.server.id, now_ms)
        for one in planners:
            one.servers.remove(step.server.id, now_ms)
        share(planners, now_ms)
    assert len(broken) == 3


def test_servers_that_break_different_requests_accuse_none():
    planner = build_planner(servers=8)
    for number in range(6):
        flight = planner.admit(request(number, b"%d" % number), 0)
        step = planner.choose(flight, number)
        assert isinstance(step, Send)
        planner.record_sent(flight, step.server, number)
        planner.handle_failure(flight, step.server, Ending.BROKEN, number)
        planner.crashing_requests.confirm_crash(step.server.id, number)


def test_popular_request_whose_answers_get_lost_is_not_refused():
    planner = build_planner(servers=8)
    for number in range(40):
        flight = planner.admit(request(number), number * 700)
        step = planner.choose(flight, number * 700)
        assert isinstance(step, Send)
        planner.record_sent(flight, step.server, number * 700)
        planner.handle_failure(
            flight, step.server, Ending.BROKEN, number * 700
        )


def test_server_that_goes_down_much_later_does_not_count():
    lethal = CrashingRequests()
    for number in range(4):
        lethal.record_broken_connection(request(1), f"s{number}", 0)
        lethal.confirm_crash(f"s{number}", CONFIRM_MS)
    assert not lethal.should_refuse(request(1), CONFIRM_MS)


def test_whole_answer_and_time_clear_a_request():
    lethal = CrashingRequests()
    req = request(1)
    for number in range(3):
        lethal.record_broken_connection(req, f"s{number}", 0)
        lethal.confirm_crash(f"s{number}", 0)
    assert lethal.should_refuse(req, 10)
    assert not lethal.should_refuse(req, CRASH_TTL_MS)
    lethal.record_complete_answer(req)
    assert not lethal.should_refuse(req, 10)


def test_one_server_that_breaks_it_often_is_one():
    lethal = CrashingRequests()
    for number in range(9):
        lethal.record_broken_connection(request(1), "s1", number)
        lethal.confirm_crash("s1", number)
    assert not lethal.should_refuse(request(1), 10)


def test_memory_of_breaks_is_bounded():
    lethal = CrashingRequests()
    for number in range(MAX_REQUESTS + 50):
        lethal.record_broken_connection(
            request(1, b"%d" % number), "s1", number
        )
        lethal.confirm_crash("s1", number)
    assert len(lethal._crashes) == MAX_REQUESTS


def test_host_keeps_to_its_share_of_connections():
    """A server takes 110 connections from ten hosts."""
    planner = build_planner(plain=1, hosts=10)
    held = 0
    for number in range(30):
        flight = planner.admit(build_request("/pay/x", f"r{number}", ()), 0)
        step = planner.choose(flight, 0)
        if isinstance(step, Send):
            planner.record_sent(flight, step.server, 0)
        else:
            held += 1
    assert planner.loads.own["p0"] == 11
    assert held == 19
    late = planner.choose(flight, 900)
    assert isinstance(late, Refuse)
    assert (late.status, late.reason) == (503, "servers-full")
