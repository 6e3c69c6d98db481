"""Servers that are silent for a second or two and then go on.

The operators count such a silence as no fault, so no answer may end by it.
"""

from __future__ import annotations

import re

from entry_builders import build_planner, build_request
import pytest
from test_entry_path import run, set_modes, total_runs

from corianderdoor.core.entry.flights import (
    Again,
    Ending,
    Hold,
    Refuse,
    Send,
)
from corianderdoor.core.entry.windows import SAFE_SHARE

# A second or so, as the operators say, with a margin.
PAUSE_MS = 1_800
SHORT_PAUSE_MS = 1_250
IDS = re.compile(rb"id: (\d+)")
ALL_IDS = [b"%d" % number for number in range(1, 7)]


def pause(fleet, *names: str) -> None:
    """Makes workers silent for `PAUSE_MS` inside each answer."""
    for name in names:
        fleet.workers[name].mode = "pause"
        fleet.workers[name].pause_ms = PAUSE_MS


# Guards against LOST: the host moved a resumable stream from a silent server
# before it knew that another would take it, and then cut the answer.
def test_begun_answer_is_not_cut_while_its_only_server_is_silent():
    async def scenario(fleet):
        pause(fleet, "engine-0")
        reply = await fleet.chat("host-0", "id-1", "/chat/x")
        assert reply.complete
        assert IDS.findall(reply.body) == ALL_IDS

    run(scenario, engines=1, plain=0, hosts=1)


# Guards against LOST: as above, when the other servers decline the stream.
def test_begun_answer_is_not_cut_when_no_other_server_takes_it():
    async def scenario(fleet):
        set_modes(fleet, "decline", engine=True)
        pause(fleet, "engine-0")
        reply = await fleet.chat("host-0", "id-1", "/chat/x")
        assert reply.complete
        assert IDS.findall(reply.body) == ALL_IDS

    run(scenario, engines=3, plain=0, hosts=1)


# Guards against a stalled stream that lasts until its deadline: each byte of
# an event that never ended counted as progress.
def test_stream_leaves_a_server_that_sends_single_bytes():
    async def scenario(fleet):
        def recover_others(worker, req, runs):
            for other in fleet.workers.values():
                if other is not worker:
                    other.mode = ""

        for worker in fleet.workers.values():
            worker.mode = "trickle"
            worker.on_request = recover_others
        reply = await fleet.chat("host-0", "id-1", "/chat/x")
        assert reply.complete
        assert IDS.findall(reply.body) == ALL_IDS

    run(scenario, engines=2, plain=0, hosts=1)


# Guards against LOST: as above, when the answer has not begun.
def test_read_gets_its_answer_after_its_only_server_was_silent():
    async def scenario(fleet):
        pause(fleet, "plain-0")
        reply = await fleet.chat("host-0", "id-1", "/read/x")
        assert (reply.status, reply.body) == (200, b"done hello")

    run(scenario, engines=0, plain=1, hosts=1)


# Guards against a second run beside a sound server: a stream was moved after
# a silence of one second, and its server went on soon after.
def test_stream_stays_where_it_runs_during_a_silence_of_a_second():
    async def scenario(fleet):
        pause(fleet, *fleet.workers)
        for worker in fleet.workers.values():
            worker.pause_ms = SHORT_PAUSE_MS
        reply = await fleet.chat("host-0", "id-1", "/chat/x")
        assert reply.complete
        assert IDS.findall(reply.body) == ALL_IDS
        assert total_runs(fleet, "id-1") == 1

    run(scenario, engines=3, plain=0, hosts=1)


def build_planner_with_retries(count):
    """Returns a planner whose budget holds `count` retries."""
    planner = build_planner()
    planner._retries._budget._slack = count / SAFE_SHARE
    planner._retries._budget._ratio = 0
    return planner


def start_stream(planner, id="r1", parts=()):
    """Returns a resumable stream that has begun, and its server."""
    flight = planner.admit(build_request(id=id, parts=parts), 0)
    step = planner.choose(flight, 0)
    planner.record_sent(flight, step.server, 0)
    flight.answer_started = True
    return flight, step.server


# Guards against LOST: without a retry left, the answer of a silent server
# was cut instead of waited for.
def test_request_stays_at_its_silent_server_without_a_retry_left():
    planner = build_planner()
    planner._retries._budget._slack = 0
    flight, _ = start_stream(planner)
    assert planner.find_move(flight, 1_500) is None


# Guards against LOST: a move whose new server declines needs a second retry
# to go back.
@pytest.mark.parametrize(("slack", "moves"), [(1, False), (2, True)])
def test_move_needs_a_retry_to_spare(slack, moves):
    planner = build_planner_with_retries(slack)
    flight, _ = start_stream(planner)
    assert (planner.find_move(flight, 1_500) is not None) is moves


# Guards against LOST: several streams of one silent server counted on the
# same spare retry, and only the first could come back.
def test_each_moved_answer_has_its_own_way_back():
    planner = build_planner_with_retries(3)
    moved = []
    for id in ("r1", "r2"):
        flight, silent = start_stream(planner, id)
        move = planner.find_move(flight, 1_500)
        if move is not None:
            planner.handle_failure(flight, silent, Ending.SILENT, 1_500)
            planner.record_sent(flight, move.server, 1_500)
            moved.append((flight, silent, move.server))
    assert len(moved) == 1
    for flight, silent, server in moved:
        follow = planner.handle_failure(flight, server, Ending.NOT_RUN, 1_510)
        assert isinstance(follow, Again)
        step = planner.choose(flight, 1_510)
        assert isinstance(step, Send)
        planner.record_sent(flight, step.server, 1_510)
        if step.server != silent:
            follow = planner.handle_failure(
                flight, step.server, Ending.NOT_RUN, 1_520
            )
            assert isinstance(follow, Again)
            assert planner.choose(flight, 1_520).server == silent


def test_retries_of_a_move_that_does_not_happen_are_given_back():
    planner = build_planner_with_retries(2)
    flight, _ = start_stream(planner)
    for now_ms in (1_500, 1_700, 1_900):
        move = planner.find_move(flight, now_ms)
        assert move is not None
        planner.cancel_move(flight)
        planner.record_unreached(flight, move.server, now_ms)


def test_spare_retry_is_given_back_when_the_answer_goes_on():
    planner = build_planner_with_retries(3)
    flight, silent = start_stream(planner)
    move = planner.find_move(flight, 1_500)
    planner.handle_failure(flight, silent, Ending.SILENT, 1_500)
    planner.record_sent(flight, move.server, 1_500)
    planner.record_answer_begun(flight, 1_550)
    other, _ = start_stream(planner, "r2")
    assert planner.find_move(other, 1_600) is not None


# Guards against a wait at a dead server: the request went back to its silent
# server although others were well.
@pytest.mark.parametrize(
    "parts", [(), (("t", 2_500), ("s", 6_000), ("own", 500))]
)
def test_declined_move_goes_on_at_a_server_that_is_well(parts):
    planner = build_planner(servers=5)
    flight, silent = start_stream(planner, parts=parts)
    move = planner.find_move(flight, 1_500)
    planner.handle_failure(flight, silent, Ending.SILENT, 1_500)
    planner.record_sent(flight, move.server, 1_500)
    follow = planner.handle_failure(flight, move.server, Ending.NOT_RUN, 1_510)
    assert isinstance(follow, Again)
    step = planner.choose(flight, 1_510)
    assert step.server not in (silent, move.server)


# Guards against LOST: an ejected server took a request from a silent one.
def test_request_does_not_move_to_an_ejected_server():
    planner = build_planner(servers=2)
    flight, silent = start_stream(planner)
    other = next(s for s in planner.servers.usable("llm") if s != silent)
    planner.ejections.record_unreachable(other.id, 1_400)
    assert planner.find_move(flight, 1_500) is None


def test_resumed_stream_counts_its_prompt_until_it_goes_on():
    planner = build_planner(servers=2)
    flight, first = start_stream(
        planner, parts=(("t", 2_500), ("s", 6_000), ("own", 500))
    )
    planner.record_answer_begun(flight, 900)
    planner.handle_failure(flight, first, Ending.BROKEN, 1_000)
    second = planner.choose(flight, 1_000).server
    planner.record_sent(flight, second, 1_000)
    assert planner.loads.unread_of(second.id, 1_000)
    planner.record_answer_begun(flight, 1_100)
    assert not planner.loads.unread_of(second.id, 1_000)


# Guards against LOST: a begun answer was cut when enough servers declined it,
# though the silent one was left.
def test_begun_answer_returns_to_its_silent_server_when_others_decline():
    planner = build_planner(servers=4)
    flight, silent = start_stream(planner)
    move = planner.find_move(flight, 1_500)
    follow = planner.handle_failure(flight, silent, Ending.SILENT, 1_500)
    assert isinstance(follow, Again)
    server = move.server
    for now_ms in range(1_510, 1_550, 10):
        planner.record_sent(flight, server, now_ms)
        if server == silent:
            break
        planner.handle_failure(flight, server, Ending.NOT_RUN, now_ms)
        step = planner.choose(flight, now_ms)
        assert isinstance(step, Send)
        server = step.server
    assert flight.server == silent


# Guards against LOST: a begun answer that lost its server was cut at once
# when all connections to the others were in use.
def test_begun_answer_waits_for_a_connection():
    planner = build_planner(servers=2)
    flight, silent = start_stream(planner)
    other = next(s for s in planner.servers.usable("llm") if s != silent)
    planner.handle_failure(flight, silent, Ending.BROKEN, 3_000)
    for _ in range(620):
        planner.loads.start(other.id)
    assert isinstance(planner.choose(flight, 3_500), Hold)
    assert isinstance(planner.choose(flight, 4_100), Refuse)


def test_request_that_may_not_run_twice_never_moves():
    planner = build_planner()
    flight = planner.admit(build_request("/once/x", parts=()), 0)
    step = planner.choose(flight, 0)
    planner.record_sent(flight, step.server, 0)
    assert planner.find_move(flight, 1_500) is None
