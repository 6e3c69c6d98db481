"""SIGTERM to a process that can't handle it at once."""

from __future__ import annotations

import contextlib
import pathlib
import re
import signal
import subprocess
import sys
import time

import anyio
from test_entry_late_requests import KeptConnection
from test_entry_path import set_modes

from corianderdoor.core.entry.process_pauses import ProcessPauses
from corianderdoor.standins.platform_fleet import (
    build_config,
    build_route,
    build_settings,
    ENGINE_SERVICE,
    GRACE_PERIOD_S,
    PLAIN_SERVICE,
    PORT,
    run_fleet,
)

ROOT = pathlib.Path(__file__).parents[1]
LONG_MS = 12_000
LONG_ROUTE = build_route(
    "/long/",
    "streaming",
    ENGINE_SERVICE,
    timeout_ms=LONG_MS,
    stream_resumption=False,
)
ORDER_ROUTE = build_route(
    "/order/", "idempotent", PLAIN_SERVICE, timeout_ms=LONG_MS
)
# The rule leaves out requests that are sent up to this long after the signal
# and last for as long as the grace period does.
EXCUSED_S = 3.0
# How long the process does not run: as on a machine with other work.
DELAY_S = 0.9
SHORT_DELAY_S = 0.5


@contextlib.asynccontextmanager
async def run_host(tmp_path, engines=1, plain=0):
    """Runs a deployment whose host is a process of its own."""
    with anyio.fail_after(60):
        async with run_fleet(engines=engines, plain=plain, hosts=0) as fleet:
            fleet.store.state.put(
                "op/config", build_config(2, [LONG_ROUTE, ORDER_ROUTE])
            )
            address = fleet.allocate_address()
            path = tmp_path / "settings.json"
            path.write_bytes(build_settings("h", address, fleet.store_address))
            fleet.hosts["h"] = (address, PORT)
            command = [sys.executable, "-m", "corianderdoor.entry"]
            with (tmp_path / "log").open("wb") as log:
                proc = subprocess.Popen(
                    [*command, "--settings", path],
                    cwd=ROOT,
                    stdout=log,
                    stderr=log,
                )
            try:
                await fleet.wait_ready("h")
                yield fleet, proc
            finally:
                proc.kill()
                proc.wait()


async def delay_stop(proc, delay_s):
    """Sends SIGTERM to a process that does not run for a time after it.

    Returns:
        When the signal was sent.
    """
    proc.send_signal(signal.SIGSTOP)
    signal_s = time.monotonic()
    proc.send_signal(signal.SIGTERM)
    await anyio.sleep(delay_s)
    proc.send_signal(signal.SIGCONT)
    return signal_s


async def kill_after_grace(proc, signal_s):
    """Does as the platform does at the end of the grace period."""
    while proc.poll() is None:
        if time.monotonic() >= signal_s + GRACE_PERIOD_S:
            proc.kill()
        await anyio.sleep(0.01)


# Guards against LOST: a stream that was sent over 3 s after SIGTERM, taken as
# the process had handled the signal late, and cut by the kill.
def test_request_after_a_signal_that_was_handled_late_is_not_cut(tmp_path):
    replies = {}

    async def ask(conn, id):
        replies[id] = await conn.ask(id, "/long/x", LONG_MS)

    async def scenario():
        async with run_host(tmp_path) as (fleet, proc):
            conn = await KeptConnection.open(fleet, "h")
            (worker,) = fleet.workers.values()
            set_modes(fleet, "pause", engine=True)
            worker.pause_ms = 2_900
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, conn, "before")
                await anyio.sleep(0.1)
                signal_s = await delay_stop(proc, DELAY_S)
            assert replies["before"].complete
            left_s = signal_s + EXCUSED_S - time.monotonic()
            await anyio.sleep(max(0.0, left_s) + 0.01)
            set_modes(fleet, "pause", engine=True)
            worker.pause_ms = 3_500
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, conn, "late")
                await kill_after_grace(proc, signal_s)
            ran = worker.runs["late"] > 0
            assert replies["late"].complete or not ran, replies["late"].body

    anyio.run(scenario)
    log = (tmp_path / "log").read_text()
    (late_ms,) = re.findall(r"event=stopping .*late_ms=(\d+)", log)
    assert int(late_ms) >= DELAY_S * 1_000


# Guards against requests without an answer: a process that handled SIGTERM
# late was killed before it had ended what was in progress.
def test_requests_are_ended_before_the_kill_after_a_late_signal(tmp_path):
    replies = []

    async def scenario():
        async with run_host(tmp_path) as (fleet, proc):
            conn = await KeptConnection.open(fleet, "h")
            set_modes(fleet, "silent", engine=True)

            async def ask():
                replies.append(await conn.ask("held", "/long/x", LONG_MS))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.3)
                signal_s = await delay_stop(proc, SHORT_DELAY_S)
                await kill_after_grace(proc, signal_s)
            assert proc.returncode == 0
            assert [reply.status for reply in replies] == [504]

    anyio.run(scenario)


# Guards against LOST: a delay of a signal that a tick hides, which ran after
# the process resumed and before the signal's handler.
def test_delay_of_a_signal_counts_from_the_tick_before_the_last_one():
    pauses = ProcessPauses()
    pauses.record_tick(100)
    assert pauses.signal_delay_ms(1_000, started_ms=20) == 980
    for now_ms in (200, 1_100):
        pauses.record_tick(now_ms)
    assert pauses.signal_delay_ms(1_101, started_ms=20) == 901
