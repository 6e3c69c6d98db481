"""Port to the metrics."""

from __future__ import annotations

from typing import Protocol

from ..core.errors import Kind, Outcome
from ..core.records import Record


class RequestEnd(Record):
    """Measurements of a request that has ended.

    Attributes:
        workspace: The caller's workspace.
        pool: The pool that its rule chose; empty if no rule matched.
        method: HTTP method.
        status: HTTP status sent to the caller.
        outcome: Whether it ran.
        fault: Kind of the fault that ended it; None for a complete answer.
        duration_ms: Time from arrival to the end, in ms.
        first_chunk_ms: Time from arrival to the first byte of the answer's
            body, in ms; None if there was none.
        gap_ms: Mean time between chunks, in ms; None if there were fewer
            than two.
    """

    __slots__ = (
        "workspace",
        "pool",
        "method",
        "status",
        "outcome",
        "fault",
        "duration_ms",
        "first_chunk_ms",
        "gap_ms",
    )

    def __init__(
        self,
        workspace: str,
        pool: str,
        method: str,
        status: int,
        outcome: Outcome,
        fault: Kind | None,
        duration_ms: int,
        first_chunk_ms: int | None = None,
        gap_ms: float | None = None,
    ) -> None:
        self.workspace = workspace
        self.pool = pool
        self.method = method
        self.status = status
        self.outcome = outcome
        self.fault = fault
        self.duration_ms = duration_ms
        self.first_chunk_ms = first_chunk_ms
        self.gap_ms = gap_ms


class Telemetry(Protocol):
    """Records metrics."""

    def record_end(self, end: RequestEnd) -> None:
        """Counts a request that has ended."""

    def count(self, name: str, amount: int = 1) -> None:
        """Counts an event by its stable name."""

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge by its stable name."""


class NoTelemetry:
    """Discards all metrics; for tests and embedders with their own."""

    __slots__ = ()

    def record_end(self, end: RequestEnd) -> None:
        """Does nothing."""

    def count(self, name: str, amount: int = 1) -> None:
        """Does nothing."""

    def set_gauge(self, name: str, value: float) -> None:
        """Does nothing."""
