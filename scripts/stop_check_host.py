"""Runs an entry host that often reaches servers only through its peers.

Usage: stop_check_host.py SHARE BUSY_S ARGUMENTS, where SHARE of its own
connections to servers fail, its event loop is busy for up to BUSY_S seconds
now and then, and ARGUMENTS are those of the entry host's command.
"""

from __future__ import annotations

import functools
import os
import random
import signal
import sys
import time

import anyio

from corianderdoor.adapters.http1 import H11Protocol
from corianderdoor.adapters.http1_connect import connect
from corianderdoor.core.clock import MS_PER_SECOND
from corianderdoor.core.entry.addresses import Address
from corianderdoor.entry import command
from corianderdoor.entry.host import EntryHost

# Seconds between two times in which the event loop is busy.
BUSY_GAP_S = (0.2, 2.0)


class BusyHost(EntryHost):
    """An entry host whose event loop is busy now and then."""

    __slots__ = ()
    busy_s = 0.0

    async def run(self, stop: anyio.Event) -> None:
        """Serves as an entry host does."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_busy)
            await super().run(stop)
            tasks.cancel_scope.cancel()

    async def _keep_busy(self) -> None:
        while True:
            await anyio.sleep(random.uniform(*BUSY_GAP_S))
            time.sleep(random.uniform(0, self.busy_s))


async def connect_or_fail(
    share: float, address: Address, timeout_ms: int, unacked_timeout_ms: int
) -> H11Protocol | None:
    """Opens a connection; a share of them gets no answer in time."""
    if random.random() < share:
        await anyio.sleep(timeout_ms / MS_PER_SECOND)
        return None
    return await connect(address, timeout_ms, unacked_timeout_ms)


def main() -> int:
    """Runs the entry host; returns its exit status."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    share = float(sys.argv[1])
    slow = functools.partial(connect_or_fail, share)
    BusyHost.busy_s = float(sys.argv[2])
    kind = BusyHost if BusyHost.busy_s else EntryHost
    host = functools.partial(kind, connect_server=slow)
    setattr(command, "EntryHost", host)
    return command.main(sys.argv[3:])


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)
