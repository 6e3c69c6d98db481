"""The ledger of the versions that may have begun streams."""

from __future__ import annotations

from entry_builders import build_server
import pytest

from corianderdoor.core.entry.begun_streams import BegunStreams, MAX_BEGUN
from corianderdoor.core.entry.replica import Change
from corianderdoor.core.entry.servers import Servers
from corianderdoor.core.entry.stream_versions import StreamOrigin
from corianderdoor.core.entry.version_history import VersionHistory
from corianderdoor.core.entry.version_ledger import (
    KnownLedger,
    RETIRE_MS,
    VersionLedger,
)
from corianderdoor.platform.changes import decode_change, UnusableRecord
from corianderdoor.platform.records import RecordError
from corianderdoor.platform.stream_records import (
    decode_begun,
    decode_ledger,
    encode_begun,
    encode_ledger,
    LEDGER_KEY,
)

ERA = 3


class View:
    """What one host knows of the servers and of the ledger."""

    def __init__(self, *versions, stored=None, era=ERA):
        self.known = KnownLedger()
        self.servers = Servers()
        self.history = VersionHistory()
        self.now_ms = 0
        self.era = era
        self.list_versions(*versions)
        if stored is not None:
            self.known.record(stored, era)

    def list_versions(self, *versions):
        """Lists one server of each of these versions and no others."""
        for server in list(self.servers.all()):
            self.servers.remove(server.id, self.now_ms)
        for version in versions:
            server = build_server(f"s-{version}", version=version)
            self.servers.put(server, self.now_ms)

    def advance(self, duration_ms, in_contact=True):
        """Lets time pass."""
        for _ in range(duration_ms // 1_000):
            self.now_ms += 1_000
            self.history.update(self.servers, in_contact, self.now_ms)

    def plan(self, first_start=False):
        """Returns the versions and completeness of the ledger to write."""
        planned = self.known.plan_next(
            self.servers, self.history, self.era, first_start, self.now_ms
        )
        if planned is None:
            return None
        self.known.record(planned, self.era)
        assert planned.era == self.era
        return planned.versions.get("llm", frozenset()), planned.complete

    def find_only(self):
        """Returns the only version by the known ledger."""
        return self.known.find_only("llm", self.servers, self.era)


def build_ledger(*versions, era=ERA, complete=True):
    """Returns a ledger of one service."""
    return VersionLedger(era, {"llm": frozenset(versions)}, complete)


def test_first_ledger_is_complete_only_if_no_host_has_served_before():
    assert View("v1").plan(first_start=True) == ({"v1"}, True)
    view = View("v1")
    assert view.plan() == ({"v1"}, False)
    assert view.find_only() is None
    view.advance(RETIRE_MS + 1_000)
    assert view.plan() == ({"v1"}, True)
    assert view.find_only() == "v1"


# Guards against streams of hosts without a ledger, at a version that has left
# while this host saw the list.
def test_time_before_the_ledger_does_not_make_it_complete():
    view = View("v1", "v2")
    view.advance(RETIRE_MS)
    view.list_versions("v2")
    assert view.plan() == ({"v2"}, False)
    view.advance(RETIRE_MS - 1_000)
    assert view.plan() is None
    view.advance(1_000)
    assert view.plan() == ({"v2"}, True)


def test_nothing_is_written_while_the_ledger_is_right_or_nothing_is_listed():
    assert View("v1", stored=build_ledger("v1")).plan() is None
    assert View().plan(first_start=True) is None


def test_new_version_is_added_and_makes_the_service_mixed():
    view = View("v1", "v2", stored=build_ledger("v1"))
    assert view.find_only() is None
    assert view.plan() == ({"v1", "v2"}, True)
    assert view.find_only() is None


# Guards against a host that has just started, has lost contact or was
# suspended, and so has not seen that a version was away for long enough.
def test_version_is_retired_only_after_it_was_seen_to_be_away_for_long():
    view = View("v2", stored=build_ledger("v1", "v2"))
    view.advance(RETIRE_MS - 1_000)
    view.advance(1_000, in_contact=False)
    view.advance(RETIRE_MS)
    assert view.plan() is None
    view.history.record_pause()
    view.advance(RETIRE_MS)
    assert view.plan() is None
    view.list_versions("v1", "v2")
    view.advance(1_000)
    view.list_versions("v2")
    view.advance(RETIRE_MS - 1_000)
    assert view.plan() is None
    view.advance(2_000)
    assert view.plan() == ({"v2"}, True)
    assert view.find_only() == "v2"


# Guards against ORDER after a restore: the copy may be older than a version
# that has come since, and whose servers have left again.
def test_ledger_from_a_restored_store_is_no_evidence_until_written_again():
    old, current = build_ledger("v1"), build_ledger("v1", "v2")
    view = View("v1", stored=current)
    view.era += 1
    view.known.record(old, view.era)
    assert view.find_only() is None
    # This host knows what the store had before, but not what others wrote.
    assert view.plan() == ({"v1", "v2"}, False)
    view = View("v1", era=ERA + 1, stored=old)
    assert view.find_only() is None
    assert view.plan() == ({"v1"}, False)
    view.advance(RETIRE_MS + 1_000)
    assert view.plan() == ({"v1"}, True)


def test_ledger_that_a_restore_lost_is_written_again():
    view = View("v1", stored=build_ledger("v1", "v2"))
    view.era += 1
    view.known.record(None, view.era)
    servers = [build_server("s3", version="v3"), build_server("s1")]
    servers[1].version = "v1"
    assert view.known.prefer_recorded("llm", servers) == servers[1:]
    assert view.find_only() is None
    assert view.plan() == ({"v1", "v2"}, False)


def test_streams_begin_anywhere_if_no_recorded_version_is_in_service():
    servers = [build_server("s1", version="v2")]
    known = KnownLedger()
    assert known.prefer_recorded("llm", servers) == servers
    known.record(build_ledger("v1"), ERA)
    assert known.prefer_recorded("llm", servers) == servers
    both = [*servers, build_server("s2", version="v1")]
    assert [s.id for s in known.prefer_recorded("llm", both)] == ["s2"]


def test_records_of_streams_survive_their_encoding():
    ledger = VersionLedger(
        2, {"llm": frozenset({"v1", ""}), "x": frozenset({"2"})}, True
    )
    assert decode_ledger(encode_ledger(ledger)) == ledger
    groups = {
        StreamOrigin("llm", "v1"): [1, 2**64 - 1],
        StreamOrigin("llm", "v2"): [7],
    }
    assert decode_begun(encode_begun(groups)) == {
        1: StreamOrigin("llm", "v1"),
        2**64 - 1: StreamOrigin("llm", "v1"),
        7: StreamOrigin("llm", "v2"),
    }


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff",
        b"[]",
        b"{}",
        b'{"era":1,"versions":{"a":1},"complete":true}',
        b'{"era":1,"versions":{},"complete":1}',
        b'[{"service":"a","version":"1","streams":"AAA="}]',
        b"[" * 100_000,
    ],
)
def test_malformed_records_of_streams_are_no_evidence(value):
    decoded = decode_change(Change(LEDGER_KEY, value, 5))
    assert isinstance(decoded, UnusableRecord)
    if value != b"[]":
        with pytest.raises(RecordError):
            decode_begun(value)


def test_streams_in_progress_are_dropped_when_complete_expired_or_too_many():
    begun = BegunStreams()
    origin, other = StreamOrigin("llm", "v1"), StreamOrigin("chat", "v1")
    begun.add(1, origin, 100)
    begun.add(1, other, 900)
    begun.add(2, other, 900)
    begun.add(3, origin, 900)
    assert begun.revision == 3
    begun.drop_expired(100)
    begun.discard(3)
    begun.discard(4)
    assert begun.group({"llm", "chat"}) == {other: [2]}
    assert begun.group({"llm"}) == {}
    for stream in range(10, 10 + MAX_BEGUN):
        begun.add(stream, origin, 900)
    assert begun.services() == {"llm"}


# Guards against a version that is back for less than the time between two
# looks at the list, and begins streams in it.
def test_version_that_is_back_for_a_moment_is_retired_later():
    view = View("v2", stored=build_ledger("v1", "v2"))
    view.advance(RETIRE_MS - 2_000)
    view.list_versions("v1", "v2")
    assert view.plan() is None
    view.list_versions("v2")
    view.advance(RETIRE_MS - 1_000)
    assert view.plan() is None
    view.advance(2_000)
    assert view.plan() == ({"v2"}, True)
