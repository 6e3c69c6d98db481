"""Tests of the verdicts on crashing requests that the store keeps."""

from __future__ import annotations

import json

from loguru import logger
import pytest
from verdict_fleet import (
    Fleet,
    Host,
    KINDS,
    NAMES,
    STEP_MS,
)

from corianderdoor.core.entry.crash_verdicts import (
    KEEP_MS,
    MAX_VERDICT_MS,
    MAX_VERDICTS,
)
from corianderdoor.core.entry.part_blame import NEW_PART_MS
from corianderdoor.core.entry.part_reports import PartReport
from corianderdoor.core.entry.replica import Change, Page
from corianderdoor.core.entry.request_blame import FIRST_VERDICT_MS
from corianderdoor.core.entry.stored_verdicts import (
    REFRESH_MS,
    StoredVerdicts,
)
from corianderdoor.entry.verdict_writer import (
    BACKUP_MS,
    LATE_MS,
    LEASE_MS,
)
from corianderdoor.platform.decoding import RecordError
from corianderdoor.platform.verdict_records import (
    decode_verdicts,
    encode_verdicts,
    VERDICTS_KEY,
)


# Guards against hosts that are all killed at once and know no verdict then:
# the request, or the part, crashed three more servers.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("restarts", [1, 3])
def test_restart_of_all_hosts_keeps_a_verdict(kind, restarts):
    fleet = Fleet()
    fleet.convict(kind)
    for _ in range(restarts):
        fleet.start_all()
        assert fleet.send_everywhere(kind) == 0
    assert fleet.runs == 3


# Guards against more trials after a restart than without one.
@pytest.mark.parametrize("kind", KINDS)
def test_trials_go_on_as_before_after_a_restart(kind):
    fleet = Fleet()
    fleet.convict(kind)
    fleet.step(30_000)
    fleet.start_all()
    for _ in range(180):
        fleet.step(20_000)
        fleet.send_everywhere(kind)
        if fleet.sent % 100 == 0:
            fleet.start_all()
    # Trials at 1, 5 and 21 minutes.
    assert fleet.runs <= 3 + 3


# Guards against ages that are compared over clocks of different hosts, or
# that begin anew with each restart.
def test_age_of_a_verdict_goes_on_after_a_restart():
    fleet = Fleet()
    fleet.convict("request")
    fleet.step(FIRST_VERDICT_MS - 3 * REFRESH_MS)
    fleet.start_all()
    fleet.step(REFRESH_MS)
    assert fleet.send_everywhere("request") == 0
    fleet.step(2 * REFRESH_MS + STEP_MS * len(NAMES))
    assert fleet.send_everywhere("request") == 1


# Guards against a verdict that comes back from the store after its end.
@pytest.mark.parametrize("kind", KINDS)
def test_verdict_that_has_ended_stays_ended_after_a_restart(kind):
    fleet = Fleet()
    fleet.convict(kind)
    fleet.answer(kind, "h1")
    fleet.step(2 * STEP_MS)
    assert fleet.stored().verdicts == ()
    fleet.start_all()
    assert fleet.send(kind, "h0")
    assert fleet.count_verdicts() == [0, 0, 0]


# Guards against an answer that ends a verdict at one host only, as the
# others have no crashes left that tell them to report it.
def test_answer_after_a_restart_ends_the_verdict_at_all_hosts():
    fleet = Fleet()
    fleet.convict("request")
    fleet.start_all()
    fleet.step()
    fleet.answer("request", "h1")
    fleet.share()
    fleet.share()
    assert fleet.count_verdicts() == [0, 0, 0]


# Guards against a restored store that brings back a verdict which has ended,
# to hosts that ran all the while and to those that start then.
def test_older_copy_of_the_store_brings_no_verdict_back():
    fleet = Fleet()
    fleet.convict("request")
    copy = fleet.state.take_snapshot()
    fleet.answer("request", "h1")
    fleet.step(2 * STEP_MS)
    fleet.state.restore(copy)
    late = fleet.start("h9")
    assert len(late.crashing.verdicts) == 1
    fleet.step(2 * STEP_MS)
    assert fleet.count_verdicts() == [0, 0, 0, 0]
    assert fleet.stored() == StoredVerdicts(fleet.state.era, ())


# Guards against a verdict that a restored store has lost, and that nobody
# writes again.
def test_verdict_is_written_again_after_a_restore_that_lost_it():
    fleet = Fleet()
    copy = fleet.state.take_snapshot()
    fleet.convict("request")
    fleet.state.restore(copy)
    assert fleet.stored() is None
    fleet.step(2 * STEP_MS)
    fleet.start_all()
    assert fleet.send_everywhere("request") == 0


# Guards against hosts that need the store for a verdict. If it is away until
# all hosts were killed, the request has to crash three more servers.
def test_store_that_is_away_leaves_the_verdict_with_the_hosts():
    fleet = Fleet()
    fleet.away = True
    fleet.convict("request")
    fleet.start("h1")
    fleet.step(2_000)
    assert fleet.send_everywhere("request") == 0
    fleet.start_all()
    fleet.away = False
    fleet.step()
    fleet.convict("request")
    assert fleet.runs == 6


# Guards against verdicts of an outage that are not written after it.
def test_verdict_of_an_outage_is_written_after_it():
    fleet = Fleet()
    fleet.away = True
    fleet.convict("request")
    fleet.away = False
    fleet.step(2 * STEP_MS)
    fleet.start_all()
    assert fleet.send_everywhere("request") == 0


# Guards against a record that only the first host can write, which the store
# may refuse, or which was killed.
@pytest.mark.parametrize("killed", [False, True])
def test_another_host_writes_in_place_of_the_first(killed):
    fleet = Fleet()
    fleet.step()
    first = min(
        fleet.hosts.values(), key=lambda h: not h.peers.is_first(h.now_ms)
    )
    if killed:
        del fleet.hosts[first.name]
        fleet.names = [name for name in NAMES if name != first.name]
    first.client.refused = True
    fleet.convict("request")
    fleet.step(BACKUP_MS + STEP_MS)
    fleet.names = NAMES
    fleet.start_all()
    assert fleet.send_everywhere("request") == 0


# Guards against verdicts that are not written during an upgrade, as the hosts
# that watch the store are of the release before.
def test_verdict_is_written_beside_hosts_of_the_release_before():
    fleet = Fleet([f"h{number}" for number in range(5)])
    fleet.step(2 * STEP_MS)
    fleet.former = [
        host.name
        for host in fleet.hosts.values()
        if host.peers.should_watch(host.now_ms)
    ]
    assert 0 < len(fleet.former) < 5
    fleet.convict("request")
    fleet.step(LATE_MS + STEP_MS)
    assert len(fleet.stored().verdicts) == 1
    fleet.start_all()
    assert fleet.send_everywhere("request") == 0


# Guards against a fleet that calls a store again and again which refuses what
# the hosts write.
def test_calls_are_bounded_while_the_store_refuses_them():
    fleet = Fleet([f"h{number}" for number in range(40)])
    fleet.step(2 * STEP_MS)
    for host in fleet.hosts.values():
        host.client.refused = True
        host.crashing.verdicts.convict(1, host.now_ms, MAX_VERDICT_MS)
    fleet.step(20_000)
    # Two calls a second of the first host, and one in five of each other.
    assert fleet.count_calls() <= 2 * 20 + 39 * 20_000 // 5_000


# Guards against a host that starts alone, takes a verdict for younger than
# it is, and has its peers put the trial off.
def test_host_that_starts_learns_the_age_from_its_peers():
    fleet = Fleet()
    fleet.convict("request")
    for _ in range(5):
        fleet.step(9_000)
        fleet.start("h1")
    fleet.step(FIRST_VERDICT_MS - 5 * 9_000 + STEP_MS * len(NAMES))
    assert fleet.send_everywhere("request") == 1


# Guards against calls to the store while no request crashes servers.
def test_hosts_make_no_calls_without_a_verdict():
    fleet = Fleet()
    fleet.step(30_000)
    assert fleet.count_calls() == 0


# Guards against calls for each of many verdicts, and against records that
# stay in the store, or are written, for ever.
def test_calls_and_size_are_bounded_and_the_record_goes():
    fleet = Fleet()
    for number in range(2 * MAX_VERDICTS):
        for host in fleet.hosts.values():
            host.crashing.verdicts.convict(
                2**64 - 1 - number, host.now_ms, MAX_VERDICT_MS
            )
    fleet.step(60_000)
    stored = fleet.stored()
    assert stored is not None and len(stored.verdicts) == MAX_VERDICTS
    assert len(encode_verdicts(stored)) <= 80 * MAX_VERDICTS
    # One lease, the verdicts at once, and their ages.
    assert fleet.count_calls() <= 2 + 60_000 // REFRESH_MS
    fleet.step(MAX_VERDICT_MS + KEEP_MS)
    calls = fleet.count_calls()
    assert fleet.stored() == StoredVerdicts(fleet.state.era, ())
    fleet.step(LEASE_MS)
    assert fleet.stored() is None
    assert fleet.count_calls() == calls


# Guards against a record that outlives hosts which don't come back.
def test_record_ends_when_all_hosts_are_gone():
    fleet = Fleet()
    fleet.convict("request")
    fleet.hosts.clear()
    fleet.step(LEASE_MS)
    assert fleet.stored() is None


# Guards against a record of another writer that stops hosts, is logged again
# and again, or stays in place of verdicts.
@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        b"[]",
        b'{"era": 1}',
        b'{"era": 1, "verdicts": [{"suspect": -1, "age_ms": 0}]}',
    ],
)
def test_unreadable_record_is_refused_and_written_again(value):
    fleet = Fleet()
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    for _ in range(2):
        fleet.state.put(VERDICTS_KEY, value)
        fleet.step()
    logger.remove(sink)
    assert sum("record_invalid" in line for line in lines) == len(NAMES)
    for host in fleet.hosts.values():
        counted = host.planner.counters.read("refused_records")
        assert sum(count for _, count in counted) == 2
    assert fleet.count_calls() == 0
    fleet.convict("request")
    fleet.start_all()
    assert fleet.send_everywhere("request") == 0


# Guards against values that a host can't hold or pass on.
@pytest.mark.parametrize(
    "fields",
    [
        {"suspect": 2**64},
        {"suspect": -1},
        {"age_ms": -1},
        {"period_ms": 0},
        {"period_ms": MAX_VERDICT_MS + 1},
        {"period_ms": True},
    ],
)
def test_verdict_out_of_range_is_refused(fields):
    verdict = {"suspect": 1, "age_ms": 1, "period_ms": NEW_PART_MS, **fields}
    with pytest.raises(RecordError):
        decode_verdicts(json.dumps({"era": 1, "verdicts": [verdict]}).encode())


def test_too_many_verdicts_are_refused():
    verdict = {"suspect": 1, "age_ms": 1, "period_ms": 1}
    value = {"era": 1, "verdicts": [verdict] * (MAX_VERDICTS + 1)}
    with pytest.raises(RecordError):
        decode_verdicts(json.dumps(value).encode())


# Guards against a record of a later release that hosts can't read.
def test_fields_of_a_later_release_are_ignored():
    verdict = {"suspect": 1, "age_ms": 2, "period_ms": 3, "cause": "x"}
    value = json.dumps({"era": 4, "verdicts": [verdict], "new": []}).encode()
    assert decode_verdicts(value) == StoredVerdicts(
        4, (PartReport(1, None, 2, 3),)
    )


# Guards against hosts that know different verdicts and write over each
# other's record, so that it lacks some when all hosts are killed.
def test_hosts_that_disagree_on_a_verdict_do_not_write_for_ever():
    fleet = Fleet()
    fleet.step()
    fleet.convict("request")
    # The second watcher has not received it, and receives no heartbeats.
    first = next(
        host
        for host in fleet.hosts.values()
        if host.peers.is_first(host.now_ms)
    )
    alone = next(
        host
        for host in fleet.hosts.values()
        if host is not first and host.peers.should_watch(host.now_ms)
    )
    alone.crashing.verdicts.restore((), alone.now_ms)
    for suspect in list(alone.crashing.verdicts._verdicts):
        alone.crashing.verdicts.release(suspect)
    share = fleet.share

    def share_without_it():
        kept = fleet.hosts
        fleet.hosts = {
            name: host for name, host in kept.items() if host is not alone
        }
        share()
        fleet.hosts = kept

    fleet.share = share_without_it
    before = fleet.count_calls()
    lacking = 0
    for _ in range(120):
        fleet.step(500)
        lacking += not fleet.stored().verdicts
    # The ages are written again every 10 s.
    assert fleet.count_calls() - before < 12
    assert lacking == 0


# Guards against a verdict that has ended and comes back: the record is gone,
# and only a peer that lags behind still has it.
def test_verdict_of_an_older_copy_ends_when_the_store_has_no_record():
    fleet = Fleet()
    stored = StoredVerdicts(1, (PartReport(7, None, 5_000, 60_000),))
    host = Host(fleet, "h9", 1_000)
    other = Change("op/other", b"1", 1)
    record = Change(VERDICTS_KEY, encode_verdicts(stored), 5)
    host.applier.apply(Page((other, record), 5, True, 1), "h1", 0)
    assert len(host.crashing.verdicts) == 1
    host.applier.apply(Page((other,), 9, True, 1), "store", 0)
    keeper = host.crashing.keeper
    assert keeper.plan_next(1, 1_100) is None
    assert len(host.crashing.verdicts) == 0
