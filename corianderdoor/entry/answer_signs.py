"""Passes what servers say about their state to the planner, and logs it."""

from __future__ import annotations

from ..adapters.logs import log_event
from ..core.entry.brittle_room import RoomChange
from ..core.entry.heartbeat import Heartbeat
from ..core.entry.planner import Planner
from ..platform.answer_head import AnswerHead, SERVICE_UNAVAILABLE


def record_answer_signs(
    planner: Planner, server_id: str, head: AnswerHead, now_ms: int
) -> None:
    """Records what the head of an answer says about the server's state."""
    rejected = head.not_run and head.status == SERVICE_UNAVAILABLE
    change = planner.rooms.record_answer(
        server_id,
        head.rejections_per_s,
        rejected,
        head.load,
        now_ms,
        head.running,
    )
    if head.load is not None and head.running is not None:
        planner.selection.waiting.record(
            server_id, head.load - head.running, now_ms
        )
    if rejected and head.rejections_per_s is not None:
        planner.counters.add("brittle_rejections")
    if change is not None:
        _log_change(planner, server_id, change, "answer")


def merge_room_reports(
    planner: Planner, heartbeat: Heartbeat, now_ms: int
) -> None:
    """Merges what a peer reports about brittle servers."""
    for server_id in planner.rooms.merge_reports(
        heartbeat.sender, heartbeat.rooms, now_ms
    ):
        _log_change(planner, server_id, RoomChange.BRITTLE, heartbeat.sender)


def _log_change(
    planner: Planner, server_id: str, change: RoomChange, source: str
) -> None:
    log_event(
        "server_room",
        server=server_id,
        change=change.value,
        room=planner.rooms.room_of(server_id),
        limit=planner.rooms.limit_of(server_id),
        source=source,
    )
