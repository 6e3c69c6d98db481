"""Limits that backend servers in need name for the rate of all requests."""

from __future__ import annotations

import enum

from ..records import Record


class LimitChange(enum.Enum):
    """What an answer or a report changed about a server's limit."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


class StatedLimit(Record):
    """What the head of an answer says about its server's limit.

    Attributes:
        per_s: Requests per second that the server takes from all hosts
            together; None if it states none, or an invalid one.
        is_absent: Whether the answer does not speak of a limit at all.
    """

    __slots__ = ("per_s", "is_absent")

    def __init__(self, per_s: float | None, is_absent: bool) -> None:
        self.per_s = per_s
        self.is_absent = is_absent


class _Limit:
    __slots__ = ("per_s", "stated_ms")

    def __init__(self, per_s: float, stated_ms: int) -> None:
        self.per_s = per_s
        self.stated_ms = stated_ms


class ServerLimits:
    """The limits in force, at most one for each listed server."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}

    def record_answer(
        self, server_id: str, stated: StatedLimit, sent_ms: int, now_ms: int
    ) -> LimitChange | None:
        """Records what an answer says.

        A limit ends with an answer without one, to a request that was sent
        after the limit was stated last.

        Args:
            server_id: Id of the server.
            stated: What the head of its answer says.
            sent_ms: When the request was sent.
            now_ms: Monotonic time in ms.
        """
        limit = self._limits.get(server_id)
        if stated.per_s is not None:
            return self._set(server_id, stated.per_s, now_ms)
        if limit is None or not stated.is_absent or sent_ms < limit.stated_ms:
            return None
        del self._limits[server_id]
        return LimitChange.ENDED

    def _set(
        self, server_id: str, per_s: float, now_ms: int
    ) -> LimitChange | None:
        limit = self._limits.get(server_id)
        if limit is None:
            self._limits[server_id] = _Limit(per_s, now_ms)
            return LimitChange.NAMED
        changed = limit.per_s != per_s
        limit.per_s = per_s
        limit.stated_ms = now_ms
        return LimitChange.CHANGED if changed else None

    def per_s(self, server_id: str) -> float | None:
        """Returns the limit of a server; None without one."""
        limit = self._limits.get(server_id)
        return None if limit is None else limit.per_s

    def count(self) -> int:
        """Returns the number of servers with a limit."""
        return len(self._limits)

    def remove(self, server_id: str) -> None:
        """Drops the limit of a server that has started anew."""
        self._limits.pop(server_id, None)

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the limits of all servers but `ids`."""
        for name in self._limits.keys() - ids:
            del self._limits[name]
