"""Load pattern: many hosts that hear of each other late."""

from __future__ import annotations

from overload_checks import check_pattern


def test_requests_are_served_in_time_by_urgency_and_none_starve():
    # Guards against queues that make all answers late.
    check_pattern("late reports")
