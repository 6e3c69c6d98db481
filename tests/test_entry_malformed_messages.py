"""Malformed messages and unexpected errors end nothing but themselves.

FUZZ_CASES sets the number of cases for each decoder.
"""

from __future__ import annotations

import os
import struct

import anyio
from hypothesis import given, HealthCheck, settings
from hypothesis import strategies as st
import pytest
from test_entry_path import run, wait_for

from corianderdoor.core.entry.counters import Counters
from corianderdoor.core.entry.events import read_event_id
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.replica import Change, Page
from corianderdoor.entry.peer_codec import (
    decode_caches,
    decode_heartbeat,
    decode_page,
    encode_caches,
    encode_heartbeat,
    encode_page,
    MessageError,
)
from corianderdoor.entry.upkeep import keep_running
from corianderdoor.platform.answer_head import AnswerHead
from corianderdoor.platform.changes import decode_change
from corianderdoor.platform.headers import (
    HeaderError,
    read_caller_request,
)
from corianderdoor.platform.settings import decode_settings, SettingsError
from corianderdoor.platform.store import _decode, StoreError
from corianderdoor.platform.store_era import StoreEra
from corianderdoor.platform.store_messages import RawPage
from corianderdoor.standins.platform_fleet import (
    build_config,
    build_settings,
    PEER_PORT,
)

CASES = int(os.environ.get("FUZZ_CASES", "150"))
DIGITS = b"9" * 5_000
NESTED = b'{"x":' + b"[" * 100_000
# Pieces that decoders have stumbled over.
TRAPS = [DIGITS, NESTED, b"1e308", b":70000", b"-1", b"\xff", b"\0" * 9, b""]
SERVER = b"""{"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,
"state":"available","cold_remaining_ms":0,"born":1,"version":"v1",
"sequence_number":1}"""
HOST = b"""{"callers":"10.0.0.1:80","peers":"10.0.0.1:81",
"data_centre":"a","link_mbps":1}"""
ENTRIES = b'{"at":1,"entries":[{"key":"a","revision":1,"value":"YQ=="}]}'
HEADERS = b"""attempt-id:a|host:b|deadline-ms:5|last-event-id:7|
prompt-prefix:a:1,b:2|connection:close|keep-alive:timeout=5|
instance-load:1,2,3,100|server-brittle:5|retry-after:1.5|
content-encoding:gzip|server-leaving:1"""


def split_headers(data: bytes) -> list[tuple[bytes, bytes]]:
    """Returns the headers in `data`, some with trailing characters."""
    pairs = [line.strip().partition(b":") for line in data.split(b"|")]
    return [(name.lower(), value) for name, _, value in pairs]


def change(key: str):
    """Returns a decoder of the value of a key."""
    return lambda data: decode_change(Change(key, data, 1, 0))


def caller(data: bytes) -> None:
    """Decodes the head of a caller's request."""
    read_caller_request(b"GET", b"/x", split_headers(data), b"")


HEARTBEAT = Heartbeat("h", 1, 2, 3, False, ((1, 2, 3),), ((1, 2),), 1)
PAGE = Page((Change("servers/a", SERVER, 1, 0),), 1, True, 1, 0)
DECODERS = {
    "heartbeat": (decode_heartbeat, MessageError, encode_heartbeat(HEARTBEAT)),
    "page": (decode_page, MessageError, encode_page(PAGE)),
    "caches": (decode_caches, MessageError, encode_caches([(1, "a")])),
    "server": (change("servers/a"), (), SERVER),
    "host": (change("corianderdoor/hosts/a"), (), HOST),
    "desired": (change("op/config"), (), build_config(1)),
    "store": (lambda d: _decode("x", 200, d, RawPage), StoreError, ENTRIES),
    "settings": (
        decode_settings,
        SettingsError,
        build_settings("a", "10.0.0.1", ("10.0.0.2", 80)),
    ),
    "answer": (lambda d: AnswerHead(503, split_headers(d)), (), HEADERS),
    "caller": (caller, HeaderError, HEADERS),
    "era": (lambda d: StoreEra(Counters()).read([d]), (), b"17"),
    "event": (read_event_id, (), b"id: 5\ndata: x\n\n"),
}


@st.composite
def malformed(draw, valid: bytes) -> bytes:
    """Draws `valid` with up to three parts replaced."""
    data = valid
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(data)))
        end = draw(st.integers(start, min(len(data), start + 12)))
        new = draw(st.sampled_from(TRAPS) | st.binary(max_size=12))
        data = data[:start] + new + data[end:]
    return data


# Guards against one message that takes a task, and with it the process, down:
# a decoder raises nothing but its own error.
@pytest.mark.parametrize("name", DECODERS)
def test_decoder_raises_only_its_own_error(name):
    decode, expected, valid = DECODERS[name]
    decode(valid)

    @settings(
        max_examples=CASES,
        derandomize=CASES < 1_000,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(malformed(valid))
    def check(data: bytes) -> None:
        try:
            decode(data)
        except expected:
            pass

    check()


# Guards against one datagram that aborts the process: Cap'n Proto raised in a
# destructor when a segment of a packed message was missing.
@pytest.mark.parametrize("decode", [decode_heartbeat, decode_caches])
def test_message_whose_second_segment_is_missing_is_refused(decode):
    table = struct.pack("<IIII", 1, 1, 5, 0)
    words = [table[:8], table[8:], bytes([1] * 8)]
    data = b"".join(b"\xff" + word + b"\0" for word in words)
    with pytest.raises(MessageError):
        decode(data)


# Guards against values that decoders took and that failed only in use, and
# against a header of which only the last copy counted.
def test_values_that_failed_in_use_are_refused():
    for decode, expected, valid in DECODERS.values():
        for old in (b":80", b":5|", b":7|", b"a:1,", b"id: 5"):
            data = valid.replace(old, old[:-1] + DIGITS)
            try:
                decode(data)
            except expected:
                pass
    assert decode_change(
        Change("servers/a", SERVER.replace(b":80", b":70000"), 1, 0)
    ).detail
    large = build_config(1).replace(
        b'"cold_start_s":3.0', b'"cold_start_s":1e308'
    )
    assert decode_change(Change("op/config", large, 1, 0)).detail
    twice = HEADERS.replace(
        b"connection:close", b"connection:close|connection:x"
    )
    assert AnswerHead(200, split_headers(twice)).closes
    headers = split_headers(HEADERS + b"|connection:x-a|connection:x-b|x-a:1")
    request = read_caller_request(b"GET", b"/x", headers, b"")
    assert b"x-a" not in dict(request.headers)


# Guards against a host that stops for good when one of its tasks fails.
@pytest.mark.anyio
async def test_task_that_fails_is_counted_and_starts_again():
    starts = []

    async def fail_twice() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise OverflowError("port")

    counters = Counters()
    with anyio.fail_after(5):
        await keep_running("sync", fail_twice, counters)
    assert list(counters.read("task_failures")) == [((("task", "sync"),), 2)]


# Guards against a host that ends, or knows no later items, after one item or
# datagram that it can't use.
def test_host_serves_on_after_malformed_items_and_datagrams():
    async def scenario(fleet):
        put = fleet.store.state.put
        put("servers/bad", SERVER.replace(b":80", b":70000"))
        put("op/config", build_config(2).replace(b"3.0", b"1e308"))
        put("servers/nested", NESTED)
        put("corianderdoor/hosts/bad", HOST.replace(b":81", b":70000"))
        put("corianderdoor/caches", b"\xff" * 64)
        address = (fleet.hosts["host-0"][0], PEER_PORT)
        async with await anyio.create_connected_udp_socket(*address) as sock:
            for data in (b"", b"\xff" * 99, encode_heartbeat(HEARTBEAT)[:9]):
                await sock.send(data)
        await anyio.sleep(1.0)
        await fleet.add_worker("late", False)
        fleet.store.state.remove("servers/plain-0")
        await wait_for(lambda: fleet.workers["late"].active == 0)
        with anyio.fail_after(10):
            while not fleet.workers["late"].runs:
                reply = await fleet.chat("host-0", "id-1", "/read/x")
                await anyio.sleep(0.05)
        assert reply.status == 200

    run(scenario, hosts=2, plain=1)
