"""Tests of giving orders, alone and with faults in pairs."""

from builders import build_server
from expression import Ok
from orders_bench import (
    Bench,
    build_bench,
    build_engines,
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
ADAPTED = (
    '{"pools": {"redactor": {"models": {"redactor": "v1"},'
    ' "adapters": {"maule": "v3"}, "role": "decode"}}}'
)
OFF = '{"pools": {"redactor": {"role": "idle"}}}'


def test_engine_comes_to_its_desired_state_and_is_then_left_alone():
    bench = build_bench(ADAPTED)
    bench.run(20_000)
    engine = bench.engines["e0"]
    assert engine.models == {"redactor": "v1"}
    assert engine.adapters == {"maule": "v3"}
    assert engine.role is Role.DECODE
    given = len(bench.given)
    bench.run(120_000)
    assert len(bench.given) == given


@pytest.mark.parametrize("checks", [True, False])
def test_no_order_is_given_without_the_lease(checks):
    bench = build_bench(V1, checks=checks, lease=Lease(end_ms=0))
    bench.run(5_000)
    assert bench.given == []
    assert bench.reads == 0


def test_outage_tears_nothing_down():
    bench = build_bench(V1)
    bench.run(10_000)
    bench.lease.end_ms = 10_000
    bench.set_desired(OFF)
    given = len(bench.given)
    bench.run(3_600_000, step_ms=5_000)
    assert len(bench.given) == given
    assert bench.engines["e0"].models == {"redactor": "v1"}
    assert bench.engines["e0"].role is Role.MIXED


def test_every_order_has_its_fence_and_expiry():
    bench = build_bench(V1, lease=Lease(fence=41))
    bench.run(10_000)
    assert bench.given
    for now_ms, _, order in bench.given:
        assert order.fence == 41
        assert order.not_after_ms == now_ms + LONGEST_MS


@pytest.mark.parametrize("desired", [V1, ADAPTED])
def test_order_without_an_answer_is_not_repeated_before_a_read(desired):
    bench = build_bench(desired)
    bench.lose = 100
    bench.run(10_000)
    bench.lose = 0
    bench.run(60_000)
    engine = bench.engines["e0"]
    assert engine.models == {"redactor": "v1"}
    kinds = bench.kinds()
    assert len(kinds) == len(set(kinds))


def test_engine_that_checks_is_told_the_number_before_it_is_read():
    bench = build_bench(V1)
    bench.run(100)
    assert bench.given[0][2].step.kind is OrderKind.RAISE_FENCE


def test_late_order_of_the_old_leader_is_refused_after_the_take_over():
    clock = ManualClock()
    engines = build_engines(clock)
    old = Bench(clock, engines, Lease(fence=1), V1)
    old.run(100)
    late = old.given[-1][2]
    new = Bench(clock, engines, Lease(fence=2, since_ms=100), V2)
    new.run(100)
    assert old.deliver("e0", late) == 409
    new.run(20_000)
    assert engines["e0"].models == {"redactor": "v2"}


def test_new_leader_waits_out_orders_to_engines_that_do_not_check():
    lease = Lease(fence=2, since_ms=1_000)
    bench = build_bench(V1, checks=False, lease=lease)
    bench.run(1_000 + LONGEST_MS - 100)
    assert bench.reads == 0
    bench.run(10_000)
    assert bench.engines["e0"].models == {"redactor": "v1"}


def test_harm_to_an_engine_that_does_not_check_is_bounded_and_repaired():
    clock = ManualClock()
    engines = build_engines(clock, checks=False)
    old = Bench(clock, engines, Lease(fence=1), V1, fenced=False)
    old.run(2_500)
    late = old.given[-1][2]
    lease = Lease(fence=2, since_ms=clock.now_ms())
    new = Bench(clock, engines, lease, V2, fenced=False)
    new.ends = old.ends
    new.run(30_000)
    assert engines["e0"].models == {"redactor": "v2"}
    # The old leader was paused between its last check and the write.
    assert old.deliver("e0", late) == 202
    new.ends += old.ends
    new.run(4_000)
    assert engines["e0"].models == {"redactor": "v1"}
    # Repaired within one re-read and the time of one order and its load.
    new.run(TIMES.reread_ms + 3_000 + 2 * ORDER_POLL_MS)
    assert engines["e0"].models == {"redactor": "v2"}


def test_engine_that_was_restarted_is_told_the_number_again():
    bench = build_bench(V1)
    bench.run(10_000)
    bench.engines["e0"].fence = 0
    bench.run(TIMES.reread_ms + 10_000)
    assert bench.engines["e0"].fence == 1


def test_load_without_an_answer_keeps_its_place_among_the_loads():
    limits = LoadLimits(1_000_000, 1_000_000, 1, 60_000)
    bench = build_bench(V1, count=2, checks=False, limits=limits)
    bench.lose = 1
    for _ in range(200):
        bench.run(100)
        loading = [e for e in bench.engines.values() if e.loading]
        assert len(loading) <= 1
    models = [engine.models for engine in bench.engines.values()]
    assert models == [{"redactor": "v1"}] * 2


def test_outranked_leader_leaves_the_engine_alone():
    bench = build_bench(V1)
    bench.engines["e0"].fence = 9
    bench.run(60_000)
    assert bench.engines["e0"].applied == []
    assert len(bench.given) < 10


def test_answer_from_an_earlier_leadership_changes_nothing():
    bench = build_bench(V1)
    bench.core.handle(bench.pending[0], 0, 0)
    bench.lease.number = 1
    bench.core.handle(Tick(), 100, 100)
    old = Order(1, RAISE_FENCE, 1, 2_100)
    bench.lease.number = 5
    (action,) = bench.core.handle(Tick(), 200, 200)
    assert action.order.fence == 5
    assert (
        bench.core.handle(OrderAnswered("e0", old, Ok(None)), 300, 300) == ()
    )
    event = OrderAnswered("e0", action.order, Ok(None))
    assert len(bench.core.handle(event, 300, 300)) == 1


def test_few_serving_engines_of_a_pool_load_at_once():
    bench = build_bench(V1, count=8)
    bench.run(20_000)
    bench.set_desired(V2)
    most = 0
    for _ in range(600):
        bench.run(100)
        loading = sum(bool(e.loading) for e in bench.engines.values())
        most = max(most, loading)
    assert most == 2
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
    bench.down = {"e1"}
    bench.run(TIMES.reread_ms)
    bench.set_desired(body)
    bench.run(20_000)
    assert bench.engines["e0"].role is Role.MIXED
    bench.down = set()
    bench.run(120_000)
    assert bench.engines["e0"].role is Role.IDLE
    assert bench.engines["e0"].models == {}


def test_operator_may_turn_a_whole_pool_off():
    bench = build_bench(V1, count=2)
    bench.run(10_000)
    bench.set_desired(OFF)
    bench.run(20_000)
    assert {e.role for e in bench.engines.values()} == {Role.IDLE}


def test_dead_engine_gives_its_place_among_the_loads_back():
    limits = LoadLimits(1_000_000, 1_000_000, 1, 60_000)
    bench = build_bench(V1, count=2, limits=limits)
    bench.run(300)
    (loading,) = [n for n, e in bench.engines.items() if e.loading]
    bench.down = {loading}
    bench.run(60_000)
    (other,) = set(bench.engines) - {loading}
    assert bench.engines[other].models == {"redactor": "v1"}


def test_all_engines_of_a_large_fleet_are_read_without_waiting_for_ticks():
    bench = build_bench(V1, count=400)
    bench.run(200)
    assert bench.reads >= 400


def test_unlisted_engine_frees_what_it_held():
    bench = build_bench(V1, count=40)
    bench.core.handle(bench.pending[0], 0, 0)
    bench.core.handle(Tick(), 100, 100)
    assert bench.core._in_flight == 32
    bench.servers = (build_server("e0"),)
    bench.set_desired(V1)
    bench.core.handle(bench.pending[0], 200, 200)
    assert bench.core._in_flight <= 1


def test_pool_that_does_not_serve_comes_before_a_rollout():
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
def test_malformed_desired_state_is_refused_whole(text):
    assert decode_desired(text.encode(), 1).is_error()


def test_new_leadership_gives_no_order_from_what_an_earlier_one_wanted():
    bench = build_bench(V1)
    bench.run(10_000)
    bench.engines["e0"].models.clear()
    bench.lease.number = 5
    given = len(bench.kinds())
    bench.run(20_000)
    assert len(bench.kinds()) == given
    bench.set_desired(V2)
    bench.run(20_000)
    assert bench.engines["e0"].models == {"redactor": "v2"}
