"""Planned stops of a host beside other changes, with real processes."""

from __future__ import annotations

import signal
import time

import anyio
import msgspec
import pytest
from test_entry_delayed_signals import (
    LONG_MS,
    LONG_ROUTE,
    ORDER_ROUTE,
    run_host,
)
from test_entry_late_requests import KeptConnection
from test_entry_path import set_modes

from corianderdoor.standins.platform_fleet import build_config, PLAIN_SERVICE

SHORT_GRACE_S = 3


def drain(fleet, id):
    """Makes a worker announce that it leaves, in its entry and its answers."""
    entry = msgspec.json.decode(fleet.store.state.read_value(f"servers/{id}"))
    entry["state"] = "draining"
    entry["sequence_number"] += 1
    fleet.store.state.put(f"servers/{id}", msgspec.json.encode(entry))
    fleet.workers[id].leaving = True


def change(fleet, kind):
    """Changes what the stream in progress is served by."""
    moved = {**LONG_ROUTE, "service": PLAIN_SERVICE}
    state = fleet.store.state
    if kind == "route-moved":
        state.put("op/config", build_config(3, [moved, ORDER_ROUTE]))
    elif kind == "route-removed":
        state.put("op/config", build_config(3, [ORDER_ROUTE]))
    elif kind == "server-drains":
        drain(fleet, "engine-0")
    else:
        state.remove("servers/engine-0")


# Guards against LOST: a stream is cut as its route or its server changes while
# its host stops.
@pytest.mark.parametrize("before_s", [0.0, 0.3])
@pytest.mark.parametrize(
    "kind", ["route-moved", "route-removed", "server-drains", "server-removed"]
)
def test_stream_outlasts_a_change_beside_a_stop(kind, before_s, tmp_path):
    async def scenario():
        async with run_host(tmp_path, engines=1, plain=1) as (fleet, proc):
            conn = await KeptConnection.open(fleet, "h")
            set_modes(fleet, "pause", engine=True)
            fleet.workers["engine-0"].pause_ms = 2_000
            replies = []

            async def ask():
                replies.append(await conn.ask("r1", "/long/x", LONG_MS))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.3)
                change(fleet, kind)
                await anyio.sleep(before_s)
                proc.send_signal(signal.SIGTERM)
            assert [reply.complete for reply in replies] == [True]

    anyio.run(scenario)


# Guards against requests without an answer: a grace period that the settings
# shortened, with or without SIGHUP, counts as long as it was at the start.
@pytest.mark.parametrize("has_signal", [False, True])
def test_stop_ends_within_a_grace_period_that_changed(has_signal, tmp_path):
    async def scenario():
        async with run_host(tmp_path) as (fleet, proc):
            conn = await KeptConnection.open(fleet, "h")
            set_modes(fleet, "silent", engine=True)
            path = tmp_path / "settings.json"
            settings = msgspec.json.decode(path.read_bytes())
            settings["bounds"]["grace_period_s"] = SHORT_GRACE_S
            path.write_bytes(msgspec.json.encode(settings))
            replies = []

            async def ask():
                replies.append(await conn.ask("r1", "/long/x", LONG_MS))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                if has_signal:
                    proc.send_signal(signal.SIGHUP)
                await anyio.sleep(0.3)
                signal_s = time.monotonic()
                proc.send_signal(signal.SIGTERM)
                while proc.poll() is None:
                    if time.monotonic() >= signal_s + SHORT_GRACE_S:
                        proc.kill()
                    await anyio.sleep(0.01)
            assert [reply.status for reply in replies] == [504]
            assert proc.returncode == 0

    anyio.run(scenario)
