"""Load pattern: all hosts of a large fleet start at the same moment.

Each host's record woke the watches of all others, so that 195 hosts made
about 1,700 calls to the store before the first request of a caller.
"""

from __future__ import annotations

import anyio
from entry_builders import build_planner, build_pool

from corianderdoor.core.clock import MS_PER_SECOND, SystemClock
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peer import NOT_WATCHING_MS, WATCHER_GRACE_MS
from corianderdoor.core.entry.peers import MAX_WATCHERS, Peers
from corianderdoor.entry.registration import (
    LEASE_MARGIN_MS,
    Registration,
    RENEW_SHARE,
)
from corianderdoor.entry.state_applier import StateApplier
from corianderdoor.entry.state_sync import StateSync, WATCH_INTERVAL_MS
from corianderdoor.platform.store import Item

RUN_MS = 350
HOSTS = 195
# A host that crashed is not named for longer than this after the time in
# which its loss has to be noticed.
MAX_NAMED_MS = 3_000


class BusyStore:
    """Stand-in of the store in which a record changes before each watch."""

    def __init__(self) -> None:
        self.calls = 0

    async def read_all(self, prefix):
        """Returns no items."""
        return [], 1

    async def watch(self, prefix, after, wait_ms):
        """Returns a change at once."""
        self.calls += 1
        await anyio.sleep(0)
        return [Item(f"other/{after}", b"x", after + 1)], after + 1


def build_sync(store: BusyStore, peers: Peers, start_delay_ms: int = 0):
    """Returns the task under test of a host with `peers`."""
    clock = SystemClock()
    planner = build_planner()
    pool = build_pool(clock, planner.counters)
    applier = StateApplier(planner, peers, pool, clock)
    return StateSync(store, applier, peers, clock, start_delay_ms)


def run_for(sync: StateSync, ms: int) -> float:
    """Runs `sync`; returns how long it ran, in ms."""

    async def run() -> None:
        with anyio.move_on_after(ms / MS_PER_SECOND):
            await sync.run()

    clock = SystemClock()
    started_ms = clock.now_ms()
    anyio.run(run)
    return clock.now_ms() - started_ms


def build_listed(own: int, count: int, now_ms: int = 0) -> Peers:
    """Returns the peers of a host that has listed them but heard none."""
    peers = Peers(f"h{own:03}", 100.0, "a")
    for number in range(count):
        if number != own:
            name = f"h{number:03}"
            at = ("10.0.0.1", 9_000 + number)
            peers.add_listed(name, at, at, "abcde"[number % 5], now_ms, 100.0)
    return peers


def test_burst_of_changes_is_read_in_few_calls():
    store = BusyStore()
    elapsed_ms = run_for(build_sync(store, Peers("own")), RUN_MS)
    assert 1 <= store.calls <= elapsed_ms / WATCH_INTERVAL_MS + 2


def test_store_is_read_after_the_delay_of_a_first_start():
    store = BusyStore()
    run_for(build_sync(store, Peers("own"), 60_000), 50)
    assert store.calls == 0


def test_few_hosts_watch_before_the_first_heartbeats():
    watching = [
        own
        for own in range(HOSTS)
        if build_listed(own, HOSTS).should_watch(WATCHER_GRACE_MS - 1)
    ]
    assert 2 <= len(watching) <= MAX_WATCHERS


# Guards against a watch of each host: the active hosts were chosen before any
# peer was known, so each host came first in its own order.
def test_hosts_that_chose_before_the_listing_do_not_all_watch():
    watching = 0
    for own in range(101):
        peers = Peers(f"h{own:03}", 100.0, "a")
        peers.choose_active(0, True, False)
        for number in range(101):
            if number != own:
                at = ("10.0.0.1", 9_000 + number)
                peers.add_listed(f"h{number:03}", at, at, "a", 50, 100.0)
        watching += peers.should_watch(60)
    assert watching == MAX_WATCHERS


def test_watchers_that_have_not_read_the_store_yet_are_waited_for():
    watching = []
    for own in range(HOSTS):
        peers = build_listed(own, HOSTS)
        for peer in peers.all():
            heartbeat = Heartbeat(
                peer.name, 1, 1, NOT_WATCHING_MS, False, (), interval_ms=600
            )
            peers.record_heartbeat(heartbeat, 10)
        watching.append(peers.should_watch(WATCHER_GRACE_MS - 1))
        assert peers.should_watch(WATCHER_GRACE_MS)
    assert sum(watching) == MAX_WATCHERS


def test_host_that_hears_no_listed_watcher_watches_itself():
    for own in range(HOSTS):
        peers = build_listed(own, HOSTS)
        assert peers.should_watch(WATCHER_GRACE_MS)


def test_number_of_watchers_does_not_grow_with_a_large_fleet():
    watching = []
    for own in range(HOSTS):
        peers = build_listed(own, HOSTS)
        for peer in peers.all():
            heartbeat = Heartbeat(peer.name, 1, 1, 0, False, ())
            peers.record_heartbeat(heartbeat, 0)
        watching.append(peers.should_watch(10))
    assert sum(watching) == MAX_WATCHERS


class LeaseStore:
    """Records the lifetime of the lease and when it is renewed."""

    def __init__(self) -> None:
        self.ttl_ms = 0

    async def grant(self, ttl_ms):
        """Grants a lease."""
        self.ttl_ms = ttl_ms
        return 1

    async def write(self, key, value, lease_id):
        """Accepts the record."""
        return True


def test_record_of_a_crashed_host_expires_in_time():
    for lost_after_ms in (3_000, 5_000):
        store = LeaseStore()
        registration = Registration(store, "h", b"", lost_after_ms)

        async def run(registration=registration) -> None:
            with anyio.move_on_after(0.02):
                await registration.run(lambda: True)

        anyio.run(run)
        assert store.ttl_ms == lost_after_ms + LEASE_MARGIN_MS
        assert store.ttl_ms < lost_after_ms + MAX_NAMED_MS
        # Two attempts to renew fit into the lease.
        assert 2 * RENEW_SHARE < 1
