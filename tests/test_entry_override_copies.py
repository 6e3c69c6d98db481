"""When a host copies what peers have in force in place of a copy's items."""

from __future__ import annotations

import anyio
import pytest
from test_entry_restore_sync import run_bench, wait_until
from test_entry_store_restore import encode_config

from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.overrides import Overrides
from corianderdoor.core.entry.replica import Change, Page


class OverridingPeering:
    """A peer that has a newer desired state in force than the store."""

    def __init__(self) -> None:
        self.pulls = 0
        self.overrides = Overrides()
        self.overrides.put(Change("op/config", encode_config(30), 0))

    def send_heartbeats(self):
        """Sends nothing."""

    async def pull(self, peer):
        """Returns the peer's copy, which is behind."""
        self.pulls += 1
        entries = tuple(self.overrides.values())
        return Page((), 1, False, 1, 2**31, entries, self.overrides.listed)


def tell(bench, peering) -> None:
    """Records the peer's heartbeat."""
    bench.peers.add_listed("h1", ("x", 1), ("x", 2), "a", 0)
    heartbeat = Heartbeat(
        "h1",
        1,
        1,
        0,
        False,
        (),
        era=1,
        has_overrides=True,
        overrides_digest=peering.overrides.digest,
    )
    bench.peers.record_heartbeat(heartbeat, bench.clock.now_ms())


# Guards against CONFIG: a host that watches the store went by the copy until
# the store next answered, a second later.
@pytest.mark.parametrize("told_first", [True, False])
def test_watcher_copies_overrides_while_the_store_answers_nothing(
    told_first, monkeypatch
):
    monkeypatch.setattr("corianderdoor.entry.state_sync.WATCH_WAIT_MS", 9_000)

    async def scenario(bench, tasks):
        bench.store.put("op/config", encode_config(20))
        sync = bench.build_sync()
        peering = OverridingPeering()
        sync.attach(peering)
        if told_first:
            tell(bench, peering)
        tasks.start_soon(sync.run)
        await wait_until(lambda: bench.server.calls.get("kv-watch"))
        if not told_first:
            tell(bench, peering)
            sync.wake()
        with anyio.fail_after(5):
            await wait_until(lambda: bench.planner.desired.version == 30)
        assert bench.server.calls["kv-watch"] == 1
        sync.wake()
        await anyio.sleep(0.3)
        assert peering.pulls == 1

    run_bench(scenario)
