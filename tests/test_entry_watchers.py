"""Load pattern: the store refuses calls of the hosts that watch it.

The other hosts then receive no changes. First seen on cuidamaule scale-2,
seed 496545735895: revoked keys stayed in force for 2.1 s.
"""

from __future__ import annotations

import random

import anyio
from entry_builders import build_planner, build_pool

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import MAX_CONTACT_AGE_MS, Peers
from corianderdoor.entry.state_applier import StateApplier
from corianderdoor.entry.state_sync import StateSync, WATCH_WAIT_MS
from corianderdoor.platform.store import StoreError

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
