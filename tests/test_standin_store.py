"""Stand-in of the platform's store: snapshots and restores from them."""

from __future__ import annotations

import anyio

from corianderdoor.core.clock import ManualClock
from corianderdoor.standins.platform_store import StoreState


def build_store() -> StoreState:
    """Returns a store with one item."""
    store = StoreState(ManualClock(0))
    store.put("a", b"1")
    return store


def read_keys(store: StoreState) -> list[str]:
    """Returns the keys that the store holds."""
    _, answer = store.read_page("", "")
    return [item["key"] for item in answer["entries"]]


def test_restore_loses_what_was_written_since_and_raises_the_era():
    store = build_store()
    snapshot = store.take_snapshot()
    lost = store.put("b", b"2")
    store.remove("a")
    lease = store.grant(1_000)[1]["lease_id"]
    store.restore(snapshot)
    assert (store.era, read_keys(store)) == (2, ["a"])
    assert store.renew(lease) == (404, {})
    assert store.put("c", b"3") == lost
    assert store.grant(1_000)[1]["lease_id"] == lease


def test_snapshot_serves_for_a_second_restore():
    store = build_store()
    snapshot = store.take_snapshot()
    for era in (2, 3):
        store.put("b", b"2")
        store.restore(snapshot)
        assert (store.era, read_keys(store)) == (era, ["a"])


def test_watch_from_a_revision_that_was_lost_gets_410():
    store = build_store()
    snapshot = store.take_snapshot()
    lost = store.put("b", b"2")
    store.restore(snapshot)
    assert anyio.run(store.watch, "", lost, 10) == (410, {})


def test_waiting_watch_ends_when_its_revision_is_lost():
    store = build_store()
    snapshot = store.take_snapshot()
    lost = store.put("b", b"2")
    answers = []

    async def watch() -> None:
        answers.append(await store.watch("", lost, 5_000))

    async def run() -> None:
        with anyio.fail_after(2):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await anyio.sleep(0.01)
                store.restore(snapshot)

    anyio.run(run)
    assert answers == [(410, {})]
