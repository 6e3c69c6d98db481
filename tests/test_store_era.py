"""Client of the store: the era of its answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from corianderdoor.adapters.http1_server import listen
from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.counters import Counters
from corianderdoor.platform.store import (
    HistoryGoneError,
    StoreClient,
    StoreError,
)
from corianderdoor.platform.store_era import MAX_ERA_RISE, StoreEra
from corianderdoor.standins.platform_store import (
    PAGE_ITEMS,
    StoreServer,
    StoreState,
)

Steps = Callable[[StoreState, StoreClient], Awaitable[None]]


class RestoredBetweenPages(StoreState):
    """Store that is restored once, before a second page is read."""

    __slots__ = ()

    def read_page(self, prefix, after):
        """Returns a page."""
        if after and self.era == 1:
            self.restore(self.take_snapshot())
        return super().read_page(prefix, after)


def run_with_store(steps: Steps, state: StoreState | None = None) -> None:
    """Runs `steps` with a store and a client of it."""

    async def run() -> None:
        store = StoreServer(state or StoreState(ManualClock(0)))
        async with anyio.create_task_group() as tasks:
            server = await listen(("127.0.0.1", 0), tasks, store.serve)
            address = server.sockets[0].getsockname()
            with anyio.fail_after(10):
                await steps(store.state, StoreClient(address, Counters()))
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_era_is_read_in_every_answer():
    async def steps(state: StoreState, client: StoreClient) -> None:
        snapshot = state.take_snapshot()
        await client.read_all("")
        assert client.era.known == 1
        state.restore(snapshot)
        lease = await client.grant(1_000)
        assert client.era.known == 2
        state.restore(snapshot)
        assert not await client.renew(lease)
        assert client.era.known == 3
        state.restore(snapshot)
        with pytest.raises(HistoryGoneError):
            await client.watch("", 99, 10)
        assert client.era.known == 4

    run_with_store(steps)


def test_answer_of_an_older_era_is_not_used():
    """An answer under way during a restore names revisions that are gone."""

    async def steps(state: StoreState, client: StoreClient) -> None:
        state.restore(state.take_snapshot())
        await client.read_all("")
        client.era.observe(3)
        with pytest.raises(StoreError, match="old era"):
            await client.watch("", 1, 10)

    run_with_store(steps)


def test_pages_of_two_eras_are_not_put_together():
    async def steps(state: StoreState, client: StoreClient) -> None:
        for number in range(PAGE_ITEMS + 1):
            state.put(f"k{number:03}", b"x")
        with pytest.raises(StoreError, match="new era"):
            await client.read_all("")
        items, _ = await client.read_all("")
        assert len(items) == PAGE_ITEMS + 1

    run_with_store(steps, RestoredBetweenPages(ManualClock(0)))


@pytest.mark.parametrize(
    ("values", "cause"),
    [
        ([], "absent"),
        ([b"4", b"5"], "contradictory"),
        ([b"-5"], "not a number"),
        ([b""], "not a number"),
        ([b"5.0"], "not a number"),
        (["\u0665".encode()], "not a number"),
        ([b"0"], "out of range"),
        ([b"9" * 5_000], "out of range"),
        ([b"%d" % (5 + MAX_ERA_RISE)], "too high"),
    ],
)
def test_invalid_era_is_ignored_with_one_line_and_a_count(
    values, cause, monkeypatch
):
    lines = []
    monkeypatch.setattr(
        "corianderdoor.platform.store_era.log_event",
        lambda event, level, **pairs: lines.append((event, pairs)),
    )
    counters = Counters()
    era = StoreEra(counters)
    era.read([b"4"])
    for _ in range(3):
        assert era.read(values) == 4
    assert era.known == 4
    assert [(event, pairs["cause"]) for event, pairs in lines] == [
        ("store_era_ignored", cause)
    ]
    assert len(lines[0][1]["value"]) <= 60
    assert list(counters.read("store_eras_ignored")) == [
        ((("cause", cause),), 3)
    ]


def test_several_missed_restores_are_one_rise():
    counters = Counters()
    era = StoreEra(counters)
    # The first answer after them is not believed before the second one.
    values = (b"4", b"7", b"7", b"5")
    assert [era.read([value]) for value in values] == [4, 4, 7, 5]
    assert era.known == 7
    assert list(counters.read("store_restores")) == [((), 1)]


# Guards against one wrong value that makes all later answers count as old.
def test_wrong_era_in_one_answer_changes_nothing():
    counters = Counters()
    era = StoreEra(counters)
    values = (b"4", b"40", b"4", b"41", b"40", b"5")
    assert [era.read([value]) for value in values] == [4, 4, 4, 4, 4, 5]
    assert list(counters.read("store_eras_ignored")) == [
        ((("cause", "unconfirmed"),), 3)
    ]
