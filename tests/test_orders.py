"""Tests of the reconciler, with single faults and pairs of faults."""

from builders import build_server
from expression import Ok
from orders_bench import (
    build_bench,
    build_engines,
    EngineBench,
    Lease,
    LONGEST_MS,
    TIMES,
)
import pytest

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.desired import decode_desired
from corianderdoor.core.orders import Order, OrderKind, Role
from corianderdoor.core.reconcile import ORDER_POLL_MS, RAISE_FENCE
from corianderdoor.core.reconcile_messages import OrderAnswered, Tick
from corianderdoor.core.weight_loads import LoadLimits, Priority

V1 = '{"pools": {"redactor": {"models": {"redactor": "v1"}}}}'
V2 = '{"pools": {"redactor": {"models": {"redactor": "v2"}}}}'
WITH_ADAPTER = (
    '{"pools": {"redactor": {"models": {"redactor": "v1"},'
    ' "adapters": {"maule": "v3"}, "role": "decode"}}}'
)
IDLE_POOL = '{"pools": {"redactor": {"role": "idle"}}}'


def test_engine_reaches_its_desired_state_and_gets_no_more_orders():
    bench = build_bench(WITH_ADAPTER)
    bench.run(20_000)
    engine = bench.engines["e0"]
    assert engine.models == {"redactor": "v1"}
    assert engine.adapters == {"maule": "v3"}
    assert engine.role is Role.DECODE
    sent_before = len(bench.orders_sent)
    bench.run(120_000)
    assert len(bench.orders_sent) == sent_before


@pytest.mark.parametrize("fenced", [True, False])
def test_no_order_is_given_without_the_lease(fenced):
    bench = build_bench(V1, fenced=fenced, lease=Lease(end_ms=0))
    bench.run(5_000)
    assert bench.orders_sent == []
    assert bench.reads == 0


def test_lost_lease_changes_no_engine():
    bench = build_bench(V1)
    bench.run(10_000)
    bench.lease.end_ms = 10_000
    bench.set_desired(IDLE_POOL)
    sent_before = len(bench.orders_sent)
    bench.run(3_600_000, step_ms=5_000)
    assert len(bench.orders_sent) == sent_before
    assert bench.engines["e0"].models == {"redactor": "v1"}
    assert bench.engines["e0"].role is Role.MIXED


def test_every_order_has_its_fence_and_expiry():
    bench = build_bench(V1, lease=Lease(fence=41))
    bench.run(10_000)
    assert bench.orders_sent
    for now_ms, _, order in bench.orders_sent:
        assert order.fence == 41
        assert order.not_after_ms == now_ms + LONGEST_MS


@pytest.mark.parametrize("desired", [V1, WITH_ADAPTER])
def test_order_without_an_answer_is_not_repeated_before_a_read(desired):
    bench = build_bench(desired)
    bench.answers_to_lose = 100
    bench.run(10_000)
    bench.answers_to_lose = 0
    bench.run(60_000)
    engine = bench.engines["e0"]
    assert engine.models == {"redactor": "v1"}
    kinds = bench.kinds()
    assert len(kinds) == len(set(kinds))


def test_fencing_engine_gets_the_token_before_its_state_is_read():
    bench = build_bench(V1)
    bench.run(100)
    assert bench.orders_sent[0][2].step.kind is OrderKind.RAISE_FENCE


def test_late_order_of_the_old_leader_is_refused_after_the_take_over():
    clock = ManualClock()
    engines = build_engines(clock)
    old = EngineBench(clock, engines, Lease(fence=1), V1)
    old.run(100)
    late_order = old.orders_sent[-1][2]
    new = EngineBench(clock, engines, Lease(fence=2, since_ms=100), V2)
    new.run(100)
    assert old.deliver("e0", late_order) == 409
    new.run(20_000)
    assert engines["e0"].models == {"redactor": "v2"}


def test_new_leader_waits_until_orders_to_unfenced_engines_expire():
    lease = Lease(fence=2, since_ms=1_000)
    bench = build_bench(V1, fenced=False, lease=lease)
    bench.run(1_000 + LONGEST_MS - 100)
    assert bench.reads == 0
    bench.run(10_000)
    assert bench.engines["e0"].models == {"redactor": "v1"}


def test_late_order_to_an_unfenced_engine_is_undone_in_bounded_time():
    clock = ManualClock()
    engines = build_engines(clock, fenced=False)
    old = EngineBench(clock, engines, Lease(fence=1), V1, fenced=False)
    old.run(2_500)
    late_order = old.orders_sent[-1][2]
    lease = Lease(fence=2, since_ms=clock.now_ms())
    new = EngineBench(clock, engines, lease, V2, fenced=False)
    new.load_ends = old.load_ends
    new.run(30_000)
    assert engines["e0"].models == {"redactor": "v2"}
    # The old leader was paused between its last check and the write.
    assert old.deliver("e0", late_order) == 202
    new.load_ends += old.load_ends
    new.run(4_000)
    assert engines["e0"].models == {"redactor": "v1"}
    # Repaired within one re-read plus the time of one order and its load.
    new.run(TIMES.reread_ms + 3_000 + 2 * ORDER_POLL_MS)
    assert engines["e0"].models == {"redactor": "v2"}


def test_restarted_engine_gets_the_token_again():
    bench = build_bench(V1)
    bench.run(10_000)
    bench.engines["e0"].fence = 0
    bench.run(TIMES.reread_ms + 10_000)
    assert bench.engines["e0"].fence == 1


def test_load_with_unknown_outcome_still_counts_as_running():
    limits = LoadLimits(1_000_000, 1_000_000, 1, 60_000)
    bench = build_bench(V1, count=2, fenced=False, limits=limits)
    bench.answers_to_lose = 1
    for _ in range(200):
        bench.run(100)
        loading = [e for e in bench.engines.values() if e.loading]
        assert len(loading) <= 1
    models = [engine.models for engine in bench.engines.values()]
    assert models == [{"redactor": "v1"}] * 2


def test_leader_with_a_lower_token_changes_nothing_and_backs_off():
    bench = build_bench(V1)
    bench.engines["e0"].fence = 9
    bench.run(60_000)
    assert bench.engines["e0"].applied == []
    assert len(bench.orders_sent) < 10


def test_answer_from_an_earlier_leadership_changes_nothing():
    bench = build_bench(V1)
    bench.core.handle(bench.pending[0], 0, 0)
    bench.lease.token = 1
    bench.core.handle(Tick(), 100, 100)
    old = Order(1, RAISE_FENCE, 1, 2_100)
    bench.lease.token = 5
    (action,) = bench.core.handle(Tick(), 200, 200)
    assert action.order.fence == 5
    assert (
        bench.core.handle(OrderAnswered("e0", old, Ok(None)), 300, 300) == ()
    )
    event = OrderAnswered("e0", action.order, Ok(None))
    assert len(bench.core.handle(event, 300, 300)) == 1


def test_limited_share_of_a_serving_pool_loads_at_once():
    bench = build_bench(V1, count=8)
    bench.run(20_000)
    bench.set_desired(V2)
    most_loading = 0
    for _ in range(600):
        bench.run(100)
        loading = sum(bool(e.loading) for e in bench.engines.values())
        most_loading = max(most_loading, loading)
    assert most_loading == 2
    models = [engine.models for engine in bench.engines.values()]
    assert models == [{"redactor": "v2"}] * 8


def test_cold_pool_loads_all_at_once():
    bench = build_bench(V1, count=8)
    bench.run(600)
    loading = [bool(engine.loading) for engine in bench.engines.values()]
    assert all(loading)


def test_engine_goes_idle_only_while_another_serves():
    bench = build_bench(V1, count=2)
    bench.run(10_000)
    body = V1[:-1] + ', "servers": {"e0": {"role": "idle"}}}'
    bench.unreachable = {"e1"}
    bench.run(TIMES.reread_ms)
    bench.set_desired(body)
    bench.run(20_000)
    assert bench.engines["e0"].role is Role.MIXED
    bench.unreachable = set()
    bench.run(120_000)
    assert bench.engines["e0"].role is Role.IDLE
    assert bench.engines["e0"].models == {}


def test_operator_may_set_a_whole_pool_idle():
    bench = build_bench(V1, count=2)
    bench.run(10_000)
    bench.set_desired(IDLE_POOL)
    bench.run(20_000)
    assert {e.role for e in bench.engines.values()} == {Role.IDLE}


def test_load_of_an_unreachable_engine_stops_counting_as_running():
    limits = LoadLimits(1_000_000, 1_000_000, 1, 60_000)
    bench = build_bench(V1, count=2, limits=limits)
    bench.run(300)
    (loading,) = [n for n, e in bench.engines.items() if e.loading]
    bench.unreachable = {loading}
    bench.run(60_000)
    (other,) = set(bench.engines) - {loading}
    assert bench.engines[other].models == {"redactor": "v1"}


def test_all_engines_of_a_large_fleet_are_read_without_waiting_for_ticks():
    bench = build_bench(V1, count=400)
    bench.run(200)
    assert bench.reads >= 400


def test_unlisted_engine_frees_its_call_slot():
    bench = build_bench(V1, count=40)
    bench.core.handle(bench.pending[0], 0, 0)
    bench.core.handle(Tick(), 100, 100)
    assert bench.core._calls_in_flight == 32
    bench.servers = (build_server("e0"),)
    bench.set_desired(V1)
    bench.core.handle(bench.pending[0], 200, 200)
    assert bench.core._calls_in_flight <= 1


def test_load_for_a_pool_that_does_not_serve_has_recovery_priority():
    bench = build_bench(V1)
    bench.run(200)
    waiting = [*bench.queue._waiting.values(), *bench.queue._running.values()]
    assert [load.rank for load in waiting] == [
        load.queued_ms + Priority.RECOVERY for load in waiting
    ]


@pytest.mark.parametrize(
    "text",
    [
        '{"pool": {}}',
        '{"pools": {"a b": {}}}',
        '{"pools": {"a": {"role": "boss"}}}',
        '{"pools": {"a": {"warm": {"zone": "Mars/X", "floor": 1,'
        ' "per_server": 1}}}}',
        '{"servers": {"a": {"warm": {"zone": "UTC", "floor": 1,'
        ' "per_server": 1}}}}',
    ],
)
def test_malformed_desired_state_is_refused_completely(text):
    assert decode_desired(text.encode(), 1).is_error()


def test_new_leadership_gives_no_orders_before_its_goals_are_set():
    bench = build_bench(V1)
    bench.run(10_000)
    bench.engines["e0"].models.clear()
    bench.lease.token = 5
    sent_before = len(bench.kinds())
    bench.run(20_000)
    assert len(bench.kinds()) == sent_before
    bench.set_desired(V2)
    bench.run(20_000)
    assert bench.engines["e0"].models == {"redactor": "v2"}
