"""Bounds the memory that the answers of servers take together.

Answers that are held until they are complete have a bound each, but a faulty
server may send many without an end at once.
"""

from __future__ import annotations

from typing import Final

BYTES_PER_MB: Final = 1_000_000
# Share of the process's memory for bytes of answers. They may exist two more
# times while an answer goes out.
MEMORY_SHARE: Final = 0.125
# Memory of a process whose settings name none.
DEFAULT_MEMORY_MB: Final = 300.0


class AnswerMemory:
    """Bytes of answers that this host holds, over all requests.

    One answer may take as much as is still free. The more there are, the less
    each may take, so that short answers find room beside endless ones.

    Attributes:
        held: Number of bytes held.
        limit: Number of bytes that may be held.
    """

    __slots__ = ("held", "limit")

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB) -> None:
        """Initializes the object.

        Args:
            memory_mb: Memory that the process may take; 0 if unknown.
        """
        self.held = 0
        memory_mb = memory_mb or DEFAULT_MEMORY_MB
        self.limit = int(memory_mb * BYTES_PER_MB * MEMORY_SHARE)

    def open(self) -> HeldAnswers:
        """Returns an account for the answers to one request."""
        return HeldAnswers(self)


class HeldAnswers:
    """Bytes of the answers to one request.

    Attributes:
        held: Number of bytes held.
    """

    __slots__ = ("held", "_memory", "_event_bytes")

    def __init__(self, memory: AnswerMemory) -> None:
        self.held = 0
        self._memory = memory
        # Part of an event of a stream, which is held until it is complete.
        self._event_bytes = 0

    def add(self, count: int) -> bool:
        """Adds bytes that are held until `release`.

        Returns:
            False if they are too many; the answer has to be given up.
        """
        self.held += count
        self._memory.held += count
        return self.held <= max(0, self._memory.limit - self._memory.held)

    def set_event(self, count: int) -> bool:
        """Sets the size of the incomplete event; returns as `add` does."""
        added, self._event_bytes = count - self._event_bytes, count
        fits = self.add(added)
        return fits or not count

    def release(self) -> None:
        """Records that nothing is held any longer."""
        self._memory.held -= self.held
        self.held = self._event_bytes = 0
