"""Conditional writes of rollouts' outcomes, and who may write them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import os

import anyio
from entry_builders import build_planner, build_pool, build_server
import pytest

from corianderdoor.adapters.http1_server import listen
from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.counters import Counters
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.process_pauses import (
    CATCH_UP_MS,
    ProcessPauses,
)
from corianderdoor.core.entry.replica import Change, Page
from corianderdoor.core.entry.rollout_records import RolloutState
from corianderdoor.entry.rollout_feed import ORDER_GRACE_MS, RolloutFeed
from corianderdoor.entry.rollout_writer import RolloutWriter
from corianderdoor.entry.state_applier import StateApplier
from corianderdoor.platform.rollouts import (
    decode_record,
    decode_status,
    encode_order,
    ORDER_PREFIX,
    ROLLOUT_PREFIX,
    STATUS_PREFIX,
)
from corianderdoor.platform.store import StoreClient, StoreError
from corianderdoor.standins.platform_store import StoreServer, StoreState

ORDER_KEY = ORDER_PREFIX + "llm"
RECORD_KEY = ROLLOUT_PREFIX + "llm"
STATUS_KEY = STATUS_PREFIX + "llm"
ADDRESS = (f"127.{90 + os.getpid() // 250 % 100}.{os.getpid() % 250}.2", 18080)
TICK_MS = 100


class Host:
    """The parts of an entry host that carry out rollouts."""

    def __init__(self, name: str, clock: ManualClock) -> None:
        self.clock = clock
        self.planner = build_planner(0, name, plain=0)
        self.peers = Peers(name)
        counters = Counters()
        self.feed = RolloutFeed(
            self.planner.rollouts, self.peers, clock, counters
        )
        pool = build_pool(clock)
        self.applier = StateApplier(
            self.planner, self.peers, pool, clock, self.feed
        )
        self.pauses = ProcessPauses()
        self.pauses.record_tick(clock.now_ms())
        self.store = StoreClient(ADDRESS, counters)
        self.writer = RolloutWriter(
            self.store,
            self.planner.rollouts,
            self.peers,
            self.applier,
            self.pauses,
            clock,
            counters,
        )
        for version in ("v1", "v2"):
            server = build_server(f"s-{version}", version=version)
            self.planner.servers.put(server, 0)

    def tick(self) -> None:
        """Lets one tick pass."""
        self.clock.advance(TICK_MS)
        self.pauses.check(self.clock.now_ms())
        self.pauses.record_tick(self.clock.now_ms())
        self.feed.tick(self.clock.now_ms())

    async def read_store(self) -> None:
        """Applies all items of the store."""
        items, at = await self.store.read_all("")
        changes = tuple(Change(i.key, i.value, i.revision) for i in items)
        self.applier.apply(
            Page(changes, at, True, self.store.era.known), "s", 0
        )


class SlowClient(StoreClient):
    """A client whose host is suspended while a connection opens."""

    clock: ManualClock

    async def _open(self, step):
        self.clock.advance(1_300)
        return await super()._open(step)


@asynccontextmanager
async def run_store() -> AsyncIterator[StoreServer]:
    """Runs a store in which the rollout of a version has been ordered."""
    server = StoreServer(StoreState(ManualClock()))
    server.state.put(ORDER_KEY, encode_order("llm", "v2", 60))
    async with anyio.create_task_group() as tasks:
        await listen(ADDRESS, tasks, server.serve)
        yield server
        tasks.cancel_scope.cancel()


async def start_host(name: str, clock: ManualClock | None = None) -> Host:
    """Returns a host that has read the store and ticked."""
    host = Host(name, clock or ManualClock(10_000, 1_000_000))
    await host.read_store()
    host.tick()
    return host


def read_state(store: StoreServer) -> tuple[str, RolloutState | None]:
    """Returns the states in the status and in the record."""
    status = store.state.read_value(STATUS_KEY)
    record = store.state.read_value(RECORD_KEY)
    return (
        decode_status("llm", status)[0] if status else "",
        decode_record("llm", record, 1).state if record else None,
    )


def run(scenario) -> None:
    """Runs a scenario, bounded in time."""

    async def bounded() -> None:
        with anyio.fail_after(20):
            await scenario()

    anyio.run(bounded)


# Guards against a write over a change that the writer has not seen.
def test_compare_and_set_writes_all_keys_or_none():
    async def scenario() -> None:
        async with run_store() as store:
            client = StoreClient(ADDRESS, Counters())
            assert await client.compare_and_set({"a": 0}, {"a": b"1"})
            assert not await client.compare_and_set(
                {"a": 0}, {"a": b"2", "b": b"2"}
            )
            assert store.state.read_value("a") == b"1"
            assert store.state.read_value("b") is None
            with pytest.raises(StoreError) as failure:
                await client.compare_and_set({}, {"a": b"3"}, lambda: False)
            assert failure.value.not_applied
            assert store.state.read_value("a") == b"1"

    run(scenario)


# Guards against a lost answer that counts as "nothing was written".
def test_call_without_an_answer_may_have_been_executed():
    async def scenario() -> None:
        async with run_store() as store:
            client = StoreClient(ADDRESS, Counters())
            store.fault = "lost"
            with pytest.raises(StoreError) as failure:
                await client.compare_and_set({"a": 0}, {"a": b"1"})
            assert not failure.value.not_applied
            assert store.state.read_value("a") == b"1"

    run(scenario)


# Guards against a rollout that operators and restarted hosts can't see, and
# against calls to the store when there is nothing to write.
def test_first_host_writes_record_and_status_once():
    async def scenario() -> None:
        async with run_store() as store:
            host = await start_host("h1")
            assert await host.writer.write_due()
            assert read_state(store) == (
                "in_progress",
                RolloutState.IN_PROGRESS,
            )
            calls = dict(store.calls)
            assert calls["kv-txn"] == 1
            for _ in range(3):
                host.tick()
                assert await host.writer.write_due()
            assert store.calls == calls

    run(scenario)


# Guards against a second try without a look at what the first one did.
@pytest.mark.parametrize("fault", ["lost", "reset", "busy"])
def test_write_without_an_answer_is_followed_by_a_read(fault):
    async def scenario() -> None:
        async with run_store() as store:
            host = await start_host("h1")
            store.fault = fault
            assert not await host.writer.write_due()
            tries = store.calls.get("kv-txn", 0)
            assert not await host.writer.write_due()
            # The keys could not be read, so nothing was written again.
            assert store.calls.get("kv-txn", 0) == tries
            store.fault = ""
            assert await host.writer.write_due()
            assert read_state(store)[0] == "in_progress"
            assert store.calls["kv-txn"] == 1

    run(scenario)


# Guards against two first hosts whose outcomes replace each other.
@pytest.mark.parametrize("status_lost", [False, True])
def test_one_of_two_hosts_that_both_think_they_are_first_wins(status_lost):
    async def scenario() -> None:
        async with run_store() as store:
            one, two = await start_host("h1"), await start_host("h2")
            assert one.peers.is_first(0) and two.peers.is_first(0)
            await one.writer.write_due()
            if status_lost:
                store.state.remove(STATUS_KEY)
            assert not await two.writer.write_due()
            record = store.state.read_value(RECORD_KEY)
            # The one that lost has read the record and agrees with it.
            assert await two.writer.write_due()
            assert store.calls["kv-txn"] == 2
            assert store.state.read_value(RECORD_KEY) == record

    run(scenario)


# Guards against a late second outcome: one host reverts, the other one has
# not heard of it.
def test_final_state_is_not_replaced_by_a_host_that_knows_less():
    async def scenario() -> None:
        async with run_store() as store:
            one, two = await start_host("h1"), await start_host("h2")
            store.state.remove(ORDER_KEY)
            await one.read_store()
            assert await one.writer.write_due()
            assert read_state(store)[0] == "reverted"
            assert not await two.writer.write_due()
            assert read_state(store) == ("reverted", RolloutState.REVERTED)

    run(scenario)


# Guards against a suspended host that writes what it knew before.
def test_paused_host_writes_only_after_it_has_caught_up():
    async def scenario() -> None:
        async with run_store() as store:
            host = await start_host("h1")
            host.clock.advance(1_300)
            assert await host.writer.write_due()
            assert "kv-txn" not in store.calls
            waited_ms = 0
            while "kv-txn" not in store.calls and waited_ms < 5_000:
                host.tick()
                waited_ms += TICK_MS
                assert await host.writer.write_due()
            assert CATCH_UP_MS <= waited_ms <= CATCH_UP_MS + 2 * TICK_MS

    run(scenario)


# Guards against a host that is suspended while its connection opens.
def test_pause_between_decision_and_write_is_noticed():
    async def scenario() -> None:
        async with run_store() as store:
            host = await start_host("h1")
            host.writer._store = SlowClient(ADDRESS, Counters())
            host.writer._store.clock = host.clock
            assert not await host.writer.write_due()
            assert "kv-txn" not in store.calls

    run(scenario)


# Guards against an order that is malformed and blocks the outcome of the
# order before it, which is still in force.
def test_outcome_is_written_while_a_malformed_order_is_in_the_store():
    async def scenario() -> None:
        async with run_store() as store:
            host = await start_host("h1")
            store.state.put(ORDER_KEY, b'{"service": "llm", "to": "v3"}')
            await host.read_store()
            assert await host.writer.write_due()
            assert read_state(store)[0] == "in_progress"

    run(scenario)


# Guards against a rollout that ends because a restore lost its order, and
# against an order that is then never removed.
def test_order_lost_in_a_restore_is_kept_for_a_while():
    async def scenario() -> None:
        async with run_store() as store:
            store.state.remove(ORDER_KEY)
            copy = store.state.take_snapshot()
            store.state.put(ORDER_KEY, encode_order("llm", "v2", 60))
            host = await start_host("h1")
            assert await host.writer.write_due()
            store.state.restore(copy)
            await host.read_store()
            assert await host.writer.write_due()
            assert read_state(store)[0] == "in_progress"
            for _ in range(ORDER_GRACE_MS // TICK_MS):
                host.tick()
            assert await host.writer.write_due()
            assert read_state(store)[0] == "reverted"

    run(scenario)


# Guards against an outcome that is never written because the same order has
# another revision after a restore.
def test_order_written_again_after_a_restore_gets_an_outcome():
    async def scenario() -> None:
        async with run_store() as store:
            store.state.remove(ORDER_KEY)
            copy = store.state.take_snapshot()
            store.state.put("a", b"")
            store.state.put(ORDER_KEY, encode_order("llm", "v2", 60))
            host = await start_host("h1")
            assert await host.writer.write_due()
            store.state.restore(copy)
            store.state.put(ORDER_KEY, encode_order("llm", "v2", 60))
            await host.read_store()
            host.tick()
            assert await host.writer.write_due()
            assert read_state(store)[0] == "in_progress"

    run(scenario)
