"""Tests of the queue of weight loads."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderdoor.core import weight_loads
from corianderdoor.core.weight_loads import LoadLimits, LoadQueue, Priority

LIMITS = LoadLimits(
    bytes_per_s=1_000, burst_bytes=1_000, max_running=100, ageing_ms=10_000
)


def build_queue(limits=LIMITS):
    return LoadQueue(limits, random.Random(3), 0)


def drain(queue, start_ms, end_ms, step_ms=100):
    """Takes loads as they may start; returns (time, key) of each."""
    started = []
    for now_ms in range(start_ms, end_ms, step_ms):
        for key in queue.take(now_ms):
            started.append((now_ms, key))
            queue.finish(key)
    return started


def test_more_urgent_load_goes_first():
    queue = build_queue()
    for number, priority in enumerate(reversed(Priority)):
        queue.add((f"e{number}", "m"), 1_000, priority, 0)
    order = [key[0] for _, key in drain(queue, 0, 10_000)]
    assert order == ["e3", "e2", "e1", "e0"]


def test_same_load_is_queued_once_at_its_highest_priority():
    queue = build_queue()
    queue.add(("e1", "m"), 1_000, Priority.SPARE, 0)
    queue.add(("e2", "m"), 1_000, Priority.ROLLOUT, 0)
    queue.add(("e1", "m"), 1_000, Priority.RECOVERY, 0)
    queue.add(("e1", "m"), 1_000, Priority.SPARE, 0)
    assert len(queue) == 2
    assert [key[0] for _, key in drain(queue, 0, 9_000)] == ["e1", "e2"]


def test_running_load_is_not_queued_again():
    queue = build_queue()
    queue.add(("e1", "m"), 10, Priority.SPARE, 0)
    assert list(queue.take(0)) == [("e1", "m")]
    assert queue.add(("e1", "m"), 10, Priority.RECOVERY, 1)
    assert list(queue.take(5)) == []


@settings(max_examples=50, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 20_000),
            st.integers(1, 3_000),
            st.sampled_from(list(Priority)),
        ),
        max_size=30,
    )
)
def test_store_never_hands_out_more_than_its_rate(loads):
    queue = build_queue()
    passed = []
    sizes = {}
    for now_ms in range(0, 60_000, 100):
        for number, (at_ms, size, priority) in enumerate(loads):
            if at_ms // 100 * 100 == now_ms:
                sizes[str(number)] = size
                queue.add((str(number), "m"), size, priority, now_ms)
        for key in queue.take(now_ms):
            passed.append((now_ms, sizes[key[0]]))
    largest = max([size for _, size, _ in loads], default=0)
    for first, (start_ms, _) in enumerate(passed):
        for last in range(first, len(passed)):
            span = [size for _, size in passed[first : last + 1]]
            span_ms = passed[last][0] - start_ms
            assert sum(span) <= span_ms + LIMITS.burst_bytes + largest


def test_low_priority_is_overtaken_only_within_its_delay():
    queue = build_queue()
    for number in range(20):
        queue.add((f"old{number}", "m"), 500, Priority.RECOVERY, 0)
    queue.add(("low", "m"), 500, Priority.SPARE, 0)
    started = []
    for now_ms in range(0, 90_000, 100):
        if now_ms % 500 == 0:
            # Urgent loads arrive at the whole rate of the store.
            queue.add((f"u{now_ms}", "m"), 500, Priority.RECOVERY, now_ms)
        started += drain(queue, now_ms, now_ms + 1)
    (at_ms,) = [now_ms for now_ms, key in started if key[0] == "low"]
    # What was queued before or within the delay goes first, then this one.
    delay_ms = Priority.SPARE * LIMITS.ageing_ms
    backlog_ms = 20 * 500
    assert delay_ms <= at_ms <= delay_ms + backlog_ms + 1_000


def test_failed_load_backs_off_and_blocks_no_other():
    queue = build_queue()
    queue.add(("e1", "m"), 10, Priority.RECOVERY, 0)
    queue.add(("e2", "m"), 10, Priority.SPARE, 0)
    assert next(queue.take(0)) == ("e1", "m")
    queue.fail(("e1", "m"), 0)
    assert list(queue.take(1)) == [("e2", "m")]
    assert list(queue.take(1_000)) == [("e1", "m")]


def test_back_off_grows_and_is_capped():
    queue = build_queue()
    queue.add(("e1", "m"), 0, Priority.RECOVERY, 0)
    gaps = []
    last_ms = 0
    for now_ms in range(0, 600_000, 100):
        for key in queue.take(now_ms):
            gaps.append(now_ms - last_ms)
            last_ms = now_ms
            queue.fail(key, now_ms)
    assert gaps[5] > 4 * gaps[1]
    assert max(gaps) <= weight_loads.BACKOFF_CAP_MS + 100


def test_store_that_asks_to_wait_is_left_alone():
    queue = build_queue()
    queue.add(("e1", "m"), 10, Priority.RECOVERY, 0)
    queue.add(("e2", "m"), 10, Priority.RECOVERY, 0)
    next(queue.take(0))
    queue.fail(("e1", "m"), 0, retry_after_ms=5_000)
    assert list(queue.take(4_900)) == []
    assert len(list(queue.take(5_000))) == 2


def test_no_more_loads_run_than_allowed():
    queue = build_queue(LoadLimits(10**6, 10**6, 2, 1_000))
    for number in range(5):
        queue.add((f"e{number}", "m"), 1, Priority.ROLLOUT, 0)
    assert len(list(queue.take(0))) == 2
    queue.finish(("e0", "m"))
    assert len(list(queue.take(0))) == 1


def test_load_that_is_put_back_keeps_its_rank_and_its_bytes():
    queue = build_queue()
    queue.add(("e1", "m"), 3_000, Priority.RECOVERY, 0)
    queue.add(("e2", "m"), 3_000, Priority.RECOVERY, 1)
    assert list(queue.take(1)) == [("e1", "m")]
    queue.requeue(("e1", "m"))
    assert list(queue.take(2)) == [("e1", "m")]


def test_full_queue_refuses(monkeypatch):
    monkeypatch.setattr(weight_loads, "MAX_QUEUED", 1)
    queue = build_queue()
    assert queue.add(("e1", "m"), 1, Priority.SPARE, 0)
    assert not queue.add(("e2", "m"), 1, Priority.SPARE, 0)
