"""Keeps the tasks of an entry host running after unexpected errors."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from ..adapters.logs import log_event
from ..core.clock import MS_PER_SECOND
from ..core.entry.counters import Counters

FIRST_RESTART_MS: Final = 50
MAX_RESTART_MS: Final = 1_000

Job = Callable[[], Awaitable[None]]


async def run_once(name: str, job: Job, counters: Counters) -> bool:
    """Runs a task; logs and counts an unexpected error.

    Args:
        name: Name of the task, for logs and metrics.
        job: The task.
        counters: Counts the errors.

    Returns:
        Whether it ended without an error.
    """
    try:
        await job()
    except Exception as exc:
        log_event("task_failed", "ERROR", task=name, detail=repr(exc))
        counters.add("task_failures", task=name)
        return False
    return True


async def keep_running(name: str, job: Job, counters: Counters) -> None:
    """Runs a task, and starts it again after an unexpected error.

    The process goes on, as ending it would cut off all requests in progress.
    While a task waits to start again, the host is like one that lost the
    store or its peers for that time: its lease and its heartbeats expire.

    Args:
        name: Name of the task, for logs and metrics.
        job: The task; runs until it is cancelled or has nothing left to do.
        counters: Counts the errors.
    """
    delay_ms = FIRST_RESTART_MS
    while not await run_once(name, job, counters):
        await anyio.sleep(delay_ms / MS_PER_SECOND)
        delay_ms = min(MAX_RESTART_MS, 2 * delay_ms)
