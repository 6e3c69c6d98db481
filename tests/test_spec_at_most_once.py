"""Model checks the at-most-once specifications and the need for each guard."""

from minicheck import check_safety
import pytest

from corianderdoor.core.tickets import decide_ticket, Decision, Origin, State
from corianderdoor.specs import claims, tickets

MAX_STATES = 150_000
MUTANT_STATES = 20_000  # a counterexample is valid without a full search
PROPERTY = "runs at most once"


def check(spec, max_states=MAX_STATES):
    """Returns the verdict and the counterexample of a specification."""
    found = check_safety(spec, max_states)["properties"][PROPERTY]
    return found["holds"], found["counterexample"]


def test_minted_key_runs_at_most_once():
    assert check(tickets.build_spec()) == (True, None)


@pytest.mark.parametrize(
    "place, expired, state",
    [
        (Origin.HERE, True, None),
        (Origin.HERE, False, State.RUNNING),
        (Origin.HERE, False, State.RUN),
        (Origin.HERE, False, State.UNKNOWN),
        (Origin.BEFORE, False, None),
        (Origin.ELSEWHERE, False, None),
        (Origin.GONE, False, None),
    ],
)
def test_minted_key_runs_twice_without_any_one_guard(place, expired, state):
    def judge(*case):
        if case == (place, expired, state):
            return Decision.RUN
        return decide_ticket(*case)

    holds, trace = check(tickets.build_spec(judge))
    assert holds is False
    assert trace[-1]["state"]["runs"] == 2


def test_own_key_runs_at_most_once():
    assert check(claims.ClaimSpec().build()) == (True, None)


@pytest.mark.parametrize("guard", sorted(claims.GUARDS))
def test_own_key_runs_twice_without_any_one_guard(guard):
    holds, trace = check(
        claims.ClaimSpec(frozenset({guard})).build(), MUTANT_STATES
    )
    assert holds is False
    assert trace[-1]["state"]["runs"] == 2
