"""Limits that backend servers in need name for the rate of all requests.

The rate is split over the hosts that serve callers, without a message on the
way of a request. Hosts tell each other which limits are in force.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
import enum
from typing import Final

from ..clock import MS_PER_SECOND
from ..records import Record
from .active_hosts import rank_host
from .servers import BackendServer, digest_id, Servers
from .windows import SAFE_SHARE

# A server bears so many requests more than its limit in a span, as a share of
# what the limit allows and as a number. All hosts together may send as many
# at once.
BURST_SHARE: Final = 0.5
BURST_SPAN_MS: Final = 4_000
BURST_REQUESTS: Final = 5
# A share is due at least this often, so that the end of a limit is noticed:
# of a lower rate, a single host sends one request in this time.
MAX_SHARE_INTERVAL_MS: Final = 10_000
# What a host may save up, in time at its share of the rate.
SAVED_MS: Final = 1_000
# How long an answer without a limit is told to peers.
ENDED_TTL_MS: Final = 10_000
# Interval at which a limit is told again, and limits in one heartbeat.
REPEAT_MS: Final = 1_000
MAX_REPORTS: Final = 16
# Time before the first report.
NEVER_MS: Final = -(2**62)
# How much later than known a reported answer must have come to count.
SAME_ANSWER_MS: Final = 200


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


class LimitReport(Record):
    """What a host tells its peers about the limit of a server.

    Attributes:
        server: Digest of the server's id.
        per_s: The limit; None if it has ended.
        age_ms: Time since the answer that said so.
    """

    __slots__ = ("server", "per_s", "age_ms")

    def __init__(self, server: int, per_s: float | None, age_ms: int) -> None:
        self.server = server
        self.per_s = per_s
        self.age_ms = age_ms


class _Limit:
    """The limit of one server, and what this host may send there.

    Attributes:
        per_s: The limit; None if it has ended.
        stated_ms: When the newest answer that says so arrived.
        tokens: Requests that this host may send now.
        filled_ms: When `tokens` was computed.
        told_ms: When this host or a peer last told of it.
    """

    __slots__ = ("per_s", "stated_ms", "tokens", "filled_ms", "told_ms")

    def __init__(self, per_s: float | None, now_ms: int) -> None:
        self.per_s = per_s
        self.stated_ms = now_ms
        self.tokens = 1.0
        self.filled_ms = now_ms
        self.told_ms = NEVER_MS


class ServerLimits:
    """The limits in force, at most one for each listed server.

    Attributes:
        hosts: Names of the hosts that share the limits: those that serve
            callers.
    """

    __slots__ = ("hosts", "_name", "_servers", "_limits")

    def __init__(self, name: str, servers: Servers) -> None:
        """Creates the limits known to the host `name`, none at first.

        Args:
            name: Name of this host.
            servers: The listed servers.
        """
        self.hosts: Sequence[str] = [name]
        self._name = name
        self._servers = servers
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
        if stated.per_s is not None:
            return self._set(server_id, stated.per_s, now_ms, now_ms)
        limit = self._limits.get(server_id)
        if limit is None or not stated.is_absent or sent_ms < limit.stated_ms:
            return None
        return self._set(server_id, None, now_ms, now_ms)

    def _set(
        self, server_id: str, per_s: float | None, at_ms: int, now_ms: int
    ) -> LimitChange | None:
        limit = self._limits.get(server_id)
        if limit is None:
            limit = self._limits[server_id] = _Limit(per_s, now_ms)
            limit.stated_ms = at_ms
            return None if per_s is None else LimitChange.NAMED
        limit.stated_ms = max(at_ms, limit.stated_ms)
        if limit.per_s == per_s:
            return None
        was_named = limit.per_s is not None
        self._fill(server_id, limit, now_ms)
        limit.per_s = per_s
        limit.told_ms = NEVER_MS
        if per_s is None:
            return LimitChange.ENDED
        return LimitChange.CHANGED if was_named else LimitChange.NAMED

    def _share(self, server_id: str, per_s: float) -> tuple[float, float]:
        """Returns what this host may send.

        The first hosts of an order share the limit, so many that each may
        send one request at any time without too many at once.

        Returns:
            Requests per ms, and how many the host may save up.
        """
        per_s = max(per_s, MS_PER_SECOND / MAX_SHARE_INTERVAL_MS)
        burst: float = BURST_REQUESTS
        burst += BURST_SHARE * per_s * BURST_SPAN_MS / MS_PER_SECOND
        most = int(per_s * MAX_SHARE_INTERVAL_MS / MS_PER_SECOND)
        count = min(len(self.hosts), int(burst * SAFE_SHARE), most)
        own = rank_host(f"{server_id} {self._name}")
        rank = sum(rank_host(f"{server_id} {h}") < own for h in self.hosts)
        if rank >= count or self._name not in self.hosts:
            return 0.0, 0.0
        per_ms = per_s / count / MS_PER_SECOND
        return per_ms, max(1.0, per_ms * SAVED_MS)

    def _fill(self, server_id: str, limit: _Limit, now_ms: int) -> float:
        """Adds the tokens since the last time; returns the rate per ms."""
        per_ms, most = self._share(server_id, limit.per_s or 0.0)
        passed_ms = max(0, now_ms - limit.filled_ms)
        limit.tokens = min(most, limit.tokens + per_ms * passed_ms)
        limit.filled_ms = now_ms
        return per_ms

    def filter(
        self, servers: list[BackendServer], now_ms: int
    ) -> list[BackendServer]:
        """Returns the servers to which this host may send a request now."""
        if not self._limits:
            return servers
        return [s for s in servers if self._wait_ms(s.id, now_ms) == 0]

    def wait_ms(
        self, servers: Iterable[BackendServer], now_ms: int
    ) -> int | None:
        """Returns when the first of `servers` takes a request of this host.

        Returns:
            The time in ms; None if it is not known, as other hosts share
            the limits of all of them.
        """
        waits = [self._wait_ms(server.id, now_ms) for server in servers]
        return min((wait for wait in waits if wait is not None), default=None)

    def _wait_ms(self, server_id: str, now_ms: int) -> int | None:
        limit = self._limits.get(server_id)
        if limit is None or limit.per_s is None:
            return 0
        per_ms = self._fill(server_id, limit, now_ms)
        if limit.tokens >= 1:
            return 0
        if per_ms <= 0:
            return None
        return int((1 - limit.tokens) / per_ms) + 1

    def take(self, server_id: str, now_ms: int) -> None:
        """Records a request that is about to be sent to a server."""
        limit = self._limits.get(server_id)
        if limit is not None and limit.per_s is not None:
            self._fill(server_id, limit, now_ms)
            limit.tokens -= 1

    def per_s(self, server_id: str) -> float | None:
        """Returns the limit of a server; None without one."""
        limit = self._limits.get(server_id)
        return None if limit is None else limit.per_s

    def count(self) -> int:
        """Returns the number of servers with a limit."""
        return sum(one.per_s is not None for one in self._limits.values())

    def take_reports(self, now_ms: int) -> list[LimitReport]:
        """Returns what peers are to be told, longest untold first."""
        due = [
            (limit.told_ms, server_id)
            for server_id, limit in self._limits.items()
            if now_ms - limit.told_ms >= REPEAT_MS
        ]
        reports = []
        for _, server_id in sorted(due)[:MAX_REPORTS]:
            limit = self._limits[server_id]
            limit.told_ms = now_ms
            age_ms = max(0, now_ms - limit.stated_ms)
            reports.append(
                LimitReport(digest_id(server_id), limit.per_s, age_ms)
            )
        return reports

    def merge(
        self, reports: Iterable[LimitReport], now_ms: int
    ) -> list[tuple[str, LimitChange]]:
        """Adds the reports of a peer.

        Returns:
            The ids of servers with what changed.
        """
        changes = []
        for report in reports:
            server_id = self._servers.find(report.server)
            if server_id is None:
                continue
            at_ms = now_ms - report.age_ms
            limit = self._limits.get(server_id)
            if limit is not None and limit.per_s == report.per_s:
                limit.told_ms = now_ms
            if limit is not None and at_ms - limit.stated_ms < SAME_ANSWER_MS:
                continue
            change = self._set(server_id, report.per_s, at_ms, now_ms)
            self._limits[server_id].told_ms = now_ms
            if change is not None:
                changes.append((server_id, change))
        return changes

    def remove(self, server_id: str) -> None:
        """Drops the limit of a server that has started anew."""
        self._limits.pop(server_id, None)

    def tick(self, ids: frozenset[str], now_ms: int) -> None:
        """Drops the limits of servers that are gone, and those that ended.

        Args:
            ids: Ids of the listed servers.
            now_ms: Monotonic time in ms.
        """
        for server_id, limit in list(self._limits.items()):
            ended = limit.per_s is None
            if server_id not in ids or (
                ended and now_ms - limit.stated_ms >= ENDED_TTL_MS
            ):
                del self._limits[server_id]
