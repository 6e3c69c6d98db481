"""Load pattern: many short requests to a service without a cache.

Each host reuses few connections, the hosts spread over the servers, and a
burst is distributed evenly.
"""

from __future__ import annotations

from collections import Counter

from entry_builders import build_planner, build_request


def pay(planner, number: int):
    """Returns an in-flight request and the id of its server."""
    flight = planner.admit(build_request("/pay/x", f"r{number}", ()), 0)
    step = planner.choose(flight, 0)
    planner.record_sent(flight, step.server, 0)
    return flight, step.server.id


def test_host_under_light_load_stays_with_one_server():
    planner = build_planner(plain=4)
    chosen = set()
    for number in range(20):
        flight, server_id = pay(planner, number)
        planner.record_complete_answer(flight)
        chosen.add(server_id)
    assert len(chosen) == 1


def test_server_with_a_recently_used_connection_is_preferred():
    planner = build_planner(plain=4)
    planner.selection.is_connected = lambda server_id: server_id == "p2"
    assert pay(planner, 0)[1] == "p2"


def test_hosts_spread_over_the_servers():
    first = Counter(
        pay(build_planner(name=f"h{n}", plain=4), 0)[1] for n in range(80)
    )
    assert len(first) == 4
    assert max(first.values()) <= 2 * 80 / 4


def test_burst_fills_servers_evenly_and_none_over_twice_the_mean():
    planner = build_planner(plain=4)
    loads: Counter[str] = Counter()
    for number in range(48):
        _, server_id = pay(planner, number)
        loads[server_id] += 1
        mean = sum(loads.values()) / 4
        assert max(loads.values()) <= 2 * mean + 3
    assert max(loads.values()) - min(loads.values()) <= 2
