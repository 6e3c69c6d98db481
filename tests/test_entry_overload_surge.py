"""Load pattern: one workspace that sends six times as much."""

from __future__ import annotations

from overload_checks import check_pattern


def test_requests_are_served_in_time_by_urgency_and_none_starve():
    # Guards against queues that make all answers late.
    shares = check_pattern("workspace surge")
    assert shares["p1_others"] > shares["p1_w0"] + 0.1
