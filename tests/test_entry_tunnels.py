"""Connections to servers that a peer opens and passes on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from entry_builders import build_server
import h11
from hypothesis import given
from hypothesis import strategies as st
import pytest
from test_entry_path import IDS, run, wait_for

from corianderdoor.adapters.http1 import H11Protocol
from corianderdoor.adapters.http1_connect import connect
from corianderdoor.adapters.staggered import Attempt, open_first
from corianderdoor.adapters.tunnel import open_tunnel
from corianderdoor.core.clock import SystemClock
from corianderdoor.core.entry.counters import Counters
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.server_paths import (
    DIRECT_HEAD_START_MS,
    RELAYED_MS,
    ServerPaths,
    SILENT_MS,
)
from corianderdoor.entry import host_stop, server_links
from corianderdoor.standins.platform_fleet import PEER_PORT, PORT
from corianderdoor.standins.platform_links import CUT_MODES

LARGE_BODY_BYTES = 8_000_000
TIMEOUT_MS = 1_000


def cut(fleet, mode: str = "refuse") -> None:
    """Cuts the first host from all servers before it opened a connection."""
    fleet.links["host-0"].cut(mode)


# Guards against MIXED: a server's reset must not look like the end of an
# answer behind a peer.
@pytest.mark.parametrize("mode", ["drop", "cut", "unframed"])
def test_answer_that_a_peer_passes_on_is_never_complete_too_early(mode):
    async def scenario(fleet):
        cut(fleet)
        for worker in fleet.workers.values():
            worker.mode = mode
        paths = ["/draft/x"] if mode == "cut" else ["/pay/x", "/draft/x"]
        for path in paths:
            reply = await fleet.chat("host-0", f"id{path}", path)
            complete = reply.status == 200 and reply.complete
            whole = len(IDS.findall(reply.body)) == 6
            assert not complete or whole

    run(scenario, hosts=2)


# Guards against GONE: the work of a caller who left goes on behind a peer.
def test_server_stops_when_the_caller_leaves_behind_a_peer():
    async def scenario(fleet):
        cut(fleet)
        for worker in fleet.workers.values():
            worker.mode = "silent"
        with anyio.move_on_after(0.5):
            await fleet.chat("host-0", "id-1", "/pay/x")
        busy = [w for w in fleet.workers.values() if w.runs["id-1"]]
        assert len(busy) == 1
        await wait_for(lambda: busy[0].active == 0)

    run(scenario, hosts=2)


def test_large_answer_passes_a_peer_whole():
    async def scenario(fleet):
        cut(fleet)
        for worker in fleet.workers.values():
            worker.mode = "large"
        reply = await fleet.chat("host-0", "id-1", "/read/x")
        assert (reply.status, len(reply.body)) == (200, LARGE_BODY_BYTES)

    run(scenario, engines=0, plain=1, hosts=2)


def test_peer_opens_no_connection_to_an_unlisted_address():
    async def scenario(fleet):
        peer = (fleet.hosts["host-0"][0], PEER_PORT)
        target = (fleet.hosts["host-0"][0], PORT)
        protocol = await open_tunnel(
            connect, peer, target, TIMEOUT_MS, TIMEOUT_MS
        )
        assert protocol is None

    run(scenario, engines=1, plain=0, hosts=1)


# Guards against RECOVER: links that come back are used again.
@pytest.mark.parametrize("mode", CUT_MODES)
def test_own_links_are_used_again_when_they_are_back(mode):
    async def scenario(fleet):
        cut(fleet, mode)
        assert (await fleet.chat("host-0", "id-1", "/read/x")).status == 200
        fleet.links["host-0"].restore()
        opened = fleet.links["host-0"].count_opened

        async def read_until_direct() -> None:
            number = 0
            while not opened():
                number += 1
                await fleet.chat("host-0", f"again-{number}", "/read/x")

        with anyio.fail_after(5):
            await read_until_direct()

    run(scenario, engines=0, plain=1, hosts=2)


# Guards against LOST: a payment that is sent through the kept tunnel of a peer
# that shuts down, and cut with it.
def test_kept_tunnel_of_a_peer_that_shuts_down_takes_no_request(monkeypatch):
    monkeypatch.setattr(host_stop, "GRACE_PERIOD_SHARE", 0.2)
    monkeypatch.setattr(host_stop, "TUNNEL_SHARE", 0.2)

    async def scenario(fleet):
        cut(fleet)
        (worker,) = fleet.workers.values()
        assert (await fleet.chat("host-0", "id-1", "/read/x")).status == 200
        (peer,) = [
            name for name in fleet.hosts if fleet.links[name].count_opened()
        ]
        fleet.stop_host(peer)
        await anyio.sleep(0.3)
        worker.work_ms = 1_500
        reply = await fleet.chat("host-0", "id-2", "/pay/x")
        assert (reply.status, worker.runs["id-2"]) == (200, 1)

    run(scenario, engines=0, plain=1, hosts=3)


# Guards against LOST: a payment that was sent before its peer's stop is cut as
# soon as the peer has ended its own requests.
def test_tunnels_outlast_the_requests_of_a_peer_that_shuts_down(monkeypatch):
    monkeypatch.setattr(host_stop, "GRACE_PERIOD_SHARE", 0.1)

    async def scenario(fleet):
        cut(fleet)
        (worker,) = fleet.workers.values()
        worker.work_ms = 2_000
        replies = []

        async def pay() -> None:
            replies.append(await fleet.chat("host-0", "id-1", "/pay/x"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pay)
            await wait_for(lambda: worker.active > 0)
            fleet.stop_host("host-1")
        assert [reply.status for reply in replies] == [200]

    run(scenario, engines=0, plain=1, hosts=2)


# Guards against LOST: a payment is sent through a new tunnel of a peer that
# shuts down, as no other way is left, and is cut with the tunnel.
def test_payment_takes_no_new_tunnel_of_a_peer_that_shuts_down(monkeypatch):
    monkeypatch.setattr(host_stop, "GRACE_PERIOD_SHARE", 0.2)
    monkeypatch.setattr(host_stop, "TUNNEL_SHARE", 0.2)

    async def scenario(fleet):
        cut(fleet)
        (worker,) = fleet.workers.values()
        worker.work_ms = 1_500
        fleet.stop_host("host-1")
        await anyio.sleep(0.3)
        reply = await fleet.chat("host-0", "id-1", "/pay/x")
        assert (reply.status, worker.runs["id-1"]) == (503, 0)
        # What may run twice still goes there, as nothing else is left.
        worker.work_ms = 5
        reply = await fleet.chat("host-0", "id-2", "/read/x")
        assert (reply.status, worker.runs["id-2"]) == (200, 1)

    run(scenario, engines=0, plain=1, hosts=2)


# Guards against LOST: requests that go through a peer that shuts down though
# this host reaches the server itself.
@pytest.mark.anyio
async def test_own_connection_is_tried_before_peers_that_shut_down(
    monkeypatch,
):
    tunnels = []

    async def open_through(connect, peer, *args):
        await anyio.sleep(0.01)
        tunnels.append(peer)
        protocol = H11Protocol(h11.CLIENT)
        protocol.restart_as_tunnel(peer)
        return protocol

    async def open_direct(*args):
        return H11Protocol(h11.CLIENT)

    monkeypatch.setattr(server_links, "open_tunnel", open_through)
    clock = SystemClock()
    links = server_links.ServerLinks(clock, Counters(), open_direct)
    links.list_helpers = lambda id: [("p", 1)]
    server = build_server("s0")
    for leaving, via in ((False, ("p", 1)), (True, None)):
        links.paths.record_relayed("s0", clock.now_ms())
        links.is_leaving = lambda address: leaving
        protocol = await links.open(server)
        assert protocol is not None and protocol.peer == via
    assert len(tunnels) == 1


class FakeProtocol:
    """A connection that only records that it was dropped."""

    aborted = False

    def abort(self) -> None:
        self.aborted = True


def open_after(
    delay_s: float, result: object
) -> Callable[[], Awaitable[H11Protocol | None]]:
    """Returns a function that opens `result` after a time."""

    async def open() -> H11Protocol | None:
        await anyio.sleep(delay_s)
        return result  # type: ignore[return-value]

    return open


@pytest.mark.anyio
async def test_next_way_starts_at_once_when_the_one_before_it_fails():
    slow, fast = FakeProtocol(), FakeProtocol()
    attempts = [
        Attempt(0, open_after(0, None)),
        Attempt(60_000, open_after(0, fast)),
        Attempt(60_000, open_after(0, slow)),
    ]
    with anyio.fail_after(5):
        assert await open_first(attempts, 60_000) == (1, fast)


@pytest.mark.anyio
async def test_all_ways_fail_within_the_time():
    attempts = [Attempt(0, open_after(60, None)) for _ in range(3)]
    with anyio.fail_after(5):
        assert await open_first(attempts, 50) is None


# Guards against connections that stay open for good: the request ended in
# the moment in which its connection was opened.
@pytest.mark.anyio
async def test_connection_that_nobody_waits_for_any_more_is_dropped():
    protocol = FakeProtocol()
    with anyio.CancelScope() as scope:

        async def open() -> H11Protocol | None:
            scope.cancel()
            return protocol  # type: ignore[return-value]

        await open_first([Attempt(0, open)], 60_000)
    assert scope.cancelled_caught
    assert protocol.aborted


def test_server_that_a_peer_reached_is_not_tried_directly_first():
    paths = ServerPaths()
    assert paths.head_start_ms("s0", 0) == DIRECT_HEAD_START_MS
    paths.record_relayed("s0", 1_000)
    assert paths.head_start_ms("s0", 1_100) is None
    assert paths.head_start_ms("s1", 1_100) == DIRECT_HEAD_START_MS
    assert paths.head_start_ms("s0", 1_000 + RELAYED_MS) is not None


def test_one_server_behind_a_peer_is_no_loss_of_all_links():
    paths = ServerPaths()
    paths.record_relayed("s0", 1_000)
    assert not paths.is_cut(1_000)
    paths.record_received("s2", 1_500)
    paths.record_relayed("s1", 1_600)
    assert not paths.is_cut(1_600)
    assert paths.is_cut(1_500 + SILENT_MS)


def test_idle_connections_of_before_the_loss_are_not_trusted():
    paths = ServerPaths()
    assert paths.trusts("s2", 900)
    paths.record_relayed("s0", 1_000)
    paths.record_relayed("s1", 1_000)
    assert not paths.trusts("s2", 900)
    assert paths.trusts("s2", 1_001)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["direct", "relayed", "received"]),
            st.sampled_from(["s0", "s1", "s2"]),
            st.integers(0, 2_000),
        ),
        max_size=30,
    )
)
def test_host_that_hears_a_server_has_not_lost_its_links(events):
    paths = ServerPaths()
    now_ms = 0
    for kind, server_id, gap_ms in events:
        now_ms += gap_ms
        getattr(paths, f"record_{kind}")(server_id, now_ms)
        if kind != "relayed":
            assert not paths.is_cut(now_ms)
        assert len(paths.list_relayed(now_ms)) <= 3
    paths.retain(frozenset())
    assert not paths.list_relayed(now_ms)


def test_peers_without_servers_are_asked_last_and_data_centres_in_turn():
    peers = Peers("h0", data_centre="a")
    for number in range(1, 7):
        name = f"h{number}"
        peers.add_listed(
            name, ("x", number), ("p", number), "ab"[number % 2], 0
        )
        peers.record_heartbeat(
            Heartbeat(name, 1, 1, 0, False, (), links_cut=number < 3), 0
        )
    helpers = peers.list_helpers("s0", 10)
    assert len(helpers) == 6
    assert {port for _, port in helpers[4:]} == {1, 2}
    assert {port % 2 for _, port in helpers[:2]} == {0, 1}
    assert peers.list_helpers("s0", 60_000) == []
    peers.add_listed("h9", ("x", 9), ("p", 9), "a", 0)
    assert peers.list_helpers("s0", 10)[-1] == ("p", 9)
