"""Brings an accepted configuration to entry hosts and waits for all."""

from __future__ import annotations

import collections
from collections.abc import Callable
import time
from typing import Final

import anyio
from expression import Result

from ..adapters.control_http import ControlClient, Status
from ..core.config import Config, encode_config
from ..core.topology import EntryHost

PUSHES_PER_CENTRE: Final = 2
WAIT_S: Final = 12.0
POLL_S: Final = 0.25
CALLS_AT_ONCE: Final = 32


async def roll_out(
    client: ControlClient,
    entries: tuple[EntryHost, ...],
    cfg: Config,
    progress: Callable[[str], None],
) -> list[str]:
    """Pushes `cfg` to some hosts and waits until it is in force on all.

    Args:
        client: Calls control ports.
        entries: The entry hosts that the platform lists.
        cfg: What the key-value service has accepted.
        progress: Called with a line for the operator.

    Returns:
        The names of hosts that have not confirmed in time.
    """
    raw = encode_config(cfg)
    async with anyio.create_task_group() as tg:
        for entry in choose_first(entries):
            tg.start_soon(client.push, entry.control, cfg.revision, raw)
    waiting = {entry.name: entry for entry in entries}
    started = time.monotonic()
    while True:
        told = await read_statuses(client, tuple(waiting.values()))
        for name, status in told.items():
            if status is not None and status.revision >= cfg.revision:
                del waiting[name]
        passed = time.monotonic() - started
        done = len(entries) - len(waiting)
        progress(
            f"revision {cfg.revision} in force on {done} of "
            f"{len(entries)} hosts after {passed:.1f} s"
        )
        if not waiting or passed > WAIT_S:
            return sorted(waiting)
        await anyio.sleep(POLL_S)


def choose_first(entries: tuple[EntryHost, ...]) -> list[EntryHost]:
    """Returns the hosts to push to: a few of each data centre."""
    by_centre: dict[str, list[EntryHost]] = collections.defaultdict(list)
    for entry in sorted(entries, key=lambda entry: entry.name):
        by_centre[entry.data_centre].append(entry)
    return [
        entry
        for listed in by_centre.values()
        for entry in listed[:PUSHES_PER_CENTRE]
    ]


async def read_statuses(
    client: ControlClient, entries: tuple[EntryHost, ...]
) -> dict[str, Status | None]:
    """Returns what each host tells of itself; None if it did not answer."""
    told: dict[str, Status | None] = {}
    limiter = anyio.CapacityLimiter(CALLS_AT_ONCE)

    async def ask(entry: EntryHost) -> None:
        async with limiter:
            match await client.status(entry.control):
                case Result(tag="ok", ok=status):
                    told[entry.name] = status
                case _:
                    told[entry.name] = None

    async with anyio.create_task_group() as tg:
        for entry in entries:
            tg.start_soon(ask, entry)
    return told
