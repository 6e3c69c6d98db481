"""Tests of minted idempotency keys in the core."""

import random

import pytest

from corianderdoor.core.errors import Kind, Outcome
from corianderdoor.core.minted_record import (
    decide_from_record,
    decode_record,
    encode_record,
    UsedKey,
)
from corianderdoor.core.once import (
    digest_key,
    LookUp,
    Proceed,
    Redirect,
    Replay,
    RunResult,
    StoredAnswer,
)
from corianderdoor.core.tickets import TICKET_VALID_MS, TicketIssuer

ROUTERS = frozenset({"r1", "r2"})
KEPT = StoredAnswer(201, (("content-type", "application/json"),), b"{}")


def build_desk(name="r1", incarnation=7, **fields):
    """Returns a desk with a fixed seed."""
    return TicketIssuer(name, incarnation, b"s", random.Random(1), **fields)


def ask(desk, key, fingerprint=b"f", now_ms=0, workspace="w1", **fields):
    """Hands a request with `key` to `desk`."""
    return desk.admit(workspace, key, fingerprint, ROUTERS, now_ms, **fields)


def test_minted_key_runs_once_and_repeats_get_the_first_answer():
    desk = build_desk()
    key = desk.mint("w1", 0)
    assert ask(desk, key) == Proceed()
    desk.settle(key, RunResult(Outcome.RUN, KEPT))
    assert ask(desk, key) == Replay(KEPT)


def test_repeat_during_the_run_is_in_progress():
    desk = build_desk()
    key = desk.mint("w1", 0)
    ask(desk, key)
    fault = ask(desk, key).fault
    assert fault.kind is Kind.IN_PROGRESS
    assert fault.outcome is Outcome.UNKNOWN
    assert fault.retry_after_ms


def test_refused_run_may_be_repeated():
    desk = build_desk()
    key = desk.mint("w1", 0)
    ask(desk, key)
    desk.settle(key, RunResult(Outcome.NOT_RUN))
    assert ask(desk, key) == Proceed()


def test_run_without_an_end_is_never_repeated():
    desk = build_desk()
    key = desk.mint("w1", 0)
    ask(desk, key)
    desk.settle(key, RunResult(Outcome.UNKNOWN))
    assert ask(desk, key).fault.kind is Kind.UNRESOLVED


def test_another_router_sends_the_caller_to_the_minter():
    key = build_desk("r1").mint("w1", 0)
    assert ask(build_desk("r2"), key) == Redirect("r1")


def ask_after_the_end(desk, left, key, fingerprint=b"f"):
    """Hands in a key whose minter is gone and left the record `left`."""
    asked = desk.admit("w1", key, fingerprint, frozenset({"r2"}), 0)
    assert asked == LookUp("r1", 7, TICKET_VALID_MS)
    record = decode_record(left).ok if left else None
    return decide_from_record(
        record, asked, digest_key("w1", key), fingerprint
    )


gone = pytest.mark.parametrize(
    "desk", [build_desk("r1", 8), build_desk("r2")], ids=["new", "other"]
)


@gone
def test_key_of_a_minter_that_left_nothing_is_unknown_and_not_run(desk):
    key = build_desk("r1", 7).mint("w1", 0)
    verdict = ask_after_the_end(desk, b"", key)
    assert verdict.fault.outcome is Outcome.UNKNOWN


@gone
def test_record_of_a_stopped_minter_tells_what_its_keys_did(desk):
    minter = build_desk("r1", 7)
    keys = [minter.mint("w1", 0) for _ in range(4)]
    endings = [RunResult(Outcome.RUN, KEPT), RunResult(Outcome.UNKNOWN)]
    for key, ending in zip(keys, endings):
        ask(minter, key)
        minter.settle(key, ending)
    ask(minter, keys[2])  # its run never ends
    left = minter.build_record(1_000)
    assert ask_after_the_end(desk, left, keys[0]) == Replay(KEPT)
    for key in keys[1:3]:
        fault = ask_after_the_end(desk, left, key).fault
        assert fault.outcome is Outcome.UNKNOWN
    unused = ask_after_the_end(desk, left, keys[3]).fault
    assert (unused.kind, unused.outcome) == (Kind.DRAINING, Outcome.NOT_RUN)
    other = ask_after_the_end(desk, left, keys[0], b"g").fault
    assert other.kind is Kind.KEY_REUSED


def test_key_that_the_record_may_have_lost_is_unknown():
    minter = build_desk("r1", 7)
    key = minter.mint("w1", 0)
    desk = build_desk("r1", 8)
    late = minter.build_record(TICKET_VALID_MS)
    cut = encode_record(0, [UsedKey(b"d", b"x" * 10, "run")] * 40_000)
    for left in (late, cut):
        fault = ask_after_the_end(desk, left, key).fault
        assert fault.outcome is Outcome.UNKNOWN
    assert len(cut) < 1_000_000


def test_expired_key_is_not_run():
    desk = build_desk()
    key = desk.mint("w1", 0)
    fault = ask(desk, key, now_ms=TICKET_VALID_MS).fault
    assert fault.kind is Kind.UNRESOLVED


def test_key_with_a_different_body_is_refused():
    desk = build_desk()
    key = desk.mint("w1", 0)
    ask(desk, key, b"f")
    assert ask(desk, key, b"g").fault.kind is Kind.KEY_REUSED


@pytest.mark.parametrize("change", ["workspace", "mac", "form"])
def test_key_that_was_not_minted_here_for_the_caller_does_not_run(change):
    desk = build_desk()
    key = desk.mint("w1", 0)
    workspace = "w2" if change == "workspace" else "w1"
    if change == "mac":
        key = key[:5] + ("A" if key[5] != "A" else "B") + key[6:]
    if change == "form":
        key = key[:12]
    fault = ask(desk, key, workspace=workspace).fault
    assert fault.outcome is Outcome.UNKNOWN


def test_unused_key_does_not_run_on_a_host_out_of_service():
    desk = build_desk()
    key = desk.mint("w1", 0)
    fault = ask(desk, key, in_service=False).fault
    assert (fault.kind, fault.outcome) == (Kind.DRAINING, Outcome.NOT_RUN)
    assert ask(desk, key) == Proceed()


def test_table_is_bounded_and_forgets_only_expired_keys():
    desk = build_desk(max_tickets=2)
    keys = [desk.mint("w1", 0) for _ in range(3)]
    assert ask(desk, keys[0]) == ask(desk, keys[1]) == Proceed()
    desk.settle(keys[0], RunResult(Outcome.RUN, KEPT))
    refused = ask(desk, keys[2]).fault
    assert (refused.kind, refused.outcome) == (
        Kind.OVERLOADED,
        Outcome.NOT_RUN,
    )
    later = desk.mint("w1", TICKET_VALID_MS)
    assert ask(desk, later, now_ms=TICKET_VALID_MS) == Proceed()
    assert (len(desk), desk.stored_bytes) == (1, 0)
