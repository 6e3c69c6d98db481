"""Tests of the ramp of cold servers."""

import pytest

from corianderdoor.core.load_report import LoadReport
from corianderdoor.core.slow_start import COLD_STREAK, Ramp, ROUND_MIN_MS

CAPACITY = 16


def warm_ramp():
    """Returns the ramp of a server that has run for long, at 0 ms."""
    ramp = Ramp(CAPACITY, 1, 0)
    ramp.apply_report(report(), 0)
    assert ramp.warm
    ramp.take_completion(256, 100, 0)
    return ramp


def report(**fields):
    values = {"uptime_ms": 900_000, "completed": 999, **fields}
    return LoadReport("e1", values.pop("incarnation", 1), **values)


def test_without_evidence_a_server_is_cold():
    assert Ramp(CAPACITY, 1, 0).allowed == 1


def test_time_alone_does_not_warm_a_server():
    ramp = Ramp(CAPACITY, 1, 0)
    ramp.apply_report(report(uptime_ms=10**9, completed=0), 10**9)
    assert ramp.allowed == 1


def test_ramp_doubles_after_as_many_completions_as_are_allowed():
    ramp, now_ms, steps = Ramp(CAPACITY, 1, 0), 0, []
    for _ in range(15):
        now_ms += ROUND_MIN_MS
        ramp.take_completion(256, 100, now_ms)
        steps.append(ramp.allowed)
    assert steps == [2, 2, 4, 4, 4, 4] + [8] * 8 + [16]


def test_burst_of_completions_raises_the_ramp_once_in_a_round():
    ramp = Ramp(CAPACITY, 1, 0)
    for _ in range(50):
        ramp.take_completion(256, 100, ROUND_MIN_MS)
    assert ramp.allowed == 2


def test_new_home_takes_the_ramp_from_the_servers_own_count():
    ramp = Ramp(CAPACITY, 1, 0)
    ramp.apply_report(report(completed=3), 0)
    assert ramp.allowed == 4


def test_new_home_does_not_believe_a_server_warm_that_has_just_started():
    ramp = Ramp(CAPACITY, 1, 0)
    ramp.apply_report(report(uptime_ms=ROUND_MIN_MS, completed=999), 0)
    assert ramp.allowed == 2


@pytest.mark.parametrize(
    "evidence",
    [
        report(incarnation=2, uptime_ms=10),
        report(uptime_ms=10),
        report(uptime_ms=900_002, cached_tokens=100),
    ],
)
def test_restart_or_lost_cache_makes_a_warm_server_cold(evidence):
    ramp = warm_ramp()
    ramp.apply_report(report(uptime_ms=900_001, cached_tokens=50_000), 1)
    ramp.apply_report(evidence, 2)
    assert ramp.allowed == 1


def test_slow_first_tokens_in_a_row_halve_the_ramp():
    ramp = warm_ramp()
    for _ in range(COLD_STREAK):
        assert ramp.allowed == CAPACITY
        ramp.take_completion(256, 900, 1)
    assert ramp.allowed == CAPACITY // 2


def test_one_slow_first_token_between_others_changes_nothing():
    ramp = warm_ramp()
    for first_token_ms in (900, 900, 100, 900, 900):
        ramp.take_completion(256, first_token_ms, 1)
    assert ramp.warm


def test_crash_makes_a_server_cold():
    ramp = warm_ramp()
    ramp.take_crash(1)
    assert ramp.allowed == 1
