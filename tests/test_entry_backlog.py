"""Load pattern: many long new prompts that begin with the same part.

Seen first on cuidamaule-grown quiet-1: a third of all chats began with the
same 2,600 tokens, and ten of them reached one server in 200 ms, while most
servers were idle.
"""

from __future__ import annotations

from collections import Counter

from entry_builders import build_planner, build_request

from corianderdoor.core.entry.flights import Flight, Send
from corianderdoor.core.entry.loads import PeerLoads
from corianderdoor.core.entry.placing import (
    CACHED_CHAT_MAX_UNREAD,
    NEW_CHAT_MAX_UNREAD,
)
from corianderdoor.core.entry.planner import (
    Planner,
    PREFILL_TOKENS_PER_MS,
    SILENCE_FACTOR,
)

LONG = 6_000


def chat(number: int, id="r"):
    """Returns a request of a chat whose template all chats share."""
    parts = (("template", 2_600), (f"chat-{number}", LONG), (f"{id}", 400))
    return build_request(id=f"{id}-{number}", parts=parts)


def send(planner: Planner, req, now_ms=0) -> tuple[Flight, Send]:
    """Sends `req`; the server has begun to read it."""
    flight = planner.admit(req, now_ms)
    step = planner.choose(flight, now_ms)
    assert isinstance(step, Send)
    planner.record_sent(flight, step.server, now_ms)
    return flight, step


def test_prompts_that_arrive_at_once_are_read_by_many_servers():
    planner = build_planner(servers=30)
    sent = [send(planner, chat(number))[1] for number in range(20)]
    read = Counter(step.server.id for step in sent)
    assert max(read.values()) <= 1 + NEW_CHAT_MAX_UNREAD // LONG


def test_what_peers_have_servers_read_counts_too():
    planner = build_planner(servers=6)
    first = send(build_planner(servers=6), chat(1))[1].server.id
    told = PeerLoads(9_000, {first: 1}, {first: NEW_CHAT_MAX_UNREAD + 1})
    planner.loads.update_peer("h2", told)
    assert send(planner, chat(1))[1].server.id != first


def test_server_that_has_read_takes_the_next_chat():
    planner = build_planner(servers=6)
    flight, step = send(planner, chat(1))
    assert planner.loads.unread_of(step.server.id, 0) == 2_600 + LONG + 400
    planner.record_prefill_done(flight)
    assert planner.loads.unread_of(step.server.id, 0) == 0
    planner.record_attempt_end(flight)
    assert planner.loads.unread_of(step.server.id, 0) == 0
    assert planner.loads.of(step.server.id, 0) == 0


def test_attempt_that_ends_unread_is_taken_back():
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


def test_chat_that_returns_has_only_its_new_part_read():
    planner = build_planner(servers=6)
    flight, step = send(planner, chat(1))
    planner.record_complete_answer(flight)
    flight, again = send(planner, chat(1, "b"))
    assert again.server is step.server
    assert flight.unread == 400


def test_chat_leaves_its_server_only_when_that_has_much_to_read():
    for backlog in (CACHED_CHAT_MAX_UNREAD, CACHED_CHAT_MAX_UNREAD + 1):
        planner = build_planner(servers=6)
        flight, step = send(planner, chat(1))
        planner.record_complete_answer(flight)
        home = step.server.id
        told = PeerLoads(9_000, {home: 1}, {home: backlog})
        planner.loads.update_peer("h2", told)
        again = send(planner, chat(1, "b"))[1]
        stays = backlog <= CACHED_CHAT_MAX_UNREAD
        assert (again.server.id == home) is stays
        assert stays or again.fetch_from is step.server


def test_server_with_much_to_read_may_be_silent_for_longer():
    planner = build_planner(servers=1)
    limits = []
    for number in range(4):
        limits.append(send(planner, chat(number))[1].silence_ms)
    tokens = (2_600 + LONG + 400, LONG + 400)
    assert limits[1] - limits[0] == int(
        (tokens[0] + tokens[1]) / PREFILL_TOKENS_PER_MS
    ) - int(tokens[0] / PREFILL_TOKENS_PER_MS)
    assert limits == sorted(limits)


def test_idle_server_that_is_silent_is_left_as_before():
    planner = build_planner(servers=1, plain=1)
    flight, step = send(planner, build_request("/read/x", parts=()))
    assert step.silence_ms == flight.route.target_latency_ms * SILENCE_FACTOR
