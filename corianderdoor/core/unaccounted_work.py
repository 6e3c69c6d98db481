"""Work on a server beyond the permits that its home has given."""

from __future__ import annotations

import collections
from typing import Final

REPORT_LAG_MAX_MS: Final = 2_500


class OtherWork:
    """An amount that the server reports beyond what its home admitted.

    A report is older than the permits that it is compared with, by an
    unknown lag of at most `REPORT_LAG_MAX_MS`. After a takeover the amount
    can only shrink, and the lag is judged so that it is never too low.
    Otherwise the lag is judged so that the home's own work doesn't count
    twice.
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
            reported: What the server reports.
            own: What the home has admitted and not got back.
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
        """Takes the amount that the former home told."""
        self.amount = amount
        self.reported = True
        self._inherited = amount > 0
