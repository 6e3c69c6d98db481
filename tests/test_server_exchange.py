"""Cut answers of other requests before the own one, without a network."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import h11
from hypothesis import given, settings, strategies as st
import pytest

from corianderdoor.adapters.http1 import ConnectionBrokenError, H11Protocol
from corianderdoor.core.entry.answered_ids import AnsweredIds
from corianderdoor.core.entry.flights import Ending
from corianderdoor.core.entry.server_exchange import (
    ExchangeState,
    HeadVerdict,
    MAX_STRAY_ANSWERS,
    ServerExchange,
)
from corianderdoor.entry import answer_reader
from corianderdoor.entry.answer_reader import AnswerReader
from corianderdoor.entry.answer_status import find_failure
from corianderdoor.entry.backends import ConnectionPool, UNIDENTIFIED_MS
from corianderdoor.entry.server_request import begin_exchange
from corianderdoor.platform.answer_head import AnswerHead

OWN_ID = b"own-7"
UNKNOWN, NOT_RUN = "unknown", "not run"
# What comes next: whether it may run twice, and its answer.
EVENTS = b"id: 1\ndata: a\n\n"
SIGNED = b"Attempt-Id: own-7\r\nResponse-Signature: s.own\r\n"
PLAIN = (
    b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Content-Length: 40\r\n\r\n"
    + b"own " * 10
)
STREAM = (
    b"HTTP/1.1 200 OK\r\nInstance-Load: 1,0,8\r\n"
    + SIGNED
    + b"Transfer-Encoding: chunked\r\n\r\nf\r\n"
    + EVENTS
    + b"\r\n0\r\nAttempt-Id: own-7\r\n\r\n"
)
FAILED = PLAIN.replace(b"200 OK", b"500 Internal Server Error")
REFUSAL = (
    b"HTTP/1.1 503 Full\r\nInstance-Load: 8,8,8\r\nNot-Executed: 1\r\n"
    b"Attempt-Id: own-7\r\nContent-Length: 0\r\n\r\n"
)
NEXT = {
    "refused payment": (False, False, REFUSAL, NOT_RUN),
    "payment": (False, False, PLAIN, (200, b"own " * 10)),
    "failed payment": (False, False, FAILED, (500, b"own " * 10)),
    "read": (True, False, PLAIN, (200, b"own " * 10)),
    "stream": (False, False, STREAM, (200, EVENTS)),
    "tunnel": (False, True, PLAIN, (200, b"own " * 10)),
}
ID = b"Attempt-Id: other-3\r\n"
MARKS = b"Instance-Load: 3,0,8\r\nKeep-Alive: timeout=20\r\n"
REFUSES = b"Not-Executed: 1\r\n"
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\n"
NO_BODY = b"Content-Length: 0\r\n\r\n"
SUCCESS = b"Response-Signature: s.other\r\nContent-Length: 5\r\n\r\nwrong"
CHUNKED = (
    b"Response-Signature: s.other\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nwrong\r\n0\r\nAttempt-Id: other-3\r\n\r\n"
)
STRAYS = {
    "refusal, id first": REFUSED + ID + REFUSES + MARKS + NO_BODY,
    "refusal, marks first": REFUSED + MARKS + ID + REFUSES + NO_BODY,
    "refusal, refuses first": REFUSED + REFUSES + MARKS + ID + NO_BODY,
    "refusal, no id": REFUSED + REFUSES + MARKS + NO_BODY,
    "refusal, no id, marks first": REFUSED + MARKS + REFUSES + NO_BODY,
    "bad request, no id": b"HTTP/1.1 400 X\r\n" + REFUSES + NO_BODY,
    "other server, no id": b"HTTP/1.1 421 X\r\n" + MARKS + NO_BODY,
    "failure": b"HTTP/1.1 500 Internal Error\r\n" + ID + MARKS + NO_BODY,
    "success, id first": b"HTTP/1.1 200 OK\r\n" + ID + MARKS + SUCCESS,
    "success, marks first": b"HTTP/1.1 200 OK\r\n" + MARKS + ID + SUCCESS,
    "success, no id": b"HTTP/1.1 200 OK\r\n" + MARKS + SUCCESS,
    "stream": b"HTTP/1.1 200 OK\r\n" + ID + CHUNKED,
}
# Without an id, these count on a new connection alone.
AMBIGUOUS = ("refusal, no id", "refusal, no id, marks first")


class Transport:
    """Takes what is written."""

    def write(self, data: bytes) -> None:
        """Drops `data`."""

    def is_closing(self) -> bool:
        """Returns whether the connection is closed."""
        return False

    def set_write_buffer_limits(self, high: int) -> None:
        """Takes the limit."""

    def get_extra_info(self, name: str) -> None:
        """Returns nothing, as there is no socket."""

    def abort(self) -> None:
        """Closes nothing."""


@pytest.fixture(autouse=True)
def without_log(monkeypatch) -> None:
    monkeypatch.setattr(answer_reader, "log_event", lambda *a, **k: None)


def build_flight(repeatable: bool) -> Any:
    return SimpleNamespace(
        server=None,
        req=SimpleNamespace(id=OWN_ID.decode(), method="POST", body=b""),
        route=SimpleNamespace(is_stream=False, may_retry=lambda: repeatable),
    )


def open_connection(flight: Any, kept: bool, tunnel: bool) -> H11Protocol:
    """Returns a connection on which the request is about to be sent."""
    protocol = H11Protocol(h11.CLIENT)
    protocol.connection_made(Transport())  # type: ignore[arg-type]
    if tunnel:
        protocol.restart_as_tunnel(("127.0.0.2", 7340))
    if kept:
        exchange = protocol.exchange
        assert exchange.begin(b"former", True, 0)
        exchange.record_sent()
        exchange.judge_head(b"former", 200, False)
        exchange.record_end()
        assert exchange.release()
    assert begin_exchange(protocol, flight)
    return protocol


async def read(
    pieces: list[bytes],
    repeatable: bool,
    kept: bool = True,
    tunnel: bool = False,
) -> Any:
    """Returns what a caller learns when `pieces` arrive after the request.

    Returns:
        `UNKNOWN`, `NOT_RUN`, or the status and body that are passed on.
    """
    flight = build_flight(repeatable)
    protocol = open_connection(flight, kept, tunnel)
    sent = h11.Request(method="POST", target="/x", headers=[("Host", "h")])
    protocol.write(sent)
    protocol.write(h11.EndOfMessage())
    protocol.exchange.record_sent()
    clock = SimpleNamespace(now_ms=lambda: 0)
    pool = SimpleNamespace(
        answered=AnsweredIds(),
        record_received=lambda *args: None,
        record_unidentified=lambda id: None,
    )
    planner = SimpleNamespace(
        counters=SimpleNamespace(add=lambda *args, **options: None)
    )
    reader = AnswerReader(
        planner,  # type: ignore[arg-type]
        pool,  # type: ignore[arg-type]
        clock,  # type: ignore[arg-type]
        flight,
        protocol,
        SimpleNamespace(add=lambda size: True),  # type: ignore[arg-type]
    )
    send: Any = SimpleNamespace(
        silence_ms=None, server=SimpleNamespace(id="s-1")
    )
    marks: Any = SimpleNamespace(observe=lambda *args: None)
    feeding = asyncio.ensure_future(feed(protocol, pieces))
    try:
        head = await reader.read_head(send, sent, marks)
        if head is None:
            return UNKNOWN
        body = await reader.read_body(None)
    except ConnectionBrokenError:
        assert protocol.exchange.state is not ExchangeState.ENDED
        return UNKNOWN
    finally:
        await feeding
    failure = find_failure(head, repeatable)
    if failure in (Ending.NOT_RUN, Ending.WRONG_SERVER):
        return NOT_RUN
    return UNKNOWN if failure is not None else (head.status, body)


async def feed(protocol: H11Protocol, pieces: list[bytes]) -> None:
    """Delivers `pieces` one after the other, then the end."""
    for piece in pieces:
        if piece:
            protocol.data_received(piece)
        await asyncio.sleep(0)
    protocol.eof_received()
    protocol.connection_lost(None)


def expect(name: str, cut: int, next_name: str) -> Any:
    """Returns the right outcome: the page lets an id alone tell."""
    own = NEXT[next_name][3]
    return own if cut in (0, len(STRAYS[name])) else UNKNOWN


def list_outcomes(next_name: str, name: str) -> Iterator[tuple[int, Any]]:
    repeatable, tunnel, answer, _ = NEXT[next_name]
    stray = STRAYS[name]

    async def read_all() -> list[Any]:
        return [
            await read(pieces, repeatable, tunnel=tunnel)
            for cut in range(len(stray) + 1)
            for pieces in ([stray[:cut] + answer], [stray[:cut], answer])
        ]

    outcomes = asyncio.run(read_all())
    for index, outcome in enumerate(outcomes):
        yield index // 2, outcome


# Guards against REFUSED, TWICE and MIXED: a part of another answer gives its
# status, or its promise, to the own one.
@pytest.mark.parametrize("next_name", NEXT)
@pytest.mark.parametrize("name", STRAYS)
def test_bytes_of_another_answer_decide_nothing_wherever_it_is_cut(
    name, next_name
):
    wrong = [
        (cut, outcome)
        for cut, outcome in list_outcomes(next_name, name)
        if outcome != expect(name, cut, next_name)
    ]
    assert not wrong


PIECES = st.one_of(
    st.binary(max_size=40),
    st.tuples(
        st.sampled_from(
            [
                *STRAYS.values(),
                b"HTTP/1.1 103 Early Hints\r\n",
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"Content-Length: 17\r\n\r\n",
                REFUSES,
                REFUSED,
                b"\r\n ",
            ]
        ),
        st.integers(0, 200),
    ).map(lambda pair: pair[0][: pair[1]]),
)


# Guards against the same, for any bytes of any number of answers.
@settings(max_examples=500, deadline=None, derandomize=True)
@given(
    st.lists(PIECES, max_size=5),
    st.sampled_from(["payment", "read", "stream"]),
)
def test_fragments_of_any_size_decide_nothing(fragments, next_name):
    repeatable, _, answer, own = NEXT[next_name]
    outcome = asyncio.run(read([*fragments, answer], repeatable))
    assert outcome in (UNKNOWN, own)


# Guards against lost retries: what a server says of its own accord counts.
@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("name", AMBIGUOUS)
def test_refusal_without_an_id_counts_on_a_new_connection(name, repeatable):
    stray = STRAYS[name]
    for cut in range(len(stray) + 1):
        outcome = asyncio.run(read([stray[:cut]], repeatable, kept=False))
        assert outcome == (NOT_RUN if cut == len(stray) else UNKNOWN)


def test_refusal_with_the_own_id_counts_on_a_kept_connection():
    refusal = STRAYS["refusal, marks first"].replace(b"other-3", OWN_ID)
    for repeatable in (True, False):
        assert asyncio.run(read([refusal], repeatable)) == NOT_RUN


# Guards against REFUSED: a signature shows that the request ran.
@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_promises_needs_the_statement_of_the_server(status):
    head = AnswerHead(status, [(b"response-signature", b"s")])
    assert find_failure(head, False) is Ending.SERVER_ERROR
    assert find_failure(head, True) is None


# Guards against REFUSED: an answer that was there before its request.
def test_connection_with_unread_bytes_takes_no_request():
    protocol = H11Protocol(h11.CLIENT)
    protocol.connection_made(Transport())  # type: ignore[arg-type]
    protocol.data_received(STRAYS["refusal, no id"])
    assert not begin_exchange(protocol, build_flight(False))
    assert protocol.exchange.state is ExchangeState.UNUSABLE


def test_exchange_passes_its_states_in_order():
    exchange = ServerExchange()
    assert exchange.begin(b"a", True, 0)
    assert exchange.state is ExchangeState.SENDING
    exchange.record_sent()
    for _ in range(MAX_STRAY_ANSWERS):
        assert exchange.state is ExchangeState.HEAD
        assert exchange.judge_head(b"b", 200, False) is HeadVerdict.OTHER
        assert exchange.state is ExchangeState.SKIPPING
        exchange.record_end()
    assert exchange.judge_head(b"a", 200, False) is HeadVerdict.OWN
    assert exchange.state is ExchangeState.BODY
    exchange.record_end()
    assert exchange.state is ExchangeState.ENDED
    assert exchange.release()
    assert exchange.state is ExchangeState.IDLE


STEPS = {
    "begin": lambda exchange: exchange.begin(b"a", True, 0),
    "sent": lambda exchange: exchange.record_sent(),
    "own head": lambda exchange: exchange.judge_head(b"", 200, False),
    "end": lambda exchange: exchange.record_end(),
    "release": lambda exchange: exchange.release(),
}
# Steps that are in order; all others that change anything are not.
IN_ORDER = {
    ("idle", "begin"): "sending",
    ("sending", "sent"): "head",
    ("head", "own head"): "body",
    ("skipping", "end"): "head",
    ("body", "end"): "ended",
    ("ended", "release"): "idle",
}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("state", list(ExchangeState))
def test_step_out_of_order_never_makes_a_connection_usable(state, step):
    exchange = ServerExchange()
    exchange.state = state
    STEPS[step](exchange)
    reporting = step in ("sent", "end")
    expected = state.value if reporting else "unusable"
    expected = IN_ORDER.get((state.value, step), expected)
    assert exchange.state.value == expected


def test_too_many_other_answers_make_a_connection_unusable():
    exchange = ServerExchange()
    exchange.begin(b"a", True, 0)
    exchange.record_sent()
    for _ in range(MAX_STRAY_ANSWERS):
        exchange.judge_head(b"b", 200, False)
        exchange.record_end()
    assert exchange.judge_head(b"b", 200, False) is HeadVerdict.UNKNOWN
    assert exchange.state is ExchangeState.UNUSABLE


# Guards against lost retries: rejections without ids count on a new
# connection, and against a new connection for each request.
def test_server_that_rejects_without_ids_gets_new_connections_for_a_while(
    monkeypatch,
):
    now_ms = 0

    async def open_link(server: Any) -> str:
        return "new"

    links: Any = SimpleNamespace(open=open_link)
    clock: Any = SimpleNamespace(now_ms=lambda: now_ms)
    pool = ConnectionPool(clock, links)
    monkeypatch.setattr(
        ConnectionPool, "_pop_idle", lambda self, server, fresh: "kept"
    )
    server: Any = SimpleNamespace(id="s-1")

    def acquire(once: bool) -> Any:
        return asyncio.run(pool.acquire(server, once))

    assert acquire(True) == "kept"
    pool.record_unidentified("s-1")
    assert acquire(True) == "new"
    assert acquire(False) == "new"
    now_ms = UNIDENTIFIED_MS
    assert acquire(True) == "kept"
    assert acquire(False) == "kept"
