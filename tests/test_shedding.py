"""Tests of load shedding by priority and workspace."""

import random

from builders import build_req, build_server

from corianderdoor.core.home_placement import HomePlacement
from corianderdoor.core.load_report import LoadReport
from corianderdoor.core.rules import Priority
from corianderdoor.core.shedding import Shedder, WorkspaceShares
from corianderdoor.core.topology import EntryHost, Server

LIMIT = 100
NORMAL = Priority.NORMAL


A, B, C, BIG, SURGE = range(1, 6)


def fill(shedder: Shedder, workspace: int, count: int, priority=NORMAL):
    """Offers `count` requests and returns how many were admitted."""
    admitted = 0
    for _ in range(count):
        total = sum(shedder.usage.values())
        if not shedder.should_shed(workspace, priority, total, LIMIT):
            shedder.admit(workspace)
            admitted += 1
    return admitted


def test_lone_workspace_may_use_the_whole_server():
    shedder = Shedder(WorkspaceShares(0))
    assert fill(shedder, A, 200) == 90
    assert fill(shedder, A, 200, Priority.CRITICAL) == 10


def test_lower_priorities_are_shed_first():
    shedder = Shedder(WorkspaceShares(0))
    assert fill(shedder, A, 200, Priority.LOW) == 75
    assert fill(shedder, A, 200, Priority.NORMAL) == 15
    assert fill(shedder, A, 200, Priority.HIGH) == 5
    assert fill(shedder, A, 200, Priority.CRITICAL) == 5


def test_surge_leaves_capacity_for_the_other_workspaces():
    shares = WorkspaceShares(0)
    shares.observe({BIG: 50, B: 25, C: 25}, 3_600_000)
    shedder = Shedder(shares)
    assert fill(shedder, B, 10) == 10
    assert fill(shedder, C, 10) == 10
    fill(shedder, SURGE, 500)
    assert shedder.usage[SURGE] <= LIMIT * 0.6
    assert fill(shedder, B, 10) == 10
    assert fill(shedder, C, 10) == 10


def test_large_workspace_keeps_its_customary_share():
    shares = WorkspaceShares(0)
    shares.observe({BIG: 80, B: 10, C: 10}, 3_600_000)
    shedder = Shedder(shares)
    fill(shedder, B, 5)
    fill(shedder, C, 5)
    assert fill(shedder, BIG, 80) >= 70


def test_small_server_admits_normal_requests_up_to_its_limit():
    shedder = Shedder(WorkspaceShares(0))
    for _ in range(8):
        total = sum(shedder.usage.values())
        assert not shedder.should_shed(A, NORMAL, total, 8)
        shedder.admit(A)
    assert shedder.should_shed(A, Priority.CRITICAL, 8, 8)


def test_counts_never_leak():
    rng = random.Random(7)
    shedder, held = Shedder(WorkspaceShares(0)), []
    for _ in range(5_000):
        workspace = rng.randint(0, 9)
        priority = Priority(rng.randint(0, 3))
        if not shedder.should_shed(workspace, priority, len(held), LIMIT):
            shedder.admit(workspace)
            held.append(workspace)
        if held and rng.random() < 0.5:
            shedder.release(held.pop(rng.randrange(len(held))))
        assert sum(shedder.usage.values()) == len(held) <= LIMIT
    for workspace in held:
        shedder.release(workspace)
    assert shedder.usage == {}


def test_capacity_is_reserved_between_two_requests_of_a_workspace():
    shares = WorkspaceShares(0)
    shares.observe({A: 3}, 60_000)
    shedder = Shedder(shares)
    assert fill(shedder, SURGE, 500) <= LIMIT * 0.61
    assert fill(shedder, A, 25) == 25


def test_no_capacity_is_reserved_for_idle_workspaces():
    shares = WorkspaceShares(0)
    shares.observe({A: 3}, 60_000)
    shares.observe({SURGE: 3}, 75_000)
    assert fill(Shedder(shares), SURGE, 500) == 90


def test_shares_of_absent_workspaces_expire():
    shares = WorkspaceShares(0)
    shares.observe({A: 1}, 3_600_000)
    for hour in range(2, 12):
        shares.observe({B: 1}, hour * 3_600_000)
    assert shares.share(A) == shares.share(C)


def test_home_reserves_for_other_workspaces_and_higher_priorities():
    placement = HomePlacement("r1", 1.5, random.Random(1), 1)
    placement.set_entries([EntryHost("r1", "dc-a", "r", "", "")], 0)
    placement.set_servers((build_server("e1", capacity=20),), 0)
    report = LoadReport("e1", 1, uptime_ms=900_000, completed=10_000)
    placement.apply_report(report, 0)

    def offer(workspace, number, priority):
        req = build_req(f"{workspace}{number}", workspace=workspace)
        req = req.with_priority(priority)
        chosen = placement.choose(req, "redactor", (), (), 10_000, 6_000)
        return chosen.is_ok() and isinstance(chosen.ok, Server)

    assert offer("calm", 0, NORMAL)
    surge = sum(offer("surge", number, NORMAL) for number in range(100))
    assert surge <= 0.65 * 20
    calm = sum(offer("calm", number, NORMAL) for number in range(1, 5))
    assert calm == 4
    assert not offer("bulk", 1, Priority.LOW)
    assert offer("urgent", 1, Priority.CRITICAL)
