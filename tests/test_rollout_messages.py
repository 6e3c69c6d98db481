"""Orders, records and heartbeats of rollouts, and their garbled forms."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.replica import Change
from corianderdoor.core.entry.rollout_evidence import MAX_ROUTES, MAX_SERVERS
from corianderdoor.core.entry.rollout_records import (
    RolloutOrder,
    RolloutRecord,
    RolloutReport,
    RolloutState,
    RouteCounts,
)
from corianderdoor.entry.peer_codec import (
    decode_heartbeat,
    encode_heartbeat,
    MAX_ROLLOUTS,
    MessageError,
)
from corianderdoor.platform.changes import (
    decode_change,
    RolloutOrderChange,
    RolloutRecordChange,
    UnusableRecord,
)
from corianderdoor.platform.rollouts import (
    decode_order,
    decode_record,
    decode_status,
    encode_order,
    encode_record,
    encode_status,
    ORDER_PREFIX,
    ROLLOUT_PREFIX,
)
from corianderdoor.platform.settings import decode_settings
from corianderdoor.standins.platform_fleet import build_settings

COUNT = st.integers(0, 2**32 - 1)
TEXT = st.text('ab"\\é\x00', min_size=1, max_size=6)
DIGEST = st.integers(0, 2**64 - 1)
REPORTS = st.builds(
    RolloutReport,
    DIGEST,
    DIGEST,
    st.integers(0, 1_000),
    st.booleans(),
    st.lists(
        st.builds(RouteCounts, DIGEST, COUNT, COUNT, COUNT, COUNT),
        max_size=MAX_ROUTES,
    ).map(tuple),
    st.lists(st.tuples(DIGEST, COUNT, COUNT), max_size=MAX_SERVERS).map(tuple),
)
RECORDS = st.builds(
    RolloutRecord,
    st.just("llm"),
    st.integers(0, 2**62),
    TEXT,
    TEXT,
    st.integers(-(2**62), 2**62),
    st.sampled_from(RolloutState),
    st.lists(TEXT).map(tuple),
    st.just(8),
)


def build_heartbeat(reports=()) -> Heartbeat:
    """Returns a heartbeat that carries `reports`."""
    return Heartbeat("h1", 1, 2, 3, False, (), rollouts=tuple(reports))


# Guards against a record that hosts can't read back after a restart.
@given(RECORDS)
def test_record_and_status_are_read_as_written(record):
    assert decode_record("llm", encode_record(record), 8) == record
    status = decode_status("llm", encode_status(record))
    assert status == (record.state.value, record.to)


# Guards against an order that is misread.
@given(st.floats(0.001, 10_000), TEXT)
def test_order_is_read_as_written(duration_s, to):
    order = decode_order("llm", encode_order("llm", to, duration_s), 9)
    assert (order.service, order.to, order.revision) == ("llm", to, 9)
    assert 0 <= order.duration_ms - 1_000 * duration_s < 1


ORDER = {"service": "llm", "to": "v2", "duration_s": 12}


# Guards against an invalid order that starts or replaces a rollout.
@pytest.mark.parametrize(
    "changes",
    [
        {"duration_s": 0},
        {"duration_s": -3},
        {"duration_s": "12"},
        {"duration_s": True},
        {"duration_s": None},
        {"duration_s": 1e300},
        {"to": ""},
        {"to": 2},
        {"service": "other"},
    ],
)
def test_malformed_order_names_nothing(changes):
    key = ORDER_PREFIX + "llm"
    good = decode_change(Change(key, json.dumps(ORDER).encode(), 4))
    expected = RolloutOrder("llm", "v2", 12_000, 4)
    assert good == RolloutOrderChange("llm", expected)
    value = json.dumps({**ORDER, **changes}).encode()
    assert isinstance(decode_change(Change(key, value, 5)), UnusableRecord)
    fewer = {k: v for k, v in ORDER.items() if k not in changes}
    value = json.dumps(fewer).encode()
    assert isinstance(decode_change(Change(key, value, 6)), UnusableRecord)


# Guards against a garbled value that ends the task that reads the store.
@given(
    st.sampled_from((ORDER_PREFIX, ROLLOUT_PREFIX)),
    st.one_of(
        st.binary(max_size=40),
        st.sampled_from(
            (b'{"duration_s": NaN}', b'{"x": ' + b"[" * 5_000, b"1e999")
        ),
        st.dictionaries(
            st.sampled_from(["service", "to", "duration_s", "state"]),
            st.one_of(st.integers(), st.floats(), TEXT, st.none()),
        ).map(lambda fields: json.dumps(fields).encode()),
    ),
)
def test_garbled_value_is_reported_and_nothing_else(prefix, value):
    found = decode_change(Change(prefix + "llm", value, 3))
    if isinstance(found, RolloutOrderChange):
        assert found.order is not None and found.order.duration_ms > 0
    else:
        assert isinstance(found, UnusableRecord)


# Guards against a removal that is taken for a malformed value.
def test_removed_keys_are_told_apart_from_malformed_ones():
    order = decode_change(Change(ORDER_PREFIX + "llm", None, 3))
    record = decode_change(Change(ROLLOUT_PREFIX + "llm", None, 3))
    assert order == RolloutOrderChange("llm", None)
    assert record == RolloutRecordChange("llm", None)


# Guards against counts that change on their way to a peer.
@settings(max_examples=60)
@given(st.lists(REPORTS, max_size=MAX_ROLLOUTS))
def test_reports_arrive_as_sent(reports):
    decoded = decode_heartbeat(encode_heartbeat(build_heartbeat(reports)))
    ordered = sorted(reports, key=lambda report: not report.is_bad)
    assert decoded.rollouts == tuple(ordered)


# Guards against a heartbeat that grows without bound or drops a verdict.
def test_reports_beyond_the_bounds_are_left_out_but_verdicts_stay():
    routes = tuple(RouteCounts(n, 2**40, 1, 1, 1) for n in range(99))
    servers = tuple((2**64 - n, 2**40, 1) for n in range(1, 99))
    reports = [
        RolloutReport(n, 7, 60, n == 98, routes, servers) for n in range(99)
    ]
    data = encode_heartbeat(build_heartbeat(reports))
    assert len(data) - len(encode_heartbeat(build_heartbeat())) < 4_000
    rollouts = decode_heartbeat(data).rollouts
    assert [r.service for r in rollouts] == [98, 0, 1, 2]
    assert len(rollouts[0].routes) == MAX_ROUTES
    assert len(rollouts[0].servers) == MAX_SERVERS
    assert rollouts[0].routes[0].old_answers == 2**32 - 1


# Guards against builds of two releases that can't read each other.
def test_heartbeat_of_an_earlier_release_has_no_reports():
    sent = bytes.fromhex(
        "101550050801090129432c01030358010102111d1a111d1700041111170368371104"
        "020105110246110402010651040108"
    )
    found = decode_heartbeat(sent)
    assert (found.sender, found.boot, found.revision) == ("h7", 9, 41)
    assert (found.loads, found.era) == (((5, 2, 70),), 2)
    assert len(found.rooms) == 1
    assert found.rollouts == ()


# Guards against a damaged datagram that ends the task that reads heartbeats.
@settings(deadline=None)
@given(st.lists(REPORTS, min_size=1, max_size=2), st.data())
def test_damaged_heartbeat_is_refused_or_read(reports, data):
    sent = bytearray(encode_heartbeat(build_heartbeat(reports)))
    place = data.draw(st.integers(0, len(sent) - 1))
    sent[place] = data.draw(st.integers(0, 255))
    try:
        decoded = decode_heartbeat(bytes(sent[: data.draw(st.integers(1))]))
    except MessageError:
        return
    assert len(decoded.rollouts) <= MAX_ROLLOUTS


# Guards against a truncated heartbeat of several segments, on which the
# library ends the process, and against a check that refuses whole ones.
def test_truncated_large_heartbeat_is_refused():
    loads = tuple((n * 2**40 + n, n, n) for n in range(1_500))
    sent = encode_heartbeat(Heartbeat("h1", 1, 2, 3, False, loads))
    assert decode_heartbeat(sent).loads == loads
    for size in [*range(1, 40), *range(40, len(sent), 97)]:
        with pytest.raises(MessageError):
            decode_heartbeat(sent[:size])


# Guards against rollouts where the settings do not ask for them.
def test_settings_name_contracts_and_bounds():
    plain = decode_settings(build_settings("h1", "10.0.0.1", ("10.0.0.2", 1)))
    assert not plain.contracts
    assert (plain.exposure_share, plain.exposure_slack) == (0.1, 50)
    assert plain.rollback_ms == 5_000
    raw = json.loads(build_settings("h1", "10.0.0.1", ("10.0.0.2", 1)))
    raw["contracts"] = ["rollout", 3]
    raw["bounds"].update(exposure_share=0.2, rollback_ms=700.0)
    found = decode_settings(json.dumps(raw).encode())
    assert found.contracts == {"rollout"}
    assert (found.exposure_share, found.rollback_ms) == (0.2, 700)
