"""Entries of other writers among those of the servers."""

from __future__ import annotations

import anyio
from entry_builders import build_planner
from hypothesis import given, settings
from hypothesis import strategies as st
import msgspec
import pytest
from test_entry_path import run

from corianderdoor.adapters.http1_connect import connect
from corianderdoor.adapters.staggered import Attempt, open_first
from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.replica import Change, Page
from corianderdoor.entry.backends import ConnectionPool
from corianderdoor.entry import refused_records
from corianderdoor.entry.state_applier import StateApplier
from corianderdoor.platform.changes import (
    decode_change,
    ServerListed,
    UnusableRecord,
)
from corianderdoor.platform.settings import parse_address, SettingsError
from corianderdoor.standins.platform_fleet import (
    METRICS_PORT,
    PLAIN_SERVICE,
    send_request,
)

ENTRY = {
    "service": PLAIN_SERVICE,
    "address": "127.250.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "available",
    "cold_remaining_ms": 0,
    "sequence_number": 3,
    "born": 1_700_000_000_000,
}
NESTED = b'{"x":' + b"[" * 100_000 + b"]" * 100_000
HOSTS = [
    "127..0.1",
    "a..b",
    "a" * 300,
    "127.0.0.1\0",
    "\0",
    "localhost",
    "127.0.0.01",
    "127.1",
    "1.2.3.256",
    "[::1]",
    "::1",
    " 127.0.0.1",
    "127.0.0.1\n",
    "١٢٧.0.0.1",
    "",
    "xn--\u00fc",
]
NOWHERE = ["0.0.0.0", "224.0.0.1", "255.255.255.255"]
PORTS = ["0", "70000", "-1", "+80", "8 0", "9" * 5_000, "", "٨٠"]
DIGITS = b":" + b"9" * 5_000
FIELDS = {
    "service": [""],
    "zone": [""],
    "slots": [0, -1, 1e6 + 1, 10**9, 2.5],
    "state": ["", "gone", "Available"],
    "cold_remaining_ms": [-1, 1e18],
    "sequence_number": [-1, 0.5, 2**63],
    "born": [0, -1, 1.5, 2**63],
}
OTHER_TYPES = [None, True, [], {}, [1], {"a": 1}]
INVALID = [
    {field: value}
    for field in ENTRY
    for value in [
        *FIELDS.get(field, []),
        *OTHER_TYPES,
        1 if isinstance(ENTRY[field], str) else "1",
    ]
]
ADDRESSES = [f"{host}:80" for host in HOSTS]
ADDRESSES += [f"127.250.0.1:{port}" for port in PORTS]


def entry(**changes: object) -> bytes:
    """Returns an entry of a server; `changes` replace its fields."""
    return msgspec.json.encode({**ENTRY, **changes})


def is_refused(value: bytes, key: str = "servers/i-1") -> bool:
    """Returns whether the value of a key is refused."""
    return isinstance(decode_change(Change(key, value, 1)), UnusableRecord)


# Guards against connections to what is no address, for which the event loop
# raises errors that ended callers' connections.
@pytest.mark.parametrize("text", ADDRESSES)
def test_text_that_is_no_address_is_refused(text):
    with pytest.raises(SettingsError):
        parse_address(text)
    assert is_refused(entry(address=text))


def test_entry_with_bytes_that_can_not_be_read_is_refused():
    for where in (b'{"note":"\xff",', b'{"\xff":1,'):
        assert is_refused(entry().replace(b"{", where, 1))


@pytest.mark.parametrize("host", NOWHERE)
def test_address_of_no_host_is_refused(host):
    assert parse_address(f"{host}:80")
    assert is_refused(entry(address=f"{host}:80"))


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.text(max_size=20) | st.from_regex(r"[0-9.]{0,16}:[0-9]{0,7}"))
def test_parsed_address_is_one_of_the_standard_form(text):
    try:
        host, port = parse_address(text)
    except SettingsError:
        return
    assert host.count(".") == 3 and 0 < port <= 65_535


# Guards against an error of a connect other than OSError that ends the
# caller's connection.
@pytest.mark.anyio
@pytest.mark.parametrize("host", ["a..b", "a" * 300, "127.0.0.1\0"])
async def test_connect_to_what_is_no_address_fails_without_an_error(host):
    assert await connect((host, 80), 400, 0) is None


@pytest.mark.anyio
async def test_attempt_that_raises_is_followed_by_the_next_one():
    asked = []

    async def fail() -> None:
        asked.append("first")
        raise UnicodeError("label empty or too long")

    async def find_none() -> None:
        asked.append("second")

    attempts = [Attempt(0, fail), Attempt(5_000, find_none)]
    with anyio.fail_after(2):
        assert await open_first(attempts, 10_000) is None
    assert asked == ["first", "second"]


# Guards against entries of other writers that count as a server's own: a
# field that lacks, has another type, or has a value that can't be.
@pytest.mark.parametrize("field", ENTRY)
def test_entry_without_a_field_is_refused_with_its_name(field):
    value = {name: v for name, v in ENTRY.items() if name != field}
    decoded = decode_change(
        Change("servers/i-1", msgspec.json.encode(value), 1)
    )
    assert isinstance(decoded, UnusableRecord) and decoded.field == field


@pytest.mark.parametrize("changes", INVALID)
def test_entry_with_a_value_that_cannot_be_is_refused(changes):
    decoded = decode_change(Change("servers/i-1", entry(**changes), 1))
    assert isinstance(decoded, UnusableRecord)
    assert decoded.field == next(iter(changes))


@pytest.mark.parametrize("id", ["", "a b", "a\r\nb", "\u00fc", "a\0"])
def test_id_that_fits_in_no_header_is_refused(id):
    assert is_refused(entry(), f"servers/{id}")


def test_entry_of_a_server_is_taken_with_unknown_fields():
    value = entry(another={"deep": [1, None]}, version="", slots=1)
    decoded = decode_change(Change("servers/i-1", value, 1))
    assert isinstance(decoded, ServerListed)
    assert (decoded.server.started_ms, decoded.server.slots) == (
        ENTRY["born"],
        1,
    )


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=4,
)


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.dictionaries(st.sampled_from(list(ENTRY)), JSON, max_size=3))
def test_any_altered_entry_is_refused_or_usable(changes):
    decoded = decode_change(Change("servers/i-1", entry(**changes), 1))
    if isinstance(decoded, UnusableRecord):
        assert decoded.field in changes
        return
    server = decoded.server
    assert server.service and server.data_centre and server.started_ms > 0
    assert 0 < server.slots <= 1_000_000 and server.cold_ms >= 0


class Applied:
    """A host that gets changes of the store one by one."""

    def __init__(self) -> None:
        self.planner = build_planner(servers=0, plain=0)
        self._clock = ManualClock(10_000)
        pool = ConnectionPool(self._clock, self.planner.counters)
        self._applier = StateApplier(
            self.planner, Peers("h0"), pool, self._clock
        )
        self._revision = 0

    def write(self, value: bytes | None, key: str = "servers/i-1") -> None:
        """Applies the write of a key; None removes it."""
        self._revision += 1
        change = Change(key, value, self._revision)
        page = Page((change,), self._revision, False, 0, 0)
        self._applier.apply(page, "store", 0)

    def wait(self, ms: int) -> None:
        """Lets time pass."""
        self._clock.advance(ms)
        self.planner.tick(self._clock.now_ms())

    def is_usable(self) -> bool:
        """Returns whether the server gets new requests."""
        return bool(self.planner.servers.usable("llm"))


# Guards against an entry of another writer that replaces what a server had
# written, and against a server that stays in use for ever by it.
@pytest.mark.parametrize(
    "foreign",
    [b"\xff", b'{"service":"plain"}', entry(service="llm", slots=-1)]
    + [entry(service="other")],
)
def test_overwritten_server_stays_for_as_long_as_a_silent_one(foreign):
    applied = Applied()
    own = entry(service="llm")
    applied.write(own)
    for _ in range(4):
        applied.write(foreign)
        applied.wait(1_200)
        assert applied.is_usable()
        applied.write(own)
        applied.wait(1_200)
        assert applied.is_usable()
    applied.write(foreign)
    applied.wait(1_800)
    applied.write(foreign)
    applied.wait(1_700)
    assert applied.is_usable()
    applied.wait(200)
    assert not applied.is_usable()
    applied.write(own)
    assert applied.is_usable()
    counted = applied.planner.counters.read("refused_records")
    assert sum(count for _, count in counted) == 6


def test_overwritten_server_that_drains_stays_out_of_use():
    applied = Applied()
    applied.write(entry(service="llm"))
    applied.write(entry(service="llm", state="draining"))
    applied.write(b'{"service":"llm","state":"available"}')
    assert not applied.is_usable()
    applied.write(None)
    assert not applied.planner.servers.ids()


# Guards against a log that grows with each write of one foreign entry.
def test_refused_entry_is_logged_once_with_its_field(monkeypatch):
    logged = []
    monkeypatch.setattr(
        refused_records, "log_event", lambda *_, **f: logged.append(f["field"])
    )
    applied = Applied()
    for value in (entry(slots=-1),) * 3 + (entry(), entry(slots=-1)):
        applied.write(value)
    assert logged == ["slots", "slots"]


# Guards against callers without an answer, and hosts that stop following the
# store, after odd entries among those of the servers.
def test_callers_get_answers_beside_odd_entries():
    odd = [entry(address=text) for text in ADDRESSES]
    odd += [entry(address=f"{host}:80") for host in NOWHERE]
    odd += [entry(**changes) for changes in INVALID]
    odd += [NESTED, b"\xff", b"null", entry(slots=8).replace(b":8", DIGITS)]

    async def scenario(fleet):
        for number, value in enumerate(odd):
            fleet.store.state.put(f"servers/odd-{number}", value)
        await anyio.sleep(0.6)
        for number in range(60):
            host = f"host-{number % 2}"
            path = "/read/x" if number % 3 else "/pay/x"
            reply = await fleet.chat(host, f"id-{number}", path)
            assert reply.status == 200
        await fleet.add_worker("late", False)
        with anyio.fail_after(5):
            while not fleet.workers["late"].runs:
                number += 1
                reply = await fleet.chat("host-0", f"id-{number}", "/read/x")
                assert reply.status == 200
        for address, _ in fleet.hosts.values():
            metrics = await send_request((address, METRICS_PORT), "/metrics")
            assert b"task_failures" not in metrics.body

    run(scenario, hosts=2, plain=2, engines=1)
