"""Model checks the configuration protocols, also without each guard."""

from minicheck import check_safety
import pytest

from corianderdoor.core.config import judge_change, Verdict
from corianderdoor.core.config_sync import may_start
from corianderdoor.specs.config import build_hosts, build_operators


def broken(protocol):
    """Returns the names of the invariants that do not hold."""
    result = check_safety(protocol)
    assert result["exhaustive"]
    return {
        name
        for name, found in result["properties"].items()
        if not found["holds"]
    }


def test_configuration_never_reverts():
    assert broken(build_hosts()) == set()


def test_older_revision_replaces_newer_without_the_comparison():
    assert broken(build_hosts(replace=lambda held, new: new != held))


@pytest.mark.parametrize(
    "start",
    [
        lambda held, heard, answers, needed, store: (
            may_start(held, heard, needed, needed, store)  # asks no peer
        ),
        lambda held, heard, answers, needed, store: (
            may_start(held, 0, answers, needed, store)  # not the highest
        ),
        lambda held, heard, answers, needed, store: (
            store or may_start(held, heard, answers, needed, store)
        ),
    ],
)
def test_restart_goes_back_without_any_one_guard(start):
    assert broken(build_hosts(start=start))


def test_change_takes_effect_once_and_is_reported_truthfully():
    assert broken(build_operators()) == set()


@pytest.mark.parametrize(
    "without",
    [
        {"fence": False},
        {"fixed_base": False},
        {"judge": lambda base, found, holds: Verdict.BEATEN},
        {"judge": lambda base, found, holds: Verdict.ACCEPTED},
        {
            "judge": lambda base, found, holds: judge_change(
                base, base + 1, holds  # also trusts stale readings
            )
        },
    ],
)
def test_changes_go_wrong_without_any_one_guard(without):
    assert broken(build_operators(**without))
