"""Model checks how a rollout ends, also without each guard."""

from minicheck import check_safety
import pytest

from corianderdoor.specs.rollout import (
    build_completion,
    build_counts,
    build_outcome,
)

ONCE = "the final state is written once"
CUT = "no request of a host that stayed in stage full is cut off"
WRONG = "a version that is bad or was reverted gets no request"
TWICE = "no answer counts twice"
FORGOTTEN = "no report is forgotten"


def broken(protocol):
    """Returns the names of the invariants that do not hold."""
    result = check_safety(protocol)
    assert result["exhaustive"]
    return {
        name
        for name, found in result["properties"].items()
        if not found["holds"]
    }


def test_rollout_ends_once_and_cuts_nothing_off():
    """Guards against messages whose order breaks the outcome."""
    assert broken(build_outcome()) == set()
    assert broken(build_completion()) == set()


@pytest.mark.parametrize(
    "complete",
    [
        lambda fraction, back, full, old: full,
        lambda fraction, back, full, old: not old,
    ],
)
def test_completion_cuts_requests_off_without_either_guard(complete):
    """Guards against a model in which a guard has no effect."""
    assert broken(build_completion(complete)) == {CUT}


@pytest.mark.parametrize(
    ("without", "name"),
    [
        ({"compares": False}, ONCE),
        ({"use_new": lambda state, order, bad: True}, WRONG),
        ({"use_new": lambda state, order, bad: not bad}, WRONG),
        ({"reads_record": False}, WRONG),
    ],
)
def test_rollout_goes_wrong_without_any_one_guard(without, name):
    """Guards against a model in which a guard has no effect."""
    assert name in broken(build_outcome(**without))


def test_merged_counts_follow_the_true_ones():
    """Guards against reports that are repeated, late or from two boots."""
    assert broken(build_counts()) == set()


@pytest.mark.parametrize(
    ("without", "name"),
    [
        ({"merge": lambda known, got: got}, FORGOTTEN),
        ({"merge": lambda known, got: (known[0] + got[0],)}, TWICE),
        ({"by_boot": False}, FORGOTTEN),
    ],
)
def test_merged_counts_go_wrong_without_any_one_guard(without, name):
    """Guards against a model in which a guard has no effect."""
    assert name in broken(build_counts(**without))
