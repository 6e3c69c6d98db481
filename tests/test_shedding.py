"""Tests of early refusal by priority and workspace."""

import random

from corianderdoor.core.rules import Priority
from corianderdoor.core.shedding import Habits, Shedder

LIMIT = 100
NORMAL = Priority.NORMAL


def fill(shedder: Shedder, workspace: str, count: int, priority=NORMAL):
    """Offers `count` requests of weight 1 and returns how many got in."""
    offers = [
        shedder.admit(workspace, priority, 1, LIMIT) for _ in range(count)
    ]
    return sum(fault is None for fault in offers)


def test_lone_workspace_may_use_the_whole_server():
    shedder = Shedder(Habits(0))
    assert fill(shedder, "a", 200) == 90
    assert fill(shedder, "a", 200, Priority.CRITICAL) == 10


def test_lower_priorities_are_shed_first():
    shedder = Shedder(Habits(0))
    assert fill(shedder, "a", 200, Priority.LOW) == 75
    assert fill(shedder, "a", 200, Priority.NORMAL) == 15
    assert fill(shedder, "a", 200, Priority.HIGH) == 5
    assert fill(shedder, "a", 200, Priority.CRITICAL) == 5


def test_surge_leaves_room_for_the_other_workspaces():
    habits = Habits(0)
    habits.observe({"big": 50, "b": 25, "c": 25}, 3_600_000)
    shedder = Shedder(habits)
    assert fill(shedder, "b", 10) == 10
    assert fill(shedder, "c", 10) == 10
    fill(shedder, "surge", 500)
    assert shedder.usage["surge"] <= LIMIT * 0.6
    assert fill(shedder, "b", 10) == 10
    assert fill(shedder, "c", 10) == 10


def test_large_workspace_keeps_its_customary_share():
    habits = Habits(0)
    habits.observe({"big": 80, "b": 10, "c": 10}, 3_600_000)
    shedder = Shedder(habits)
    fill(shedder, "b", 5)
    fill(shedder, "c", 5)
    assert fill(shedder, "big", 80) >= 70


def test_one_heavy_request_runs_on_an_empty_server():
    shedder = Shedder(Habits(0))
    assert shedder.admit("a", NORMAL, 10 * LIMIT, LIMIT) is None


def test_room_never_leaks():
    rng = random.Random(7)
    shedder, held = Shedder(Habits(0)), []
    for _ in range(5_000):
        workspace, weight = f"w{rng.randint(0, 9)}", rng.randint(1, 9)
        priority = Priority(rng.randint(0, 3))
        if shedder.admit(workspace, priority, weight, LIMIT) is None:
            held.append((workspace, weight))
        if held and rng.random() < 0.5:
            shedder.release(*held.pop(rng.randrange(len(held))))
        assert shedder.total == sum(weight for _, weight in held) <= LIMIT
    for workspace, weight in held:
        shedder.release(workspace, weight)
    assert shedder.total == 0
    assert shedder.usage == {}


def test_habits_forget_workspaces_that_left():
    habits = Habits(0)
    habits.observe({"gone": 1}, 3_600_000)
    for hour in range(2, 12):
        habits.observe({"here": 1}, hour * 3_600_000)
    assert habits.weight("gone") == habits.weight("never seen")
