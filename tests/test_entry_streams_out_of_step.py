"""Streams taken up at a host that does not know of a new version yet."""

from __future__ import annotations

import anyio
import pytest
from test_entry_path import run
from test_entry_stream_versions import (
    begin_stream,
    ENGINES,
    list_versions,
    names_versions,
    resume_stream,
)

from corianderdoor.adapters.http1_server import listen
from corianderdoor.entry.peering import Peering
from corianderdoor.entry.stream_registry import StreamRegistry
from corianderdoor.standins.platform_fleet import PORT, TIMEOUT_MS
from corianderdoor.standins.platform_store import StoreServer

STREAMS = 6
# Time after which a host took the only version that it had seen for the only
# one there was, with a margin.
SETTLED_S = TIMEOUT_MS / 1_000 + 2.5


class CutStore(StoreServer):
    """A link to the store that loses also what waits for an answer."""

    __slots__ = ()

    async def _answer(self, received):
        answer = await super()._answer(received)
        if self.fault == "silent":
            await anyio.sleep_forever()
        return answer


class Cuts:
    """Cuts a host from the store and from the datagrams of its peers."""

    def __init__(self, fleet, monkeypatch):
        self.fleet = fleet
        self.store = CutStore(fleet.store.state)
        self.address = ""
        for protocol in (Peering, StreamRegistry):
            self._drop(monkeypatch, protocol)

    def _drop(self, monkeypatch, protocol):
        receive = protocol.datagram_received

        def receive_unless_cut(endpoint, data, addr):
            name = endpoint._transport.get_extra_info("sockname")
            if name[0] != self.address:
                receive(endpoint, data, addr)

        monkeypatch.setattr(protocol, "datagram_received", receive_unless_cut)

    async def add_host(self, name):
        """Adds a host with a link of its own to the store."""
        fleet, shared = self.fleet, self.fleet.store_address
        fleet.store_address = (fleet.allocate_address(), PORT)
        await listen(fleet.store_address, fleet._tasks, self.store.serve)
        await fleet.add_host(name, first_start=True)
        fleet.store_address = shared

    def cut(self, name):
        """Cuts the host off from now on."""
        self.address = self.fleet.hosts[name][0]
        self.store.fault = "silent"


async def begin_at(fleet, version):
    """Returns the ids of the last events of streams of a version."""
    last_ids = {}
    for number in range(100):
        last_id = await begin_stream(fleet, "host-0", f"id-{number}")
        if list_versions(fleet, f"id-{number}") == {version}:
            last_ids[f"id-{number}"] = last_id
        if len(last_ids) == STREAMS:
            return last_ids
    raise AssertionError("too few streams began at the version")


# Guards against ORDER: a host that had lost its peers and the store 0.5 s ago
# took the versions of its list for all there were (6 of 6 streams joined).
@pytest.mark.parametrize("old", ["v1", ""])
def test_host_out_of_step_joins_no_streams_of_two_versions(old, monkeypatch):
    async def scenario(fleet):
        cuts = Cuts(fleet, monkeypatch)
        for number in range(ENGINES):
            await fleet.add_worker(f"old-{number}", True, old)
        with anyio.fail_after(10):
            while not names_versions(fleet, [old]):
                await anyio.sleep(0.02)
        await cuts.add_host("host-1")
        await anyio.sleep(SETTLED_S)
        cuts.cut("host-1")
        for number in range(ENGINES):
            await fleet.add_worker(f"new-{number}", True, "v2")
        with anyio.fail_after(10):
            while not names_versions(fleet, ["v2"]):
                await anyio.sleep(0.02)
        last_ids = await begin_at(fleet, "v2")
        replies = {}

        async def resume(begun, last_id):
            replies[begun] = await resume_stream(
                fleet, "host-1", f"again-{begun}", begun, last_id
            )

        async with anyio.create_task_group() as tasks:
            for begun, last_id in last_ids.items():
                tasks.start_soon(resume, begun, last_id)
        joined = [
            begun
            for begun in last_ids
            if len(list_versions(fleet, begun, f"again-{begun}")) > 1
        ]
        assert len(joined) == 0
        assert {reply.status for reply in replies.values()} == {503}

    run(scenario, engines=0, hosts=1)


# Guards against LOST: with the store away, hosts ask each other, also after
# the stop of the host that began the streams.
@pytest.mark.parametrize("stopped", [True, False])
def test_streams_go_on_while_the_store_is_away_but_peers_are_there(stopped):
    async def scenario(fleet):
        with anyio.fail_after(10):
            while not names_versions(fleet, ["v1"]):
                await anyio.sleep(0.02)
        last_ids = await begin_at(fleet, "v1")
        fleet.store.fault = "silent"
        if stopped:
            fleet.kill_host("host-0")
        await anyio.sleep(0.5)
        for begun, last_id in last_ids.items():
            reply = await resume_stream(
                fleet, "host-1", f"again-{begun}", begun, last_id
            )
            assert (reply.status, reply.complete) == (200, True)

    run(scenario, engines=ENGINES, hosts=3)
