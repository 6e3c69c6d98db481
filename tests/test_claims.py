"""Tests of claims on idempotency keys chosen by callers."""

import random

from claim_simulation import ClaimSimulation, KEPT, RAN
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
LONG = b"x" * 1_000  # a fingerprint that makes entries of about 1 KB


def claim_keys(sim, name, count, prefix="fill"):
    """Claims `count` keys with log entries of about 1 KB each."""
    for number in range(count):
        sim.request(name, f"{prefix}-{number}".encode(), LONG)


def build_simulation(*names, **fields):
    """Returns a simulation with the routers `names`."""
    sim = ClaimSimulation(**fields)
    for name in names:
        sim.start(name)
    return sim


def test_claim_is_written_before_the_request_may_run():
    sim = build_simulation("r1")
    assert sim.request("r1", A) == Proceed()
    assert sim.writes == 1


def test_retry_at_another_router_gets_the_stored_answer():
    sim = build_simulation("r1", "r2")
    sim.request("r1", A)
    sim.settle("r1", A, RAN)
    assert sim.request("r2", A) == Replay(KEPT)
    assert sim.runs == {A: 1}


def test_two_routers_that_both_act_as_home_run_a_key_once():
    sim = build_simulation("r1", "r2")
    sim.request("r1", B)
    sim.request("r2", B)  # both now have the same view of the log
    assert sim.request("r1", A) == Proceed()
    verdict = sim.request("r2", A)
    assert verdict.fault.kind is Kind.IN_PROGRESS
    assert sim.runs[A] == 1


@pytest.mark.parametrize("fault", ["lose", "late", "drop"])
def test_lost_answer_of_the_claim_runs_the_key_once(fault):
    sim = build_simulation("r1", "r2")
    sim.faults = [fault]
    assert sim.request("r1", A) == Proceed()
    sim.apply_late_writes()
    assert sim.request("r2", A).fault.outcome is Outcome.UNKNOWN
    assert sim.runs == {A: 1}


def test_claim_with_lost_answer_and_replaced_router_is_never_run():
    sim = build_simulation("r1", "r2")
    sim.request("r1", B)
    sim.faults = ["end"]
    sim.request("r1", A)
    sim.apply_late_writes()
    for name in ("r1", "r2"):
        assert sim.request(name, A).fault.kind is Kind.IN_PROGRESS
    sim.advance(10_000)
    for name in ("r1", "r2"):
        assert sim.request(name, A).fault.kind is Kind.UNRESOLVED
    assert A not in sim.runs


def test_unreachable_store_rejects_an_unsent_key_as_not_run():
    sim = build_simulation("r1")
    sim.store_down = True
    fault = sim.request("r1", A).fault
    assert (fault.kind, fault.outcome) == (Kind.STORE_FAILED, Outcome.NOT_RUN)
    assert fault.retry_after_ms
    sim.store_down = False
    sim.advance(2_000)
    assert sim.request("r1", A) == Proceed()


def test_unreachable_store_rejects_a_possible_retry_as_unknown():
    sim = build_simulation("r1", "r2")
    sim.request("r1", A)
    sim.settle("r1", A, RAN)
    sim.store_down = True
    fault = sim.request("r2", A, first=False).fault
    assert (fault.kind, fault.outcome) == (Kind.STORE_FAILED, Outcome.UNKNOWN)
    assert fault.retry_after_ms


def test_known_keys_are_answered_while_the_store_is_unreachable():
    sim = build_simulation("r1")
    sim.request("r1", A)
    sim.settle("r1", A, RAN)
    sim.store_down = True
    assert sim.request("r1", A) == Replay(KEPT)
    assert sim.request("r1", B).fault.outcome is Outcome.NOT_RUN


def test_refused_run_releases_the_key_for_every_router():
    sim = build_simulation("r1", "r2")
    sim.request("r1", A)
    sim.settle("r1", A, RunResult(Outcome.NOT_RUN))
    assert sim.request("r2", A) == Proceed()


def test_retries_wait_until_the_release_is_written():
    sim = build_simulation("r1", "r2")
    sim.request("r1", A)
    sim.store_down = True
    sim.settle("r1", A, RunResult(Outcome.NOT_RUN))
    assert sim.request("r1", A).fault.kind is Kind.IN_PROGRESS
    sim.store_down = False
    assert sim.request("r2", A).fault.kind is Kind.IN_PROGRESS
    sim.advance(2_000)
    assert sim.request("r2", A) == Proceed()
    assert sim.runs[A] == 2  # the server refused the first


def test_claim_written_after_its_request_was_refused_is_released():
    sim = build_simulation("r1", "r2")
    sim.request("r1", B)
    sim.faults = ["lose-down"]
    assert sim.request("r1", A).fault.outcome is Outcome.NOT_RUN
    sim.store_down = False
    sim.advance(2_000)
    assert sim.request("r2", A) == Proceed()
    assert sim.runs[A] == 1


def test_run_with_unknown_outcome_is_unresolved_at_every_router():
    sim = build_simulation("r1", "r2")
    sim.request("r1", A)
    sim.settle("r1", A, RunResult(Outcome.UNKNOWN))
    for name in ("r1", "r2"):
        assert sim.request(name, A).fault.kind is Kind.UNRESOLVED


def test_key_with_a_different_body_is_refused():
    sim = build_simulation("r1", "r2")
    sim.request("r1", A, b"f")
    assert sim.request("r2", A, b"g").fault.kind is Kind.KEY_REUSED


def test_pending_claims_share_one_write():
    sim = build_simulation("r1", commit_interval_ms=200)
    sim.request("r1", B)
    writes = sim.writes
    for number in range(50):
        sim.request("r1", b"k%d" % number)
    assert sim.writes == writes
    sim.advance(200)
    assert sim.writes == writes + 1
    assert len(sim.runs) == 51


def test_full_segment_is_sealed_and_a_stale_view_of_it_cannot_claim():
    sim = build_simulation("r1", "r2")
    sim.request("r2", B)
    claim_keys(sim, "r1", 120)
    assert len(sim.store) == 2
    assert sim.request("r1", A) == Proceed()
    assert sim.request("r2", A).fault.kind is Kind.IN_PROGRESS
    assert sim.runs[A] == 1


def test_full_ring_rejects_and_evicts_only_after_the_retention_time():
    sim = build_simulation("r1", slots=2)
    sim.request("r1", A)
    sim.settle("r1", A, RAN)
    claim_keys(sim, "r1", 300)
    fault = sim.request("r1", B).fault
    assert (fault.kind, fault.outcome) == (Kind.OVERLOADED, Outcome.NOT_RUN)
    assert sim.request("r1", A) == Replay(KEPT)
    claim_count = len(sim.shards["r1"])
    sim.advance(RETENTION_MS)
    assert sim.request("r1", B) == Proceed()
    claim_keys(sim, "r1", 95, "again")
    assert len(sim.shards["r1"]) < claim_count + 10


def test_result_of_one_claim_does_not_end_another_of_the_same_key():
    claims = {}
    apply_entry(claims, Entry(A, "r2", 1, 0, fingerprint=b"f"))
    apply_entry(claims, Entry(A, "r1", 1, 0, Outcome.NOT_RUN.value))
    apply_entry(claims, Entry(A, "r2", 0, 0, Outcome.NOT_RUN.value))
    assert A in claims


def test_slot_read_before_it_was_sealed_is_read_again_before_a_commit():
    sim = build_simulation("r1")
    sim.request("r1", B)
    before = sim.store[slot_key(0, 0)]
    claim_keys(sim, "r1", 120)
    shard = ClaimShard("r2", 4)
    shard.handle(ClaimRequest("q", b"fill-90", LONG, 1_000), 0, 0)
    shard.handle(SlotRead(0, *before), 0, 0)
    shard.handle(SlotRead(1, *sim.store[slot_key(0, 1)]), 0, 0)
    shard.handle(SlotRead(2, 0, b""), 0, 0)
    assert shard.handle(SlotRead(3, 0, b""), 0, 0) == [ReadSlot(0)]


@pytest.mark.parametrize("seed", range(20))
def test_seeded_mix_of_faults_runs_no_key_twice(seed):
    rng = random.Random(seed)
    sim = build_simulation("r1", "r2", "r3", commit_interval_ms=50)
    running = []
    for _ in range(400):
        name = f"r{rng.randint(1, 3)}"
        key = b"k%d" % rng.randint(0, 30)
        sim.faults = [rng.choice(["", "", "", "lose", "late", "drop"])]
        sim.store_down = rng.random() < 0.1
        before = sim.runs.get(key, 0)
        sim.request(name, key)
        if sim.runs.get(key, 0) > before:
            running.append((name, key))
        if running and rng.random() < 0.5:
            sim.settle(*running.pop(), rng.choice([RAN, RAN, UNKNOWN]))
        if rng.random() < 0.05:
            sim.start(name)
        if rng.random() < 0.3:
            sim.apply_late_writes()
        sim.advance(rng.randint(0, 100))
    assert max(sim.runs.values()) == 1
