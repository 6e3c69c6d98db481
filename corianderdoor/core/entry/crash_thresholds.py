"""How many crashes it takes to quarantine a prompt part."""

from __future__ import annotations

from typing import Final

from ..records import Record

# Crashes nearer together than this count as one moment.
MOMENT_MS: Final = 1_000


class Threshold(Record):
    """Crashes, and moments with crashes, that quarantine a part.

    Attributes:
        crashes: Number of crashes.
        moments: Number of times, `MOMENT_MS` apart, at which they came.
    """

    __slots__ = ("crashes", "moments")

    def __init__(self, crashes: int, moments: int) -> None:
        self.crashes = crashes
        self.moments = moments


NEW_PART: Final = Threshold(3, 2)
# Many crashes at one moment, all of attempts that also had a part that was
# answered before.
NEW_PART_AT_ONCE: Final = Threshold(5, 1)
# A host that got no answers itself learns from its peers, a little later,
# which parts were answered.
UNINFORMED: Final = Threshold(3, 3)
# A part that was answered before is likely to be in use everywhere, and in
# progress on all servers when they go down together.
ANSWERED_PART: Final = Threshold(5, 3)


def count_moments(times: list[int]) -> int:
    """Returns the number of times that are `MOMENT_MS` apart."""
    count = 0
    last_ms: int | None = None
    for at_ms in sorted(times):
        if last_ms is None or at_ms - last_ms >= MOMENT_MS:
            count += 1
            last_ms = at_ms
    return count
