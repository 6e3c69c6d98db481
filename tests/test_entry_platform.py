"""Decoding of the platform's formats and of messages between hosts.

The code of the entry host must not use the platform's words itself.
"""

from __future__ import annotations

import json
import pathlib
import re

from hypothesis import given, settings
from hypothesis import strategies as st
import msgspec
import pytest

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
from corianderdoor.platform.answer_head import AnswerHead
from corianderdoor.platform.changes import (
    decode_change,
    Evacuation,
    ServerListed,
    ServerRemoved,
    UnusableRecord,
)
from corianderdoor.platform.headers import (
    build_refusal_headers,
    build_server_headers,
    HeaderError,
    read_caller_request,
)
from corianderdoor.platform.records import decode_desired, RecordError
from corianderdoor.platform.settings import decode_settings, SettingsError
from corianderdoor.standins.platform_fleet import build_config, build_route

ROOT = pathlib.Path(__file__).parent.parent / "corianderdoor"
PLATFORM_WORDS = re.compile(
    r"attempt-id|not-executed|response-signature|expected-instance"
    r"|server-leaving"
    r"|kv-(?!cache)\w+|prompt-prefix|token-usage|tenant|op/config"
    r"|CORIANDERDOOR_BOOT|\bzone\b|frontend|edge\b|cold_remaining",
    re.IGNORECASE,
)
SETTINGS = {
    "node_name": "h1",
    "zone": "a",
    "ip_address": "10.0.0.1",
    "listen_addresses": {
        "frontend": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "directory_service": "10.0.0.1:3",
    },
    "internal_port_range": [4, 9],
    "platform": {"address": "10.0.0.9:5"},
    "bounds": {"grace_period_s": 8, "new_field": True},
}
ENTRY = {
    "service": "llm",
    "address": "10.0.0.2:80",
    "zone": "a",
    "slots": 8,
    "state": "available",
    "cold_remaining_ms": 0,
    "version": "v1",
    "sequence_number": 1,
    "born": 1,
}


def test_entry_code_uses_no_word_of_the_platform():
    folders = [ROOT / "entry", ROOT / "core" / "entry"]
    modules = [path for f in folders for path in f.rglob("*.py")]
    modules += ROOT.glob("adapters/http1*.py")
    found = [
        (path.name, match.group())
        for path in modules
        for match in PLATFORM_WORDS.finditer(path.read_text("utf-8"))
    ]
    assert modules and found == []


def test_settings_ignore_new_fields_and_name_missing_ones():
    assert decode_settings(json.dumps(SETTINGS).encode()).grace_ms == 8_000
    for name in SETTINGS:
        if name == "bounds":
            continue
        fewer = {k: v for k, v in SETTINGS.items() if k != name}
        with pytest.raises(SettingsError, match=name):
            decode_settings(json.dumps(fewer).encode())


@pytest.mark.parametrize("text", ["", "10.0.0.1", "10.0.0.1:x", ":5"])
def test_invalid_address_is_refused(text):
    bad = {**SETTINGS, "platform": {"address": text}}
    with pytest.raises(SettingsError, match="address"):
        decode_settings(json.dumps(bad).encode())


def entry(**changes) -> Change:
    """Returns the entry of a server as written to the store."""
    value = json.dumps({**ENTRY, **changes}).encode()
    return Change("servers/i-1", value, 5)


def test_entry_of_a_server_is_read():
    decoded = decode_change(entry(born=77, cold_remaining_ms=40))
    assert isinstance(decoded, ServerListed)
    assert (decoded.server.id, decoded.server.started_ms) == ("i-1", 77)
    assert decoded.server.cold_ms == 40


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "odd"},
        {"address": 5},
        {"address": "nowhere"},
        {"slots": "8"},
        {"service": None},
    ],
)
def test_entry_with_an_invalid_field_is_unusable(changes):
    assert isinstance(decode_change(entry(**changes)), UnusableRecord)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=60))
def test_any_bytes_in_the_store_are_decoded_or_unusable(value):
    for key in ("servers/x", "op/config", "corianderdoor/hosts/x"):
        assert decode_change(Change(key, value, 1)) is not None


def test_evacuation_and_removal_are_read():
    out = decode_change(Change("op/evacuate/a", b"{}", 1))
    assert out == Evacuation("a", True)
    assert decode_change(Change("op/evacuate/a", None, 2)) == Evacuation(
        "a", False
    )
    removal = decode_change(Change("servers/x", None, 3, 700))
    assert removal == ServerRemoved("x", 700)
    assert decode_change(Change("op/other", b"", 1)) is None


def test_desired_state_is_decoded_completely_or_not_at_all():
    desired = decode_desired(build_config(4))
    assert desired.version == 4
    assert desired.find_route("chat.example", "/pay/x") is not None
    broken = msgspec.json.decode(build_config(5))
    broken["routes"].append(build_route("/x/", "odd", "llm"))
    with pytest.raises(RecordError):
        decode_desired(msgspec.json.encode(broken))


def test_longest_prefix_wins_and_a_part_of_a_name_does_not_match():
    routes = [
        build_route("/a/", "idempotent", "one"),
        build_route("/a/b/", "idempotent", "two"),
    ]
    desired = decode_desired(build_config(1, routes))

    def service(path):
        route = desired.find_route("chat.example", path)
        return route and route.split[0][0]

    assert service("/a/b/c") == "two"
    assert service("/a/bc") == "one"
    assert service("/ab/") is None


def request(*headers, body=b""):
    """Returns the decoded request with `headers`."""
    pairs = [(b"host", b"Chat.Example:80"), (b"attempt-id", b"i1"), *headers]
    return read_caller_request(b"POST", b"/a/b?q=1", pairs, body)


def test_request_is_forwarded_without_forged_control_headers():
    req = request(
        (b"authorization", b"Token secret"),
        (b"prompt-prefix", b"aa:10,bb:20"),
        (b"deadline-ms", b"900"),
        (b"tenant-name", b"forged"),
        (b"expected-instance", b"forged"),
        (b"x-other", b"1"),
    )
    assert (req.host, req.path, req.key) == ("chat.example", "/a/b", "secret")
    assert [part.tokens for part in req.parts] == [10, 20]
    sent = build_server_headers(req, "i-1", "acme", 3, 800, 7, ("10.1.1.1", 9))
    names = [name.lower() for name, _ in sent]
    assert len(names) == len(set(names))
    values = {name.lower(): value for name, value in sent}
    assert values[b"tenant-name"] == b"acme"
    assert values[b"expected-instance"] == b"i-1"
    assert values[b"deadline-ms"] == b"800"
    assert values[b"last-event-id"] == b"7"
    assert values[b"x-other"] == b"1"
    assert b"authorization" not in values


@pytest.mark.parametrize(
    "header",
    [
        (b"deadline-ms", b"-5"),
        (b"deadline-ms", b"nan"),
        (b"attempt-id", b"second"),
    ],
)
def test_control_header_must_be_valid(header):
    with pytest.raises(HeaderError):
        request(header)


@pytest.mark.parametrize("value", [b"", b"x", b"a:1,b", b"a:-1", b"a:b"])
def test_unreadable_prompt_header_is_forwarded_without_affinity(value):
    req = request((b"prompt-prefix", value))
    assert req.parts == ()
    assert (b"prompt-prefix", value) in req.headers


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "wrong"),
    [
        (503, [(b"not-executed", b"1")], True, False),
        (503, [], False, False),
        (421, [], False, True),
        (200, [(b"not-executed", b"1")], False, False),
    ],
)
def test_only_the_server_says_that_the_request_did_not_run(
    status, headers, not_run, wrong
):
    head = AnswerHead(status, headers)
    assert (head.not_run, head.wrong_server) == (not_run, wrong)


def test_optional_headers_of_an_answer_are_read_or_ignored():
    head = AnswerHead(
        200,
        [
            (b"instance-load", b"3,1,8"),
            (b"keep-alive", b"timeout=7, max=5"),
            (b"connection", b"close"),
        ],
    )
    assert (head.load, head.keep_alive_s, head.closes) == (4, 7, True)
    assert head.headers == [(b"instance-load", b"3,1,8")]
    odd = AnswerHead(200, [(b"instance-load", b"x"), (b"keep-alive", b"x")])
    assert (odd.load, odd.keep_alive_s) == (None, None)


def test_refusal_has_the_request_id_and_the_retry_time():
    headers = dict(build_refusal_headers("i1", 1_250))
    assert headers == {b"Attempt-Id": b"i1", b"Retry-After": b"1.250"}


def test_messages_between_hosts_are_unchanged_by_the_codec():
    heartbeat = Heartbeat(
        *("h1", 2**40, 2**50, 7, True, ((2**63, 4, 9),), ((1, 2**62),)),
        *(3, (7,), ((8, 2**63),), 440, 33, (2**63, 5)),
    )
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat
    page = Page((Change("a", b"x", 1), Change("b", None, 2, 9)), 2, True)
    assert decode_page(encode_page(page)) == page
    pairs = [(5, "s1"), (2**63, "s2"), (6, "s1")]
    assert decode_caches(encode_caches(pairs)) == pairs


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_any_datagram_is_decoded_or_raises_a_message_error(data):
    for decode in (decode_heartbeat, decode_page, decode_caches):
        try:
            decode(data)
        except MessageError:
            pass  # the only error that decoding may raise
