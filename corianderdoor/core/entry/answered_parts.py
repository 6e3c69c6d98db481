"""When prompt parts were last answered by any backend server."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

# A part takes about 200 bytes; the least recently answered are dropped.
MAX_PARTS: Final = 10_000
# An answer that is newer than what peers know by this much is worth telling.
TELL_AFTER_MS: Final = 1_000
# Time of a part without an answer.
NEVER_MS: Final = -(2**62)


class AnsweredParts:
    """The last answer for each of the last `MAX_PARTS` prompt parts.

    Attributes:
        has_own: Whether this host got any answer itself.
    """

    __slots__ = ("has_own", "_answered", "_told")

    def __init__(self) -> None:
        self.has_own = False
        self._answered: OrderedDict[int, int] = OrderedDict()
        # The newest answers that peers were told of, or told of themselves.
        self._told: dict[int, int] = {}

    def record(self, part: int, at_ms: int) -> None:
        """Records an answer of this host that began at `at_ms`."""
        self.has_own = True
        self.add(part, at_ms)

    def add(self, part: int, at_ms: int) -> None:
        """Records an answer that began at `at_ms`."""
        if at_ms > self._answered.get(part, NEVER_MS):
            self._answered[part] = at_ms
        self._answered.move_to_end(part)
        while len(self._answered) > MAX_PARTS:
            dropped, _ = self._answered.popitem(last=False)
            self._told.pop(dropped, None)

    def merge(self, part: int, at_ms: int) -> None:
        """Records an answer that a peer told of."""
        self.add(part, at_ms)
        self._told[part] = max(at_ms, self._told.get(part, NEVER_MS))

    def last_ms(self, part: int) -> int:
        """Returns when the last answer began; `NEVER_MS` without one."""
        return self._answered.get(part, NEVER_MS)

    def take_untold(self, part: int) -> int | None:
        """Returns the last answer if peers are to be told of it.

        It then counts as told.
        """
        at_ms = self.last_ms(part)
        if at_ms - self._told.get(part, NEVER_MS) < TELL_AFTER_MS:
            return None
        self._told[part] = at_ms
        return at_ms
