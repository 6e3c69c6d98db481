"""Limits per workspace, set by the rules."""

from __future__ import annotations

from typing import Final

from .clock import MS_PER_SECOND
from .errors import Fault, Kind
from .rules import Rule

CONCURRENCY_RETRY_MS: Final = 500


class Admission:
    """Counts each workspace's requests against its rule's limits.

    State is one entry for each (workspace, pool) with requests in progress
    or rate spent within the last second.
    """

    __slots__ = ("_active", "_tokens")

    def __init__(self) -> None:
        self._active: dict[tuple[str, str], int] = {}
        self._tokens: dict[tuple[str, str], tuple[float, int]] = {}

    def admit(self, workspace: str, rule: Rule, now_ms: int) -> Fault | None:
        """Takes room for one request, or returns why there is none.

        Args:
            workspace: The caller's workspace.
            rule: The rule that matched.
            now_ms: Monotonic time.
        """
        slot = (workspace, rule.pool)
        active = self._active.get(slot, 0)
        if rule.concurrency is not None and active >= rule.concurrency:
            return Fault(
                Kind.LIMITED,
                "admit",
                f"workspace {workspace} has {active} requests in progress",
                retry_after_ms=CONCURRENCY_RETRY_MS,
            )
        if rule.rate is not None:
            wait_ms = self._take_token(slot, rule.rate, now_ms)
            if wait_ms:
                return Fault(
                    Kind.LIMITED,
                    "admit",
                    f"workspace {workspace} is over {rule.rate} requests/s",
                    retry_after_ms=wait_ms,
                )
        self._active[slot] = active + 1
        return None

    def release(self, workspace: str, rule: Rule) -> None:
        """Returns the room of one request."""
        slot = (workspace, rule.pool)
        left = self._active.get(slot, 0) - 1
        if left > 0:
            self._active[slot] = left
        else:
            self._active.pop(slot, None)

    def tick(self, now_ms: int) -> None:
        """Forgets rates that have refilled; call about once a second."""
        self._tokens = {
            slot: (level, at_ms)
            for slot, (level, at_ms) in self._tokens.items()
            if now_ms - at_ms < MS_PER_SECOND
        }

    def _take_token(
        self, slot: tuple[str, str], rate: int, now_ms: int
    ) -> int:
        """Takes one token; returns 0, or ms until one is there."""
        level, at_ms = self._tokens.get(slot, (float(rate), now_ms))
        level = min(rate, level + (now_ms - at_ms) * rate / MS_PER_SECOND)
        if level >= 1:
            self._tokens[slot] = (level - 1, now_ms)
            return 0
        self._tokens[slot] = (level, now_ms)
        return max(1, round((1 - level) * MS_PER_SECOND / rate))
