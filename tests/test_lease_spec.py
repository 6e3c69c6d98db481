"""Model checks leadership by lease and fenced orders."""

import minicheck
import pytest

from corianderdoor.core.lease import lease_end_ms, lease_holds, owns_record
from corianderdoor.core.orders import accepts_fence, settle_end_ms
from corianderdoor.specs.lease import Guards, LeaseSpec

ALL_STATES = 200_000
# Limits on the states to search. A counterexample is valid even if the search
# stops right after it.
SEARCH_LIMITS = (7_000, 35_000)


def check(guards, checks, max_states):
    """Returns the checker's verdict on each invariant."""
    protocol = LeaseSpec(guards, checks).protocol()
    return minicheck.check_safety(protocol, max_states)


@pytest.mark.parametrize("checks", [True, False])
def test_every_reachable_state_keeps_the_invariants(checks):
    found = check(Guards(), checks, ALL_STATES)
    assert found["exhaustive"]
    assert found["reachable_states"] > 10_000
    for name, verdict in found["properties"].items():
        assert verdict["holds"] is True, name


@pytest.mark.parametrize(
    ("guard", "without", "checks", "invariant"),
    [
        ("lease_end", lambda sent, ttl, margin: sent + ttl, 1, "one_leader"),
        ("lease_holds", lambda now, end: True, 1, "one_leader"),
        ("owns_record", lambda record, lease: True, 1, "fences_grow"),
        ("accepts_fence", lambda seen, fence: True, 1, "reads_stay_true"),
        ("settle_end", lambda since, order, f: since, 0, "reads_stay_true"),
        ("from_sending", False, 1, "one_leader"),
        ("compare", False, 1, "one_leader"),
        ("read_unknown", False, 1, "fences_grow"),
        ("answer_only", False, 1, "one_leader"),
        ("last_check", False, 0, "no_late_order"),
        ("raise_first", False, 1, "reads_stay_true"),
    ],
)
def test_without_any_one_guard_there_is_a_counterexample(
    guard, without, checks, invariant
):
    guards = Guards()
    setattr(guards, guard, without)
    for max_states in SEARCH_LIMITS:
        found = check(guards, bool(checks), max_states)
        verdict = found["properties"][invariant]
        if verdict["holds"] is False:
            break
    assert verdict["holds"] is False
    assert len(verdict["counterexample"]) > 3


def test_guards_that_are_functions_are_those_of_the_core():
    guards = Guards()
    assert guards.lease_end is lease_end_ms
    assert guards.lease_holds is lease_holds
    assert guards.owns_record is owns_record
    assert guards.accepts_fence is accepts_fence
    assert guards.settle_end is settle_end_ms
