"""Model checks of what hosts pass on after restores, also without guards."""

from minicheck import check_safety
import pytest

from corianderdoor.specs.restored_records import build_restored_records


def holds(**rules):
    """Returns whether the invariant holds; all states are visited."""
    result = check_safety(build_restored_records(**rules))
    assert result["exhaustive"]
    return all(found["holds"] for found in result["properties"].values())


@pytest.mark.parametrize("is_shown", [True, False])
def test_hosts_learn_what_any_order_of_restores_and_starts_lost(is_shown):
    assert holds(is_shown=is_shown)


@pytest.mark.parametrize(
    "without",
    [
        {"keeps": lambda former, now: False},
        {"asks": False},
        {"is_shown": False, "asks": False},
        # Each host copies one list in each era.
        {"misses": lambda known, copied, told: told and not copied},
        # A digest that tells only whether a list is empty.
        {"misses": lambda known, copied, told: told and not known},
    ],
)
def test_hosts_go_by_the_copy_without_any_one_guard(without):
    assert not holds(**without)
