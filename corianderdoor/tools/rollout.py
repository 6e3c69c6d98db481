"""Rolls out an accepted configuration to all entry hosts."""

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
TIMEOUT_S: Final = 12.0
POLL_INTERVAL_S: Final = 0.25
MAX_CONCURRENT_CALLS: Final = 32


async def roll_out(
    client: ControlClient,
    entries: tuple[EntryHost, ...],
    cfg: Config,
    progress: Callable[[str], None],
) -> list[str]:
    """Pushes `cfg` to some hosts and waits until it is in force on all.

    Waits at most `TIMEOUT_S`.

    Args:
        client: Client of the control ports.
        entries: The entry hosts in the platform's list.
        cfg: Configuration that the key-value service has accepted.
        progress: Called with each line of progress for the operator.

    Returns:
        The names of hosts that did not confirm in time.
    """
    raw = encode_config(cfg)
    async with anyio.create_task_group() as tg:
        for entry in choose_push_targets(entries):
            tg.start_soon(client.push, entry.control, cfg.revision, raw)
    waiting = {entry.name: entry for entry in entries}
    started_s = time.monotonic()
    while True:
        statuses = await read_statuses(client, tuple(waiting.values()))
        for name, status in statuses.items():
            if status is not None and status.revision >= cfg.revision:
                del waiting[name]
        elapsed_s = time.monotonic() - started_s
        done = len(entries) - len(waiting)
        progress(
            f"revision {cfg.revision} in force on {done} of "
            f"{len(entries)} hosts after {elapsed_s:.1f} s"
        )
        if not waiting or elapsed_s > TIMEOUT_S:
            return sorted(waiting)
        await anyio.sleep(POLL_INTERVAL_S)


def choose_push_targets(entries: tuple[EntryHost, ...]) -> list[EntryHost]:
    """Returns the hosts to push to, `PUSHES_PER_CENTRE` per data centre."""
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
    """Returns the status of each host; None if it did not answer."""
    statuses: dict[str, Status | None] = {}
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def fetch(entry: EntryHost) -> None:
        async with limiter:
            match await client.status(entry.control):
                case Result(tag="ok", ok=status):
                    statuses[entry.name] = status
                case _:
                    statuses[entry.name] = None

    async with anyio.create_task_group() as tg:
        for entry in entries:
            tg.start_soon(fetch, entry)
    return statuses
