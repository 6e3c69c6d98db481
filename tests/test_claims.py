"""Tests of the claims on callers' own keys in the core."""

import random

from claim_world import ClaimWorld, KEPT, RAN
import pytest

from corianderdoor.core.claim_log import (
    apply_entry,
    Entry,
    RETENTION_MS,
    slot_key,
)
from corianderdoor.core.claim_messages import ClaimRequest, ReadSlot, SlotRead
from corianderdoor.core.claims import ClaimShard
from corianderdoor.core.errors import Kind, Outcome
from corianderdoor.core.once import Proceed, Replay, RunResult

A, B = b"key-a", b"key-b"

UNKNOWN = RunResult(Outcome.UNKNOWN)
LONG = b"x" * 1_000  # makes an entry of a little more than this size


def fill(world, name, entries, prefix="fill"):
    """Claims so many keys of about 1 KB each."""
    for number in range(entries):
        world.ask(name, f"{prefix}-{number}".encode(), LONG)


def build_world(*names, **fields):
    """Returns a world with the routers `names`."""
    world = ClaimWorld(**fields)
    for name in names:
        world.start(name)
    return world


def test_claim_is_written_before_the_request_may_run():
    world = build_world("r1")
    assert world.ask("r1", A) == Proceed()
    assert world.writes == 1


def test_repeat_at_another_router_gets_the_stored_answer():
    world = build_world("r1", "r2")
    world.ask("r1", A)
    world.settle("r1", A, RAN)
    assert world.ask("r2", A) == Replay(KEPT)
    assert world.runs == {A: 1}


def test_two_routers_that_both_believe_themselves_home_run_a_key_once():
    world = build_world("r1", "r2")
    world.ask("r1", B)
    world.ask("r2", B)  # both now hold the same view
    assert world.ask("r1", A) == Proceed()
    verdict = world.ask("r2", A)
    assert verdict.fault.kind is Kind.IN_PROGRESS
    assert world.runs[A] == 1


@pytest.mark.parametrize("fault", ["lose", "late", "drop"])
def test_lost_answer_of_the_claim_runs_the_key_once(fault):
    world = build_world("r1", "r2")
    world.faults = [fault]
    assert world.ask("r1", A) == Proceed()
    world.land_late()
    assert world.ask("r2", A).fault.outcome is Outcome.UNKNOWN
    assert world.runs == {A: 1}


def test_claim_with_lost_answer_and_replaced_router_is_never_run():
    world = build_world("r1", "r2")
    world.ask("r1", B)
    world.faults = ["end"]
    world.ask("r1", A)
    world.land_late()
    for name in ("r1", "r2"):
        assert world.ask(name, A).fault.kind is Kind.IN_PROGRESS
    world.wait(10_000)
    for name in ("r1", "r2"):
        assert world.ask(name, A).fault.kind is Kind.UNRESOLVED
    assert A not in world.runs


def test_store_down_refuses_not_run_before_sending():
    world = build_world("r1")
    world.down = True
    fault = world.ask("r1", A).fault
    assert (fault.kind, fault.outcome) == (Kind.STORE_FAILED, Outcome.NOT_RUN)
    assert fault.retry_after_ms
    world.down = False
    world.wait(2_000)
    assert world.ask("r1", A) == Proceed()


def test_refusal_with_the_store_down_is_unknown_if_the_key_may_be_a_repeat():
    world = build_world("r1", "r2")
    world.ask("r1", A)
    world.settle("r1", A, RAN)
    world.down = True
    fault = world.ask("r2", A, first=False).fault
    assert (fault.kind, fault.outcome) == (Kind.STORE_FAILED, Outcome.UNKNOWN)
    assert fault.retry_after_ms


def test_known_keys_are_answered_while_the_store_is_down():
    world = build_world("r1")
    world.ask("r1", A)
    world.settle("r1", A, RAN)
    world.down = True
    assert world.ask("r1", A) == Replay(KEPT)
    assert world.ask("r1", B).fault.outcome is Outcome.NOT_RUN


def test_refused_run_frees_the_key_for_every_router():
    world = build_world("r1", "r2")
    world.ask("r1", A)
    world.settle("r1", A, RunResult(Outcome.NOT_RUN))
    assert world.ask("r2", A) == Proceed()


def test_release_that_is_not_written_yet_holds_repeats_back():
    world = build_world("r1", "r2")
    world.ask("r1", A)
    world.down = True
    world.settle("r1", A, RunResult(Outcome.NOT_RUN))
    assert world.ask("r1", A).fault.kind is Kind.IN_PROGRESS
    world.down = False
    assert world.ask("r2", A).fault.kind is Kind.IN_PROGRESS
    world.wait(2_000)
    assert world.ask("r2", A) == Proceed()
    assert world.runs[A] == 2  # the first was refused by the server


def test_claim_written_after_its_request_was_refused_is_released():
    world = build_world("r1", "r2")
    world.ask("r1", B)
    world.faults = ["lose-down"]
    assert world.ask("r1", A).fault.outcome is Outcome.NOT_RUN
    world.down = False
    world.wait(2_000)
    assert world.ask("r2", A) == Proceed()
    assert world.runs[A] == 1


def test_run_without_an_end_is_unknown_everywhere():
    world = build_world("r1", "r2")
    world.ask("r1", A)
    world.settle("r1", A, RunResult(Outcome.UNKNOWN))
    for name in ("r1", "r2"):
        assert world.ask(name, A).fault.kind is Kind.UNRESOLVED


def test_key_with_a_different_body_is_refused():
    world = build_world("r1", "r2")
    world.ask("r1", A, b"f")
    assert world.ask("r2", A, b"g").fault.kind is Kind.KEY_REUSED


def test_claims_that_wait_share_one_write():
    world = build_world("r1", gap_ms=200)
    world.ask("r1", B)
    writes = world.writes
    for number in range(50):
        world.ask("r1", b"k%d" % number)
    assert world.writes == writes
    world.wait(200)
    assert world.writes == writes + 1
    assert len(world.runs) == 51


def test_filled_segment_is_sealed_and_an_old_view_of_it_cannot_claim():
    world = build_world("r1", "r2")
    world.ask("r2", B)
    fill(world, "r1", 120)
    assert len(world.store) == 2
    assert world.ask("r1", A) == Proceed()
    assert world.ask("r2", A).fault.kind is Kind.IN_PROGRESS
    assert world.runs[A] == 1


def test_full_ring_refuses_and_forgets_only_after_the_stated_time():
    world = build_world("r1", slots=2)
    world.ask("r1", A)
    world.settle("r1", A, RAN)
    fill(world, "r1", 300)
    fault = world.ask("r1", B).fault
    assert (fault.kind, fault.outcome) == (Kind.OVERLOADED, Outcome.NOT_RUN)
    assert world.ask("r1", A) == Replay(KEPT)
    held = len(world.books["r1"])
    world.wait(RETENTION_MS)
    assert world.ask("r1", B) == Proceed()
    fill(world, "r1", 95, "again")
    assert len(world.books["r1"]) < held + 10


def test_ending_of_one_claim_does_not_end_another_of_the_same_key():
    claims = {}
    apply_entry(claims, Entry(A, "r2", 1, 0, fingerprint=b"f"))
    apply_entry(claims, Entry(A, "r1", 1, 0, Outcome.NOT_RUN.value))
    apply_entry(claims, Entry(A, "r2", 0, 0, Outcome.NOT_RUN.value))
    assert A in claims


def test_slot_read_before_it_was_sealed_is_read_again_before_a_commit():
    world = build_world("r1")
    world.ask("r1", B)
    before = world.store[slot_key(0, 0)]
    fill(world, "r1", 120)
    book = ClaimShard("r2", 4)
    book.handle(ClaimRequest("q", b"fill-90", LONG, 1_000), 0, 0)
    book.handle(SlotRead(0, *before), 0, 0)
    book.handle(SlotRead(1, *world.store[slot_key(0, 1)]), 0, 0)
    book.handle(SlotRead(2, 0, b""), 0, 0)
    assert book.handle(SlotRead(3, 0, b""), 0, 0) == [ReadSlot(0)]


@pytest.mark.parametrize("seed", range(20))
def test_seeded_mix_of_faults_runs_no_key_twice(seed):
    rng = random.Random(seed)
    world = build_world("r1", "r2", "r3", gap_ms=50)
    running = []
    for _ in range(400):
        name = f"r{rng.randint(1, 3)}"
        key = b"k%d" % rng.randint(0, 30)
        world.faults = [rng.choice(["", "", "", "lose", "late", "drop"])]
        world.down = rng.random() < 0.1
        before = world.runs.get(key, 0)
        world.ask(name, key)
        if world.runs.get(key, 0) > before:
            running.append((name, key))
        if running and rng.random() < 0.5:
            world.settle(*running.pop(), rng.choice([RAN, RAN, UNKNOWN]))
        if rng.random() < 0.05:
            world.start(name)
        if rng.random() < 0.3:
            world.land_late()
        world.wait(rng.randint(0, 100))
    assert max(world.runs.values()) == 1
