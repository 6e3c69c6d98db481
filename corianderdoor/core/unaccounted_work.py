"""Work on a server beyond the permits that its home has granted."""

from __future__ import annotations

import collections
from typing import Final

REPORT_LAG_MAX_MS: Final = 2_500


class UnaccountedWork:
    """An amount that the server reports beyond what its home admitted.

    A report lags behind the permits that it is compared with, by an unknown
    time of at most `REPORT_LAG_MAX_MS`. After a takeover the amount can only
    shrink, and the home's lowest own amount within that time is subtracted,
    so that the result is never too low. Otherwise its highest own amount is
    subtracted, so that the home's own work is not counted twice.
    """

    __slots__ = ("amount", "reported", "_own", "_inherited")

    def __init__(self, inherited: bool) -> None:
        self.amount = 0
        self.reported = False
        self._own: collections.deque[tuple[int, int]] = collections.deque()
        self._inherited = inherited

    def apply_report(self, reported: int, own: int, now_ms: int) -> None:
        """Compares a reported amount with the home's own.

        Args:
            reported: The amount that the server reports.
            own: The amount of the permits in force at the home.
            now_ms: Monotonic time.
        """
        self._own.append((now_ms, own))
        while now_ms - self._own[0][0] > REPORT_LAG_MAX_MS:
            self._own.popleft()
        amounts = [amount for _, amount in self._own]
        if not self._inherited:
            self.amount = max(0, reported - max(amounts))
            return
        amount = max(0, reported - min(amounts))
        self.amount = min(self.amount, amount) if self.reported else amount
        self.reported = True
        self._inherited = self.amount > 0

    def inherit(self, amount: int) -> None:
        """Sets the amount that the former home reported."""
        self.amount = amount
        self.reported = True
        self._inherited = amount > 0
