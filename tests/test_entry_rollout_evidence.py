"""Tests of the evidence about a new version."""

from __future__ import annotations

import pytest

from corianderdoor.core.entry.rollout_evidence import RolloutEvidence
from corianderdoor.core.entry.rollout_latency import RolloutLatency
from corianderdoor.core.entry.rollout_records import RouteCounts


def build(old=(1_000, 3), new=(0, 0), servers=((1, 0, 0),)):
    """Returns evidence with counts of one route from one peer."""
    evidence = RolloutEvidence()
    evidence.merge("h2", 1, (RouteCounts(1, *old, *new),), tuple(servers))
    return evidence


@pytest.mark.parametrize(
    ("old", "new", "bad"),
    [
        ((1_000, 3), (60, 20), True),
        ((1_000, 3), (60, 1), False),
        ((1_000, 300), (60, 20), False),
        ((0, 0), (5, 3), False),
    ],
)
def test_verdict_compares_with_the_old_version(old, new, bad):
    """Guards against a missed bad version and against false verdicts."""
    assert bool(build(old, new).verdict()) == bad


def test_one_faulty_server_does_not_make_a_version_bad():
    """Guards against a revert because of one sick machine."""
    sick = build(new=(60, 20), servers=((1, 30, 19), (2, 30, 1)))
    bad = build(new=(60, 30), servers=((1, 30, 15), (2, 30, 15)))
    assert sick.verdict() is None
    assert bad.verdict() == "all-routes"


def test_forty_bad_answers_are_always_enough():
    """Guards against passing the 50th bad answer without a verdict."""
    evidence = build(new=(2_000, 40), servers=((1, 1_000, 40), (2, 9, 0)))
    assert evidence.verdict() == "many-bad"


def test_fault_after_many_good_answers_is_found():
    """Guards against good answers that outweigh a fault that comes later."""
    evidence = build(new=(2_000, 2))
    assert evidence.verdict() is None
    evidence.merge("h2", 1, (RouteCounts(1, 1_000, 3, 2_030, 20),), ())
    assert evidence.verdict()


def test_repeated_and_reordered_reports_count_once():
    """Guards against counts that grow or shrink with the delivery."""
    evidence = build(new=(30, 2))
    for new in ((10, 1), (30, 2), (20, 1)):
        evidence.merge("h2", 1, (RouteCounts(1, 900, 3, *new),), ())
    assert evidence.total() == RouteCounts(0, 1_000, 3, 30, 2)
    evidence.merge("h2", 2, (RouteCounts(1, 5, 0, 1, 0),), ())
    assert evidence.total() == RouteCounts(0, 1_005, 3, 31, 2)


def test_route_without_answers_keeps_the_version_in_the_canary():
    """Guards against a fault on a route that the canary has not tried."""
    evidence = build(new=(60, 0))
    assert evidence.is_enough()
    evidence.merge("h3", 1, (RouteCounts(2, 200, 0, 7, 0),), ())
    assert not evidence.is_enough()


def test_slow_answers_are_compared_with_similar_ones():
    """Guards against a long prompt that counts as a slow server."""
    latency = RolloutLatency()
    for _ in range(5):
        latency.record(1, 1_000, 100, 10.0)
        latency.record(1, 16_000, 800, 10.0)
    assert latency.is_slow(1, 1_000, 301, 10.0)
    assert latency.is_slow(1, 1_000, 290, 10.0) is False
    assert latency.is_slow(1, 16_000, 801, 10.0) is False
    assert latency.is_slow(1, 1_000, 100, 31.0)


def test_answer_without_comparable_ones_is_neither_slow_nor_not():
    """Guards against a slow version that counts as tried."""
    latency = RolloutLatency()
    for _ in range(4):
        latency.record(1, 1_000, 100, None)
    assert latency.is_slow(1, 1_000, 900, None) is None
