"""Tests of minted idempotency keys."""

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


def build_issuer(name="r1", incarnation=7, **fields):
    """Returns an issuer with a fixed seed."""
    return TicketIssuer(name, incarnation, b"s", random.Random(1), **fields)


def request(issuer, key, fingerprint=b"f", now_ms=0, workspace="w1", **fields):
    """Returns the verdict of `issuer` on a request with `key`."""
    return issuer.admit(workspace, key, fingerprint, ROUTERS, now_ms, **fields)


def test_minted_key_runs_once_and_retries_get_the_first_answer():
    issuer = build_issuer()
    key = issuer.mint("w1", 0)
    assert request(issuer, key) == Proceed()
    issuer.settle(key, RunResult(Outcome.RUN, KEPT))
    assert request(issuer, key) == Replay(KEPT)


def test_retry_during_the_run_is_in_progress():
    issuer = build_issuer()
    key = issuer.mint("w1", 0)
    request(issuer, key)
    fault = request(issuer, key).fault
    assert fault.kind is Kind.IN_PROGRESS
    assert fault.outcome is Outcome.UNKNOWN
    assert fault.retry_after_ms


def test_refused_run_may_be_repeated():
    issuer = build_issuer()
    key = issuer.mint("w1", 0)
    request(issuer, key)
    issuer.settle(key, RunResult(Outcome.NOT_RUN))
    assert request(issuer, key) == Proceed()


def test_run_with_unknown_outcome_is_never_repeated():
    issuer = build_issuer()
    key = issuer.mint("w1", 0)
    request(issuer, key)
    issuer.settle(key, RunResult(Outcome.UNKNOWN))
    assert request(issuer, key).fault.kind is Kind.UNRESOLVED


def test_another_router_redirects_to_the_minter():
    key = build_issuer("r1").mint("w1", 0)
    assert request(build_issuer("r2"), key) == Redirect("r1")


def admit_after_stop(issuer, encoded, key, fingerprint=b"f"):
    """Returns the verdict on a key whose minter is gone."""
    lookup = issuer.admit("w1", key, fingerprint, frozenset({"r2"}), 0)
    assert lookup == LookUp("r1", 7, TICKET_VALID_MS)
    record = decode_record(encoded).ok if encoded else None
    return decide_from_record(
        record, lookup, digest_key("w1", key), fingerprint
    )


other_incarnations = pytest.mark.parametrize(
    "issuer", [build_issuer("r1", 8), build_issuer("r2")], ids=["new", "other"]
)


@other_incarnations
def test_key_of_a_minter_without_a_record_is_unknown_and_not_run(issuer):
    key = build_issuer("r1", 7).mint("w1", 0)
    verdict = admit_after_stop(issuer, b"", key)
    assert verdict.fault.outcome is Outcome.UNKNOWN


@other_incarnations
def test_record_of_a_stopped_minter_gives_the_outcomes_of_its_keys(issuer):
    minter = build_issuer("r1", 7)
    keys = [minter.mint("w1", 0) for _ in range(4)]
    results = [RunResult(Outcome.RUN, KEPT), RunResult(Outcome.UNKNOWN)]
    for key, result in zip(keys, results):
        request(minter, key)
        minter.settle(key, result)
    request(minter, keys[2])  # no result is reported
    encoded = minter.build_record(1_000)
    assert admit_after_stop(issuer, encoded, keys[0]) == Replay(KEPT)
    for key in keys[1:3]:
        fault = admit_after_stop(issuer, encoded, key).fault
        assert fault.outcome is Outcome.UNKNOWN
    unused = admit_after_stop(issuer, encoded, keys[3]).fault
    assert (unused.kind, unused.outcome) == (Kind.DRAINING, Outcome.NOT_RUN)
    other = admit_after_stop(issuer, encoded, keys[0], b"g").fault
    assert other.kind is Kind.KEY_REUSED


def test_key_that_the_record_may_lack_is_unknown():
    minter = build_issuer("r1", 7)
    key = minter.mint("w1", 0)
    issuer = build_issuer("r1", 8)
    late_record = minter.build_record(TICKET_VALID_MS)
    truncated = encode_record(0, [UsedKey(b"d", b"x" * 10, "run")] * 40_000)
    for encoded in (late_record, truncated):
        fault = admit_after_stop(issuer, encoded, key).fault
        assert fault.outcome is Outcome.UNKNOWN
    assert len(truncated) < 1_000_000


def test_expired_key_is_not_run():
    issuer = build_issuer()
    key = issuer.mint("w1", 0)
    fault = request(issuer, key, now_ms=TICKET_VALID_MS).fault
    assert fault.kind is Kind.UNRESOLVED


def test_key_with_a_different_body_is_refused():
    issuer = build_issuer()
    key = issuer.mint("w1", 0)
    request(issuer, key, b"f")
    assert request(issuer, key, b"g").fault.kind is Kind.KEY_REUSED


@pytest.mark.parametrize("change", ["workspace", "mac", "form"])
def test_key_that_was_not_minted_here_for_the_caller_does_not_run(change):
    issuer = build_issuer()
    key = issuer.mint("w1", 0)
    workspace = "w2" if change == "workspace" else "w1"
    if change == "mac":
        key = key[:5] + ("A" if key[5] != "A" else "B") + key[6:]
    if change == "form":
        key = key[:12]
    fault = request(issuer, key, workspace=workspace).fault
    assert fault.outcome is Outcome.UNKNOWN


def test_unused_key_does_not_run_on_a_draining_router():
    issuer = build_issuer()
    key = issuer.mint("w1", 0)
    fault = request(issuer, key, in_service=False).fault
    assert (fault.kind, fault.outcome) == (Kind.DRAINING, Outcome.NOT_RUN)
    assert request(issuer, key) == Proceed()


def test_table_is_bounded_and_evicts_only_expired_keys():
    issuer = build_issuer(max_tickets=2)
    keys = [issuer.mint("w1", 0) for _ in range(3)]
    assert request(issuer, keys[0]) == request(issuer, keys[1]) == Proceed()
    issuer.settle(keys[0], RunResult(Outcome.RUN, KEPT))
    refused = request(issuer, keys[2]).fault
    assert (refused.kind, refused.outcome) == (
        Kind.OVERLOADED,
        Outcome.NOT_RUN,
    )
    later = issuer.mint("w1", TICKET_VALID_MS)
    assert request(issuer, later, now_ms=TICKET_VALID_MS) == Proceed()
    assert (len(issuer), issuer.stored_bytes) == (1, 0)
