"""Streams beside servers of several software versions, through real hosts."""

from __future__ import annotations

import random

import anyio
from loguru import logger
import pytest
from test_entry_path import IDS, run, set_modes

from corianderdoor.platform.headers import read_caller_request
from corianderdoor.platform.stream_records import decode_ledger, LEDGER_KEY
from corianderdoor.standins.platform_fleet import (
    ENGINE_SERVICE,
    METRICS_PORT,
    send_request,
)

ENGINES = 2


async def start_versions(fleet, versions):
    """Adds engines of the versions to the fleet's, until all hosts know."""
    for version in versions:
        for number in range(ENGINES):
            await fleet.add_worker(f"{version}-{number}", True, version)
    with anyio.fail_after(10):
        while not names_versions(fleet, versions):
            await anyio.sleep(0.02)
        newest = fleet.store.state.revision
        for host in fleet.hosts:
            while await read_metric(fleet, host, "replica_revision") < newest:
                await anyio.sleep(0.02)


def names_versions(fleet, versions):
    """Returns whether streams may begin at the versions."""
    value = fleet.store.state.read_value(LEDGER_KEY)
    if not value or not value.endswith(b"}"):
        return False
    return decode_ledger(value).versions[ENGINE_SERVICE].issuperset(versions)


async def read_metric(fleet, host, name):
    """Returns the value of the first metric whose line has `name`."""
    address = (fleet.hosts[host][0], METRICS_PORT)
    text = (await send_request(address, "/metrics")).body.decode()
    lines = [line for line in text.splitlines() if line[:1] != "#"]
    return next(float(one.split()[-1]) for one in lines if name in one)


async def chat(fleet, host, id, **headers):
    """Sends a new chat, which may go to any server."""
    return await fleet.chat(
        host, id, Prompt_Prefix=f"first-{id}:100,own-{id}:10", **headers
    )


def list_versions(fleet, *ids):
    """Returns the versions of the servers that ran any of the requests."""
    return {
        worker.version
        for worker in fleet.workers.values()
        if any(worker.runs[id] for id in ids)
    }


async def begin_stream(fleet, host, id):
    """Returns the id of the last event of a stream that breaks off."""
    set_modes(fleet, "cut", engine=True)
    reply = await chat(fleet, host, id)
    set_modes(fleet, "", engine=True)
    assert not reply.complete
    return IDS.findall(reply.body)[-1].decode()


async def resume_stream(fleet, host, id, begun, last_id):
    """Takes a stream up again, as callers do."""
    return await chat(fleet, host, id, Last_Event_Id=last_id, Resumes=begun)


# Guards against streams that go on at another version than the one that
# began them, within one answer (abebech-helpline).
@pytest.mark.parametrize("versions", [("v2",), ("v2", "v3")])
def test_host_resumes_a_stream_at_the_version_that_began_it(versions):
    async def scenario(fleet):
        await start_versions(fleet, versions)
        set_modes(fleet, "cut", engine=True)
        ids = [f"id-{number}" for number in range(24)]
        for id in ids:
            await chat(fleet, "host-0", id)
        for id in ids:
            assert len(list_versions(fleet, id)) == 1
        begun = {v for id in ids for v in list_versions(fleet, id)}
        assert len(begun) > 1

    run(scenario, engines=ENGINES)


# Guards against the same when callers take streams up again at other hosts.
@pytest.mark.parametrize("versions", [("v2",), ("v2", "v3")])
def test_caller_resumes_a_stream_at_the_version_that_began_it(versions):
    async def scenario(fleet):
        await start_versions(fleet, versions)
        for number in range(12):
            begun, again = f"id-{number}", f"again-{number}"
            last_id = await begin_stream(fleet, "host-0", begun)
            reply = await resume_stream(fleet, "host-1", again, begun, last_id)
            assert (reply.status, reply.complete) == (200, True)
            assert len(list_versions(fleet, begun, again)) == 1

    run(scenario, engines=ENGINES)


# Guards against a version that only the host knew that has gone since.
def test_stream_goes_on_after_the_host_that_began_it_has_stopped():
    async def scenario(fleet):
        await start_versions(fleet, ("v2",))
        last_ids = {}
        for number in range(8):
            begun = f"id-{number}"
            last_ids[begun] = await begin_stream(fleet, "host-0", begun)
        fleet.stop_host("host-0")
        for begun, last_id in last_ids.items():
            again = f"again-{begun}"
            host = random.choice(["host-1", "host-2"])
            reply = await resume_stream(fleet, host, again, begun, last_id)
            assert (reply.status, reply.complete) == (200, True)
            assert len(list_versions(fleet, begun, again)) == 1

    run(scenario, engines=ENGINES, hosts=3)


# Guards against a guess where the version is not known, or has no servers.
@pytest.mark.parametrize("known", [False, True])
def test_stream_of_an_unknown_or_absent_version_is_refused(known):
    async def scenario(fleet):
        await start_versions(fleet, ("v2",))
        begun = "id-1"
        last_id = await begin_stream(fleet, "host-0", begun)
        if known:
            (version,) = list_versions(fleet, begun)
            for worker in list(fleet.workers.values()):
                if worker.version == version and worker.engine:
                    fleet.drain_worker(worker.id)
            await anyio.sleep(0.5)
        else:
            begun = "never-begun"
        reply = await resume_stream(fleet, "host-1", "again", begun, last_id)
        assert reply.status == 503
        assert b"retry-after" in reply.headers
        assert list_versions(fleet, "again") == set()

    run(scenario, engines=ENGINES)


@pytest.mark.parametrize(
    "values",
    [[b""], [b"a" * 257], [b"a\x01"], [b"\xe9"], [b"a", b"b"], [b"a", b"a"]],
)
def test_bad_id_of_the_resumed_attempt_is_ignored(values):
    headers = [(b"attempt-id", b"r1"), (b"host", b"example.test")]
    headers += [(b"resumes", value) for value in values]
    req = read_caller_request(b"POST", b"/chat/x", headers, b"")
    assert (req.resumes, req.ignored_marks) == (None, ("resumes",))


def test_bad_ids_of_resumed_attempts_are_counted_and_logged_once_a_second():
    async def scenario(fleet):
        lines = []
        sink = logger.add(lambda line: lines.append(str(line)))
        for number in range(5):
            reply = await chat(
                fleet, "host-0", f"id-{number}", Resumes="x" * 300
            )
            assert reply.status == 200
        logger.remove(sink)
        mark = 'mark="resumes"'
        assert await read_metric(fleet, "host-0", mark) == 5
        assert sum("mark=resumes" in line for line in lines) == 1

    run(scenario, engines=ENGINES)
