"""Applies entries of servers, and their removals, to the planner."""

from __future__ import annotations

from ..core.entry.crashing_requests import CrashCause
from ..core.entry.planner import Planner
from ..core.entry.servers import BackendServer
from ..platform.changes import ServerRemoved


def list_server(planner: Planner, server: BackendServer, now_ms: int) -> None:
    """Lists a server as its entry describes it."""
    known = planner.servers.get(server.id)
    proofs = planner.restarts.proofs
    was_deferred = planner.servers.departed.is_held_back(server.id)
    if not planner.servers.put(server, now_ms) or known is None:
        if was_deferred and known is not None:
            # The process that was known has written again.
            proofs.record_told(server.id)
        return
    if server.started_ms < known.started_ms:
        proofs.record_unreachable(server.id, now_ms)
    else:
        proofs.record_told(server.id)
    planner.crashing_requests.confirm_crash(
        server.id, now_ms, CrashCause.RESTARTED
    )


def remove_server(
    planner: Planner, removed: ServerRemoved, now_ms: int
) -> None:
    """Removes a server whose entry is gone, at once or after a time."""
    planner.servers.remove(removed.id, now_ms, removed.grace_ms)
    if not removed.grace_ms:
        planner.crashing_requests.confirm_crash(
            removed.id, now_ms, CrashCause.REMOVED
        )
