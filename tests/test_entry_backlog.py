"""Tests of many long new prompts that begin with the same part.

When a third of all chats began with the same 2,600 tokens, ten of them were
sent to one server within 200 ms, while most servers were idle.
"""

from __future__ import annotations

from collections import Counter

from entry_builders import build_planner, build_request

from corianderdoor.core.entry.flights import Flight, Send
from corianderdoor.core.entry.loads import PeerLoads
from corianderdoor.core.entry.planner import Planner
from corianderdoor.core.entry.silence import SILENCE_FACTOR

LONG = 6_000
# Bounds and rate of a host that has learnt no rate.
NEW_CHAT_MAX_UNREAD = 6_500
CACHED_CHAT_MAX_UNREAD = 16_000
PREFILL_TOKENS_PER_MS = 30.0


def chat(number: int, id="r"):
    """Returns a request of a chat with a template that all chats share."""
    parts = (("template", 2_600), (f"chat-{number}", LONG), (f"{id}", 400))
    return build_request(id=f"{id}-{number}", parts=parts)


def send(planner: Planner, req, now_ms=0) -> tuple[Flight, Send]:
    """Sends `req`, which the server has not prefilled yet."""
    flight = planner.admit(req, now_ms)
    step = planner.choose(flight, now_ms)
    assert isinstance(step, Send)
    planner.record_sent(flight, step.server, now_ms)
    return flight, step


def test_prompts_that_arrive_at_once_are_spread_over_servers():
    planner = build_planner(servers=30)
    sent = [send(planner, chat(number))[1] for number in range(20)]
    new_chats = Counter(step.server.id for step in sent)
    assert max(new_chats.values()) <= 1 + NEW_CHAT_MAX_UNREAD // LONG


def test_prefill_backlog_reported_by_peers_counts_too():
    planner = build_planner(servers=6)
    first = send(build_planner(servers=6), chat(1))[1].server.id
    reported = PeerLoads(9_000, {first: 1}, {first: NEW_CHAT_MAX_UNREAD + 1})
    planner.loads.update_peer("h2", reported)
    assert send(planner, chat(1))[1].server.id != first


def test_prefilled_tokens_leave_the_backlog():
    planner = build_planner(servers=6)
    flight, step = send(planner, chat(1))
    assert planner.loads.unread_of(step.server.id, 0) == 2_600 + LONG + 400
    planner.record_prefill_done(flight)
    assert planner.loads.unread_of(step.server.id, 0) == 0
    planner.record_attempt_end(flight)
    assert planner.loads.unread_of(step.server.id, 0) == 0
    assert planner.loads.of(step.server.id, 0) == 0


def test_attempt_that_ends_before_prefill_leaves_the_backlog():
    planner = build_planner(servers=6)
    flight, step = send(planner, chat(1))
    planner.record_attempt_end(flight)
    assert planner.loads.unread_of(step.server.id, 0) == 0


def test_requests_without_a_prompt_leave_no_state_behind():
    planner = build_planner()
    flight, _ = send(planner, build_request("/read/x", parts=()))
    assert not planner.loads.own_unread
    planner.record_complete_answer(flight)
    assert not planner.loads.own


def test_returning_chat_has_only_its_new_part_to_prefill():
    planner = build_planner(servers=6)
    flight, step = send(planner, chat(1))
    planner.record_complete_answer(flight)
    flight, second = send(planner, chat(1, "b"))
    assert second.server is step.server
    assert flight.unread == 400


def test_chat_leaves_its_server_only_above_a_prefill_backlog():
    for backlog in (CACHED_CHAT_MAX_UNREAD, CACHED_CHAT_MAX_UNREAD + 1):
        planner = build_planner(servers=6)
        flight, step = send(planner, chat(1))
        planner.record_complete_answer(flight)
        holder = step.server.id
        reported = PeerLoads(9_000, {holder: 1}, {holder: backlog})
        planner.loads.update_peer("h2", reported)
        second = send(planner, chat(1, "b"))[1]
        stays = backlog <= CACHED_CHAT_MAX_UNREAD
        assert (second.server.id == holder) is stays
        assert stays or second.fetch_from is step.server


def test_silence_timeout_grows_with_the_prefill_backlog():
    planner = build_planner(servers=1)
    limits = []
    for number in range(4):
        limits.append(send(planner, chat(number))[1].silence_ms)
    tokens = (2_600 + LONG + 400, LONG + 400)
    assert limits[1] - limits[0] == int(
        (tokens[0] + tokens[1]) / PREFILL_TOKENS_PER_MS
    ) - int(tokens[0] / PREFILL_TOKENS_PER_MS)
    assert limits == sorted(limits)


def test_silence_timeout_of_an_idle_server_is_the_usual_one():
    planner = build_planner(servers=1, plain=1)
    flight, step = send(planner, build_request("/read/x", parts=()))
    assert step.silence_ms == flight.route.target_latency_ms * SILENCE_FACTOR
