"""Logs and counts the crashes of backend servers."""

from __future__ import annotations

import functools
from typing import Final

from ..adapters.logs import log_event
from ..core.entry.counters import Counters
from ..core.entry.crashing_requests import ServerCrash
from ..core.entry.planner import Planner

# Fingerprints in one line; a server may crash under many requests.
MAX_LOGGED: Final = 8


def attach_crash_log(planner: Planner) -> None:
    """Logs each crash that `planner` finds out about."""
    planner.crashing_requests.on_crash = functools.partial(
        _record_crash, planner.counters
    )


def _record_crash(counters: Counters, crash: ServerCrash) -> None:
    counters.add("server_crashes", cause=crash.cause.value)
    log_event(
        "server_crashed",
        "WARNING",
        server=crash.server_id,
        cause=crash.cause.value,
        requests=len(crash.fingerprints),
        fingerprints=format_digests(crash.fingerprints),
    )


def format_digests(digests: tuple[int, ...]) -> str:
    """Returns the first `MAX_LOGGED` digests in hexadecimal."""
    return ",".join(f"{digest:016x}" for digest in digests[:MAX_LOGGED])
