"""Tests of the slow start of cold servers."""

import pytest

from corianderdoor.core.load_report import LoadReport
from corianderdoor.core.slow_start import ROUND_MIN_MS, SLOW_STREAK, SlowStart

CAPACITY = 16


def warm_slow_start():
    """Returns the slow start of a long-running server, at 0 ms."""
    slow_start = SlowStart(CAPACITY, 1, 0)
    slow_start.apply_report(report(), 0)
    assert slow_start.warm
    slow_start.record_completion(256, 100, 0)
    return slow_start


def report(**fields):
    values = {"uptime_ms": 900_000, "completed": 999, **fields}
    return LoadReport("e1", values.pop("incarnation", 1), **values)


def test_without_evidence_a_server_is_cold():
    assert SlowStart(CAPACITY, 1, 0).limit == 1


def test_time_alone_does_not_warm_a_server():
    slow_start = SlowStart(CAPACITY, 1, 0)
    slow_start.apply_report(report(uptime_ms=10**9, completed=0), 10**9)
    assert slow_start.limit == 1


def test_limit_doubles_after_as_many_completions():
    slow_start, now_ms, steps = SlowStart(CAPACITY, 1, 0), 0, []
    for _ in range(15):
        now_ms += ROUND_MIN_MS
        slow_start.record_completion(256, 100, now_ms)
        steps.append(slow_start.limit)
    assert steps == [2, 2, 4, 4, 4, 4] + [8] * 8 + [16]


def test_burst_of_completions_raises_the_limit_once_in_a_round():
    slow_start = SlowStart(CAPACITY, 1, 0)
    for _ in range(50):
        slow_start.record_completion(256, 100, ROUND_MIN_MS)
    assert slow_start.limit == 2


def test_new_home_infers_the_limit_from_the_servers_own_count():
    slow_start = SlowStart(CAPACITY, 1, 0)
    slow_start.apply_report(report(completed=3), 0)
    assert slow_start.limit == 4


def test_new_home_limits_a_server_that_has_just_started():
    slow_start = SlowStart(CAPACITY, 1, 0)
    slow_start.apply_report(report(uptime_ms=ROUND_MIN_MS, completed=999), 0)
    assert slow_start.limit == 2


@pytest.mark.parametrize(
    "evidence",
    [
        report(incarnation=2, uptime_ms=10),
        report(uptime_ms=10),
        report(uptime_ms=900_002, cached_tokens=100),
    ],
)
def test_restart_or_lost_cache_makes_a_warm_server_cold(evidence):
    slow_start = warm_slow_start()
    slow_start.apply_report(report(uptime_ms=900_001, cached_tokens=50_000), 1)
    slow_start.apply_report(evidence, 2)
    assert slow_start.limit == 1


def test_slow_first_tokens_in_a_row_halve_the_limit():
    slow_start = warm_slow_start()
    for _ in range(SLOW_STREAK):
        assert slow_start.limit == CAPACITY
        slow_start.record_completion(256, 900, 1)
    assert slow_start.limit == CAPACITY // 2


def test_one_slow_first_token_between_others_changes_nothing():
    slow_start = warm_slow_start()
    for first_token_ms in (900, 900, 100, 900, 900):
        slow_start.record_completion(256, first_token_ms, 1)
    assert slow_start.warm


def test_crash_makes_a_server_cold():
    slow_start = warm_slow_start()
    slow_start.record_crash(1)
    assert slow_start.limit == 1
