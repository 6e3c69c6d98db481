"""Tests of the forecast by local time of day, across clock changes."""

import datetime
import zoneinfo

from builders import build_server
import pytest

from corianderdoor.core.desired import decode_desired
from corianderdoor.core.forecast import (
    DayProfile,
    decode_profiles,
    encode_profiles,
    SLOT_MS,
)
from corianderdoor.core.orders import Report, Role
from corianderdoor.core.warm import (
    choose_active_servers,
    observe_load,
    plan_active_servers,
)
from corianderdoor.core.weight_loads import Priority

DAY_MS = 86_400_000
HOUR_MS = 3_600_000
SANTIAGO = "America/Santiago"
ADDIS = "Africa/Addis_Ababa"
WARM = (
    '{"pools": {"redactor": {"models": {"redactor": "v1"}, "warm": '
    '{"zone": "America/Santiago", "floor": 1, "per_server": 4,'
    ' "lead_minutes": 30, "hold_minutes": 15}}}}'
)


def utc_ms(*fields):
    """Returns Unix ms of a time in UTC."""
    when = datetime.datetime(*fields, tzinfo=datetime.UTC)
    return int(when.timestamp() * 1000)


def local_ms(zone, *fields, fold=0):
    """Returns Unix ms of a local time."""
    when = datetime.datetime(
        *fields, tzinfo=zoneinfo.ZoneInfo(zone), fold=fold
    )
    return int(when.timestamp() * 1000)


def local_hour(zone, wall_ms):
    return datetime.datetime.fromtimestamp(
        wall_ms / 1000, zoneinfo.ZoneInfo(zone)
    ).hour


def learn(profile, zone, start_ms, end_ms, peak_hour=9):
    """Shows a load of 20 in one local hour and of 2 in all others."""
    for wall_ms in range(start_ms, end_ms, SLOT_MS // 3):
        busy = local_hour(zone, wall_ms) == peak_hour
        profile.observe(wall_ms, 20.0 if busy else 2.0)


# In 2026 Chile goes to winter time on 5 April at 00:00 (back to 23:00) and
# to summer time on 6 September at 00:00 (on to 01:00).
@pytest.mark.parametrize(
    ("zone", "change"),
    [
        (SANTIAGO, (2026, 4, 5)),
        (SANTIAGO, (2026, 9, 6)),
        (ADDIS, (2026, 4, 5)),
        (ADDIS, (2026, 9, 6)),
    ],
)
def test_peak_is_foreseen_at_its_local_hour_after_the_change(zone, change):
    start_ms = utc_ms(*change) - 10 * DAY_MS
    profile = DayProfile(zone)
    learn(profile, zone, start_ms, utc_ms(*change) - DAY_MS)
    for day in range(4):
        for hour in range(24):
            at_ms = utc_ms(*change) + day * DAY_MS + hour * HOUR_MS
            peak = local_hour(zone, at_ms) == 9
            assert profile.expected(at_ms) == (20.0 if peak else 2.0)


def test_repeated_hour_has_the_same_forecast_twice():
    profile = DayProfile(SANTIAGO)
    start_ms = utc_ms(2026, 3, 20)
    learn(profile, SANTIAGO, start_ms, utc_ms(2026, 4, 4), peak_hour=23)
    first = local_ms(SANTIAGO, 2026, 4, 4, 23, 30, fold=0)
    second = local_ms(SANTIAGO, 2026, 4, 4, 23, 30, fold=1)
    assert second - first == HOUR_MS
    assert profile.expected(first) == profile.expected(second) == 20.0


def test_both_passes_of_the_repeated_hour_are_one_observation():
    profile = DayProfile(SANTIAGO)
    first = local_ms(SANTIAGO, 2026, 4, 4, 23, 0, fold=0)
    second = local_ms(SANTIAGO, 2026, 4, 4, 23, 0, fold=1)
    profile.observe(first, 10.0)
    profile.observe(second, 30.0)
    next_day = local_ms(SANTIAGO, 2026, 4, 5, 12)
    profile.observe(next_day, 0.0)
    assert profile.expected(first) == 20.0
    assert profile.state().slots[92].days == 1


def test_missing_hour_keeps_its_level():
    profile = DayProfile(SANTIAGO)
    learn(profile, SANTIAGO, utc_ms(2026, 9, 1), utc_ms(2026, 9, 5, 12), 0)
    # The local day of 6 September has no hour from 00:00 to 01:00.
    learn(profile, SANTIAGO, utc_ms(2026, 9, 5, 12), utc_ms(2026, 9, 7, 3))
    assert profile.expected(local_ms(SANTIAGO, 2026, 9, 8, 0, 30)) == 20.0


def test_span_over_the_missing_hour_skips_it():
    profile = DayProfile(SANTIAGO)
    learn(profile, SANTIAGO, utc_ms(2026, 8, 20), utc_ms(2026, 9, 4), 0)
    before = local_ms(SANTIAGO, 2026, 9, 5, 23, 45)
    after = local_ms(SANTIAGO, 2026, 9, 6, 1, 15)
    assert after - before == HOUR_MS // 2
    assert profile.highest(before, after) == 2.0
    usual = local_ms(SANTIAGO, 2026, 9, 7, 23, 45)
    assert profile.highest(usual, usual + HOUR_MS // 2) == 20.0


def test_level_follows_a_change_of_habit_over_days():
    profile = DayProfile(ADDIS)
    learn(profile, ADDIS, utc_ms(2026, 1, 1), utc_ms(2026, 1, 15), 9)
    learn(profile, ADDIS, utc_ms(2026, 1, 15), utc_ms(2026, 1, 25), 14)
    assert profile.expected(local_ms(ADDIS, 2026, 2, 1, 14)) > 15
    assert profile.expected(local_ms(ADDIS, 2026, 2, 1, 9)) < 5


def test_day_that_is_not_learned_has_no_forecast():
    profile = DayProfile(ADDIS)
    start_ms = local_ms(ADDIS, 2026, 1, 1, 0)
    learn(profile, ADDIS, start_ms, start_ms + 12 * HOUR_MS)
    profile.observe(start_ms + DAY_MS, 0.0)
    assert profile.highest(start_ms, start_ms + HOUR_MS) == 2.0
    assert profile.highest(start_ms, start_ms + 20 * HOUR_MS) is None


def test_profile_goes_on_where_the_last_leader_stored_it():
    profile = DayProfile(SANTIAGO)
    noon = local_ms(SANTIAGO, 2026, 3, 1, 12)
    profile.observe(noon, 10.0)
    raw = encode_profiles({"redactor": profile})
    restored = decode_profiles(raw).default_value({})["redactor"]
    restored.observe(noon + 60_000, 30.0)
    restored.observe(noon + DAY_MS, 0.0)
    assert restored.expected(noon) == 20.0
    assert decode_profiles(b"[]").is_error()


def build_servers():
    return tuple(
        build_server(f"e{number}", data_centre=f"dc-{number % 3}")
        for number in range(6)
    )


@pytest.mark.parametrize("change", [(2026, 4, 5), (2026, 9, 6)])
def test_servers_are_woken_ahead_of_the_local_peak(change):
    desired = decode_desired(WARM.encode(), 1).default_value(None)
    profile = DayProfile(SANTIAGO)
    start_ms = utc_ms(*change) - 10 * DAY_MS
    learn(profile, SANTIAGO, start_ms, utc_ms(*change) - DAY_MS)
    day = change[:2] + (change[2] + 1,)
    for minutes, count in [(-31, 1), (-30, 5), (0, 5), (59, 5), (80, 1)]:
        at_ms = local_ms(SANTIAGO, *day, 9) + minutes * 60_000
        plan = plan_active_servers(
            desired, build_servers(), {"redactor": profile}, at_ms
        )
        assert len(plan["redactor"]) == count


def test_those_awake_are_spread_over_data_centres():
    desired = decode_desired(WARM.encode(), 1).default_value(None)
    warm = desired.body.pools["redactor"].warm
    active = choose_active_servers(build_servers(), warm, 11.0)
    assert active == {"e0", "e1", "e2"}
    assert choose_active_servers(build_servers(), warm, 0.0) == {"e0"}


def test_pool_without_a_learned_day_is_awake_whole():
    desired = decode_desired(WARM.encode(), 1).default_value(None)
    profiles = {"redactor": DayProfile(SANTIAGO)}
    plan = plan_active_servers(desired, build_servers(), profiles, 0)
    assert plan == {}
    goal = desired.goal(build_servers()[5], plan)
    assert goal.serves


def test_goal_of_a_server_that_is_not_awake_is_to_idle():
    desired = decode_desired(WARM.encode(), 1).default_value(None)
    active = {"redactor": frozenset({"e0"})}
    servers = build_servers()
    assert desired.goal(servers[0], active).priority is Priority.WARM_UP
    assert not desired.goal(servers[1], active).serves


def test_load_is_learned_only_when_every_engine_has_reported():
    desired = decode_desired(WARM.encode(), 1).default_value(None)
    servers, profiles = build_servers(), {}
    report = Report(1, Role.MIXED, {}, {}, in_flight=3)
    reports = {item.name: report for item in servers[:5]}
    observe_load(desired, servers, reports, profiles, 0)
    assert profiles == {}
    reports["e5"] = report
    observe_load(desired, servers, reports, profiles, 0)
    observe_load(desired, servers, reports, profiles, DAY_MS)
    assert profiles["redactor"].expected(0) == 18.0


def test_sample_of_an_earlier_day_is_left_out():
    profile = DayProfile(ADDIS)
    noon = local_ms(ADDIS, 2026, 1, 2, 12)
    profile.observe(noon, 2.0)
    profile.observe(noon - DAY_MS, 100.0)
    profile.observe(noon + DAY_MS, 0.0)
    assert profile.expected(noon) == 2.0
