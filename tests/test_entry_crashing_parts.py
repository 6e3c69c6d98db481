"""Tests of prompt parts that crash each server that answers them."""

from __future__ import annotations

from collections.abc import Iterator

from loguru import logger
import pytest

from corianderdoor.standins.entry_fleet import EntryFleet

# The operators count from this long after the fifth crash, and allow so many
# more requests with the part to reach servers.
CONNECTIVITY_MS = {8: 3_000, 69: 4_000, 330: 5_000}
ALLOWED_LATE = 3


@pytest.fixture(autouse=True)
def without_logs() -> Iterator[None]:
    """Leaves out the lines of hundreds of hosts."""
    logger.disable("corianderdoor")
    yield
    logger.enable("corianderdoor")


# Guards against a prompt part that goes on crashing servers under requests of
# which no two are alike.
@pytest.mark.parametrize("hosts, servers", [(8, 5), (69, 30), (330, 60)])
@pytest.mark.parametrize("share", [0.03, 0.2])
def test_crashing_part_is_kept_away_from_servers(hosts, servers, share):
    connectivity_ms = CONNECTIVITY_MS[hosts]
    fleet = EntryFleet(
        hosts, servers, per_s=4.0 * servers, crashing_share=share, seed=hosts
    ).run(24_000 if hosts == 8 else 14_000)
    assert fleet.count_late(connectivity_ms) <= ALLOWED_LATE


# Guards against sound requests that are refused with the crashing ones.
@pytest.mark.parametrize("seed", [1, 2])
def test_sound_requests_beside_a_crashing_part_are_served(seed):
    fleet = EntryFleet(8, 5, crashing_share=0.2, seed=seed).run(26_000)
    fifth_ms = fleet.crashes[4]
    usual = fleet.begun_share(1_000, 4_000)
    later = fleet.begun_share(fifth_ms + 6_000, 25_000)
    assert later >= 0.9 * usual
    reasons = [why for at, why in fleet.refused if at > fifth_ms + 6_000]
    assert "breaks-servers" not in reasons
