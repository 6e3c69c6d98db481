"""Requests that arrive late in a planned stop, on connections in use."""

from __future__ import annotations

import anyio
from entry_builders import build_request, build_route
import pytest
from test_entry_path import IDS, run, set_modes, total_runs, wait_for

from corianderdoor.adapters.http1_connect import connect
from corianderdoor.core.entry.flights import Flight
from corianderdoor.core.entry.planned_stop import PlannedStop
from corianderdoor.core.entry.routing import RouteKind
from corianderdoor.entry import host_stop
from corianderdoor.entry.peering import Peering
from corianderdoor.entry.registration import Registration
from corianderdoor.standins.platform_caller import read_answer, write_chat
from corianderdoor.standins.platform_fleet import CALLER_HOST, KEY, Reply

ACCEPT_MS = 2_500
SPAN_MS = 7_440
# As many as a host once judged the length of the next answer by.
SHORT_ANSWERS = 8


class KeptConnection:
    """A caller's connection to a host that it uses again and again."""

    def __init__(self, protocol):
        self.protocol = protocol

    @classmethod
    async def open(cls, fleet, host):
        """Returns a connection to a host."""
        protocol = await connect(fleet.hosts[host], 1_000, 0)
        assert protocol is not None
        return cls(protocol)

    async def ask(self, id, path, deadline_ms=3_000):
        """Returns the answer to a request."""
        reply = Reply()
        write_chat(self.protocol, CALLER_HOST, id, path, KEY, "", deadline_ms)
        await read_answer(self.protocol, reply)
        self.protocol.reset_cycle()
        return reply


async def stop_during_answer(fleet, conn):
    """Stops host-0 inside a stream on `conn`, which ends late in the stop."""
    set_modes(fleet, "pause", engine=True)
    for worker in fleet.workers.values():
        worker.pause_ms = 1_200
    async with anyio.create_task_group() as tasks:

        async def ask() -> None:
            reply = await conn.ask("first", "/draft/x")
            assert reply.complete and b"connection" not in reply.headers

        tasks.start_soon(ask)
        await anyio.sleep(0.2)
        fleet.stop_host("host-0")
    set_modes(fleet, "", engine=True)


# Guards against LOST: streams that were taken late in the grace period were
# cut at its end (reports of other operators; kestrel-lagoon-grown).
@pytest.mark.parametrize("path", ["/chat/x", "/draft/x", "/pay/x"])
def test_late_request_that_may_outlast_the_stop_is_refused_at_once(
    path, monkeypatch
):
    monkeypatch.setattr(host_stop, "ACCEPT_AFTER_STOP_MS", 700)
    monkeypatch.setattr(host_stop, "IDLE_CLOSE_DELAY_MS", 300)
    monkeypatch.setattr(host_stop, "GRACE_PERIOD_SHARE", 0.5)

    async def scenario(fleet):
        conn = await KeptConnection.open(fleet, "host-0")
        await stop_during_answer(fleet, conn)
        reply = await conn.ask("late", path)
        assert (reply.status, reply.complete) == (503, True)
        assert reply.headers[b"connection"] == b"close"
        assert float(reply.headers[b"retry-after"]) < 1
        assert total_runs(fleet, "late") == 0
        # Another host takes it at once.
        reply = await fleet.chat("host-1", "late-2", path)
        assert (reply.status, reply.complete) == (200, True)

    run(scenario)


# Guards against LOST: a late stream was taken as those before it were short,
# lasted longer than all of them, and was cut at the end of the grace period.
def test_late_stream_after_short_ones_is_refused(monkeypatch):
    monkeypatch.setattr(host_stop, "ACCEPT_AFTER_STOP_MS", 700)
    monkeypatch.setattr(host_stop, "IDLE_CLOSE_DELAY_MS", 300)
    monkeypatch.setattr(host_stop, "GRACE_PERIOD_SHARE", 0.55)

    async def scenario(fleet):
        conn = await KeptConnection.open(fleet, "host-0")
        for number in range(SHORT_ANSWERS):
            reply = await conn.ask(f"chat-{number}", "/draft/x", 60_000)
            assert IDS.findall(reply.body)
        await stop_during_answer(fleet, conn)
        set_modes(fleet, "pause", engine=True)
        for worker in fleet.workers.values():
            worker.pause_ms = 2_800
        reply = await conn.ask("late", "/draft/x", 60_000)
        assert (reply.status, reply.complete) == (503, True)
        assert total_runs(fleet, "late") == 0

    run(scenario)


def test_late_requests_that_end_in_time_are_served(monkeypatch):
    monkeypatch.setattr(host_stop, "ACCEPT_AFTER_STOP_MS", 700)
    monkeypatch.setattr(host_stop, "IDLE_CLOSE_DELAY_MS", 300)

    async def scenario(fleet):
        conn = await KeptConnection.open(fleet, "host-0")
        await stop_during_answer(fleet, conn)
        reply = await conn.ask("late", "/chat/x", 1_500)
        assert (reply.status, reply.complete) == (200, True)

    run(scenario)


def build_flight(name="chat", deadline_ms=15_000, now_ms=0):
    """Returns a request that waits for its answer until a deadline."""
    route = build_route(f"/{name}/", RouteKind.STREAM)
    return Flight(
        build_request(), route, "llm", None, now_ms, now_ms + deadline_ms
    )


def refuses(stop, at_ms, **fields):
    """Returns whether a request that arrives at a time is refused."""
    flight = build_flight(now_ms=at_ms, **fields)
    return stop.find_refusal(flight, at_ms) is not None


def test_only_late_requests_whose_deadline_is_after_the_end_are_refused():
    stop = PlannedStop()
    assert not refuses(stop, 1_000_000)
    stop.begin(ACCEPT_MS, SPAN_MS, 0)
    assert not refuses(stop, ACCEPT_MS - 1)
    assert refuses(stop, ACCEPT_MS)
    assert not refuses(stop, 3_000, deadline_ms=4_440)
    assert refuses(stop, 3_001, deadline_ms=4_440)


# Guards against LOST: a begun stream leaves its silent server in a stop, and
# is cut as the server that it moved to declines it.
def test_stream_of_a_silent_server_outlasts_a_declined_move_in_a_stop():
    async def scenario(fleet):
        for worker in fleet.workers.values():
            worker.mode = "pause"
            worker.pause_ms = 1_900
        conn = await KeptConnection.open(fleet, "host-0")
        replies = []

        async def ask() -> None:
            replies.append(await conn.ask("r1", "/chat/x"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            while not total_runs(fleet, "r1"):
                await anyio.sleep(0.01)
            for worker in fleet.workers.values():
                if not worker.runs["r1"]:
                    worker.mode = "decline"
            fleet.stop_host("host-0")
        (reply,) = replies
        assert reply.status == 200 and reply.complete
        assert IDS.findall(reply.body) == [b"%d" % n for n in range(1, 7)]

    run(scenario, engines=2, plain=0, hosts=1)


# Guards against LOST: a task that fails in a stop ended the host at once, with
# all answers in progress.
@pytest.mark.parametrize(
    ("part", "name"),
    [(Peering, "send_heartbeats"), (Registration, "withdraw")],
)
def test_failure_in_a_stop_cuts_no_answer(monkeypatch, part, name):
    def fail_once(*args, **kwargs):
        monkeypatch.undo()
        raise ValueError("a DNS lookup is required")

    async def scenario(fleet):
        set_modes(fleet, "pause", engine=True)
        (worker,) = fleet.workers.values()
        worker.pause_ms = 1_000
        conn = await KeptConnection.open(fleet, "host-0")
        async with anyio.create_task_group() as tasks:

            async def ask() -> None:
                reply = await conn.ask("r1", "/draft/x")
                assert reply.status == 200 and reply.complete

            tasks.start_soon(ask)
            await wait_for(lambda: worker.runs["r1"] > 0)
            monkeypatch.setattr(part, name, fail_once)
            fleet.stop_host("host-0")

    run(scenario, engines=1, plain=0, hosts=1)
