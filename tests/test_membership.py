"""Tests of membership: many cores in virtual time, with lag and loss."""

import random

import pytest

from bench.members import build_entry, MemberFleet
from corianderdoor.adapters.keyring import Keyring
from corianderdoor.adapters.peer_codec import DatagramEncoder
from corianderdoor.core.members import estimate_bytes, MemberTable
from corianderdoor.core.membership import GOSSIP_BYTES, Membership
from corianderdoor.core.membership_events import Received, Transmit
from corianderdoor.core.membership_messages import (
    Ack,
    Gossip,
    Ping,
    State,
    Update,
)

CONVERGENCE_MS = 40_000
SECOND_MS = 1_000
DETECTION_MS = 15_000


def build_converged_fleet(count=8, regions=1, **fields):
    """Returns a fleet whose members agree on who is alive."""
    fleet = MemberFleet(count, regions, **fields)
    fleet.run_for(CONVERGENCE_MS)
    assert fleet.converged()
    return fleet


def test_crashed_member_and_no_other_is_declared_dead_everywhere():
    fleet = build_converged_fleet(24, 3)
    fleet.stop("entry-005")
    assert fleet.wait_converged(DETECTION_MS) is not None
    assert {name for _, _, name in fleet.deaths()} == {"entry-005"}


def test_joining_member_is_learned_where_the_host_list_lacks_it():
    fleet = build_converged_fleet()
    fleet.entries["entry-100"] = build_entry(100, 1)
    fleet.start("entry-100")
    assert fleet.wait_converged(10 * SECOND_MS) is not None


def test_graceful_leave_is_known_at_once_and_a_stale_list_changes_nothing():
    fleet = build_converged_fleet()
    fleet.leave("entry-003")
    assert fleet.wait_converged(5 * SECOND_MS) is not None
    fleet.start("entry-004")  # reads the list, which still has entry-003
    assert fleet.wait_converged(10 * SECOND_MS) is not None
    fleet.run_for(60 * SECOND_MS)
    assert fleet.converged()
    assert fleet.deaths() == []


def test_short_pause_declares_nobody_dead():
    fleet = build_converged_fleet()
    fleet.stop("entry-002")
    fleet.run_for(2 * SECOND_MS)
    fleet.resume("entry-002")
    fleet.run_for(30 * SECOND_MS)
    assert fleet.deaths() == []


def test_long_paused_member_returns_and_declares_nobody_dead():
    fleet = build_converged_fleet()
    fleet.stop("entry-002")
    fleet.run_for(30 * SECOND_MS)
    assert fleet.count_observers("entry-002", alive=True) == 0
    fleet.resume("entry-002")
    assert fleet.wait_converged(15 * SECOND_MS) is not None
    assert {name for _, _, name in fleet.deaths()} == {"entry-002"}


def test_member_paused_during_a_probe_declares_nobody_dead():
    fleet = build_converged_fleet(3)
    prober = fleet.members["entry-001"]
    fleet.stop("entry-000")
    while not prober.core.is_suspect("entry-000"):
        fleet.run_for(100)
    fleet.stop("entry-001")
    fleet.resume("entry-000")
    fleet.run_for(60 * SECOND_MS)
    fleet.resume("entry-001")
    fleet.run_for(20 * SECOND_MS)
    assert [by for _, by, _ in fleet.deaths() if by == "entry-001"] == []


def test_lost_datagrams_alone_declare_nobody_dead():
    fleet = build_converged_fleet(40, 2, loss=0.05, seed=7)
    fleet.run_for(180 * SECOND_MS)
    assert fleet.deaths() == []


def test_member_that_receives_nothing_spreads_no_deaths():
    fleet = build_converged_fleet()
    fleet.simulation.is_cut = lambda sender, to: to == "entry-001"
    fleet.run_for(60 * SECOND_MS)
    declared_dead = {
        name for _, by, name in fleet.deaths() if by != "entry-001"
    }
    assert declared_dead <= {"entry-001"}
    fleet.simulation.is_cut = lambda sender, to: False
    assert fleet.wait_converged(30 * SECOND_MS) is not None


def test_broken_path_between_two_members_declares_neither_dead():
    fleet = build_converged_fleet()
    pair = {"entry-001", "entry-002"}
    fleet.simulation.is_cut = lambda sender, to: {sender, to} == pair
    fleet.run_for(120 * SECOND_MS)
    assert fleet.deaths() == []


def test_partitioned_regions_converge_apart_and_merge_once_healed():
    fleet = build_converged_fleet(24, 3)
    fleet.simulation.is_cut = lambda one, two: (
        (fleet.region(one) == "region-0") != (fleet.region(two) == "region-0")
    )
    fleet.run_for(120 * SECOND_MS)
    for name, member in fleet.members.items():
        side = fleet.region(name) == "region-0"
        seen = {update.region for update in member.core.alive()}
        assert seen == ({"region-0"} if side else {"region-1", "region-2"})
    fleet.simulation.is_cut = lambda one, two: False
    healed_ms = fleet.simulation.now_ms
    assert fleet.wait_converged(40 * SECOND_MS) is not None
    fleet.run_for(60 * SECOND_MS)
    assert fleet.converged()
    late_deaths = fleet.deaths(healed_ms + 10 * SECOND_MS)
    assert late_deaths == []


def test_loss_of_a_rack_is_detected_completely():
    fleet = build_converged_fleet(24, 3)
    rack = [name for name in fleet.entries if name.endswith(("1", "2"))]
    for name in rack:
        fleet.stop(name)
    assert fleet.wait_converged(30 * SECOND_MS) is not None
    assert {name for _, _, name in fleet.deaths()} == set(rack)


def test_sole_survivor_detects_that_the_others_are_dead():
    fleet = build_converged_fleet(3)
    fleet.stop("entry-000")
    fleet.stop("entry-001")
    assert fleet.wait_converged(60 * SECOND_MS) is not None


def test_flapping_member_ends_as_its_last_incarnation():
    fleet = build_converged_fleet()
    for _ in range(6):
        fleet.stop("entry-006")
        fleet.run_for(3 * SECOND_MS)
        fleet.start("entry-006")
        fleet.run_for(4 * SECOND_MS)
    assert fleet.wait_converged(20 * SECOND_MS) is not None
    fleet.run_for(60 * SECOND_MS)
    assert fleet.converged()
    last = fleet.members["entry-006"].incarnation
    for name in set(fleet.members) - {"entry-006"}:
        (seen,) = (
            update
            for update in fleet.members[name].core.alive()
            if update.name == "entry-006"
        )
        assert seen.incarnation == last


def test_restart_with_a_clock_set_back_raises_its_incarnation():
    fleet = build_converged_fleet()
    fleet.stop("entry-006")
    fleet.run_for(20 * SECOND_MS)
    member = fleet.start("entry-006")
    before = member.incarnation
    own = member.core._own
    member.core._own = own.with_state(State.ALIVE, before - 10**9, 0)
    member.core._gossip_queue._queued.clear()
    member.incarnation = before - 10**9
    assert fleet.wait_converged(20 * SECOND_MS) is not None
    assert member.incarnation > before - 10**9


def test_rolling_restart_of_the_fleet_converges():
    fleet = build_converged_fleet()
    for name in list(fleet.entries):
        fleet.leave(name)
        fleet.run_for(3 * SECOND_MS)
        fleet.start(name)
        fleet.run_for(5 * SECOND_MS)
    assert fleet.wait_converged(15 * SECOND_MS) is not None
    assert fleet.deaths() == []


def test_longest_names_still_fit_a_datagram():
    def long_update(letter, state=State.ALIVE):
        return Update(letter * 128, 5, 0, state, "c:1", "d" * 128, "r" * 128)

    core = Membership(long_update("o"), random.Random(1), 0)
    alive_updates = tuple(map(long_update, "abc"))
    for one in (*alive_updates, long_update("a", State.DEAD)):
        message = Ping(1, Gossip(1, 0, (one,)))
        *_, action = core.handle(Received("b" * 128, 5, message), 10)
    (ack,) = (
        action.message
        for action in core.handle(
            Received("a" * 128, 5, Ping(2, Gossip())), 20
        )
        if isinstance(action, Transmit) and isinstance(action.message, Ack)
    )
    assert ack.gossip.updates[0] == long_update("a", State.DEAD)
    encoder = DatagramEncoder(Keyring(["key"]), "o" * 128, 5)
    assert encoder.encode("a" * 128, ack).is_ok()


def test_longest_update_fits_the_gossip_budget():
    assert estimate_bytes(build_longest()) <= GOSSIP_BYTES


def build_longest():
    """Returns an update with the longest names."""
    return Update("n" * 128, 5, 0, State.ALIVE, "c" * 64, *("x" * 128,) * 2)


def update(incarnation, refutations, state):
    """Returns an update about one member."""
    return Update("m", incarnation, refutations, state, "c:1", "dc", "re")


@pytest.mark.parametrize(
    "older, newer",
    [
        ((5, 0, State.ALIVE), (5, 0, State.DEAD)),
        ((5, 0, State.DEAD), (5, 1, State.ALIVE)),
        ((5, 9, State.LEFT), (6, 0, State.ALIVE)),
        ((0, 0, State.ALIVE), (5, 0, State.DEAD)),
    ],
)
def test_older_update_does_not_replace_a_newer_one(older, newer):
    table = MemberTable()
    table.merge(update(0, 0, State.ALIVE), 0)
    table.merge(update(*newer), 1)
    assert not table.merge(update(*older), 2)
    assert table.get("m").update == update(*newer)


def test_dead_member_is_kept_while_listed_and_removed_after():
    table = MemberTable()
    table.merge(update(5, 0, State.ALIVE), 0)
    table.merge(update(5, 0, State.DEAD), 0)
    table.get("m").listed = True
    assert table.expire(10**9) == []
    table.get("m").listed = False
    assert table.expire(10**9) == ["m"]
    assert not table.merge(update(5, 0, State.DEAD), 10**9)


def test_briefly_isolated_member_declares_nobody_dead():
    fleet = build_converged_fleet()
    fleet.simulation.is_cut = lambda sender, to: to == "entry-001"
    fleet.run_for(7 * SECOND_MS)
    fleet.simulation.is_cut = lambda sender, to: False
    fleet.run_for(20 * SECOND_MS)
    assert [who for _, by, who in fleet.deaths() if by == "entry-001"] == []
