"""Tests of the loads of servers when requests arrive in clumps."""

from __future__ import annotations

from collections.abc import Iterator

from loguru import logger
import pytest

from corianderdoor.standins.entry_fleet import EntryFleet

# The operators allow three in a hundred requests of five seconds to reach a
# server that holds more than twice the mean and three.
MAX_SHARE_ABOVE = 0.03
CLUMP = 3.0
# One first part begins a third of the prompts.
FIRST_PARTS = {"hot": 6.0, **{f"first-{number}": 1.0 for number in range(12)}}


@pytest.fixture(autouse=True)
def without_logs() -> Iterator[None]:
    """Leaves out the lines of hundreds of hosts."""
    logger.disable("corianderdoor")
    yield
    logger.enable("corianderdoor")


def build_fleet(hosts, servers, seed=1, **options):
    """Returns a fleet whose servers hold three requests on average."""
    fleet = EntryFleet(
        hosts, servers, per_s=2.9 * servers, crashing_share=0.0, seed=seed
    )
    fleet.callers.clump = CLUMP
    fleet.callers.first_parts = FIRST_PARTS
    for name, value in options.items():
        setattr(fleet.callers, name, value)
    return fleet


# Guards against servers that get far more than the others: hosts that knew
# the same old loads sent new chats to the same servers (kestrel-lagoon-grown).
@pytest.mark.parametrize(
    "hosts, servers, until_ms",
    [(8, 5, 20_000), (69, 30, 12_000), (101, 70, 10_000), (330, 200, 6_000)],
)
def test_new_chats_in_clumps_overload_no_server(hosts, servers, until_ms):
    fleet = build_fleet(hosts, servers, sessions=60 * servers)
    fleet.run(until_ms)
    assert fleet.load_audit.worst_share() <= MAX_SHARE_ABOVE
    assert not fleet.refused


# Guards against the same at the server that has a popular chat cached.
@pytest.mark.parametrize(
    "hosts, servers, hot_share",
    [(8, 5, 0.3), (69, 30, 0.15), (101, 70, 0.12), (101, 70, 0.28)],
)
def test_popular_chat_overloads_no_server(hosts, servers, hot_share):
    fleet = build_fleet(
        hosts, servers, sessions=30 * servers, hot_share=hot_share
    )
    fleet.run(12_000)
    assert fleet.load_audit.worst_share() <= MAX_SHARE_ABOVE
    assert not fleet.refused


# Guards against the same where requests have no prompt and end before other
# hosts learn of them: all hosts took the server that had been idle.
@pytest.mark.parametrize(
    "hosts, servers, per_s",
    [(8, 3, 40), (66, 3, 120), (101, 3, 94), (101, 3, 200), (330, 5, 200)],
)
def test_short_requests_in_clumps_overload_no_server(hosts, servers, per_s):
    for seed in range(1 if hosts == 330 else 4):
        fleet = EntryFleet(
            hosts,
            servers,
            per_s=float(per_s),
            crashing_share=0.0,
            seed=seed,
            slots=6,
            work_ms=45,
        )
        fleet.callers.clump = CLUMP
        fleet.callers.has_prompts = False
        fleet.run(6_000)
        assert fleet.load_audit.worst_share() <= MAX_SHARE_ABOVE
        assert not fleet.refused
