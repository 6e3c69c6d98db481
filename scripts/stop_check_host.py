"""Runs an entry host that often reaches servers only through its peers.

Usage: stop_check_host.py SHARE ARGUMENTS, where SHARE of its own connections
to servers fail, and ARGUMENTS are those of the entry host's command.
"""

from __future__ import annotations

import functools
import os
import random
import signal
import sys

import anyio

from corianderdoor.adapters.http1 import H11Protocol
from corianderdoor.adapters.http1_connect import connect
from corianderdoor.core.clock import MS_PER_SECOND
from corianderdoor.core.entry.addresses import Address
from corianderdoor.entry import command
from corianderdoor.entry.host import EntryHost


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
    host = functools.partial(EntryHost, connect_server=slow)
    setattr(command, "EntryHost", host)
    return command.main(sys.argv[2:])


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)
