"""Daemons on loopback without a key-value service: push, pull, signatures."""

from contextlib import asynccontextmanager
import random

import anyio
from builders import build_config
from expression import Error
import pytest

from corianderdoor.adapters.control_http import ControlClient
from corianderdoor.adapters.keyring import Keyring
from corianderdoor.adapters.peer_capnp import UdpPeers
from corianderdoor.core.clock import SystemClock
from corianderdoor.core.config import encode_config
from corianderdoor.core.errors import Fault, Kind
from corianderdoor.core.topology import EntryHost
from corianderdoor.daemons.control import bind_control, Control

KEYS = ["fleet-key"]


class UnreachableStore:
    """A key-value service of which every read fails."""

    async def read(self, key):
        """Returns a fault."""
        return Error(Fault(Kind.STORE_FAILED, "store-read", "down"))

    async def wait_above(self, key, version, timeout_ms):
        """Returns a fault."""
        return await self.read(key)


class RecordingDaemon:
    """Records the revisions that `Control` puts in force."""

    def __init__(self):
        self.revisions = []
        self.view = None

    def enforce(self, cfg):
        """Records a revision."""
        self.revisions.append(cfg.revision)

    def set_view(self, view):
        """Stores the view."""
        self.view = view

    def refresh(self):
        """Does nothing."""


@asynccontextmanager
async def running(count):
    """Yields daemons that list each other, and their control addresses."""
    socks = [bind_control("127.0.0.1", 0) for _ in range(count)]
    entries = []
    for number, (sock, _) in enumerate(socks):
        control = f"127.0.0.1:{sock.getsockname()[1]}"
        entries.append(EntryHost(f"r{number}", "dc", "re", "", control))
    daemons, opened, parts = [], [], []
    async with anyio.create_task_group() as tg:
        for number, (entry, (tcp, udp)) in enumerate(zip(entries, socks)):
            clock, keyring = SystemClock(), Keyring(KEYS)
            peers = UdpPeers(keyring, entry.name, 1 + number)
            await peers.open(udp)
            daemon = RecordingDaemon()
            control = Control(
                entry,
                UnreachableStore(),
                peers,
                keyring,
                clock,
                random.Random(number),
                daemon,
            )
            daemon.view.set_listing(tuple(entries))
            tg.start_soon(control.run, tcp)
            daemons.append(daemon)
            opened.append(peers)
            parts.append(control)
        yield daemons, [entry.control for entry in entries]
        for control in parts:
            control.stop()
    for peers in opened:
        peers.close()


async def wait_for(check):
    """Waits until `check` is true."""
    with anyio.fail_after(15):
        while not check():
            await anyio.sleep(0.01)


async def push(client, control, revision):
    """Pushes a configuration as the operators' tool does, with retries."""
    with anyio.fail_after(10):
        while True:
            raw = encode_config(build_config(revision))
            if (await client.push(control, revision, raw)).is_ok():
                return
            await anyio.sleep(0.05)


@pytest.mark.anyio
async def test_push_reaches_all_without_the_store_and_never_reverts():
    client = ControlClient(Keyring(KEYS))
    async with running(3) as (daemons, controls):
        await push(client, controls[0], 7)
        await wait_for(lambda: all(one.revisions == [7] for one in daemons))
        await push(client, controls[1], 5)
        await push(client, controls[2], 9)
        await wait_for(lambda: all(one.revisions == [7, 9] for one in daemons))
        status = (await client.status(controls[1])).ok
        assert (status.revision, status.ready) == (9, True)
        assert status.members == ["r0", "r1", "r2"]
    await client.close()


@pytest.mark.anyio
async def test_control_port_refuses_unsigned_and_invalid_requests():
    unknown, known = (ControlClient(Keyring([k])) for k in ("x", KEYS[0]))
    async with running(1) as (daemons, (control,)):
        await push(known, control, 7)
        raw = encode_config(build_config(8))
        assert (await unknown.push(control, 8, raw)).is_error()
        assert (await unknown.status(control)).is_error()
        assert (await unknown.pull(control, 0, b"")).is_error()
        bad = await known.push(control, 9, b'{"rules": "->"}')
        assert bad.is_error()
        await wait_for(lambda: daemons[0].revisions == [7])
        assert (await known.pull(control, 0, b"")).ok == (
            7,
            encode_config(build_config(7)),
        )
    await unknown.close()
    await known.close()


@pytest.mark.anyio
async def test_deltas_on_a_wrong_base_fail_the_digest_check():
    client = ControlClient(Keyring(KEYS))
    async with running(1) as (_, (control,)):
        await push(client, control, 7)
        await push(client, control, 8)
        old = encode_config(build_config(7))
        assert (await client.pull(control, 7, old)).ok[0] == 8
        assert (await client.pull(control, 7, old[:-9])).is_error()
    await client.close()
