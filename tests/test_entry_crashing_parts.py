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


def count_late(fleet, after_ms) -> int:
    """Returns the sends with the part later than that after five crashes."""
    if len(fleet.crashes) < 5:
        return 0
    return sum(
        at_ms > fleet.crashes[4] + after_ms for at_ms in fleet.crashing_sends
    )


def begun_share(fleet, from_ms, to_ms) -> float:
    """Returns how often sound requests begin at the first attempt."""
    tries = [ok for at, ok in fleet.first_tries if from_ms <= at < to_ms]
    return sum(tries) / max(1, len(tries))


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
    assert count_late(fleet, connectivity_ms) <= ALLOWED_LATE


# Guards against sound requests that are refused with the crashing ones.
@pytest.mark.parametrize("seed", [1, 2])
def test_sound_requests_beside_a_crashing_part_are_served(seed):
    fleet = EntryFleet(8, 5, crashing_share=0.2, seed=seed).run(26_000)
    fifth_ms = fleet.crashes[:5][-1]
    usual = begun_share(fleet, 1_000, 4_000)
    later = begun_share(fleet, fifth_ms + 6_000, 25_000)
    assert later >= 0.9 * usual
    reasons = [why for at, why in fleet.refused if at > fifth_ms + 6_000]
    assert "breaks-servers" not in reasons


def run_disturbed(disturb, **changes) -> EntryFleet:
    """Returns a fleet of eight hosts after `disturb` and a crashing part."""
    options = {"crashing_share": 0.2, "seed": 5, **changes}
    fleet = EntryFleet(8, 5, **options)
    disturb(fleet)
    return fleet.run(20_000)


# Guards against a host that starts without what its peers found out.
def test_restarted_host_learns_of_the_quarantine():
    def disturb(fleet):
        for number in range(8):
            fleet.at(8_000 + 400 * number, fleet.restart, f"h{number}")

    fleet = run_disturbed(disturb)
    assert fleet.crashes
    assert count_late(fleet, CONNECTIVITY_MS[8]) <= ALLOWED_LATE
    assert all(
        len(host.planner.crashing_requests.verdicts)
        for host in fleet.hosts.values()
    )


# Guards against a host that never learns of what it missed.
def test_host_that_was_cut_off_learns_of_the_quarantine():
    def disturb(fleet):
        host = fleet.hosts["h3"]
        fleet.at(3_500, setattr, host, "is_cut_off", True)
        fleet.at(9_000, setattr, host, "is_cut_off", False)

    fleet = run_disturbed(disturb, crashing_share=0.05)
    crashing = fleet.hosts["h3"].planner.crashing_requests
    assert len(crashing.verdicts) == 1
    assert all(at < 9_500 for at in fleet.crashing_sends)


# Guards against rules that hold only while every heartbeat arrives.
@pytest.mark.parametrize("loss, blocked", [(0.4, False), (0.0, True)])
def test_lost_heartbeats_do_not_keep_a_part_in_use(loss, blocked):
    def disturb(fleet):
        names = list(fleet.hosts)
        if blocked:  # each host receives the heartbeats of half of its peers
            for number, name in enumerate(names):
                for step in range(1, 5):
                    fleet.blocked.add((names[(number + step) % 8], name))

    fleet = run_disturbed(disturb, loss=loss)
    assert count_late(fleet, CONNECTIVITY_MS[8]) <= ALLOWED_LATE
    assert "prompt-breaks-servers" not in {why for _, why in fleet.refused}


# Guards against sound parts that are refused after all servers went down.
def test_crashes_of_all_servers_at_once_quarantine_nothing():
    fleet = EntryFleet(8, 5, crashing_share=0.0, per_s=60, seed=3)

    def crash_all():
        for server in list(fleet.servers.values()):
            if server.is_up:
                fleet.crash(server)

    for at_ms in (3_000, 7_000, 11_000):
        fleet.at(at_ms, crash_all)
    fleet.run(16_000)
    assert len(fleet.crashes) == 15
    reasons = {why for _, why in fleet.refused}
    assert not reasons & {"breaks-servers", "prompt-breaks-servers"}
