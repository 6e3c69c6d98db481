"""Logs and counts the crashes of servers, and merges what peers report."""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import Final

from ..adapters.logs import log_event
from ..core.entry.counters import Counters
from ..core.entry.crashing_requests import ServerCrash
from ..core.entry.heartbeat import Heartbeat
from ..core.entry.part_reports import PartChange
from ..core.entry.planner import Planner

# Fingerprints in one line; a server may crash under many requests.
MAX_LOGGED: Final = 8


def attach_crash_reports(
    planner: Planner, send_soon: Callable[[], None]
) -> None:
    """Logs the crashes that `planner` finds out about, and what follows.

    Args:
        planner: Finds out about crashes.
        send_soon: Called when there is something to report to peers.
    """
    crashing = planner.crashing_requests
    crashing.on_crash = functools.partial(
        _record_crash, planner.counters, send_soon
    )
    crashing.verdicts.on_change = functools.partial(
        _record_change, planner.counters
    )


def _record_crash(
    counters: Counters, send_soon: Callable[[], None], crash: ServerCrash
) -> None:
    send_soon()
    counters.add("server_crashes", cause=crash.cause.value)
    log_event(
        "server_crashed",
        "WARNING",
        server=crash.server_id,
        cause=crash.cause.value,
        requests=len(crash.fingerprints),
        fingerprints=format_digests(crash.fingerprints),
    )


def _record_change(
    counters: Counters, suspect: int, change: PartChange
) -> None:
    counters.add("crash_suspect_changes", change=change.value)
    log_event(
        "crash_suspect",
        "WARNING",
        suspect=format_digests((suspect,)),
        change=change.value,
    )


def format_digests(digests: tuple[int, ...]) -> str:
    """Returns the first `MAX_LOGGED` digests in hexadecimal."""
    return ",".join(f"{digest:016x}" for digest in digests[:MAX_LOGGED])


def merge_crash_reports(
    planner: Planner, heartbeat: Heartbeat, now_ms: int
) -> None:
    """Merges what a peer reports about crashes and prompt parts."""
    crashing = planner.crashing_requests
    crashing.merge(heartbeat.attempts, now_ms)
    for part in heartbeat.parts:
        crashing.verdicts.merge(part, now_ms)
    if heartbeat.attempts:
        return
    # A host of an earlier release reports only these.
    for fingerprint, digest in heartbeat.crashes:
        crashing.add_crash(fingerprint, digest, now_ms)


def merge_unreached(
    planner: Planner, heartbeat: Heartbeat, now_ms: int
) -> None:
    """Merges the servers that a peer could not reach, or that cut it off."""
    for server_id in map(planner.servers.find, heartbeat.unreached):
        if server_id is None:
            continue
        planner.restarts.add_report(server_id, now_ms)
        if not heartbeat.links_cut:
            planner.restarts.proofs.record_report(
                server_id, heartbeat.sender, now_ms
            )
