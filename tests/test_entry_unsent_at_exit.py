"""Bytes of answers that callers have not read when a host ends."""

from __future__ import annotations

import signal
import socket
import time

import anyio
import anyio.to_thread
import pytest
from test_entry_delayed_signals import run_host

from corianderdoor.standins import platform_worker
from corianderdoor.standins.platform_fleet import (
    CALLER_HOST,
    GRACE_PERIOD_S,
    KEY,
)

REQUEST = (
    f"GET /order/x HTTP/1.1\r\nHost: {CALLER_HOST}\r\nAttempt-Id: r1\r\n"
    f"Authorization: Token {KEY}\r\nDeadline-Ms: 12000\r\n\r\n"
).encode()
RECEIVE_BUFFER_BYTES = 4_096


def open_slow_caller(address):
    """Returns a connection whose bytes wait at the host until it reads."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(20)
    sock.connect(address)
    return sock


def read_rest(sock):
    """Returns all bytes until the end of the connection."""
    data = b""
    while received := sock.recv(65_536):
        data += received
    return data


async def wait_for_end(proc, signal_s):
    """Waits until a process has ended, which the kill does at the latest."""
    while proc.poll() is None:
        if time.monotonic() >= signal_s + GRACE_PERIOD_S:
            proc.kill()
        await anyio.sleep(0.01)


async def stop_before_reading(tmp_path, read_after_s):
    """Stops a host whose answer waits for its caller.

    Args:
        tmp_path: Folder of the host's files.
        read_after_s: When the caller begins to read, after the signal; None
            for after the end of the process.

    Returns:
        The size of the body that the caller got.
    """
    async with run_host(tmp_path, engines=0, plain=1) as (fleet, proc):
        (worker,) = fleet.workers.values()
        worker.mode = "large"
        with open_slow_caller(fleet.hosts["h"]) as sock:
            sock.sendall(REQUEST)
            while worker.active or not worker.runs["r1"]:
                await anyio.sleep(0.01)
            signal_s = time.monotonic()
            proc.send_signal(signal.SIGTERM)
            if read_after_s is None:
                await wait_for_end(proc, signal_s)
            else:
                await anyio.sleep(read_after_s)
            data = await anyio.to_thread.run_sync(read_rest, sock)
    return len(data.partition(b"\r\n\r\n")[2])


# Guards against LOST: the last bytes of an answer, which the operating system
# holds as its process ends, are dropped.
@pytest.mark.parametrize("body_bytes", [60_000, 500_000])
def test_bytes_that_wait_in_the_system_outlast_the_process(
    body_bytes, tmp_path, monkeypatch
):
    monkeypatch.setattr(platform_worker, "LARGE_BODY_BYTES", body_bytes)
    assert anyio.run(stop_before_reading, tmp_path, None) == body_bytes


# Guards against LOST: a process that ends before a slow caller has the bytes
# that wait in it.
def test_bytes_that_wait_in_the_process_keep_it_from_ending(tmp_path):
    read_after_s = GRACE_PERIOD_S / 2
    body_bytes = anyio.run(stop_before_reading, tmp_path, read_after_s)
    assert body_bytes == platform_worker.LARGE_BODY_BYTES
