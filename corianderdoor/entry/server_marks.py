"""Acts on what backend servers say of themselves in their answers."""

from __future__ import annotations

from collections.abc import Callable

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.ignored_marks import IgnoredMarks
from ..core.entry.planner import Planner
from ..core.entry.servers import BackendServer
from ..platform.answer_head import AnswerHead
from .backends import ConnectionPool


class ServerMarks:
    """Passes the marks in servers' answers on to the planner and the pool."""

    __slots__ = ("_planner", "_pool", "_clock", "_on_leaving", "_ignored")

    def __init__(
        self,
        planner: Planner,
        pool: ConnectionPool,
        clock: Clock,
        on_leaving: Callable[[], None],
    ) -> None:
        """Initializes the object.

        Args:
            planner: Decides by the marks.
            pool: Its idle connections to servers that leave are closed.
            clock: The clock.
            on_leaving: Called when this host is the first to know that a
                server leaves, so that its peers are to be told.
        """
        self._planner = planner
        self._pool = pool
        self._clock = clock
        self._on_leaving = on_leaving
        self._ignored = IgnoredMarks()

    def observe(self, server: BackendServer, head: AnswerHead) -> None:
        """Records the marks in an answer, to whichever request.

        Args:
            server: Server that the answer was read from.
            head: Head of the answer.
        """
        now_ms = self._clock.now_ms()
        for kind in head.ignored_marks:
            self.record_ignored(server.id, kind)
        if head.wrong_server:
            return
        if head.leaving:
            self._record_leaving(server, now_ms)
        restarts = self._planner.restarts
        is_next = restarts.proofs.may_be_next(
            server.id, now_ms
        ) and not restarts.proves_version(server.id)
        if self._planner.pauses.record(server, head.pause_ms, now_ms, is_next):
            log_event(
                "server_paused", server=server.id, pause_ms=head.pause_ms
            )
            self._planner.counters.add("server_pauses")

    def record_ignored(self, server_id: str, kind: str) -> None:
        """Counts a header that can't be used, and logs some of them.

        Args:
            server_id: Server that sent it; empty for a caller.
            kind: Kind of the header.
        """
        now_ms = self._clock.now_ms()
        self._planner.counters.add("ignored_marks", mark=kind)
        count = self._ignored.record(kind, now_ms)
        if count:
            log_event(
                "mark_ignored",
                "WARNING",
                mark=kind,
                server=server_id,
                count=count,
            )

    def _record_leaving(self, server: BackendServer, now_ms: int) -> None:
        if self._planner.leaving.record(server, now_ms):
            log_event("server_leaving", server=server.id, source="server")
            self._planner.counters.add("leaving_servers", source="server")
            self._on_leaving()
        self._pool.close_idle(server.id)

    def close_idle(self) -> None:
        """Closes the idle connections to listed servers that leave."""
        for server in self._planner.servers.all():
            if self._planner.leaving.includes(server):
                self._pool.close_idle(server.id)
