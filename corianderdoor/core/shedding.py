"""Load shedding by priority and by workspace.

The home router of a backend server sees all of that server's work, so what
it sheds there is decided for the whole fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import Final

from .clock import MS_PER_SECOND
from .rules import Priority

# Shares of the concurrency limit from which each priority is shed.
FILL_LIMITS: Final = {
    Priority.CRITICAL: 1.0,
    Priority.HIGH: 0.95,
    Priority.NORMAL: 0.9,
    Priority.LOW: 0.75,
}
FAIR_SHARE_THRESHOLD: Final = 0.6
SHARE_HALF_LIFE_MS: Final = 30 * 60 * MS_PER_SECOND
SHARE_SLACK: Final = 1.25
MIN_SHARE: Final = 0.02
EVICT_BELOW_SHARE: Final = 0.0001
ACTIVE_WINDOW_MS: Final = 10 * MS_PER_SECOND


class WorkspaceShares:
    """Moving average of each workspace's share of a pool's requests.

    Workspaces are identified by a number, such as a hash of their name.

    A workspace surges when its work exceeds its own customary share, so a
    large workspace is not penalised for its size. State is one number for
    each workspace seen within some hours.
    """

    __slots__ = ("_shares", "_at_ms", "_seen_ms", "_active")

    def __init__(self, now_ms: int) -> None:
        self._shares: dict[int, float] = {}
        self._at_ms = now_ms
        self._seen_ms: dict[int, int] = {}
        self._active: dict[int, float] = {}

    def observe(self, usage: dict[int, int], now_ms: int) -> None:
        """Merges a sample of the requests in progress by workspace.

        Args:
            usage: Requests in progress by workspace.
            now_ms: Monotonic time; call about once a second.
        """
        total = sum(usage.values())
        if not total:
            return
        decay = 0.5 ** ((now_ms - self._at_ms) / SHARE_HALF_LIFE_MS)
        self._at_ms = now_ms
        shares = {name: share * decay for name, share in self._shares.items()}
        for name, work in usage.items():
            shares[name] = shares.get(name, 0.0) + (1 - decay) * work / total
            self._seen_ms[name] = now_ms
        self._shares = {
            name: share
            for name, share in shares.items()
            if share > EVICT_BELOW_SHARE
        }
        self._update_active(now_ms)

    def share(self, workspace: int) -> float:
        """Returns the customary share of `workspace`, with a minimum."""
        known = sum(self._shares.values()) or 1.0
        return max(MIN_SHARE, self._shares.get(workspace, 0.0) / known)

    def share_of_others(self, workspace: int, present: Iterable[int]) -> float:
        """Returns the sum of the shares of the other active workspaces.

        A workspace is active if it had requests in the pool within
        `ACTIVE_WINDOW_MS`, even if it has none at the moment, or if it is
        in `present`.
        """
        active = self._active
        others = sum(active.values()) - active.get(workspace, 0.0)
        new = sum(name not in active and name != workspace for name in present)
        return others + new * MIN_SHARE

    def _update_active(self, now_ms: int) -> None:
        known = sum(self._shares.values()) or 1.0
        self._seen_ms = {
            name: at_ms
            for name, at_ms in self._seen_ms.items()
            if now_ms - at_ms <= ACTIVE_WINDOW_MS
        }
        self._active = {
            name: self._shares.get(name, 0.0) / known for name in self._seen_ms
        }


class Shedder:
    """Decides which requests one backend server sheds as it fills up.

    Below `FAIR_SHARE_THRESHOLD` of the limit, nothing is shed. Above it, a
    workspace over its fair share is shed, so that the rest of the limit
    stays free for the others, and each priority is shed from its own fill
    level on.
    """

    __slots__ = ("_shares", "_usage")

    def __init__(self, shares: WorkspaceShares) -> None:
        self._shares = shares
        self._usage: dict[int, int] = {}

    @property
    def usage(self) -> dict[int, int]:
        """Requests in progress by workspace."""
        return self._usage

    def should_shed(
        self, workspace: int, priority: Priority, total: int, limit: int
    ) -> bool:
        """Returns whether one more request of `workspace` is shed.

        Args:
            workspace: The workspace of the request.
            priority: The priority of the request.
            total: Requests in progress at the server, of all workspaces.
            limit: Concurrency limit of the server.
        """
        if not total:
            return False
        if total >= math.ceil(limit * FILL_LIMITS[priority]):
            return True
        if total < limit * FAIR_SHARE_THRESHOLD:
            return False
        used = self._usage.get(workspace, 0)
        return used > 0 and used >= self._fair_share(workspace, limit)

    def admit(self, workspace: int) -> None:
        """Counts an admitted request."""
        self._usage[workspace] = self._usage.get(workspace, 0) + 1

    def release(self, workspace: int) -> None:
        """Counts the end of a request."""
        left = self._usage.get(workspace, 0) - 1
        if left > 0:
            self._usage[workspace] = left
        else:
            self._usage.pop(workspace, None)

    def _fair_share(self, workspace: int, limit: int) -> float:
        own = self._shares.share(workspace)
        others = self._shares.share_of_others(workspace, self._usage)
        return limit * min(1.0, SHARE_SLACK * own / (own + others))
