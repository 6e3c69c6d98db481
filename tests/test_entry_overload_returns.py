"""Load pattern: refused requests that return."""

from __future__ import annotations

import random

from entry_builders import build_planner, build_request

from corianderdoor.core.entry.flights import Refuse
from corianderdoor.core.entry.loads import PeerLoads
from corianderdoor.core.entry.return_times import ReturnTimes


def test_returns_arrive_as_fast_as_they_can_be_served():
    # Guards against refused requests that return all at once.
    times = ReturnTimes(random.Random(1))
    found = [times.take("llm", 200, 1_000, 50, 0) for _ in range(17)]
    assert found == list(range(200, 1_001, 50))
    assert times.take("other", 200, 1_000, 50, 0) == 200
    assert times.take("llm", 200, 1_000, 50, 5_000) == 200


def test_returns_beyond_the_patience_of_callers_are_spread_within_it():
    # Guards against a time after which the caller has left.
    times = ReturnTimes(random.Random(1))
    found = [times.take("llm", 2_000, 1_000, 50, 0) for _ in range(40)]
    assert all(500 <= found_ms <= 1_000 for found_ms in found)
    assert len(set(found)) > 30
    assert times.take("llm", 0, 1_000, 50, 0) == 0


def test_refused_requests_of_a_planner_return_one_after_the_other():
    # Guards against the same time for all requests of a moment.
    planner = build_planner(1)
    report = PeerLoads(9_000, {"s0": 100}, {"s0": 80_000})
    planner.loads.update_peer("h2", report, 0)
    retries = []
    for number in range(5):
        flight = planner.admit(build_request(id=f"r{number}"), 0)
        step = planner.choose(flight, 0)
        assert isinstance(step, Refuse) and step.reason == "overloaded"
        retries.append(step.retry_after_ms)
    # The queue takes 1.3 s at 60 tokens per ms, each request 0.15 s.
    assert retries[0] > 1_000
    assert [b - a for a, b in zip(retries, retries[1:])] == [150] * 4
    assert retries[-1] <= 6_000 * 0.3
