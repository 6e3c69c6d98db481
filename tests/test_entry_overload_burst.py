"""Load pattern: a burst of the least urgent kind."""

from __future__ import annotations

from entry_builders import (
    build_desired,
    build_planner,
    build_request,
    build_route,
)
from overload_checks import check_pattern

from corianderdoor.core.entry.flights import Refuse
from corianderdoor.core.entry.loads import PeerLoads
from corianderdoor.core.entry.queue_limits import compute_band
from corianderdoor.core.entry.served_shares import ServedShares


def test_requests_are_served_in_time_by_urgency_and_none_starve():
    # Guards against queues that make all answers late.
    shares = check_pattern("lesser burst")
    assert min(shares["p0"], shares["p1"]) > shares["p2"] + 0.2


def test_priorities_differ_with_targets_shorter_than_the_bound():
    # Guards against one limit for all priorities where targets are short.
    for target_ms in (200, 1_000, 4_000):
        routes = [build_route(target_latency_ms=target_ms)]
        urgent = compute_band(0, (0, 1), routes, 500)
        lesser = compute_band(1, (0, 1), routes, 500)
        assert lesser.none_ms == 500
        assert lesser.all_ms == urgent.none_ms >= 625
        assert urgent.all_ms == max(750, target_ms / 2)


def test_less_urgent_requests_wait_while_urgent_ones_are_admitted_less():
    # Guards against a kind that overtakes a more urgent one.
    for urgent_admitted, overtakes in ((60, True), (90, False)):
        planner = build_planner(1)
        routes = (build_route(), build_route("/a/", priority=0))
        planner.set_desired(build_desired(2, routes))
        report = PeerLoads(9_000, {"s0": 100}, {"s0": 16_100})
        planner.loads.update_peer("h2", report, 0)
        shares = ServedShares()
        for number in range(100):
            shares.add(0, "acme", number < urgent_admitted, 0)
            shares.add(1, "acme", number < 90, 0)
        planner._refusals.admission._shares["llm"] = shares
        step = planner.choose(planner.admit(build_request(), 0), 0)
        assert isinstance(step, Refuse) is overtakes
