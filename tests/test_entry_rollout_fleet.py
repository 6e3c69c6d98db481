"""Tests of rollouts over many hosts with lost and late heartbeats."""

from __future__ import annotations

import pytest

from corianderdoor.core.entry.rollout_records import RolloutState
from corianderdoor.standins.rollout_faults import BAD_KINDS, Kind
from corianderdoor.standins.rollout_fleet import RolloutFleet

BAD = sorted(BAD_KINDS, key=lambda kind: kind.name)
ROLLBACK_MS = 5_000


def check_bounds(fleet):
    """Checks both bounds on a bad version and its final state."""
    assert fleet.exposed <= fleet.exposure_bound
    assert (fleet.rollback_ms() or 0) <= ROLLBACK_MS
    assert fleet.state is RolloutState.REVERTED


@pytest.mark.parametrize("kind", BAD, ids=lambda kind: kind.name)
def test_bad_version_is_reverted_within_both_bounds(kind):
    """Guards against each kind of bad version going on."""
    check_bounds(RolloutFleet(kind=kind, seed=3).run())


@pytest.mark.parametrize(
    "kind", [Kind.GOOD, Kind.SICK_SERVER, Kind.BURST, Kind.ALIKE]
)
def test_good_version_completes_within_its_budget(kind):
    """Guards against false reverts and requests that are cut off."""
    fleet = RolloutFleet(kind=kind, seed=4).run()
    assert fleet.state is RolloutState.COMPLETED
    assert fleet.finished_ms < fleet.duration_ms
    assert fleet.cut_off == 0


@pytest.mark.parametrize("seed", [5, 6])
def test_late_and_lost_reports_keep_the_exposure_bounded(seed):
    """Guards against a bound that depends on timely heartbeats."""
    fleet = RolloutFleet(
        24, 400, kind=Kind.FAILS, seed=seed, loss=0.6, max_delay_ms=2_500
    )
    check_bounds(fleet.run())


def test_hosts_without_any_heartbeats_send_nothing_to_the_new_version():
    """Guards against a host that can't learn of a verdict."""
    fleet = RolloutFleet(kind=Kind.FAILS, seed=7, loss=1.0).run()
    assert fleet.exposed == 0


def test_restarts_do_not_renew_the_slack():
    """Guards against exposure that grows with each restart of a host."""
    fleet = RolloutFleet(hosts=8, per_s=60, kind=Kind.GOOD, seed=8)
    for at_ms in range(600, 6_500, 300):
        for host in fleet.hosts:
            fleet.at(at_ms, lambda host=host: fleet.restart(host))
    fleet.run(6_500)
    assert fleet.exposed <= 0.06 * fleet.requests + 25


def test_reverted_version_stays_off_after_all_hosts_restart():
    """Guards against an order that begins again after a restart."""
    fleet = RolloutFleet(kind=Kind.FAILS, seed=9).run(4_000)
    check_bounds(fleet)
    exposed = fleet.exposed
    for host in fleet.hosts:
        fleet.restart(host)
    fleet.run(12_500)
    assert fleet.exposed == exposed


def test_rollout_goes_on_after_one_host_restarts():
    """Guards against a restarted host that holds the fleet up."""
    fleet = RolloutFleet(seed=10)
    fleet.at(5_000, lambda: fleet.restart(fleet.hosts[3]))
    assert fleet.run().state is RolloutState.COMPLETED


def test_paused_host_sends_nothing_to_a_version_reverted_meanwhile():
    """Guards against a host that acts on what it knew before a pause."""
    fleet = RolloutFleet(kind=Kind.LATER, seed=11)
    host = fleet.hosts[2]
    fleet.at(5_900, lambda: setattr(host, "paused_until_ms", 9_000))
    check_bounds(fleet.run())
    assert fleet.last_new_ms < 9_000
