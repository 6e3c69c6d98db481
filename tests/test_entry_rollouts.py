"""Tests of the decisions of one host about rollouts."""

from __future__ import annotations

from entry_builders import build_planner, build_request, build_server
import pytest

from corianderdoor.core.entry.flights import Send
from corianderdoor.core.entry.rollout_records import (
    RolloutOrder,
    RolloutRecord,
    RolloutReport,
    RolloutState,
)
from corianderdoor.core.entry.rollout_stages import choose_canaries, find_slack

WALL_MS = 1_800_000_000_000
IN_PROGRESS = RolloutState.IN_PROGRESS
COMPLETED = RolloutState.COMPLETED
REVERTED = RolloutState.REVERTED


def build_order(to="v2", revision=7, duration_ms=12_000):
    """Returns an order for the plain service."""
    return RolloutOrder("plain", to, duration_ms, revision)


def build_record(state, to="v2", rejected=(), revision=9, order_revision=7):
    """Returns a record about `build_order`."""
    return RolloutRecord(
        "plain", order_revision, to, "v1", WALL_MS, state, rejected, revision
    )


def build_host(old=3, new=3, third=0):
    """Returns a planner with servers of several versions."""
    planner = build_planner(plain=0)
    for version, count in (("v1", old), ("v2", new), ("v3", third)):
        for n in range(count):
            server = build_server(f"{version}-{n}", "plain", version=version)
            planner.servers.put(server, 0)
    return planner


def order(planner, now_ms=0, **changes):
    """Gives an order to a planner."""
    planner.rollouts.set_order(
        "plain", build_order(**changes), now_ms, WALL_MS + now_ms
    )


def record(planner, now_ms=0, **changes):
    """Gives a record to a planner."""
    planner.rollouts.set_record(
        "plain", build_record(**changes), now_ms, WALL_MS + now_ms
    )


def tick(planner, now_ms, peers=()):
    """Ticks a planner that hears all its peers."""
    for peer in peers:
        planner.rollouts.merge(peer, 1, (), now_ms)
    return planner.rollouts.tick(now_ms, WALL_MS + now_ms, peers, peers)


def versions(planner, now_ms, count=100):
    """Returns the versions to which requests are sent."""
    found = set()
    for n in range(count):
        req = build_request("/read/x", id=f"r{now_ms}-{n}", parts=())
        flight = planner.admit(req, now_ms)
        step = planner.choose(flight, now_ms)
        if isinstance(step, Send) and planner.selection.may_send(
            step.server, now_ms
        ):
            planner.record_sent(flight, step.server, now_ms)
            planner.record_end(flight)
            found.add(step.server.version)
    return found


def test_all_versions_serve_without_an_order():
    """Guards against a change where no rollout was ordered."""
    planner = build_host()
    assert planner.rollouts.is_idle
    usable = planner.servers.usable("plain")
    flight = planner.admit(build_request("/read/x", parts=()), 0)
    assert planner.selection.list_usable(flight, 0) == usable
    assert planner.rollouts.reports(0) == ()


@pytest.mark.parametrize(
    ("state", "rejected", "allowed"),
    [(COMPLETED, (), {"v2"}), (REVERTED, ("v2",), {"v1"})],
)
def test_final_state_holds_after_a_restart(state, rejected, allowed):
    """Guards against a version that serves again after a restart."""
    planner = build_host(third=3)
    order(planner)
    record(planner, state=state, rejected=rejected)
    tick(planner, 0)
    assert versions(planner, 0) == allowed


def test_order_in_another_read_than_its_record_starts_nothing():
    """Guards against a record without its order that exposes a version."""
    planner = build_host()
    record(planner, state=IN_PROGRESS)
    tick(planner, 0)
    assert versions(planner, 0) == {"v1"}
    planner.rollouts.set_record("plain", None, 0, WALL_MS)
    assert planner.rollouts.outcomes(0) == []


def test_version_that_no_order_names_gets_nothing():
    """Guards against servers that start before their order."""
    planner = build_host(third=3)
    record(planner, state=REVERTED, rejected=("v2",))
    servers = planner.servers.usable("plain")
    allowed = planner.rollouts.allowed("plain", servers)
    assert {server.version for server in allowed} == {"v1"}


def test_canary_is_a_count():
    """Guards against a canary without a limit."""
    planner = build_host(old=20, new=20)
    order(planner)
    tick(planner, 0)
    assert versions(planner, 0, count=500) == {"v1", "v2"}
    count = planner.rollouts._services["plain"].count
    assert 0 < count.sent <= 0.06 * count.requests + 25


def test_canary_uses_the_same_few_servers_at_all_hosts():
    """Guards against a canary without load on its servers."""
    ids = [f"s{n}" for n in range(40)]
    found = choose_canaries("plain", "v2", ids, 50, 0.06)
    assert len(found) == 3
    assert choose_canaries("plain", "v2", reversed(ids), 50, 0.06) == found
    assert len(choose_canaries("plain", "v2", ids, 5, 0.06)) == 2


def test_count_is_checked_when_the_request_is_sent():
    """Guards against many choices before the first send."""
    planner = build_host()
    order(planner)
    tick(planner, 0)
    server = planner.servers.get("v2-0")
    sent = 0
    for n in range(60):
        req = build_request("/read/x", id=f"p{n}", parts=())
        flight = planner.admit(req, 0)
        if planner.selection.may_send(server, 0):
            planner.record_sent(flight, server, 0)
            sent += 1
    assert 25 <= sent <= 29


def test_parts_of_the_slack_add_up():
    """Guards against a slack that each of 330 hosts rounds up."""
    names = [f"h{n}" for n in range(330)]
    assert sum(find_slack(50, name, names) for name in names) == 25


def test_peer_verdict_is_adopted_at_once():
    """Guards against a host that goes on until its own evidence is enough."""
    planner = build_host()
    order(planner)
    tick(planner, 0, ["h2", "h3"])
    report = planner.rollouts.reports(0)[0]
    bad = RolloutReport(report.service, 7, 0, True, (), ())
    planner.rollouts.merge("h2", 1, (bad,), 50)
    assert versions(planner, 50) == {"v1"}
    assert planner.rollouts.reports(50)[0].is_bad
    [outcome] = planner.rollouts.outcomes(50)
    assert outcome.record.state is REVERTED
    assert (outcome.order_revision, outcome.record_revision) == (7, 0)


def test_host_that_hears_no_peer_sends_nothing():
    """Guards against a host that can't learn of a verdict."""
    planner = build_host()
    order(planner)
    planner.rollouts.tick(0, WALL_MS, [], ["h2", "h3"])
    assert versions(planner, 0) == {"v1"}


def test_host_writes_and_sends_nothing_after_a_pause():
    """Guards against decisions on what was known before a pause."""
    planner = build_host()
    peers = ["h2", "h3"]
    order(planner)
    tick(planner, 0, peers)
    tick(planner, 100, peers)
    assert "v2" in versions(planner, 100, count=5)
    assert planner.rollouts.outcomes(1_200)
    assert planner.rollouts.outcomes(1_400) == []
    assert versions(planner, 1_400) == {"v1"}
    tick(planner, 1_400, peers)
    # Heartbeats that waited during the pause are no contact.
    tick(planner, 1_410, peers)
    assert versions(planner, 1_410) == {"v1"}
    tick(planner, 1_700, peers)
    assert "v2" in versions(planner, 1_700)


@pytest.mark.parametrize("wall_ms", [WALL_MS - 5_000, WALL_MS + 60_000])
def test_wrong_wall_clock_makes_a_restarted_host_more_cautious(wall_ms):
    """Guards against a clock that jumped past the canary."""
    planner = build_host()
    planner.rollouts.set_record("plain", build_record(IN_PROGRESS), 0, wall_ms)
    planner.rollouts.set_order("plain", build_order(), 0, wall_ms)
    tick(planner, 0)
    progress = planner.rollouts._services["plain"]
    assert (progress.share, progress.count.slack) == (0.0, 0)
    assert progress.fraction < 0.01


@pytest.mark.parametrize("duration_ms", [0, -5])
def test_order_without_a_budget_names_nothing(duration_ms):
    """Guards against an odd order that replaces the state before it."""
    planner = build_host()
    order(planner, duration_ms=duration_ms)
    assert planner.rollouts.is_idle
    order(planner)
    order(planner, to="v3", revision=8, duration_ms=duration_ms)
    assert planner.rollouts._services["plain"].to == "v2"


def test_newer_order_rejects_the_version_before_it():
    """Guards against a version whose order did not complete."""
    planner = build_host()
    order(planner)
    tick(planner, 0)
    planner.servers.put(build_server("v3-0", "plain", version="v3"), 100)
    order(planner, 100, to="v3", revision=8)
    tick(planner, 100)
    assert versions(planner, 100) == {"v1", "v3"}
    [outcome] = planner.rollouts.outcomes(100)
    assert outcome.record.rejected == ("v2",)
    assert outcome.record.baseline == "v1"


def test_order_back_to_the_baseline_needs_no_canary():
    """Guards against a bad version that keeps its share on the way back."""
    planner = build_host()
    order(planner)
    tick(planner, 0)
    order(planner, 100, to="v1", revision=8)
    assert versions(planner, 100) == {"v1"}
    tick(planner, 200)
    tick(planner, 700)
    [outcome] = planner.rollouts.outcomes(700)
    assert outcome.record.state is COMPLETED
    assert outcome.record.rejected == ("v2",)


def test_removed_order_is_reverted():
    """Guards against a version that goes on without its order."""
    planner = build_host()
    order(planner)
    record(planner, state=IN_PROGRESS)
    tick(planner, 0)
    planner.rollouts.set_order("plain", None, 100, WALL_MS)
    assert versions(planner, 100) == {"v1"}
    [outcome] = planner.rollouts.outcomes(100)
    assert outcome.record.state is REVERTED
    assert (outcome.order_revision, outcome.record_revision) == (0, 9)


def test_order_without_servers_is_reverted_at_the_end():
    """Guards against an order that stays in progress for ever."""
    planner = build_host(new=0)
    order(planner)
    for now_ms in range(0, 12_200, 200):
        tick(planner, now_ms)
    assert planner.rollouts.outcomes(12_000)[0].record.state is REVERTED


def test_completion_waits_for_hosts_and_for_old_requests():
    """Guards against requests that are cut off at old servers."""
    planner = build_host()
    order(planner, to="v1", revision=8)
    record(planner, state=COMPLETED, to="v1", order_revision=6)
    order(planner, to="v1", revision=9)
    planner.loads.start("v2-0")
    for now_ms in (0, 500, 1_000):
        tick(planner, now_ms)
    states = [o.record.state for o in planner.rollouts.outcomes(1_000)]
    assert COMPLETED not in states
    planner.loads.end("v2-0")
    tick(planner, 1_100, ["h2"])  # A peer that is not in stage full.
    tick(planner, 1_700, ["h2"])
    states = [o.record.state for o in planner.rollouts.outcomes(1_700)]
    assert COMPLETED not in states
    tick(planner, 1_800)  # Reports may have arrived out of order.
    states = [o.record.state for o in planner.rollouts.outcomes(1_800)]
    assert COMPLETED not in states
    tick(planner, 2_300)
    [outcome] = planner.rollouts.outcomes(2_300)
    assert outcome.record.state is COMPLETED


def test_lost_record_is_written_again():
    """Guards against a store restored from before the outcome."""
    planner = build_host()
    order(planner)
    record(planner, state=REVERTED, rejected=("v2",))
    tick(planner, 0)
    assert planner.rollouts.outcomes(0) == []
    planner.rollouts.set_record("plain", None, 100, WALL_MS)
    [outcome] = planner.rollouts.outcomes(100)
    assert outcome.record.state is REVERTED
    assert outcome.record_revision == 0
    assert versions(planner, 100) == {"v1"}


def test_retry_after_a_failure_at_the_new_version_goes_to_the_old_one():
    """Guards against a request that fails twice at a bad version."""
    planner = build_host()
    order(planner)
    tick(planner, 0)
    flight = planner.admit(build_request("/read/x", id="a", parts=()), 0)
    first = planner.choose(flight, 0)
    assert first.server.version == "v2"
    planner.record_sent(flight, first.server, 0)
    planner.record_attempt_end(flight)
    assert planner.choose(flight, 0).server.version == "v1"


def test_new_version_without_usable_servers_leaves_requests_to_the_old_one():
    """Guards against refusals while old servers are idle."""
    planner = build_host(new=1)
    planner.ejections.record_unreachable("v2-0", 0)
    order(planner)
    tick(planner, 0)
    assert versions(planner, 0) == {"v1"}
