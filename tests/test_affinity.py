"""Tests of chat affinity and of its use by the placement."""

import random

from builders import build_req
from test_home_placement import build_servers, POOL, Routers

from corianderdoor.core.affinity import AffinityTable, RETENTION_MS, WAYS
from corianderdoor.core.home_placement import HomePlacement
from corianderdoor.core.rendezvous import Ring


def test_find_returns_the_last_server_of_a_chat():
    table = AffinityTable()
    table.record("c1", "e1", 0)
    table.record("c1", "e2", 1_000)
    assert table.find("c1", 2_000) == "e2"
    assert table.find("c2", 2_000) == ""


def test_entry_expires_after_the_retention_time():
    table = AffinityTable()
    table.record("c1", "e1", 0)
    assert table.find("c1", RETENTION_MS) == "e1"
    assert table.find("c1", RETENTION_MS + 1_000) == ""


def test_table_keeps_its_size_and_the_latest_chats():
    table = AffinityTable(sets=1)
    before = table.size_bytes
    for number in range(10):
        table.record(f"c{number}", "e1", number * 1_000)
    known = [n for n in range(10) if table.find(f"c{n}", 10_000)]
    assert known == list(range(10 - WAYS, 10))
    assert table.size_bytes == before == 16 * WAYS


def test_chat_stays_with_the_server_it_overflowed_to():
    fleet = Routers(1, build_servers(8))
    core = fleet.cores["r0"]
    first = fleet.place("r0", build_req("r1", chat="c1"))
    core._chats._affinity.record("c1", "e7" if first != "e7" else "e6", 0)
    moved = fleet.place("r0", build_req("r2", chat="c1"))
    assert moved == ("e7" if first != "e7" else "e6")


def test_chats_of_a_leaving_server_move_to_the_same_next_choice_everywhere():
    servers = build_servers(8)
    joined_late = servers[3:] + servers[:3]
    orders, req = [], build_req(chat="c1")
    for view in (servers, joined_late):
        core = HomePlacement("r9", 1.5, random.Random(1))
        core.set_servers(tuple(view), 0)
        before = [s.name for s in core._chats.order(req, POOL, 0)]
        left = tuple(s for s in view if s.name != before[0])
        core.set_servers(left, 1)
        after = [s.name for s in core._chats.order(req, POOL, 0)]
        assert after == before[1:]
        orders.append(after)
    assert orders[0] == orders[1]


def test_iteration_of_an_order_survives_a_change_of_the_servers():
    servers = build_servers(8)
    ring = Ring()
    ring.replace(servers)
    expected = [server.name for server in ring.order("c1")]
    order = ring.order("c1")
    names = [next(order).name]
    ring.replace([*servers[6:], *build_servers(20)[12:]])
    names += [server.name for server in order]
    assert names == expected
