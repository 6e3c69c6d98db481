"""A host that was busy for a while, and learns late of what has happened.

Its own delay must not count as a failure of a server or of a caller.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import socket
import subprocess
import sys
import textwrap
import threading
import time

import anyio
import anyio.abc
import anyio.to_thread
from entry_builders import build_planner, build_pool, build_server, KEY
import pytest

from corianderdoor.adapters.http1_connect import connect
from corianderdoor.adapters.http1_server import listen
from corianderdoor.core.clock import SystemClock
from corianderdoor.core.entry.peers import Peers
from corianderdoor.entry.callers import CallerService
from corianderdoor.entry.server_marks import ServerMarks
from corianderdoor.entry.stream_registry import StreamRegistry

BUSY_S = 0.5
CONNECT_TIMEOUT_MS = 400
ANSWER_END = b"\r\n\r\nok"
LARGE_BODY_BYTES = 60_000


class SlowServer:
    """Answers each request after a time, in threads of its own."""

    def __init__(self, delay_s: float) -> None:
        self.seen: list[bytes] = []
        self.address = ("", 0)
        self._delay_s = delay_s
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.address = self._listening.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            conn, _ = self._listening.accept()
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                received = conn.recv(65_536)
                if not received:
                    return
                data += received
            head, _, data = data.partition(b"\r\n\r\n")
            id = next(
                line.partition(b": ")[2]
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"attempt-id")
            )
            self.seen.append(id)
            time.sleep(self._delay_s)
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: " + id + b"\r\n"
                b"Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
            )


def build_read(id: bytes) -> bytes:
    """Returns a request as a caller sends it."""
    return (
        b"GET /read/x HTTP/1.1\r\nHost: example.test\r\n"
        b"Authorization: Token " + KEY.encode() + b"\r\n"
        b"Attempt-Id: " + id + b"\r\n\r\n"
    )


class Host:
    """The part of a host that serves callers, with its own servers."""

    def __init__(self, servers: list[SlowServer]) -> None:
        clock = SystemClock()
        planner = build_planner(servers=0, plain=0)
        for number, server in enumerate(servers):
            name, port = server.address
            planner.servers.put(
                build_server(f"p{number}", "plain", host=name, port=port), 0
            )
        pool = build_pool(clock)
        marks = ServerMarks(planner, pool, clock, lambda: None)
        streams = StreamRegistry(planner, Peers("h1"), clock)
        self.callers = CallerService(planner, pool, marks, streams, clock)
        self.address = ("", 0)

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Listens for callers."""
        server = await listen(("127.0.0.1", 0), tasks, self.callers.serve)
        self.address = server.sockets[0].getsockname()

    def connect(self) -> socket.socket:
        """Returns a caller's connection."""
        caller = socket.create_connection(self.address)
        caller.settimeout(5)
        return caller


def run_host(
    scenario: Callable[[Host, anyio.abc.TaskGroup], Awaitable[None]],
    servers: list[SlowServer],
    uvloop: bool,
) -> None:
    """Runs `scenario` with a host and servers."""

    async def run() -> None:
        host = Host(servers)
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                await host.start(tasks)
                await scenario(host, tasks)
                tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": uvloop})


async def receive(caller: socket.socket) -> bytes:
    """Returns the next answer; what has arrived if the connection ends."""
    answer = b""
    while not answer.endswith(ANSWER_END):
        data = await anyio.to_thread.run_sync(caller.recv, 4_096)
        if not data:
            break
        answer += data
    return answer


class _BusyOnDatagram(asyncio.DatagramProtocol):
    """Keeps the process busy while the event loop reads sockets."""

    def __init__(self, busy_s: float) -> None:
        self._busy_s = busy_s

    def datagram_received(self, data: bytes, addr: object) -> None:
        time.sleep(self._busy_s)


async def be_busy_while_reading(busy_s: float) -> None:
    """Makes the event loop busy between reading sockets and its timers."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: _BusyOnDatagram(busy_s), local_addr=("127.0.0.1", 0)
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"x", transport.get_extra_info("sockname"))
    await asyncio.sleep(0.01)


# Guards against LOST and needless ejections: a busy host took a connection
# that was open for one that could not be opened.
@pytest.mark.parametrize("uvloop", [False, True])
def test_busy_host_does_not_take_a_server_for_unreachable(uvloop):
    server = SlowServer(0)

    async def run() -> None:
        opening = asyncio.create_task(
            connect(server.address, CONNECT_TIMEOUT_MS, 3_000)
        )
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        time.sleep(CONNECT_TIMEOUT_MS / 1_000 + 0.2)
        protocol = await opening
        assert protocol is not None
        protocol.abort()

    anyio.run(run, backend_options={"use_uvloop": uvloop})


# Guards against a second run: a busy host moved a request whose answer had
# arrived.
@pytest.mark.parametrize("uvloop", [False, True])
def test_busy_host_does_not_move_a_request_that_was_answered(uvloop):
    servers = [SlowServer(0.2), SlowServer(0.2)]

    async def scenario(host, tasks):
        for number in range(4):
            caller = host.connect()
            caller.sendall(build_read(b"warm-%d" % number))
            assert (await receive(caller)).endswith(ANSWER_END)
        caller = host.connect()
        caller.sendall(build_read(b"r1"))
        await anyio.sleep(0.1)
        await be_busy_while_reading(1.8)
        assert (await receive(caller)).endswith(ANSWER_END)
        assert sum(server.seen.count(b"r1") for server in servers) == 1

    run_host(scenario, servers, uvloop)


# Guards against LOST: a host that stops closed an idle connection over a
# request that had arrived while it was busy.
@pytest.mark.parametrize("uvloop", [False, True])
def test_stopping_host_serves_a_request_that_has_arrived(uvloop):
    async def scenario(host, tasks):
        caller = host.connect()
        caller.sendall(build_read(b"r1"))
        assert (await receive(caller)).endswith(ANSWER_END)

        async def stop() -> None:
            host.callers.drain(2_500, 7_440)
            await anyio.sleep(0.3)
            await host.callers.close_idle()

        tasks.start_soon(stop)
        await anyio.sleep(0.1)
        threading.Timer(0.05, caller.sendall, (build_read(b"r2"),)).start()
        await be_busy_while_reading(BUSY_S)
        assert (await receive(caller)).endswith(ANSWER_END)

    run_host(scenario, [SlowServer(0.05)], uvloop)


def test_request_counts_as_in_progress_from_its_first_byte():
    async def scenario(host, tasks):
        caller = host.connect()
        await anyio.sleep(0.1)
        caller.sendall(build_read(b"r1")[:10])
        await anyio.sleep(0.1)
        assert host.callers.count_busy() == 1

    run_host(scenario, [], False)


STOPPING_PROCESS = textwrap.dedent("""
    import socket
    import anyio
    from corianderdoor.adapters.http1_server import listen
    from corianderdoor.core.clock import SystemClock
    from corianderdoor.entry.callers import CallerService

    BODY = b"x" * %d

    class Service(CallerService):
        async def _answer(self, conn, received):
            sock = conn.protocol._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            self.drain(2_500, 7_440)
            await conn.respond(200, [], BODY)

    class Planner:
        desired = None

    async def main():
        service = Service(Planner(), None, None, None, SystemClock())
        async with anyio.create_task_group() as tasks:
            server = await listen(("127.0.0.1", 0), tasks, service.serve)
            print(server.sockets[0].getsockname()[1], flush=True)
            while not service.draining:
                await anyio.sleep(0.02)
            await anyio.sleep(0.2)
            while service.count_busy():
                await service.close_idle()
                await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})
    """)


# Guards against LOST: a stopping host ended with the rest of an answer that a
# slow caller had not read yet.
def test_stopping_host_sends_the_rest_of_its_answers():
    child = subprocess.Popen(
        [sys.executable, "-c", STOPPING_PROCESS % LARGE_BODY_BYTES],
        stdout=subprocess.PIPE,
    )
    assert child.stdout is not None
    port = int(child.stdout.readline())
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    caller.connect(("127.0.0.1", port))
    caller.sendall(build_read(b"r1"))
    # Longer than the host waits for the caller to close its side.
    time.sleep(1.5)
    received = b""
    while data := caller.recv(4_096):
        received += data
    assert child.wait(10) == 0
    assert received.count(b"x") >= LARGE_BODY_BYTES
