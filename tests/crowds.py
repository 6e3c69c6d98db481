"""Crowds of callers that misbehave, and the process that they meet.

A crowd opens its connections to a real process on loopback, sends what its
callers send and leaves all connections open.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
from contextlib import asynccontextmanager
import os
import pathlib
import socket
import subprocess
import sys

import anyio

from corianderdoor.standins.platform_fleet import (
    build_config,
    build_settings,
    CALLER_HOST,
    METRICS_PORT,
    PlatformFleet,
    PORT,
    run_fleet,
)

ROOT = pathlib.Path(__file__).parents[1]
BYTES_PER_KB = 1_024
BYTES_PER_MB = 1_000_000
# The settings of the host, and the desired state.
MEMORY_MB = 100
DESCRIPTORS = 600
BODY_BYTES = 262_144
# The largest heads that a host accepts at all.
HEADER_BYTES = 65_536
NAME = "host"
SEND_SIZE = 65_536
# Receive buffer of a caller, so that little of an answer is out of the host.
RECEIVE_SIZE = 4_096
# Time in which a crowd that is not read from sends what it can.
SEND_S = 20
ANSWER_S = 60
SETTLE_S = 1.0
# Time after which a caller whose connection was closed comes again.
RENEW_S = 0.05


class Usage:
    """What a process has taken.

    Attributes:
        peak_mb: Highest resident memory since its start, in MB.
        descriptors: Open descriptors now.
    """

    __slots__ = ("peak_mb", "descriptors")

    def __init__(self, pid: int) -> None:
        status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
        peak = next(
            line.split()[1]
            for line in status.splitlines()
            if line.startswith("VmHWM:")
        )
        self.peak_mb = int(peak) * BYTES_PER_KB / BYTES_PER_MB
        self.descriptors = len(os.listdir(f"/proc/{pid}/fd"))


class HostProcess:
    """An entry host as a process, with stand-ins of all that it needs.

    Attributes:
        fleet: Its store and workers.
        pid: Id of the process.
    """

    __slots__ = ("fleet", "_proc", "_address")

    def __init__(
        self,
        fleet: PlatformFleet,
        proc: subprocess.Popen[bytes],
        address: str,
    ) -> None:
        self.fleet = fleet
        self._proc = proc
        self._address = address

    def address(self, port: int) -> tuple[str, int]:
        """Returns the address of one of its listeners."""
        return self._address, port

    def measure(self) -> Usage:
        """Returns what the process has taken; fails if it has ended."""
        assert self._proc.poll() is None
        return Usage(self._proc.pid)

    async def check_service(self) -> None:
        """Checks that an ordinary request gets its answer."""
        with anyio.fail_after(ANSWER_S):
            reply = await self.fleet.chat(NAME, "ordinary", "/read/x")
        assert (reply.status, reply.complete) == (200, True)


@asynccontextmanager
async def run_host(
    folder: pathlib.Path,
    engines: int = 0,
    memory_mb: int = MEMORY_MB,
    body_bytes: int = BODY_BYTES,
) -> AsyncIterator[HostProcess]:
    """Runs an entry host, and its store and workers in this process.

    Args:
        folder: Takes the settings and the log.
        engines: Number of model engines, besides a plain worker.
        memory_mb: Memory of the host's settings.
        body_bytes: Largest body of the desired state.
    """
    async with run_fleet(engines, 1, 0) as fleet:
        config = build_config(
            2, max_body_bytes=body_bytes, max_header_bytes=HEADER_BYTES
        )
        fleet.store.state.put("op/config", config)
        address = fleet.allocate_address()
        path = folder / "settings.json"
        limits = {"memory_mb": memory_mb, "file_descriptors": DESCRIPTORS}
        path.write_bytes(
            build_settings(NAME, address, fleet.store_address, limits=limits)
        )
        command = [sys.executable, "-m", "corianderdoor.entry"]
        options = ["--settings", path, "--metrics-port", str(METRICS_PORT)]
        with open(folder / "log", "wb") as log:
            proc = subprocess.Popen(
                [*command, *options],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        try:
            fleet.hosts[NAME] = (address, PORT)
            await fleet.wait_ready(NAME)
            yield HostProcess(fleet, proc, address)
        finally:
            proc.kill()
            proc.wait()


class Crowd:
    """Open connections of callers that misbehave."""

    __slots__ = ("_writers",)

    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []

    async def join(
        self, address: tuple[str, int], count: int, build: Callable[[], bytes]
    ) -> None:
        """Opens connections and sends bytes on each, as far as it is read.

        Args:
            address: Where to connect.
            count: Number of connections.
            build: Returns what a caller sends.
        """
        with anyio.move_on_after(SEND_S):
            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(self._join_one, address, build())
        await anyio.sleep(SETTLE_S)

    async def _join_one(self, address: tuple[str, int], data: bytes) -> None:
        try:
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_SIZE)
            await asyncio.get_running_loop().sock_connect(sock, address)
            # A caller that reads nothing: the limit stops the reader.
            _, writer = await asyncio.open_connection(sock=sock, limit=1)
            self._writers.append(writer)
            for start in range(0, len(data), SEND_SIZE):
                writer.write(data[start : start + SEND_SIZE])
                await writer.drain()
        except OSError:
            pass  # refused or closed, as the host may do

    async def come_again(
        self, address: tuple[str, int], count: int, data: bytes
    ) -> None:
        """Sends bytes on connections that are replaced when they close.

        Does so for `SEND_S`, so that the host closes many of them.
        """

        async def send_again() -> None:
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(*address)
                    self._writers.append(writer)
                    for start in range(0, len(data), SEND_SIZE):
                        writer.write(data[start : start + SEND_SIZE])
                        await writer.drain()
                    await reader.read()
                await anyio.sleep(RENEW_S)

        with anyio.move_on_after(SEND_S):
            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(send_again)

    def leave(self) -> None:
        """Closes all connections."""
        for writer in self._writers:
            writer.transport.abort()


def build_head(path: str, *headers: bytes) -> bytes:
    """Returns the head of a request for a route of the stand-ins."""
    lines = [
        f"POST {path} HTTP/1.1".encode(),
        f"Host: {CALLER_HOST}".encode(),
        b"Attempt-Id: %s" % os.urandom(8).hex().encode(),
        b"Authorization: Token key-1",
        b"Deadline-Ms: 3000",
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"
