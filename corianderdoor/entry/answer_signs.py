"""Passes what servers say about their state to the planner, and logs it."""

from __future__ import annotations

from ..adapters.logs import log_event
from ..core.entry.brittle_room import RoomChange
from ..core.entry.heartbeat import Heartbeat
from ..core.entry.planner import Planner
from ..core.entry.server_limits import LimitChange
from ..platform.answer_head import AnswerHead, SERVICE_UNAVAILABLE


def record_answer_signs(
    planner: Planner,
    server_id: str,
    head: AnswerHead,
    sent_ms: int,
    now_ms: int,
) -> None:
    """Records what the head of an answer says about the server's state.

    Args:
        planner: Decides by it.
        server_id: Id of the server.
        head: The head of the answer.
        sent_ms: When the request was sent.
        now_ms: Monotonic time in ms.
    """
    if not head.wrong_server:
        _record_limit(planner, server_id, head, sent_ms, now_ms)
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


def _record_limit(
    planner: Planner,
    server_id: str,
    head: AnswerHead,
    sent_ms: int,
    now_ms: int,
) -> None:
    limits = planner.selection.limits
    change = limits.record_answer(
        server_id, head.stated_limit, sent_ms, now_ms
    )
    if change is not None:
        log_limit_change(planner, server_id, change, "answer")


def log_limit_change(
    planner: Planner, server_id: str, change: LimitChange, source: str
) -> None:
    """Logs and counts the change of a server's limit.

    Args:
        planner: Has the limit.
        server_id: Id of the server.
        change: What changed.
        source: Name of the peer that reported it, or "answer".
    """
    planner.counters.add("server_limit_changes", change=change.value)
    log_event(
        "server_limit",
        server=server_id,
        change=change.value,
        per_s=planner.selection.limits.per_s(server_id),
        source=source,
    )


def merge_room_reports(
    planner: Planner, heartbeat: Heartbeat, now_ms: int
) -> None:
    """Merges what a peer reports about brittle servers."""
    for server_id in planner.rooms.merge_reports(
        heartbeat.sender, heartbeat.rooms, now_ms
    ):
        _log_change(planner, server_id, RoomChange.BRITTLE, heartbeat.sender)


def merge_limit_reports(
    planner: Planner, heartbeat: Heartbeat, now_ms: int
) -> None:
    """Merges what a peer reports about the limits of servers."""
    for server_id, change in planner.selection.limits.merge(
        heartbeat.limits, now_ms
    ):
        log_limit_change(planner, server_id, change, heartbeat.sender)


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
