"""Entries of other writers among those of the servers."""

from __future__ import annotations

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
import msgspec
import pytest
from test_entry_path import run

from corianderdoor.adapters.http1_connect import connect
from corianderdoor.adapters.staggered import Attempt, open_first
from corianderdoor.core.entry.replica import Change
from corianderdoor.platform.changes import decode_change, UnusableRecord
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


# Guards against callers without an answer, and hosts that stop following the
# store, after odd entries among those of the servers.
def test_callers_get_answers_beside_odd_entries():
    odd = [entry(address=text) for text in ADDRESSES]
    odd += [entry(address=f"{host}:80") for host in NOWHERE]
    odd += [NESTED, b"\xff", b"null"]

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
