"""Model checks how hosts follow a restored store, also without each guard."""

from minicheck import check_safety
import pytest

from corianderdoor.specs.store_restore import build_leases, build_replicas


def broken(protocol):
    """Returns the names of the invariants that do not hold."""
    result = check_safety(protocol)
    assert result["exhaustive"]
    return {
        name
        for name, found in result["properties"].items()
        if not found["holds"]
    }


def count_steps(protocol):
    """Returns the number of steps to the first broken invariant."""
    properties = check_safety(protocol)["properties"].values()
    return min(
        len(found["counterexample"])
        for found in properties
        if not found["holds"]
    )


def test_replicas_mix_no_eras_over_two_restores():
    assert broken(build_replicas()) == set()


MIXED = "a replica holds what the store held at its revision"
WENT_BACK = "a replica does not go back to an older era"
BEHIND = "a host of an older era pulls from one of a newer era"
REVERTED = "the version in force does not go back"


@pytest.mark.parametrize(
    ("without", "names"),
    [
        ({"merge": lambda held, page, full: True}, {WENT_BACK}),
        # Also takes pages of an older era.
        (
            {"merge": lambda held, page, full: page == held or full},
            {WENT_BACK},
        ),
        ({"asked_era": False}, {MIXED}),
        ({"ahead": lambda era, at, own_era, own: at > own}, {BEHIND}),
        ({"newer": lambda version, in_force: version != 0}, {REVERTED}),
    ],
)
def test_replicas_go_wrong_without_any_one_guard(without, names):
    assert broken(build_replicas(**without)) == names


def test_changes_alone_do_not_lead_to_a_new_era():
    """The rule for full pages holds where the era asked for is not known."""
    with_rule = build_replicas(asked_era=False)
    without = build_replicas(
        merge=lambda held, page, full: page >= held, asked_era=False
    )
    assert count_steps(with_rule) > count_steps(without)


def test_no_host_ends_the_lease_of_another_one():
    assert broken(build_leases()) == set()


@pytest.mark.parametrize(
    "without",
    [{"owns": lambda granted, known: True}, {"renews_before_end": False}],
)
def test_leases_go_wrong_without_any_one_guard(without):
    assert broken(build_leases(**without))
