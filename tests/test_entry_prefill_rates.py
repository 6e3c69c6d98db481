"""Tests that hosts learn the servers' prefill rate, and what follows."""

from __future__ import annotations

import heapq
import random

from entry_builders import build_planner, build_request, build_route
import msgspec
import pytest

from corianderdoor.core.entry.loads import Loads, PeerLoads
from corianderdoor.core.entry.placing import max_backlog
from corianderdoor.core.entry.prefill_rates import (
    DEFAULT_RATE,
    MIN_SAMPLES,
    PrefillRates,
    SAMPLE_TTL_MS,
)
from corianderdoor.platform.records import decode_desired

REPORT_MS = 400


def learn(rate, use, hosts, servers):
    """Learns from servers that prefill one prompt after the other.

    Hosts hear of each other's queues every `REPORT_MS`, and decoding and the
    network slow answers down.
    """
    rng = random.Random(5)
    rates = [PrefillRates() for _ in range(hosts)]
    loads = [Loads() for _ in range(hosts)]
    names = [str(number) for number in range(servers)]
    free_ms = [0.0] * servers
    events = [(at, -1, at, ()) for at in range(0, 40_000, REPORT_MS)]
    now, number = 0.0, 0
    while now < 40_000:
        own = rng.choice((200, 500, 1_500, 3_000, 6_200, 9_200))
        now += rng.expovariate(1.0) * 3_433 / (rate * servers * use)
        number += 1
        events.append((int(now), number, 0, (own,)))
    heapq.heapify(events)
    while events:
        now_ms, number, sent_ms, what = heapq.heappop(events)
        if not what:
            for host, own_loads in enumerate(loads):
                unread = dict(own_loads.own_unread)
                report = PeerLoads(now_ms + 2_500, unread, unread)
                for other in range(hosts):
                    if other != host:
                        loads[other].update_peer(f"h{host}", report)
        elif len(what) == 1:
            host = rng.randrange(hosts)
            order = rng.sample(names, servers)
            name = min(order, key=lambda n: loads[host].unread_of(n, now_ms))
            loads[host].start(name, what[0])
            queued = loads[host].unread_of(name, now_ms)
            work_ms = what[0] / rate * rng.uniform(1.0, 1.25)
            start_ms = max(free_ms[int(name)], now_ms + rng.uniform(2, 12))
            free_ms[int(name)] = start_ms + work_ms
            done = (int(free_ms[int(name)]), number, now_ms)
            heapq.heappush(events, (*done, (what[0], host, name, queued)))
        else:
            own, host, name, queued = what
            loads[host].end_prefill(name, own)
            loads[host].end(name)
            took_ms = now_ms - sent_ms
            known = [loads[host].unread_of(n, now_ms) for n in names]
            mean = sum(known) / servers
            rates[host].record("llm", own, queued, mean, took_ms, now_ms)
    return [known.learnt("llm", 40_000) for known in rates]


@pytest.mark.parametrize("rate", [32.4, 40.8, 56.9])
@pytest.mark.parametrize("hosts, servers", [(4, 4), (12, 12)])
def test_learnt_rate_is_within_a_fifth_of_the_true_one(rate, hosts, servers):
    # Guards against a rate that unknown or partly done requests distort.
    learnt = learn(rate, 0.3, hosts, servers)
    assert None not in learnt
    assert all(0.8 * rate <= found <= 1.2 * rate for found in learnt), learnt


@pytest.mark.parametrize("use", [0.7, 0.9, 1.1])
@pytest.mark.parametrize("hosts, servers", [(4, 4), (12, 4), (16, 16)])
def test_busy_servers_teach_no_wrong_rate(use, hosts, servers):
    # Guards against a rate that falls with the load, which would refuse
    # requests that could be served.
    learnt = learn(40.8, use, hosts, servers)
    known = [found for found in learnt if found is not None]
    assert all(0.8 * 40.8 <= found <= 1.2 * 40.8 for found in known), known


def test_short_prompts_and_long_queues_tell_nothing_about_the_rate():
    # Guards against the rate of the network, or of half-done prompts.
    rates = PrefillRates()
    for _ in range(MIN_SAMPLES):
        rates.record("llm", 900, 900, 0, 90, 0)
        rates.record("llm", 2_000, 3_100, 0, 30, 0)
        rates.record("llm", 2_000, 2_000, 1_100, 30, 0)
    assert rates.learnt("llm", 1_000) is None
    assert rates.get("llm", 1_000) == DEFAULT_RATE


def test_rate_follows_new_samples_and_outlives_a_quiet_time():
    # Guards against an old rate that is kept, and against losing one.
    rates = PrefillRates()
    for _ in range(MIN_SAMPLES):
        rates.record("llm", 5_000, 5_000, 0, 100, 0)
    assert rates.learnt("llm", 600_000) == 50.0
    for _ in range(MIN_SAMPLES):
        rates.record("llm", 4_000, 4_000, 0, 100, 700_000)
    assert rates.learnt("llm", 700_000 + SAMPLE_TTL_MS) == 40.0


def test_bounds_at_the_reference_rate_and_gap_are_the_known_ones():
    # Guards against other bounds where nothing is stated or learnt.
    assert max_backlog(0.5, 400, 32.4) == 6_500
    assert max_backlog(1.25, 400, 32.4) == 16_000
    selection = build_planner().selection
    assert selection.max_backlog("llm", 0.5, 0) == 6_500
    assert selection.max_backlog("llm", 1.25, 0) == 16_000


def test_first_events_of_long_prompts_raise_the_bounds_of_fast_servers():
    # Guards against bounds that stay at the rate of slower deployments.
    planner = build_planner()
    for number in range(MIN_SAMPLES):
        parts = ((f"c{number}", 5_690), ("own", 0))
        flight = planner.admit(
            build_request(f"/chat/{number}", parts=parts), 0
        )
        planner.record_sent(flight, planner.choose(flight, 0).server, 0)
        planner.record_answer_begun(flight, 100)
        planner.record_complete_answer(flight)
    assert planner.selection.rates.learnt("llm", 900) == pytest.approx(56.9)
    assert planner.selection.max_backlog("llm", 1.25, 900) == 28_500


def test_shortest_gap_of_the_streams_of_a_service_counts():
    # Guards against a gap of another service, or of routes without streams.
    fields = {"name": "a", "host": "h", "path_prefix": "/", "timeout_ms": 9}
    stream = {**fields, "kind": "streaming", "service": "llm"}
    plain = {**fields, "kind": "idempotent", "service": "llm"}
    value = {
        "version": 1,
        "routes": [
            {**stream, "target_gap_ms": 300},
            {**stream, "path_prefix": "/b/", "target_gap_ms": 200.5},
            {**stream, "path_prefix": "/c/", "target_gap_ms": None},
            {**plain, "path_prefix": "/d/", "target_gap_ms": 50},
        ],
        "services": [],
        "limits": dict.fromkeys(
            (
                "max_header_bytes",
                "max_body_bytes",
                "header_timeout_ms",
                "idle_timeout_ms",
            ),
            1,
        ),
    }
    desired = decode_desired(msgspec.json.encode(value))
    assert desired.gap_ms("llm") == 200.5
    assert desired.gap_ms("other") == 400
    assert build_route(target_gap_ms=0).target_gap_ms == 0
