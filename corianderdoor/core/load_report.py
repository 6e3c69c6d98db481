"""Load reports of backend servers, which lag behind the actual load."""

from __future__ import annotations

from .records import Record


class LoadReport(Record):
    """A load report of a backend server.

    Attributes:
        server: Name of the server.
        incarnation: Start time in Unix ms; larger after each restart.
        uptime_ms: Time since its start, in ms.
        in_flight: Requests in progress.
        work: Tokens of the requests in progress.
        completed: Requests completed since its start.
        cached_tokens: Tokens in its prefix cache; None if not reported.
        leaving: Whether it refuses new work.
    """

    __slots__ = (
        "server",
        "incarnation",
        "uptime_ms",
        "in_flight",
        "work",
        "completed",
        "cached_tokens",
        "leaving",
    )

    def __init__(
        self,
        server: str,
        incarnation: int,
        uptime_ms: int = 0,
        in_flight: int = 0,
        work: int = 0,
        completed: int = 0,
        cached_tokens: int | None = None,
        leaving: bool = False,
    ) -> None:
        self.server = server
        self.incarnation = incarnation
        self.uptime_ms = uptime_ms
        self.in_flight = in_flight
        self.work = work
        self.completed = completed
        self.cached_tokens = cached_tokens
        self.leaving = leaving
