"""Starts the command of an entry host."""

from __future__ import annotations

import gc
import os
import signal
import sys


def main() -> int:
    """Imports the command and runs it.

    The garbage collector stays off until the host serves: what a start
    allocates is kept, and traversing it again and again delays the start.
    SIGHUP is blocked until it can be handled: it would end the process.

    Returns:
        The exit status.
    """
    gc.disable()
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from .command import main as run

    return run()


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # Skips the interpreter's clean-up, which takes longer the more this
    # process holds and would run in the rest of the grace period.
    os._exit(status)
