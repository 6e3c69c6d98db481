"""Tests of burn rates of service-level objectives."""

import pytest

from corianderdoor.core.burn import (
    AVAILABILITY,
    compute_burn_rates,
    compute_increments,
    EventCounts,
    FIRST_TOKEN,
    HOUR_MS,
    list_local_days,
    MINUTE_MS,
    Reading,
    Series,
)

SERIES = Series("availability", "w1", "redactor", "dc-a")
APRIL_4 = 1775271600000  # 2026-04-04 00:00 -03:00 in Santiago
SEPTEMBER_6 = 1788667200000  # 2026-09-06 01:00 -03:00 in Santiago


def read(at_ms, good, bad, source="r1#1", series=SERIES):
    """Returns a reading, of `SERIES` by default."""
    return Reading(at_ms, source, series, good, bad)


def test_restarted_router_counts_from_zero_and_loses_nothing():
    found = compute_increments(
        [read(1, 10, 1), read(2, 15, 1), read(3, 4, 2, "r1#2")]
    )
    assert sum(item.good for item in found) == 19
    assert sum(item.bad for item in found) == 3


def test_same_reading_twice_counts_once():
    found = compute_increments([read(5, 7, 1), read(5, 7, 1), read(2, 3, 0)])
    assert [(item.good, item.bad) for item in found] == [(3, 0), (4, 1)]


def test_burn_rate_is_bad_share_over_allowed_share():
    assert EventCounts(999, 1).burn_rate(AVAILABILITY.target) == pytest.approx(
        1
    )
    assert EventCounts(50, 50).burn_rate(FIRST_TOKEN.target) == pytest.approx(
        10
    )
    assert EventCounts().burn_rate(0.95) == 0


def list_alerts(readings, now_ms):
    """Returns severity and hours of each rule that fires fleet-wide."""
    findings = compute_burn_rates(
        compute_increments(readings), now_ms, ["all"]
    )
    return [
        (item.rule.severity, item.rule.long_ms // HOUR_MS)
        for item in findings
        if item.fires
    ]


def test_fast_burn_pages_until_it_is_over():
    start = 100 * HOUR_MS
    minutes = [
        read(start + number * MINUTE_MS, number * 1000, number * 50)
        for number in range(61)
    ]
    now = start + HOUR_MS
    assert ("page", 1) in list_alerts(minutes, now)
    quiet = [
        read(now + number * MINUTE_MS, 60_000 + number * 1000, 3_000)
        for number in range(1, 11)
    ]
    over = list_alerts(minutes + quiet, now + 10 * MINUTE_MS)
    assert ("page", 1) not in over


def test_slow_burn_only_opens_a_ticket():
    readings = [
        read(hour * HOUR_MS, hour * 10_000, hour * 15) for hour in range(73)
    ]
    assert list_alerts(readings, 72 * HOUR_MS) == [("ticket", 72)]


@pytest.mark.parametrize(
    ("zone", "start_ms", "hours"),
    [
        ("America/Santiago", APRIL_4, 25),
        ("America/Santiago", SEPTEMBER_6, 23),
        ("Africa/Addis_Ababa", APRIL_4, 24),
    ],
)
def test_local_days_follow_the_clock_change(zone, start_ms, hours):
    days = list_local_days(zone, start_ms, start_ms + 1)
    assert [day.hours for day in days] == [hours]


def test_local_days_leave_no_gap_over_a_year():
    days = list_local_days("America/Santiago", APRIL_4, APRIL_4 + 365 * 86.4e6)
    assert all(a.end_ms == b.start_ms for a, b in zip(days, days[1:]))
    assert sorted({day.hours for day in days}) == [23, 24, 25]
