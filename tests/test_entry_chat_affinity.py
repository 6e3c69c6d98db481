"""Tests of chats that return while servers join, leave and fill up.

Every entry host must send a returning chat to a server that has its prompt
cached, and no server may have a load above twice the mean plus three.
"""

from __future__ import annotations

import random

from entry_builders import build_planner, build_request, build_server

from corianderdoor.core.entry.cache_map import CacheMap, digest_part
from corianderdoor.core.entry.flights import Send
from corianderdoor.core.entry.placing import rank_by_prompt


def chat(number: int, id="r"):
    """Returns a request of chat `number`, of one of four templates."""
    parts = (
        (f"template-{number % 4}", 2_500),
        (f"chat-{number}", 6_000),
        (f"own-{id}", 500),
    )
    return build_request(id=f"{id}-{number}", parts=parts)


def share_updates(planners) -> None:
    """Reports to each planner where the others sent prompts."""
    for planner in planners:
        for part, server_id in planner.caches.take_updates(1_000):
            for other in planners:
                other.caches.add_holder(part, server_id, 0)


def place(planner, req, now_ms=0) -> Send:
    """Returns where `planner` sends `req`."""
    flight = planner.admit(req, now_ms)
    step = planner.choose(flight, now_ms)
    assert isinstance(step, Send)
    planner.record_sent(flight, step.server, now_ms)
    planner.record_complete_answer(flight)
    return step


def test_hosts_agree_on_a_chat_without_communication():
    first, second = build_planner(name="h1"), build_planner(name="h2")
    for number in range(40):
        one = place(first, chat(number)).server.id
        two = place(second, chat(number)).server.id
        assert one == two


def test_chats_stay_when_a_server_joins():
    planners = [build_planner(name=f"h{number}") for number in range(3)]
    before = [place(planners[0], chat(n)).server.id for n in range(40)]
    share_updates(planners)
    for planner in planners:
        planner.servers.put(build_server("s9"), 0)
    after = [place(planners[2], chat(n, "b")).server.id for n in range(40)]
    assert before == after


def test_chats_of_a_draining_server_are_copied_from_it():
    planner = build_planner()
    steps = {n: place(planner, chat(n)) for n in range(40)}
    leaving = steps[0].server
    planner.servers.put(
        build_server(leaving.id, available=False, port=leaving.port), 0
    )
    step = place(planner, chat(0, "b"))
    assert step.server.id != leaving.id
    assert step.fetch_from is not None
    assert step.fetch_from.id == leaving.id


def test_restarted_server_has_lost_its_cache():
    planner = build_planner()
    step = place(planner, chat(0))
    planner.caches.remove(step.server.id)
    second = place(planner, chat(0, "b"))
    assert second.fetch_from is None


def test_no_server_exceeds_twice_the_mean_when_one_chat_gets_half():
    """A burst of 250 ms, half of which belongs to one chat."""
    rng = random.Random(3)
    planner = build_planner()
    flights = []
    over = 0
    for number in range(400):
        chat_number = 0 if rng.random() < 0.5 else rng.randrange(1, 60)
        flight = planner.admit(chat(chat_number, f"r{number}"), 0)
        step = planner.choose(flight, 0)
        planner.record_sent(flight, step.server, 0)
        flights.append(flight)
        if len(flights) > 60:
            ended = flights.pop(rng.randrange(len(flights)))
            planner.record_complete_answer(ended)
        loads = [planner.loads.of(f"s{n}", 0) for n in range(5)]
        over += max(loads) > 2 * sum(loads) / 5 + 3
    assert over == 0


def test_rank_moves_only_the_chats_of_a_removed_server():
    servers = [build_server(f"s{number}") for number in range(6)]
    moved = 0
    for number in range(200):
        before = rank_by_prompt(chat(number), servers)[0].id
        after = rank_by_prompt(chat(number), servers[:-1])[0].id
        if before != "s5":
            moved += before != after
    # A first part that loses one of its servers gets another one.
    assert moved <= 200 / 4


def test_cache_map_survives_a_restart_and_is_bounded(monkeypatch):
    from corianderdoor.core.entry import cache_map

    monkeypatch.setattr(cache_map, "MAX_PARTS", 50)
    caches = CacheMap()
    for number in range(200):
        caches.record(chat(number), "s1", number)
    pairs = caches.snapshot(200)
    assert len(pairs) <= 50
    fresh = CacheMap()
    fresh.restore(pairs, 0)
    part = chat(199).shared_parts()[-1]
    assert "s1" in fresh.holders(part, 1)
    assert digest_part(part) in {digest for digest, _ in pairs}


def test_old_snapshot_does_not_replace_known_entries():
    caches = CacheMap()
    caches.record(chat(1), "s1", 0)
    caches.restore([(5, "s2")], 0)
    assert all(server == "s1" for _, server in caches.snapshot(0))


def test_mean_counts_servers_of_an_evacuated_data_centre():
    """Two of five servers get no requests, which lowers the mean of all."""
    planner = build_planner()
    for number in (3, 4):
        server = build_server(f"s{number}", data_centre="b")
        planner.servers.put(server, 0)
    planner.servers.set_evacuated(frozenset({"b"}))
    rng = random.Random(9)
    over = 0
    for number in range(40):
        chat_number = 0 if rng.random() < 0.6 else rng.randrange(1, 30)
        flight = planner.admit(chat(chat_number, f"r{number}"), 0)
        step = planner.choose(flight, 0)
        planner.record_sent(flight, step.server, 0)
        loads = [planner.loads.of(f"s{n}", 0) for n in range(5)]
        over += max(loads) > 2 * sum(loads) / 5 + 3
    assert over == 0
