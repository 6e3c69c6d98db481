"""Tests of an entry host's decisions about single requests."""

from __future__ import annotations

from entry_builders import (
    build_desired,
    build_planner,
    build_request,
    build_route,
    build_server,
)
from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from corianderdoor.core.entry.flights import (
    Again,
    Deliver,
    Ending,
    Flight,
    Hold,
    Refuse,
    Send,
)
from corianderdoor.core.entry.planner import Planner

NOT_RUN_STATUSES = {408, 421, 429, 503}


def admit(planner: Planner, req, now_ms=0) -> Flight:
    """Admits `req` and returns its in-flight request."""
    flight = planner.admit(req, now_ms)
    assert isinstance(flight, Flight)
    return flight


def send(planner: Planner, flight: Flight, now_ms=0) -> Send:
    """Sends the request to the server that the planner chooses."""
    step = planner.choose(flight, now_ms)
    assert isinstance(step, Send)
    planner.record_sent(flight, step.server, now_ms)
    return step


def test_host_without_desired_state_refuses_with_503():
    planner = build_planner()
    planner.selection.desired = None
    refusal = planner.admit(build_request(), 0)
    assert isinstance(refusal, Refuse)
    assert refusal.status == 503
    assert refusal.retry_after_ms


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/none/x", "key-1", 404),
        ("/chat", "key-1", 404),
        ("/chat/x", "gone", 401),
        ("/chat/x", None, 401),
    ],
)
def test_request_without_route_or_known_key_is_refused_for_good(
    path, key, status
):
    refusal = build_planner().admit(build_request(path, key=key), 0)
    assert isinstance(refusal, Refuse)
    assert refusal.status == status


def test_public_route_needs_no_key():
    planner = build_planner()
    routes = (build_route("/open/", public=True),)
    planner.set_desired(build_desired(2, routes))
    flight = admit(planner, build_request("/open/x", key=None))
    assert flight.workspace is None


def test_older_desired_state_is_ignored():
    planner = build_planner()
    assert planner.set_desired(build_desired(7))
    assert not planner.set_desired(build_desired(6))
    assert planner.desired is not None
    assert planner.desired.version == 7


@pytest.mark.parametrize("path", ["/pay/x", "/once/x"])
@pytest.mark.parametrize(
    "ending", [Ending.BROKEN, Ending.SILENT, Ending.INVALID_ANSWER]
)
def test_non_retryable_request_is_sent_once(path, ending):
    planner = build_planner()
    flight = admit(planner, build_request(path, parts=()))
    step = send(planner, flight)
    follow = planner.handle_failure(flight, step.server, ending, 10)
    assert isinstance(follow, Refuse)
    assert follow.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("ending", [Ending.NOT_RUN, Ending.WRONG_SERVER])
def test_declined_request_goes_to_another_server(ending):
    planner = build_planner()
    flight = admit(planner, build_request("/pay/x", parts=()))
    step = send(planner, flight)
    assert isinstance(
        planner.handle_failure(flight, step.server, ending, 5), Again
    )
    assert send(planner, flight, 5).server.id != step.server.id


@pytest.mark.parametrize("ending", [Ending.UNREACHED, Ending.WRONG_SERVER])
def test_missing_server_is_avoided_by_the_next_request(ending):
    """A server that restarts under another id leaves its old entry behind."""
    planner = build_planner()
    flight = admit(planner, build_request("/pay/x", parts=()))
    step = send(planner, flight)
    planner.handle_failure(flight, step.server, ending, 5)
    other = admit(planner, build_request("/pay/x", "r2", ()))
    assert send(planner, other, 6).server.id != step.server.id


def test_unreachable_server_costs_no_retry():
    planner = build_planner()
    planner._retries._budget._slack = 0
    flight = admit(planner, build_request("/pay/x", parts=()))
    step = planner.choose(flight, 0)
    assert isinstance(step, Send)
    follow = planner.handle_failure(flight, step.server, Ending.UNREACHED, 5)
    assert isinstance(follow, Again)
    retry = planner.choose(flight, 5)
    assert isinstance(retry, Send)
    assert retry.server.id != step.server.id


def test_error_of_the_last_server_is_forwarded():
    planner = build_planner()
    flight = admit(planner, build_request("/read/x", parts=()))
    for _ in range(2):
        step = send(planner, flight)
        follow = planner.handle_failure(
            flight, step.server, Ending.SERVER_ERROR, 9
        )
    assert isinstance(follow, Deliver)


def test_broken_stream_is_resumed_at_another_server():
    planner = build_planner()
    flight = admit(planner, build_request())
    step = send(planner, flight)
    flight.answer_started = True
    flight.last_event_id = 9
    follow = planner.handle_failure(flight, step.server, Ending.BROKEN, 40)
    assert isinstance(follow, Again)
    assert send(planner, flight, 40).server.id != step.server.id


def test_retries_stay_within_the_share_of_this_host():
    planner = build_planner(hosts=8)
    retries = 0
    for number in range(200):
        flight = admit(planner, build_request("/read/x", f"r{number}", ()))
        step = send(planner, flight)
        ending = Ending.NOT_RUN
        follow = planner.handle_failure(flight, step.server, ending, number)
        retries += isinstance(follow, Again)
    assert retries <= 0.2 * 200 + 56 / 8


def test_request_with_no_time_left_is_not_sent():
    planner = build_planner()
    flight = admit(planner, build_request(deadline_ms=100.0))
    refusal = planner.choose(flight, 95)
    assert isinstance(refusal, Refuse)
    assert refusal.status == 503


def test_evacuated_data_centre_gets_nothing():
    planner = build_planner(servers=2)
    planner.servers.put(build_server("far", data_centre="b"), 0)
    planner.servers.set_evacuated(frozenset({"a"}))
    for number in range(20):
        parts = (("t", 10), (f"s{number}", 10), ("own", 10))
        flight = admit(planner, build_request(id=f"r{number}", parts=parts))
        assert send(planner, flight).server.id == "far"


def test_request_without_a_server_is_refused_with_a_retry_time():
    planner = build_planner(servers=0)
    refusal = planner.choose(admit(planner, build_request()), 0)
    assert isinstance(refusal, Refuse)
    assert refusal.status == 503
    assert 0 < (refusal.retry_after_ms or 0) <= 2_000


def test_cold_server_gets_at_most_its_request_rate():
    planner = build_planner(servers=0)
    planner.servers.put(build_server("cold", cold_ms=5_000), 0)
    sent = 0
    for number in range(60):
        flight = admit(planner, build_request(id=f"r{number}"))
        step = planner.choose(flight, 0)
        if isinstance(step, Send):
            planner.record_sent(flight, step.server, 0)
            sent += 1
        else:
            assert isinstance(step, (Hold, Refuse))
    assert 0 < sent <= 9 * 1.5 + 5


ENDINGS = st.sampled_from(list(Ending))


@settings(max_examples=300, deadline=None)
@given(
    st.sampled_from(["/chat/x", "/once/x", "/pay/x", "/read/x"]),
    st.lists(ENDINGS, max_size=8),
    st.integers(0, 900),
)
def test_refusal_with_a_not_run_status_means_not_run(path, endings, step_ms):
    """Not-run statuses are true, and non-retryable requests run once."""
    planner = build_planner()
    flight = admit(planner, build_request(path))
    may_have_run = 0
    now_ms = 0
    for ending in endings:
        step = planner.choose(flight, now_ms)
        if not isinstance(step, Send):
            if isinstance(step, Refuse) and step.status in NOT_RUN_STATUSES:
                assert may_have_run == 0
            return
        if ending not in (Ending.UNREACHED, Ending.WITHDRAWN):
            planner.record_sent(flight, step.server, now_ms)
            certainly_not_run = (Ending.NOT_RUN, Ending.WRONG_SERVER)
            may_have_run += ending not in certainly_not_run
        limit = 1 if path in ("/once/x", "/pay/x") else 2
        assert may_have_run <= limit
        now_ms += step_ms
        follow = planner.handle_failure(flight, step.server, ending, now_ms)
        if isinstance(follow, Refuse):
            assert not (follow.status in NOT_RUN_STATUSES and may_have_run)
            return
        if isinstance(follow, Deliver):
            return
