"""Streams that callers take up again after all hosts were lost at once."""

from __future__ import annotations

import anyio
import pytest
from test_entry_path import run, wait_for
from test_entry_stream_versions import (
    begin_stream,
    ENGINES,
    list_versions,
    names_versions,
    resume_stream,
    start_versions,
)

from corianderdoor.platform.store import StoreClient, StoreError
from corianderdoor.platform.stream_records import LEDGER_KEY

HOSTS = 3
STREAMS = 8
# Time in which hosts save where streams began.
SAVED_S = 0.6


async def begin_streams(fleet):
    """Returns the ids of the last events of streams that break off."""
    return {
        begun: await begin_stream(fleet, f"host-{number % HOSTS}", begun)
        for number, begun in ((n, f"id-{n}") for n in range(STREAMS))
    }


async def replace_hosts(fleet, while_down=lambda: None):
    """Kills all hosts at once and starts them again."""
    for number in range(HOSTS):
        fleet.kill_host(f"host-{number}")
    await anyio.sleep(0.3)
    while_down()
    async with anyio.create_task_group() as tasks:
        for number in range(HOSTS):
            tasks.start_soon(fleet.add_host, f"host-{number}")


async def resume_streams(fleet, last_ids):
    """Takes all streams up again; returns the replies by their ids."""
    replies = {}
    for number, (begun, last_id) in enumerate(last_ids.items()):
        host = f"host-{(number + 1) % HOSTS}"
        replies[begun] = await resume_stream(
            fleet, host, f"again-{begun}", begun, last_id
        )
    return replies


def remove_servers(fleet, version):
    """Removes the entries of the engines of a version."""
    for worker in fleet.workers.values():
        if worker.engine and worker.version == version:
            fleet.store.state.remove(f"servers/{worker.id}")


# Guards against LOST: what only the hosts know is gone when all of them are
# (review/4; streams of two versions after all hosts were killed).
@pytest.mark.parametrize("versions", [(), ("v2",), ("v2", "v3")])
def test_streams_go_on_at_their_version_after_the_loss_of_all_hosts(versions):
    async def scenario(fleet):
        await start_versions(fleet, ("v1", *versions))
        last_ids = await begin_streams(fleet)
        if versions:
            assert len(list_versions(fleet, *last_ids)) > 1
        await anyio.sleep(SAVED_S)
        await replace_hosts(fleet)
        replies = await resume_streams(fleet, last_ids)
        for begun, reply in replies.items():
            assert (reply.status, reply.complete) == (200, True)
            assert len(list_versions(fleet, begun, f"again-{begun}")) == 1

    run(scenario, engines=ENGINES, hosts=HOSTS)


# Guards against ORDER: the servers of the version that began the streams have
# left by the time the hosts are back, so the list shows another one alone.
@pytest.mark.parametrize("both", [True, False])
def test_streams_of_a_version_that_has_left_meanwhile_are_refused(both):
    async def scenario(fleet):
        if both:
            await start_versions(fleet, ("v2",))
        last_ids = await begin_streams(fleet)
        await anyio.sleep(SAVED_S)
        if not both:
            remove_servers(fleet, "v1")
            await fleet.add_worker("late", True, "v2")
        gone = list_versions(fleet, *last_ids) - {"v2"}
        await replace_hosts(fleet, lambda: remove_servers(fleet, "v1"))
        replies = await resume_streams(fleet, last_ids)
        for begun, reply in replies.items():
            again = list_versions(fleet, f"again-{begun}")
            if list_versions(fleet, begun) & gone:
                assert (reply.status, again) == (503, set())
            else:
                assert reply.status == 200

    run(scenario, engines=ENGINES, hosts=HOSTS)


# Guards against ORDER and against a caller that waits in vain: without the
# ledger, or without the store, nobody knows how many versions there were.
@pytest.mark.parametrize("away", [True, False])
def test_streams_are_refused_at_once_without_evidence(away):
    async def scenario(fleet):
        await start_versions(fleet, ("v1",))
        last_ids = await begin_streams(fleet)

        def lose_ledger():
            fleet.store.state.remove(LEDGER_KEY)

        await replace_hosts(fleet, lambda: None if away else lose_ledger())
        if away:
            fleet.store.fault = "silent"
        begun, last_id = last_ids.popitem()
        with anyio.fail_after(1.0):
            reply = await resume_stream(
                fleet, "host-0", "again", begun, last_id
            )
        assert reply.status == 503
        assert list_versions(fleet, "again") == set()

    run(scenario, engines=ENGINES, hosts=HOSTS)


# Guards against streams at a version that the ledger does not name yet.
def test_streams_begin_at_recorded_versions_while_one_is_in_service():
    async def scenario(fleet):
        await wait_for(lambda: names_versions(fleet, ["v1"]))
        await fleet.add_worker("new", True, "v2")
        for number in range(20):
            recorded = names_versions(fleet, ["v2"])
            await begin_stream(fleet, "host-0", f"id-{number}")
            if not recorded and not names_versions(fleet, ["v2"]):
                assert list_versions(fleet, f"id-{number}") == {"v1"}
        await wait_for(lambda: names_versions(fleet, ["v1", "v2"]))

    run(scenario, engines=ENGINES, hosts=1)


# Guards against a version that gets no streams while the store turns the
# first host away, and against a ledger that another writer has overwritten.
@pytest.mark.parametrize("fault", ["refused", "overwritten"])
def test_ledger_is_written_by_another_host_and_again(fault, monkeypatch):
    refused: set[str] = set()
    commit = StoreClient.compare_and_set

    async def refuse_first(self, *args, **kwargs):
        if fault == "refused" and (not refused or id(self) in refused):
            refused.add(id(self))
            raise StoreError("kv-txn", "429", True)
        return await commit(self, *args, **kwargs)

    monkeypatch.setattr(StoreClient, "compare_and_set", refuse_first)

    async def scenario(fleet):
        await wait_for(lambda: names_versions(fleet, ["v1"]))
        if fault == "overwritten":
            fleet.store.state.put(LEDGER_KEY, b"{")
        await wait_for(lambda: names_versions(fleet, ["v1"]))
        await fleet.add_worker("new", True, "v2")
        await wait_for(lambda: names_versions(fleet, ["v1", "v2"]))

    run(scenario, engines=ENGINES, hosts=HOSTS)
