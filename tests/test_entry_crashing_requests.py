"""Tests of a request that crashes each server that runs it.

Unless it is refused, each repetition of the request crashes another server.
"""

from __future__ import annotations

from entry_builders import build_planner, build_request, build_route
import pytest

from corianderdoor.core.entry.admission import MAX_RETRY_SHARE
from corianderdoor.core.entry.crash_evidence import (
    MAX_ATTEMPTS,
    MAX_ATTEMPTS_PER_CRASH,
    MAX_CRASHES,
)
from corianderdoor.core.entry.crash_verdicts import KEEP_MS
from corianderdoor.core.entry.crashing_requests import (
    CONFIRM_MS,
    CrashingRequests,
)
from corianderdoor.core.entry.flights import Ending, Flight, Refuse, Send
from corianderdoor.core.entry.request_blame import FIRST_VERDICT_MS

PARTS = (("t", 2_500), ("s", 6_000), ("own", 500))


def request(number: int, body: bytes = b"crashing", parts=PARTS):
    """Returns a request with the given body."""
    req = build_request("/once/x", f"r{number}", parts)
    req.body = body
    return req


def share_crashes(planners, now_ms: int) -> None:
    """Reports the crashes that each planner saw to all planners."""
    for planner in planners:
        reports = planner.crashing_requests.take_updates(now_ms)
        for other in planners:
            other.crashing_requests.merge(reports, now_ms)


def test_request_that_crashes_three_servers_is_refused_at_every_host():
    planners = [build_planner(servers=8, name=f"h{n}") for n in range(4)]
    crashed = set()
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
        crashed.add(step.server.id)
        # The server restarts under another id; the chat goes elsewhere.
        planner.crashing_requests.confirm_crash(step.server.id, now_ms)
        for one in planners:
            one.servers.remove(step.server.id, now_ms)
        share_crashes(planners, now_ms)
    assert len(crashed) == 3


# Guards against callers that are told to come back at once for nothing.
def test_refused_request_is_told_to_stay_away_for_long():
    planner = build_planner(servers=8)
    for number in range(3):
        planner.crashing_requests.record_broken_connection(
            request(number), f"s{number}", number
        )
        planner.crashing_requests.confirm_crash(f"s{number}", number)
    flight = planner.admit(request(9), 100)
    refusal = planner.choose(flight, 100)
    assert isinstance(refusal, Refuse)
    # Callers wait a third of their time at most.
    assert refusal.retry_after_ms == int(MAX_RETRY_SHARE * 6_000)


# Guards against a retry that is sent before the third crash is known.
def test_request_is_not_retried_while_its_third_crash_is_uncertain():
    planner = build_planner(servers=8)
    for number in range(2):
        planner.crashing_requests.record_broken_connection(
            request(number), f"s{number}", number
        )
        planner.crashing_requests.confirm_crash(f"s{number}", number)
    flight = planner.admit(build_request("/chat/x", "r9"), 100)
    alike = request(9)
    flight.req.path, flight.req.body = alike.path, alike.body
    step = planner.choose(flight, 100)
    assert isinstance(step, Send)
    planner.record_sent(flight, step.server, 100)
    planner.handle_failure(flight, step.server, Ending.BROKEN, 110)
    assert isinstance(planner.choose(flight, 110), Refuse)
    # Another host's copy may go on: a broken connection is no crash.
    other = planner.admit(request(10), 120)
    assert isinstance(planner.choose(other, 120), Send)


def test_crashes_under_different_requests_refuse_none():
    planner = build_planner(servers=8)
    for number in range(6):
        flight = planner.admit(request(number, b"%d" % number), 0)
        step = planner.choose(flight, number)
        assert isinstance(step, Send)
        planner.record_sent(flight, step.server, number)
        planner.handle_failure(flight, step.server, Ending.BROKEN, number)
        planner.crashing_requests.confirm_crash(step.server.id, number)


def test_popular_request_whose_connections_break_is_not_refused():
    planner = build_planner(servers=8)
    for number in range(40):
        flight = planner.admit(request(number), number * 700)
        step = planner.choose(flight, number * 700)
        assert isinstance(step, Send)
        planner.record_sent(flight, step.server, number * 700)
        planner.handle_failure(
            flight, step.server, Ending.BROKEN, number * 700
        )


def test_server_that_crashes_much_later_does_not_count():
    crashing = CrashingRequests()
    for number in range(4):
        crashing.record_broken_connection(request(1), f"s{number}", 0)
        crashing.confirm_crash(f"s{number}", CONFIRM_MS)
    assert not crashing.should_refuse(request(1))


def test_complete_answer_clears_a_request():
    crashing = CrashingRequests()
    req = request(1)
    for number in range(3):
        crashing.record_broken_connection(req, f"s{number}", 0)
        crashing.confirm_crash(f"s{number}", 0)
    assert crashing.should_refuse(req)
    crashing.record_complete_answer(req)
    assert not crashing.should_refuse(req)


class Fleet:
    """Hosts that share all reports at once, and a request that comes again.

    Each run of the request crashes its server, which is back in time.
    """

    def __init__(self, hosts=8):
        self.names = [f"h{number}" for number in range(hosts)]
        self.hosts = {name: CrashingRequests(name) for name in self.names}
        self.runs = []
        self.refused = []

    def send(self, number, server, now_ms, begun_beside=(), body=b"crashing"):
        """Sends the request once, beside others whose answers have begun."""
        name = self.names[number % len(self.names)]
        host = self.hosts[name]
        flight = build_flight(request(number, body, ()))
        if host.find_refusal(flight, self.names, now_ms):
            self.refused.append(now_ms)
            return
        self.runs.append(now_ms)
        for other in begun_beside:
            host.record_broken_connection(other, server, now_ms, begun=True)
        host.record_interruption(flight, server, now_ms)
        host.confirm_crash(server, now_ms)
        self.share(now_ms)

    def share(self, now_ms):
        """Has every host receive what each has to report."""
        for host in list(self.hosts.values()):
            attempts = host.take_updates(now_ms)
            suspects = host.take_reports(self.names, now_ms)
            for other in self.hosts.values():
                if other is not host:
                    other.merge(attempts, now_ms)
                    for report in suspects:
                        other.verdicts.merge(report, now_ms)

    def tick(self, now_ms):
        """Lets time pass at all hosts."""
        for host in self.hosts.values():
            host.tick(frozenset(), now_ms)


def build_flight(req):
    """Returns a request on a route whose answers are streams."""
    return Flight(req, build_route("/once/"), "llm", None, 0, 6_000)


# Guards against a request that goes on crashing the same servers: only
# different servers counted, and each came back under its id.
@pytest.mark.parametrize("servers", [1, 2, 3])
def test_request_that_crashes_the_same_servers_again_is_refused(servers):
    fleet = Fleet()
    for number in range(40):
        fleet.send(number, f"s{number % servers}", 3_000 * number)
    assert len(fleet.runs) == 3 + 1  # a trial after a minute


# Guards against a request that crashes servers before any byte of its
# answer: each crash was blamed on the streams that had begun there.
def test_request_that_crashes_servers_beside_begun_streams_is_refused():
    fleet = Fleet()
    for number in range(30):
        streams = [
            request(1_000 + number, b"%d-%d" % (number, stream), ())
            for stream in range(3)
        ]
        fleet.send(number, f"s{number}", 1_600 * number, streams)
        for stream in streams:
            assert not fleet.hosts["h0"].should_refuse(stream)
    assert len(fleet.runs) == 3


# Guards against a verdict that is forgotten, so that the request crashes
# servers anew each minute.
@pytest.mark.parametrize("every_ms", [10_000, 61_000, 300_000])
def test_request_that_comes_for_an_hour_gets_three_trials_at_most(every_ms):
    fleet = Fleet()
    for now_ms in range(0, 3_600_000, every_ms):
        fleet.tick(now_ms)
        fleet.send(now_ms // every_ms, f"s{now_ms}", now_ms)
    assert len(fleet.runs) <= 3 + 3


# Guards against sound requests that are refused for crashes beside them.
def test_popular_request_beside_a_crashing_one_is_never_refused():
    fleet = Fleet()
    popular = b"popular"
    for number in range(60):
        now_ms = 1_000 * number
        for host in fleet.hosts.values():
            flight = build_flight(request(number, popular, ()))
            assert not host.find_refusal(flight, fleet.names, now_ms)
            host.record_complete_answer(flight.req)
            host.record_sound_answer(flight, now_ms)
        beside = [request(1_000 + number, popular, ())]
        fleet.send(number, f"s{number}", now_ms + 500, beside)
    assert len(fleet.runs) == 3


# Guards against peers that go on refusing a request which is well elsewhere.
def test_answer_at_one_host_ends_the_refusal_at_all():
    fleet = Fleet()
    for number in range(3):
        fleet.send(number, f"s{number}", 1_000 * number)
    assert all(
        h.should_refuse(request(9, parts=())) for h in fleet.hosts.values()
    )
    # A run that was in progress goes on.
    fleet.hosts["h3"].record_sound_answer(
        build_flight(request(9, parts=())), 5_000
    )
    fleet.share(6_100)
    assert not any(
        h.should_refuse(request(9, parts=())) for h in fleet.hosts.values()
    )


# Guards against a refusal that peers restore after a server has answered the
# request, with an error of the caller's.
def test_answer_with_any_status_below_500_ends_the_refusal():
    fleet = Fleet()
    for number in range(3):
        fleet.send(number, f"s{number}", 1_000 * number)
    host = fleet.hosts["h3"]
    host.record_complete_answer(request(9, parts=()), 2_500)
    for now_ms in (3_500, 4_600):
        fleet.share(now_ms)
    assert not host.should_refuse(request(9, parts=()))


# Guards against verdicts that hosts tell each other for ever, as one drops
# them a moment before another does.
def test_verdict_that_has_ended_is_not_taken_from_a_peer():
    fleet = Fleet()
    for number in range(3):
        fleet.send(number, f"s{number}", 1_000 * number)
    fleet.share(3_000)
    end_ms = 2_000 + FIRST_VERDICT_MS + KEEP_MS
    hosts = list(fleet.hosts.values())
    for now_ms in range(end_ms, end_ms + 20_000, 100):
        for number, host in enumerate(hosts):
            host.tick(frozenset(), now_ms)
            later = hosts[(number + 1) % len(hosts)]
            for report in later.take_reports(fleet.names, now_ms):
                for other in hosts:
                    if other is not later:
                        other.verdicts.merge(report, now_ms)
    assert not any(len(h.verdicts) for h in fleet.hosts.values())


# Guards against hosts that forget a crashing request when they restart.
def test_restarted_host_learns_of_a_refused_request():
    fleet = Fleet()
    for number in range(3):
        fleet.send(number, f"s{number}", 1_000 * number)
    fleet.hosts["h0"] = CrashingRequests("h0")
    fleet.share(10_000)
    assert fleet.hosts["h0"].should_refuse(request(9, parts=()))


# Guards against peers that go on refusing a request which a restarted host,
# that knows no crash under it, has got an answer to.
def test_answer_at_a_restarted_host_ends_the_refusal_at_all():
    fleet = Fleet()
    for number in range(3):
        fleet.send(number, f"s{number}", 1_000 * number)
    for now_ms in (3_000, 4_000, 5_000):
        fleet.share(now_ms)
    fleet.hosts["h0"] = CrashingRequests("h0")
    fleet.share(10_000)
    fleet.hosts["h0"].record_sound_answer(
        build_flight(request(9, parts=())), 70_000
    )
    fleet.share(70_100)
    assert not any(
        h.should_refuse(request(9, parts=())) for h in fleet.hosts.values()
    )


def test_many_crashes_of_one_server_count_once():
    crashing = CrashingRequests()
    for number in range(9):
        crashing.record_broken_connection(request(1), "s1", number)
        crashing.confirm_crash("s1", number)
    assert not crashing.should_refuse(request(1))


def test_number_of_recorded_attempts_is_bounded():
    crashing = CrashingRequests()
    per_crash = 20
    for number in range(MAX_ATTEMPTS + 5 * per_crash):
        server_id = f"s{number // per_crash}"
        crashing.record_broken_connection(
            request(number, b"%d" % number), server_id, number
        )
        crashing.confirm_crash(server_id, number)
    assert len(crashing._evidence) == MAX_ATTEMPTS


def test_number_of_recorded_crashes_is_bounded():
    crashing = CrashingRequests()
    for number in range(MAX_CRASHES + 50):
        crashing.record_broken_connection(
            request(number, b"%d" % number), f"s{number}", number
        )
        crashing.confirm_crash(f"s{number}", number)
    assert len(crashing._evidence) == MAX_CRASHES


def test_number_of_attempts_under_one_crash_is_bounded():
    crashing = CrashingRequests()
    for number in range(MAX_ATTEMPTS_PER_CRASH + 50):
        crashing.record_broken_connection(
            request(number, b"%d" % number), "s1", 0, begun=True
        )
        crashing.confirm_crash("s1", 0)
    assert len(crashing._evidence) == MAX_ATTEMPTS_PER_CRASH


def test_host_keeps_to_its_share_of_connections():
    """A server accepts 110 connections from ten hosts together."""
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
