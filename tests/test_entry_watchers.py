"""Load pattern: the store refuses calls of the hosts that watch it.

The other hosts then receive no changes. First seen on cuidamaule scale-2,
seed 496545735895: revoked keys stayed in force for 2.1 s.
"""

from __future__ import annotations

import random

import anyio
from entry_builders import build_planner, build_pool
import pytest

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import MAX_CONTACT_AGE_MS, Peers
from corianderdoor.entry.state_applier import StateApplier
from corianderdoor.entry.state_sync import StateSync, WATCH_WAIT_MS
from corianderdoor.platform.store import Item, StoreError

APPLY_MS = 2_000
HEARTBEAT_AND_POLL_MS = 300


class RefusingStore:
    """Answers the first listing and refuses every watch."""

    async def read_all(self, prefix):
        return [], 1

    async def watch(self, prefix, after, wait_ms):
        raise StoreError("kv-watch", "429", True)


class HeartbeatCounter:
    """Counts the heartbeats that are sent."""

    def __init__(self):
        self.sent = 0

    def send_heartbeats(self):
        self.sent += 1


def test_watcher_that_is_refused_notifies_its_peers_at_once():
    clock = ManualClock(1_000)
    planner = build_planner()
    peers = Peers("h0")
    pool = build_pool(clock, planner.counters)
    applier = StateApplier(planner, peers, pool, clock)
    sync = StateSync(RefusingStore(), applier, peers, clock)
    counter = HeartbeatCounter()
    sync.attach(counter)

    async def run() -> None:
        with anyio.move_on_after(0.05):
            await sync.run()

    anyio.run(run)
    assert sync.contact_age_ms() > APPLY_MS
    assert counter.sent == 1


def test_hosts_take_over_from_watchers_without_contact_in_time():
    """A watcher that gets no answer from the store notices it late."""
    assert WATCH_WAIT_MS < MAX_CONTACT_AGE_MS
    assert MAX_CONTACT_AGE_MS + HEARTBEAT_AND_POLL_MS < APPLY_MS
    rng = random.Random(1)
    names = [f"h{number}" for number in range(8)]
    own = rng.choice(names)
    peers = Peers(own)
    for name in names:
        if name != own:
            peers.add_listed(name, ("x", 1), ("x", 2), "a", 0)
            peers.record_heartbeat(
                Heartbeat(name, 1, 1, MAX_CONTACT_AGE_MS, False, ()), 0
            )
    assert peers.should_watch(10)


SERVER = (
    b'{"service":"llm","address":"10.0.0.1:80","zone":"a","version":"v1",'
    b'"slots":1,"state":"available","cold_remaining_ms":0,'
    b'"sequence_number":1,"born":1}'
)


class CuttingStore:
    """Fails watches in turn, then returns the removal of the server."""

    def __init__(self, errors):
        self.errors = errors

    async def read_all(self, prefix):
        return [Item("servers/i-1", SERVER, 1)], 1

    async def watch(self, prefix, after, wait_ms):
        if self.errors:
            raise self.errors.pop(0)
        if after >= 2:
            await anyio.sleep_forever()
        return [Item("servers/i-1", None, 2)], 2


def cut_watch():
    return StoreError("kv-watch", "cut", False)


# Guards against DRAIN: after each watch that was cut, a server whose entry
# was removed stayed in use for 2.3 s.
@pytest.mark.parametrize(
    ("errors", "kept"),
    [
        ([cut_watch()], False),
        ([cut_watch(), StoreError("kv-watch", "unreached", True)], True),
        ([cut_watch(), cut_watch()], True),
        ([StoreError("kv-watch", "silent", False)], True),
    ],
)
def test_removed_server_is_kept_after_an_outage_alone(errors, kept):
    planner = build_planner(servers=0)
    peers = Peers("h0")
    clock = ManualClock(1_000)
    pool = build_pool(clock, planner.counters)
    applier = StateApplier(planner, peers, pool, clock)
    sync = StateSync(CuttingStore(errors), applier, peers, clock)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sync.run)
            with anyio.fail_after(5):
                while applier.replica.revision < 2:
                    await anyio.sleep(0.001)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert ("i-1" in planner.servers.ids()) is kept
