"""Early refusal under overload, by priority and by workspace.

The router that admits work to a backend server sees all of that server's
work, so a rule that it applies there holds for the whole fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import Final

from .clock import MS_PER_SECOND
from .rules import Priority

FULL_BY_PRIORITY: Final = {
    Priority.CRITICAL: 1.0,
    Priority.HIGH: 0.95,
    Priority.NORMAL: 0.9,
    Priority.LOW: 0.75,
}
FAIR_FROM: Final = 0.6
HABIT_HALF_LIFE_MS: Final = 30 * 60 * MS_PER_SECOND
SHARE_SLACK: Final = 1.25
FLOOR_SHARE: Final = 0.02
FORGET_SHARE: Final = 0.0001
ACTIVE_MS: Final = 10 * MS_PER_SECOND


class Habits:
    """The customary share of each workspace in a pool's requests.

    Workspaces go by a number, such as a hash of their name.

    A large workspace is not punished for being large: what counts as a
    surge is work above its own customary share. State is one number for
    each workspace seen within some hours.
    """

    __slots__ = ("_shares", "_at_ms", "_seen_ms", "_active")

    def __init__(self, now_ms: int) -> None:
        self._shares: dict[int, float] = {}
        self._at_ms = now_ms
        self._seen_ms: dict[int, int] = {}
        self._active: dict[int, float] = {}

    def observe(self, usage: dict[int, int], now_ms: int) -> None:
        """Takes a sample of the requests in progress by workspace.

        Args:
            usage: Requests in progress by workspace.
            now_ms: Monotonic time; call about once a second.
        """
        total = sum(usage.values())
        if not total:
            return
        keep = 0.5 ** ((now_ms - self._at_ms) / HABIT_HALF_LIFE_MS)
        self._at_ms = now_ms
        shares = {name: share * keep for name, share in self._shares.items()}
        for name, work in usage.items():
            shares[name] = shares.get(name, 0.0) + (1 - keep) * work / total
            self._seen_ms[name] = now_ms
        self._shares = {
            name: share
            for name, share in shares.items()
            if share > FORGET_SHARE
        }
        self._find_active(now_ms)

    def weight(self, workspace: int) -> float:
        """Returns the share on which `workspace` may count."""
        known = sum(self._shares.values()) or 1.0
        return max(FLOOR_SHARE, self._shares.get(workspace, 0.0) / known)

    def weight_of_others(
        self, workspace: int, present: Iterable[int]
    ) -> float:
        """Returns the shares of the other workspaces that count now.

        Those count that had work in the pool within `ACTIVE_MS`, also if
        they have none at this moment, and those that are present.
        """
        active = self._active
        others = sum(active.values()) - active.get(workspace, 0.0)
        new = sum(name not in active and name != workspace for name in present)
        return others + new * FLOOR_SHARE

    def _find_active(self, now_ms: int) -> None:
        known = sum(self._shares.values()) or 1.0
        self._seen_ms = {
            name: at_ms
            for name, at_ms in self._seen_ms.items()
            if now_ms - at_ms <= ACTIVE_MS
        }
        self._active = {
            name: self._shares.get(name, 0.0) / known for name in self._seen_ms
        }


class Shedder:
    """Decides what one backend server takes when it fills up.

    Below `FAIR_FROM` of the limit everything is taken. Above it, a
    workspace over its fair part is refused, so the rest of the room stays
    free for the others; and each priority has a fill level from which it
    is refused.
    """

    __slots__ = ("_habits", "_usage")

    def __init__(self, habits: Habits) -> None:
        self._habits = habits
        self._usage: dict[int, int] = {}

    @property
    def usage(self) -> dict[int, int]:
        """Requests in progress by workspace."""
        return self._usage

    def refuses(
        self, workspace: int, priority: Priority, total: int, limit: int
    ) -> bool:
        """Tells whether one more request of `workspace` is shed.

        Args:
            workspace: Whose request it is.
            priority: How late it is shed.
            total: Requests in progress at the server, of all workspaces.
            limit: Requests that the server bears at once.
        """
        if not total:
            return False
        if total >= math.ceil(limit * FULL_BY_PRIORITY[priority]):
            return True
        if total < limit * FAIR_FROM:
            return False
        used = self._usage.get(workspace, 0)
        return used > 0 and used >= self._fair_part(workspace, limit)

    def take(self, workspace: int) -> None:
        """Counts a request that was let in."""
        self._usage[workspace] = self._usage.get(workspace, 0) + 1

    def release(self, workspace: int) -> None:
        """Counts a request that has ended."""
        left = self._usage.get(workspace, 0) - 1
        if left > 0:
            self._usage[workspace] = left
        else:
            self._usage.pop(workspace, None)

    def _fair_part(self, workspace: int, limit: int) -> float:
        own = self._habits.weight(workspace)
        others = self._habits.weight_of_others(workspace, self._usage)
        return limit * min(1.0, SHARE_SLACK * own / (own + others))
