"""What hosts learn from the heartbeats of their peers."""

from __future__ import annotations

from ..adapters.logs import log_event
from ..core.entry.heartbeat import Heartbeat
from ..core.entry.leaving_servers import digest_incarnation
from ..core.entry.loads import PeerLoads
from ..core.entry.peer import MISSED_HEARTBEATS, PEER_TIMEOUT_MS
from ..core.entry.planner import Planner
from ..core.entry.rollouts import Rollouts
from .answer_signs import merge_limit_reports, merge_room_reports
from .crash_reports import merge_crash_reports, merge_unreached


def merge_reports(
    planner: Planner,
    rollouts: Rollouts | None,
    heartbeat: Heartbeat,
    now_ms: int,
) -> None:
    """Merges what a peer reports, besides the state of the store.

    Args:
        planner: Target of the reports.
        rollouts: Target of those about rollouts; None if there are none.
        heartbeat: The peer's heartbeat.
        now_ms: Monotonic time in ms.
    """
    find_server = planner.servers.find
    valid_ms = max(PEER_TIMEOUT_MS, MISSED_HEARTBEATS * heartbeat.interval_ms)
    loads = PeerLoads(now_ms + valid_ms, {}, {})
    for digest, count, unread in heartbeat.loads:
        server_id = find_server(digest)
        if server_id is not None:
            loads.requests[server_id] = count
            loads.unread[server_id] = unread
    planner.loads.update_peer(heartbeat.sender, loads, now_ms)
    ejected = frozenset(
        server_id
        for server_id in map(find_server, heartbeat.ejected)
        if server_id is not None
    )
    planner.ejections.update_peer(heartbeat.sender, ejected, now_ms)
    merge_unreached(planner, heartbeat, now_ms)
    merge_room_reports(planner, heartbeat, now_ms)
    merge_crash_reports(planner, heartbeat, now_ms)
    merge_limit_reports(planner, heartbeat, now_ms)
    for part, digest in heartbeat.cached_parts:
        server_id = find_server(digest)
        if server_id is not None:
            planner.caches.add_holder(part, server_id, now_ms)
    _merge_leaving(planner, heartbeat, now_ms)
    if rollouts is not None:
        # Merged even without reports: it shows that the peer is alive.
        rollouts.merge(
            heartbeat.sender, heartbeat.boot, heartbeat.rollouts, now_ms
        )


def _merge_leaving(
    planner: Planner, heartbeat: Heartbeat, now_ms: int
) -> None:
    leaving = planner.leaving
    for digest in heartbeat.leaving_servers:
        if leaving.add_report(digest, now_ms):
            names = [
                server.id
                for server in planner.servers.all()
                if digest_incarnation(server) == digest
            ]
            log_event(
                "server_leaving",
                server=names[0] if names else "",
                source=heartbeat.sender,
            )
            planner.counters.add("leaving_servers", source="peer")
