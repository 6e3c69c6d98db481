"""Early refusal under overload, by priority and by workspace.

The router that admits work to a backend server sees all of that server's
work, so a rule that it applies there holds for the whole fleet.
"""

from __future__ import annotations

from typing import Final

from .clock import MS_PER_SECOND
from .errors import Fault, Kind
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
FORGET_SHARE: Final = 0.0005
SHED_RETRY_MS: Final = 1_000


class Habits:
    """The customary share of each workspace in a pool's work.

    A large workspace is not punished for being large: what counts as a
    surge is work above its own customary share. State is one number for
    each workspace seen within some hours.
    """

    __slots__ = ("_shares", "_at_ms")

    def __init__(self, now_ms: int) -> None:
        self._shares: dict[str, float] = {}
        self._at_ms = now_ms

    def observe(self, usage: dict[str, int], now_ms: int) -> None:
        """Takes a sample of the work in progress by workspace.

        Args:
            usage: Work in progress by workspace.
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
        self._shares = {
            name: share
            for name, share in shares.items()
            if share > FORGET_SHARE
        }

    def weight(self, workspace: str) -> float:
        """Returns the share on which `workspace` may count."""
        return max(FLOOR_SHARE, self._shares.get(workspace, 0.0))


class Shedder:
    """Decides what one backend server takes when it fills up.

    Below `FAIR_FROM` of the limit everything is taken. Above it, a
    workspace over its fair part is refused, so the rest of the room stays
    free for the others; and each priority has a fill level from which it
    is refused.
    """

    __slots__ = ("_habits", "_usage", "_total")

    def __init__(self, habits: Habits) -> None:
        self._habits = habits
        self._usage: dict[str, int] = {}
        self._total = 0

    @property
    def usage(self) -> dict[str, int]:
        """Work in progress by workspace."""
        return self._usage

    @property
    def total(self) -> int:
        """Work in progress of all workspaces."""
        return self._total

    def admit(
        self, workspace: str, priority: Priority, weight: int, limit: int
    ) -> Fault | None:
        """Takes room for `weight`, or returns why there is none.

        Args:
            workspace: Whose work it is.
            priority: How late it is shed.
            weight: The work, in the unit of `limit`.
            limit: What the server bears at once.
        """
        after = self._total + weight
        if self._total and after > limit * FULL_BY_PRIORITY[priority]:
            return _refuse(f"no room for priority {priority.name.lower()}")
        used = self._usage.get(workspace, 0)
        over_share = used and used + weight > self._fair_part(workspace, limit)
        if after > limit * FAIR_FROM and over_share:
            return _refuse(f"workspace {workspace} is over its fair part")
        self._usage[workspace] = used + weight
        self._total = after
        return None

    def release(self, workspace: str, weight: int) -> None:
        """Returns the room that `admit` took."""
        used = min(weight, self._usage.get(workspace, 0))
        self._total -= used
        left = self._usage.get(workspace, 0) - used
        if left:
            self._usage[workspace] = left
        else:
            self._usage.pop(workspace, None)

    def _fair_part(self, workspace: str, limit: int) -> float:
        own = self._habits.weight(workspace)
        others = sum(
            self._habits.weight(name)
            for name in self._usage
            if name != workspace
        )
        return limit * min(1.0, SHARE_SLACK * own / (own + others))


def _refuse(detail: str) -> Fault:
    return Fault(Kind.OVERLOADED, "shed", detail, retry_after_ms=SHED_RETRY_MS)
