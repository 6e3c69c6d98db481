"""Planned stops of an entry host under load."""

from __future__ import annotations

import pathlib
import random

import anyio
import h11
import pytest

from corianderdoor.adapters.http1_server import listen
from corianderdoor.core.clock import ManualClock, SystemClock
from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import Peers
from corianderdoor.entry import host_stop
from corianderdoor.entry.callers import CallerService, MIN_IDLE_MS
from corianderdoor.entry.host import EntryHost
from corianderdoor.entry.registration import Registration
from corianderdoor.platform.settings import decode_settings
from corianderdoor.standins.platform_fleet import build_settings

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nAttempt-Id: r1\r\n\r\n"


class Service(CallerService):
    """Begins answers at once, but for `/held`, and ends them on `go_on`."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.begun, self.go_on = anyio.Event(), anyio.Event()
        super().__init__(type("Planner", (), {"desired": None}), *[None] * 4)
        self._clock = self.clock

    async def _answer(self, conn, received):
        if received.target == b"/":
            conn.start(200, [(b"Content-Length", b"0")])
        self.begun.set()
        await self.go_on.wait()
        if received.target == b"/":
            conn.protocol.write(h11.EndOfMessage())


def run_service(scenario) -> None:
    """Runs `scenario` with a service and two connections to it."""

    async def run() -> None:
        service = Service()
        async with anyio.create_task_group() as tasks:
            server = await listen(("127.0.0.1", 0), tasks, service.serve)
            address = server.sockets[0].getsockname()
            first = await anyio.connect_tcp(*address)
            second = await anyio.connect_tcp(*address)
            with anyio.fail_after(20):
                while service.count_open() < 2:
                    await anyio.sleep(0)
                await scenario(service, first, second)
            tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})


async def read_head(conn) -> bytes:
    """Returns the next head; what has arrived if the connection ends."""
    data = b""
    try:
        while not data.endswith(b"\r\n\r\n"):
            data += await conn.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    return data


# Guards against requests on new connections that got no answer.
def test_new_connection_is_served_and_an_idle_one_closed():
    async def scenario(service, first, second):
        service.go_on.set()
        service.drain(2_500, 7_440)
        await service.close_idle()
        await first.send(REQUEST)
        head = await read_head(first)
        assert b" 200 " in head and b"Connection: close" in head
        service.clock.advance(MIN_IDLE_MS)
        await service.close_idle()
        assert await read_head(second) == b""

    run_service(scenario)


# Guards against the loss of a request that was sent while the host closed the
# connection without having announced it.
def test_connection_closes_only_after_an_answer_that_said_so():
    async def scenario(service, first, second):
        await first.send(REQUEST)
        await service.begun.wait()
        service.drain(2_500, 7_440)
        service.go_on.set()
        assert b"Connection: close" not in await read_head(first)
        await service.close_idle()
        await first.send(REQUEST)
        assert b"Connection: close" in await read_head(first)

    run_service(scenario)


# Guards against requests that the end of the grace period left unanswered.
def test_requests_get_an_answer_at_the_end_of_the_grace_period():
    async def scenario(service, first, second):
        await first.send(REQUEST.replace(b"/ ", b"/held "))
        await second.send(REQUEST[:20])
        await service.begun.wait()
        while service.count_busy() < 2:
            await anyio.sleep(0)
        service.end_requests()
        head = await read_head(first)
        assert b" 504 " in head and b"Attempt-Id: r1" in head
        head = await read_head(second)
        assert b" 503 " in head and b"Retry-After" in head

    run_service(scenario)


# Guards against hosts that the system has to kill, as delays and calls to a
# silent store took longer than the grace period, and against cut tunnels.
@pytest.mark.parametrize("part", ["store", "accept", "tunnel"])
def test_stop_ends_within_the_grace_period(part, monkeypatch):
    async def run() -> None:
        clock = SystemClock()
        settings = build_settings("h", "127.0.0.1", ("127.0.0.1", 1))
        settings = decode_settings(settings)
        settings.grace_ms = 400
        host = EntryHost(settings, pathlib.Path(), clock, random.Random(1))
        monkeypatch.setattr(host_stop, "ACCEPT_AFTER_STOP_MS", 0)
        if part == "accept":  # longer than the grace period
            monkeypatch.setattr(host_stop, "ACCEPT_AFTER_STOP_MS", 60_000)
        if part == "store":
            monkeypatch.setattr(
                Registration, "withdraw", lambda self: anyio.sleep_forever()
            )
        host._tunnels.open = int(part == "tunnel")
        async with anyio.create_task_group() as tasks:
            listener = await listen(("127.0.0.1", 0), tasks, None)
            began_ms = clock.now_ms()
            with anyio.fail_after(20):
                await host._stop.run(listener)
            # Nothing else than its own bound ended the wait.
            assert clock.now_ms() - began_ms >= settings.grace_ms // 3
            tasks.cancel_scope.cancel()

    anyio.run(run)


# Guards against tunnels that a stopping host cuts with a request in them.
def test_peers_that_stop_are_the_last_to_open_tunnels():
    peers = Peers("own")
    for name, leaving in (("a", True), ("b", False)):
        address = (name, 80)
        peers.add_listed(name, address, address, "x", 0)
        peers.record_heartbeat(Heartbeat(name, 1, 1, 0, leaving, ()), 0)
    for number in range(9):
        assert peers.list_helpers(f"s{number}", 1)[0] == ("b", 80)


class Store:
    """Grants a lease only once `go_on` is set."""

    def __init__(self) -> None:
        self.go_on = anyio.Event()
        self.calls: list[str] = []

    async def grant(self, ttl_ms):
        await self.go_on.wait()
        return 1

    async def renew(self, lease):
        return True

    async def write(self, key, value, lease):
        self.calls.append("write")
        return True

    async def end_lease(self, lease):
        self.calls.append("end")


# Guards against a record that names a host after its stop.
def test_record_written_during_a_stop_is_withdrawn():
    async def run() -> None:
        store, serving = Store(), [True]
        registration = Registration(store, "h", b"", 3_000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(registration.run, lambda: serving[0])
            await anyio.sleep(0.01)
            serving[0] = False
            tasks.start_soon(registration.withdraw)
            await anyio.sleep(0.01)
            store.go_on.set()
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        assert store.calls == ["write", "end"]

    anyio.run(run)
