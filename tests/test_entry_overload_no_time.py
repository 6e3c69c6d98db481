"""Load pattern: queues longer than the time that new requests have left."""

from __future__ import annotations

from entry_builders import (
    build_desired,
    build_planner,
    build_request,
    build_route,
    build_server,
)

from corianderdoor.core.entry.flights import Again, Ending, Refuse, Send
from corianderdoor.core.entry.loads import PeerLoads
from corianderdoor.entry import overload_log

SERVERS = 3
# Tokens that take 9 s at the rate that refusals assume until one is learnt.
LONG_QUEUE = 540_000
AGE_MS = 60_000


def decide(planner, now_ms=AGE_MS, **changes):
    flight = planner.admit(build_request(**changes), now_ms)
    return planner.choose(flight, now_ms)


def busy(queue=LONG_QUEUE, taken=100, ids=("s0", "s1", "s2")):
    """Returns a planner before servers that a peer has just reported."""
    planner = build_planner(SERVERS)
    # With such long targets, only the deadline of the caller counts.
    route = build_route(timeout_ms=6e9, target_latency_ms=6e9)
    planner.set_desired(build_desired(2, (route,)))
    unread = dict.fromkeys(ids, queue)
    report = PeerLoads(AGE_MS + 2_500, dict.fromkeys(ids, taken), unread)
    planner.loads.update_peer("h2", report, AGE_MS)
    return planner


def test_request_without_time_is_told_when_the_queue_is_worked_off():
    # Guards against requests that wait for their deadline in vain.
    step = decide(busy())
    assert isinstance(step, Refuse)
    assert (step.status, step.reason) == (503, "no-time")
    assert 9_000 <= step.retry_after_ms <= 9_000 * 1.25
    assert step.forecast.queued == LONG_QUEUE
    assert step.forecast.first_event_ms == (LONG_QUEUE + 9_000) // 60
    assert step.forecast.report_age_ms == 0


def test_forecast_has_to_be_clearly_past_the_deadline():
    # Guards against refusals of requests that could be served.
    limit = int(1.3 * 6_000 * 60) - 9_000
    assert isinstance(decide(busy(limit - 60)), Send)
    assert isinstance(decide(busy(limit + 60)), Refuse)


def test_learnt_rate_counts_for_the_forecast():
    # Guards against forecasts for servers twice as slow.
    planner = busy()
    for _ in range(20):
        args = ("llm", 9_000, 9_000, 0)
        planner.selection.rates.record(*args, 100, AGE_MS)
    assert isinstance(decide(planner), Send)


def test_one_server_that_can_answer_in_time_is_enough():
    # Guards against refusals that look at the usual server only.
    step = decide(busy(ids=("s0", "s2")))
    assert step.server.id == "s1"


def test_nothing_is_refused_before_half_of_the_slots_are_taken():
    # Guards against refusals while the servers have room.
    planner = busy(taken=63)
    assert isinstance(decide(planner), Send)
    planner.selection.waiting.record("s1", 2, AGE_MS)
    assert isinstance(decide(planner), Refuse)
    assert isinstance(decide(planner, AGE_MS + 1_001), Send)


def test_queue_shrinks_while_no_report_arrives():
    # Guards against refusals for a queue that is worked off by now.
    queue = int(1.3 * 6_000 * 60) - 9_000 + 10_000
    planner = busy(queue)
    assert isinstance(decide(planner), Refuse)
    assert isinstance(decide(planner, AGE_MS + 1_000), Send)


def test_expired_report_refuses_nothing():
    # Guards against refusals for what a lost peer once said.
    planner = busy()
    assert isinstance(decide(planner, AGE_MS + 2_500), Send)


def test_host_that_has_just_started_refuses_nothing():
    # Guards against refusals by a host that knows only its own requests.
    planner = build_planner(1)
    for number in range(64):
        parts = ((f"c{number}", LONG_QUEUE), ("own", 1))
        req = build_request(id=f"r{number}", parts=parts, deadline_ms=9e9)
        flight = planner.admit(req, 0)
        planner.record_sent(flight, planner.choose(flight, 0).server, 0)
    assert isinstance(decide(planner, 900), Send)
    assert isinstance(decide(planner, 1_000), Refuse)


def test_only_arriving_requests_that_never_ran_are_refused():
    # Guards against refusing work that is done in part.
    planner = busy(queue=0)
    flight = planner.admit(build_request(), AGE_MS)
    sent = planner.choose(flight, AGE_MS)
    planner.record_sent(flight, sent.server, AGE_MS)
    ids = ("s0", "s1", "s2")
    report = PeerLoads(
        AGE_MS + 900, dict.fromkeys(ids, 99), dict.fromkeys(ids, LONG_QUEUE)
    )
    planner.loads.update_peer("h2", report, AGE_MS)
    step = planner.handle_failure(
        flight, sent.server, Ending.NOT_RUN, AGE_MS + 5
    )
    assert isinstance(step, Again)
    assert isinstance(planner.choose(flight, AGE_MS + 5), Send)
    held = planner.admit(build_request(), AGE_MS)
    assert isinstance(planner.choose(held, AGE_MS + 20), Send)
    resumed = planner.admit(build_request(last_event_id=4), AGE_MS)
    assert isinstance(planner.choose(resumed, AGE_MS), Send)


def test_draining_and_ejected_servers_make_no_request_wait():
    # Guards against a forecast from servers that get no requests.
    planner = busy(ids=("s0", "s1"))
    planner.servers.put(build_server("s2", available=False), AGE_MS)
    assert isinstance(decide(planner), Refuse)


def test_forecast_errors_are_counted():
    # Guards against forecasts whose error no operator sees.
    planner = build_planner(1)
    for number, took_ms in enumerate((20, 300, 2_000)):
        parts = ((f"c{number}", 9_000), ("own", 1))
        flight = planner.admit(build_request(parts=parts), 0)
        planner.record_sent(flight, planner.choose(flight, 0).server, 0)
        planner.record_answer_begun(flight, took_ms)
        planner.record_complete_answer(flight)
    found = dict(planner.counters.read("first_event_forecasts"))
    names = ("early", "close", "late")
    assert found == {(("error", name),): 1 for name in names}


def test_forecast_behind_a_refusal_is_logged(monkeypatch):
    # Guards against refusals whose reason no operator sees.
    lines = []
    monkeypatch.setattr(
        overload_log, "log_event", lambda name, **keys: lines.append(keys)
    )
    planner = busy()
    flight = planner.admit(build_request(), AGE_MS)
    overload_log.log_forecast(flight, planner.choose(flight, AGE_MS))
    overload_log.log_forecast(flight, Refuse(503, "no-server"))
    (keys,) = lines
    wanted = {
        "forecast_ms": 9_150,
        "queued": LONG_QUEUE,
        "rate": 60.0,
        "report_age_ms": 0,
        "workspace": "acme",
        "priority": 1,
    }
    assert keys.items() >= wanted.items()
