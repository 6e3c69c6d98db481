"""Load pattern: hosts restart while the store is silent.

Each waited 1.5 s for the store before it asked its peers for a copy, and
refused its callers meanwhile. Found in the logs of inc-0cce.
"""

from __future__ import annotations

import anyio
from entry_builders import build_planner, build_pool
import pytest

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.copy_sources import find_overriding_peer
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peer import NOT_WATCHING_MS
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.replica import Change, Page
from corianderdoor.entry.state_applier import StateApplier
from corianderdoor.entry.state_sync import StateSync
from corianderdoor.platform.store import HistoryGoneError, Item, StoreError

COPY = Page((Change("other/a", b"x", 7),), 7, True)


class SlowStore:
    """Answers a listing once `answer` is set; fails if `error` is given."""

    def __init__(self, error: Exception | None = None) -> None:
        self.answer = anyio.Event()
        self.error = error

    async def read_all(self, prefix):
        """Returns one item, newer than those of the peers."""
        await self.answer.wait()
        if self.error is not None:
            raise self.error
        return [Item("other/a", b"y", 9)], 9

    async def watch(self, prefix, after, wait_ms):
        """Waits for ever."""
        await anyio.sleep_forever()


class CopyingPeering:
    """Serves the copy of a peer."""

    def __init__(self) -> None:
        self.pulls = 0

    async def pull(self, peer):
        """Returns the copy."""
        self.pulls += 1
        return COPY

    def send_heartbeats(self):
        """Sends nothing."""


def build_sync(store: SlowStore) -> tuple[StateSync, StateApplier]:
    """Returns the task under test with a peer that is ahead."""
    clock = ManualClock(1_000)
    planner = build_planner()
    peers = Peers("h0")
    peers.add_listed("h1", ("x", 1), ("x", 2), "a", 0)
    peers.record_heartbeat(Heartbeat("h1", 1, 7, 0, False, ()), 1_000)
    pool = build_pool(clock, planner.counters)
    applier = StateApplier(planner, peers, pool, clock)
    sync = StateSync(store, applier, peers, clock)
    sync.attach(CopyingPeering())
    return sync, applier


async def wait_for_revision(applier: StateApplier, revision: int) -> None:
    """Waits until the replica has `revision`."""
    with anyio.fail_after(5):
        while applier.replica.revision < revision:
            await anyio.sleep(0.001)


def test_overrides_come_from_the_peer_that_started_first():
    sync, _ = build_sync(SlowStore())
    for name, boot in (("h2", 30), ("h3", 10), ("h4", 20), ("h5", 5)):
        sync._peers.add_listed(name, ("x", 1), ("x", 2), "a", 0)
        has_overrides = name != "h5"
        heartbeat = Heartbeat(
            name, boot, 7, 0, False, (), era=1, has_overrides=has_overrides
        )
        peer = sync._peers.record_heartbeat(heartbeat, 1_000)
        assert peer is not None
        peer.address = ("x", 2)
    replica = sync._applier.replica
    replica.era = 1
    found = find_overriding_peer("h0", sync._peers.all(), replica, 1_000)
    assert found.name == "h3"


@pytest.mark.parametrize(
    "error", [None, StoreError("kv-range", "silent", True), HistoryGoneError()]
)
def test_copy_of_a_peer_is_taken_while_the_store_is_silent(error):
    async def run() -> None:
        store = SlowStore(error)
        sync, applier = build_sync(store)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sync.run)
            sync.wake()
            await wait_for_revision(applier, 7)
            assert not store.answer.is_set()
            store.answer.set()
            if error is None:
                await wait_for_revision(applier, 9)
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert sync.contact_age_ms() == (NOT_WATCHING_MS if error else 0)

    anyio.run(run)
