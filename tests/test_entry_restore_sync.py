"""How hosts follow a restored store, with a store on a local port."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
from entry_builders import build_planner
import pytest

from corianderdoor.adapters.http1_server import listen
from corianderdoor.core.clock import MS_PER_SECOND, SystemClock
from corianderdoor.core.entry.active_hosts import rank_host
from corianderdoor.core.entry.counters import Counters
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import (
    MAX_WATCHERS,
    MIN_WATCHERS,
    Peers,
    RELIST_STEP_MS,
    RELIST_WAIT_MS,
    REWRITE_STEP_MS,
)
from corianderdoor.core.entry.replica import Page
from corianderdoor.entry.backends import ConnectionPool
from corianderdoor.entry.cache_map_saver import CacheMapSaver
from corianderdoor.entry.registration import Registration
from corianderdoor.entry.state_applier import StateApplier
from corianderdoor.entry.state_sync import StateSync
from corianderdoor.platform.records import CACHES_KEY, HOST_PREFIX
from corianderdoor.platform.store import StoreClient
from corianderdoor.platform.store_era import StoreEra
from corianderdoor.standins.platform_store import StoreServer, StoreState

LOST_AFTER_MS = 3_000
# What the store accepts from all hosts of a small site, per second (site
# descriptions of the platform), and the share that a restore may use.
WRITES_PER_S = 400
READS_PER_S = 2_000
MAX_SHARE = 0.5


class Bench:
    """A store and what one host needs to follow it."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.server = StoreServer(StoreState(self.clock))
        self.store = self.server.state
        self.planner = build_planner()
        self.counters = Counters()
        self.era = StoreEra(self.counters)
        self.address = ("", 0)
        self.peers = Peers("h0")
        self.pool = ConnectionPool(self.clock, self.counters)
        self.applier = StateApplier(
            self.planner, self.peers, self.pool, self.clock
        )

    def connect(self) -> StoreClient:
        """Returns a client of the store."""
        return StoreClient(self.address, self.counters, self.era)

    def build_sync(self) -> StateSync:
        """Returns the task that keeps the replica up to date."""
        return StateSync(
            self.connect(),
            self.applier,
            self.peers,
            self.clock,
            0,
            self.era,
            self.counters,
        )

    def build_registration(self) -> Registration:
        """Returns the host's registration."""
        return Registration(
            self.connect(), "h0", b"me", LOST_AFTER_MS, self.era
        )

    def lease_of(self, key: str) -> int:
        """Returns the lease of an item; 0 if it does not exist."""
        item = self.store.get(key)
        return item["lease_id"] if item else 0

    def values(self) -> dict[str, bytes | None]:
        """Returns what the host's replica holds."""
        return {item.key: item.value for item in self.applier.replica.items()}


Scenario = Callable[[Bench, anyio.abc.TaskGroup], Awaitable[None]]


def run_bench(scenario: Scenario) -> None:
    """Runs `scenario` beside a store."""

    async def run() -> None:
        bench = Bench()
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                server = await listen(
                    ("127.0.0.1", 0), tasks, bench.server.serve
                )
                bench.address = server.sockets[0].getsockname()
                await scenario(bench, tasks)
                tasks.cancel_scope.cancel()

    anyio.run(run)


async def wait_until(holds: Callable[[], bool]) -> None:
    """Waits until `holds` returns True."""
    while not holds():
        await anyio.sleep(0.005)


# Guards against a watch that goes on at a revision that was given out again:
# the store answers it, but not with what was lost.
@pytest.mark.parametrize("writes_since", [0, 9])
def test_watcher_lists_the_store_again_after_a_restore(writes_since):
    async def scenario(bench, tasks):
        bench.store.put("other/kept", b"1")
        snapshot = bench.store.take_snapshot()
        bench.store.put("other/lost", b"2")
        bench.store.put("other/kept", b"3")
        tasks.start_soon(bench.build_sync().run)
        await wait_until(lambda: len(bench.values()) == 2)
        lists = bench.server.calls["kv-range"]
        bench.store.restore(snapshot)
        for number in range(writes_since):
            bench.store.put("other/new", b"%d" % number)
        expected = {"other/kept": b"1"}
        if writes_since:
            expected["other/new"] = b"%d" % (writes_since - 1)
        await wait_until(lambda: bench.values() == expected)
        assert bench.applier.replica.era == 2
        assert bench.server.calls["kv-range"] == lists + 1

    run_bench(scenario)


def test_two_restores_in_a_row_end_with_what_the_store_holds():
    async def scenario(bench, tasks):
        bench.store.put("other/a", b"1")
        snapshot = bench.store.take_snapshot()
        bench.store.put("other/a", b"2")
        tasks.start_soon(bench.build_sync().run)
        await wait_until(lambda: bench.values() == {"other/a": b"2"})
        bench.store.restore(snapshot)
        bench.store.put("other/a", b"3")
        bench.store.restore(snapshot)
        bench.store.put("other/a", b"4")
        await wait_until(lambda: bench.values() == {"other/a": b"4"})
        assert bench.applier.replica.era == 3

    run_bench(scenario)


class SlowWatchStore:
    """Store that is restored while a watch waits."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.lists = 0

    async def read_all(self, prefix):
        """Returns no items."""
        self.lists += 1
        self.bench.era.read([b"%d" % self.lists])
        return [], 9 if self.lists == 1 else 5

    async def watch(self, prefix, after, wait_ms):
        """Returns no changes since the revision of the former era."""
        if self.lists > 1:
            await anyio.sleep_forever()
        self.bench.era.read([b"2"])
        self.bench.applier.apply(Page((), 5, True, 2, 5), "peer", 0)
        return [], 9


# Guards against the answer to a watch from a revision of the former era, when
# a peer's copy has led to the new one meanwhile (found by the model check).
def test_answer_to_a_watch_counts_only_in_the_era_of_its_revision():
    async def scenario(bench, tasks):
        store = SlowWatchStore(bench)
        sync = StateSync(
            store, bench.applier, bench.peers, bench.clock, 0, bench.era
        )
        tasks.start_soon(sync.run)
        await wait_until(lambda: store.lists == 2)
        assert (bench.applier.replica.era, bench.applier.replica.revision) == (
            2,
            5,
        )

    run_bench(scenario)


class FollowedPeering:
    """A peer that has the new era after a while."""

    def __init__(self, bench: Bench, era: int) -> None:
        self.bench = bench
        self.era = era
        self.pulls = 0

    def send_heartbeats(self):
        """Sends nothing."""

    async def pull(self, peer):
        """Returns the peer's copy."""
        self.pulls += 1
        return Page((), 2, True, self.era, 2)


# Guards against a store that is flooded by all hosts that watched it because
# nobody had reached it, also if they have missed a restore before.
@pytest.mark.parametrize("restores", [1, 2])
def test_host_that_does_not_watch_waits_for_a_peers_copy(restores):
    async def scenario(bench, tasks):
        names = sorted((f"h{n}" for n in range(8)), key=rank_host)
        own = names[-1]
        bench.peers = Peers(own)
        for name in names[:-1]:
            bench.peers.add_listed(name, ("x", 1), ("x", 2), "a", 0)
            # No peer has contact to the store.
            bench.peers.record_heartbeat(
                Heartbeat(name, 1, 1, 9_000, False, (), era=1),
                bench.clock.now_ms(),
            )
        bench.applier = StateApplier(
            bench.planner, bench.peers, bench.pool, bench.clock
        )
        sync = bench.build_sync()
        era = 1 + restores
        sync.attach(FollowedPeering(bench, era))
        snapshot = bench.store.take_snapshot()
        bench.store.put("other/a", b"1")
        tasks.start_soon(sync.run)
        await wait_until(lambda: "other/a" in bench.values())
        lists = bench.server.calls["kv-range"]
        for _ in range(restores):
            bench.store.restore(snapshot)
        await wait_until(lambda: bench.era.reported == era)
        await anyio.sleep(0.05)
        assert bench.applier.replica.era == 1
        bench.peers.record_heartbeat(
            Heartbeat(names[0], 1, 2, 0, False, (), era=era),
            bench.clock.now_ms(),
        )
        sync.wake()
        await wait_until(lambda: bench.applier.replica.era == era)
        assert bench.server.calls["kv-range"] == lists

    run_bench(scenario)


# Guards against a host that is missing in the store until its lease would
# have to be renewed.
def test_record_is_written_again_at_once_after_a_restore():
    async def scenario(bench, tasks):
        snapshot = bench.store.take_snapshot()
        registration = bench.build_registration()
        tasks.start_soon(registration.run, lambda: True)
        await wait_until(lambda: bench.store.get(HOST_PREFIX + "h0"))
        bench.store.restore(snapshot)
        bench.era.observe(2)
        with anyio.fail_after(1):
            await wait_until(lambda: bench.store.get(HOST_PREFIX + "h0"))
        assert bench.server.calls["kv-lease"] == 2

    run_bench(scenario)


# Guards against renewing, or ending, a lease of another host that got its id.
@pytest.mark.parametrize("noticed", [False, True])
def test_lease_of_another_host_with_the_same_id_is_not_ended(noticed):
    async def scenario(bench, tasks):
        snapshot = bench.store.take_snapshot()
        registration = bench.build_registration()
        tasks.start_soon(registration.run, lambda: not bench.store.get("x"))
        await wait_until(lambda: bench.store.get(HOST_PREFIX + "h0"))
        lost = bench.lease_of(HOST_PREFIX + "h0")
        bench.store.restore(snapshot)
        other = bench.store.grant(9_000)[1]["lease_id"]
        assert other == lost
        bench.store.put(HOST_PREFIX + "other", b"you", other)
        # Ends `registration.run`.
        bench.store.put("x", b"")
        if noticed:
            bench.era.observe(2)
        await registration.withdraw()
        assert bench.store.get(HOST_PREFIX + "other")

    run_bench(scenario)


# Guards against a record under a lease that was granted before a restore and
# that another host owns since.
def test_record_written_under_another_hosts_lease_is_written_again():
    async def scenario(bench, tasks):
        snapshot = bench.store.take_snapshot()

        class RestoredBeforeWrite(StoreState):
            """Store that is restored between the lease and the record."""

            __slots__ = ()

            def commit(self, change):
                """Commits."""
                if self.era == 1:
                    self.restore(snapshot)
                    self.grant(9_000)
                return super().commit(change)

        bench.store = RestoredBeforeWrite(bench.clock)
        bench.server.state = bench.store
        registration = bench.build_registration()
        tasks.start_soon(registration.run, lambda: True)
        await wait_until(lambda: bench.lease_of(HOST_PREFIX + "h0") == 2)

    run_bench(scenario)


# Guards against hosts that start with no map of caches after a restore.
def test_map_of_caches_is_saved_again_after_a_restore(monkeypatch):
    monkeypatch.setattr(
        "corianderdoor.entry.cache_map_saver.SAVE_INTERVAL_MS", 10
    )

    async def scenario(bench, tasks):
        bench.planner.caches.add_holder(7, "s0", bench.clock.now_ms())
        saver = CacheMapSaver(
            bench.connect(),
            bench.planner.caches,
            bench.peers,
            bench.clock,
            bench.era,
        )
        snapshot = bench.store.take_snapshot()
        tasks.start_soon(saver.run)
        await wait_until(lambda: bench.store.get(CACHES_KEY))
        bench.store.restore(snapshot)
        bench.era.observe(2)
        await wait_until(lambda: bench.store.get(CACHES_KEY))

    run_bench(scenario)


def build_fleet(count: int, now_ms: int) -> dict[str, Peers]:
    """Returns the hosts of a fleet whose store has just been restored.

    All of them asked it in the outage and know of the new era.
    """
    names = [f"h{number:03}" for number in range(count)]
    fleet = {}
    for own in names:
        peers = fleet[own] = Peers(own)
        for name in names:
            if name != own:
                peers.add_listed(name, ("x", 1), ("x", 2), "a", 0)
                heartbeat = Heartbeat(name, 1, 9, 2**31, False, (), era=1)
                peers.record_heartbeat(heartbeat, now_ms)
    return fleet


# Guards against a store that is flooded when it is back.
@pytest.mark.parametrize("count", [8, 66, 195])
def test_few_hosts_read_a_restored_store_and_the_rest_pull_from_peers(count):
    now_ms = 60_000
    fleet = build_fleet(count, now_ms)
    delays = {
        own: peers.relist_delay_ms(now_ms) for own, peers in fleet.items()
    }
    readers = [own for own, delay_ms in delays.items() if delay_ms == 0]
    assert MIN_WATCHERS <= len(readers) <= MAX_WATCHERS
    waiting = sorted(delay for delay in delays.values() if delay)
    assert waiting[0] >= RELIST_WAIT_MS
    # Without any peer's copy, the reads are still spread.
    gaps = [b - a for a, b in zip(waiting, waiting[1:])]
    assert min(gaps) == RELIST_STEP_MS
    # Once a reader has the new era, all others find it ahead, and none of
    # them watches.
    for own, peers in fleet.items():
        for reader in readers:
            if reader != own:
                heartbeat = Heartbeat(reader, 1, 5, 0, False, (), era=2)
                peers.record_heartbeat(heartbeat, now_ms + 300)
        if own not in readers:
            assert peers.find_peer_ahead(9, now_ms + 310, 1) is not None
        assert peers.should_watch(now_ms + 310) == (own in readers)


def count_per_second(times_ms: list[int]) -> int:
    """Returns the highest number of calls within any second."""
    return max(
        sum(at <= other < at + MS_PER_SECOND for other in times_ms)
        for at in times_ms
    )


# Guards against calls beyond what the store accepts, which it refuses.
@pytest.mark.parametrize("peers_reached", [True, False])
@pytest.mark.parametrize("count", [8, 66, 195])
def test_calls_after_a_restore_stay_far_below_the_stores_limits(
    count, peers_reached
):
    now_ms = 60_000
    fleet = build_fleet(count, now_ms).values()
    delays = [peers.relist_delay_ms(now_ms) for peers in fleet]
    lists = [at for at in delays if at == 0 or not peers_reached]
    # All hosts ask the store until one of them reaches it.
    reads = [0] * count + lists
    # A new lease and the record.
    writes = 2 * [peers.rewrite_delay_ms(now_ms) for peers in fleet]
    assert len(lists) <= (MAX_WATCHERS if peers_reached else count)
    assert count_per_second(reads) <= MAX_SHARE * READS_PER_S
    assert count_per_second(writes) <= MAX_SHARE * WRITES_PER_S


@pytest.mark.parametrize("count", [8, 66, 195])
def test_records_are_written_again_one_after_the_other(count):
    fleet = build_fleet(count, 60_000)
    delays = sorted(peers.rewrite_delay_ms(60_000) for peers in fleet.values())
    assert delays == [REWRITE_STEP_MS * n for n in range(count)]
