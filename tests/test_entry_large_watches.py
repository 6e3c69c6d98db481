"""Watches of the store whose answers can't be used as a whole."""

from __future__ import annotations

import anyio
import pytest
from test_entry_restore_sync import Bench, run_bench, wait_until

from corianderdoor.platform.store import StoreClient, StoreError
from corianderdoor.standins.platform_fleet import build_config

ENTRY_BYTES = 1_000_000
ENTRIES = 13
# Of the platform's bounds: configuration_apply_ms.
APPLY_S = 3.0


def count_relistings(bench: Bench) -> dict[str, int]:
    """Returns how often all items were read again, by reason."""
    counted = bench.counters.read("store_relistings")
    return {labels[0][1]: count for labels, count in counted}


# Guards against a watch of more than one answer may have, which is asked for
# again until the history is gone: all changes in that time are missed.
def test_host_applies_what_follows_more_than_one_answer_may_have():
    async def scenario(bench, tasks):
        bench.store.put("op/config", build_config(100))
        sync = bench.build_sync()
        tasks.start_soon(sync.run)
        await wait_until(lambda: len(bench.values()) == 1)
        for number in range(ENTRIES):
            bench.store.put(f"servers/other-{number}", bytes(ENTRY_BYTES))
        bench.store.put("op/config", build_config(101))
        watches = bench.server.calls.get("kv-watch", 0)
        with anyio.fail_after(APPLY_S):
            await wait_until(
                lambda: bench.planner.desired is not None
                and bench.planner.desired.version == 101
            )
        assert bench.server.calls.get("kv-watch", 0) <= watches + 2
        assert len(bench.values()) == ENTRIES + 1
        assert count_relistings(bench) == {"too large": 1}
        assert sync.behind_ms() == 0
        bench.store.put("other/later", b"1")
        await wait_until(lambda: "other/later" in bench.values())

    run_bench(scenario)


class StallingStore(StoreClient):
    """A store whose watches begin an answer and don't end it."""

    def __init__(self, bench: Bench, reason: str) -> None:
        super().__init__(bench.address, bench.counters, bench.era)
        self.reason = reason
        self.asked: list[int] = []

    async def watch(self, prefix, after, wait_ms):
        if self.reason:
            self.asked.append(after)
            raise StoreError("kv-watch", self.reason, False, True)
        return await super().watch(prefix, after, wait_ms)


# Guards against the same watch for ever when its answer is too long to arrive
# in time, or can't be read.
@pytest.mark.parametrize("reason", ["silent", "cut", "unreadable"])
def test_begun_answer_that_is_not_whole_is_followed_by_a_listing(reason):
    async def scenario(bench, tasks):
        sync = bench.build_sync()
        store = StallingStore(bench, reason)
        sync._store = store
        bench.store.put("a", b"1")
        tasks.start_soon(sync.run)
        await wait_until(lambda: store.asked)
        bench.store.put("a", b"2")
        with anyio.fail_after(APPLY_S):
            await wait_until(lambda: bench.values() == {"a": b"2"})
        store.reason = ""
        bench.store.put("a", b"3")
        with anyio.fail_after(APPLY_S):
            await wait_until(lambda: bench.values() == {"a": b"3"})
        assert count_relistings(bench)[reason] >= 1

    run_bench(scenario)


# Guards against listings of all hosts while the store answers nobody.
def test_watch_without_an_answer_is_asked_again_without_a_listing():
    async def scenario(bench, tasks):
        sync = bench.build_sync()
        tasks.start_soon(sync.run)
        bench.store.put("a", b"1")
        await wait_until(lambda: bench.values() == {"a": b"1"})
        lists = bench.server.calls["kv-range"]

        async def fail(*_):
            raise StoreError("kv-watch", "silent", False)

        store, sync._store = sync._store, StallingStore(bench, "")
        sync._store.watch = fail
        await anyio.sleep(0.5)
        sync._store = store
        bench.store.put("a", b"2")
        await wait_until(lambda: bench.values() == {"a": b"2"})
        assert bench.server.calls["kv-range"] == lists
        assert count_relistings(bench) == {}

    run_bench(scenario)
