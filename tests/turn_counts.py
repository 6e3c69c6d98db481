"""Counts what the turns of an event loop do."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any


class TurnCounts:
    """Calls by turn of the event loop.

    Attributes:
        turn: Number of the present turn.
        calls: Calls of the counted functions in each turn.
    """

    __slots__ = ("turn", "calls")

    def __init__(self) -> None:
        self.turn = 0
        self.calls: Counter[int] = Counter()

    @property
    def most(self) -> int:
        """Highest number of calls in one turn."""
        return max(self.calls.values(), default=0)

    def count(self, function: Callable[..., Any]) -> Callable[..., Any]:
        """Returns `function`, whose calls are counted from now on."""

        def counted(*args: Any, **kwargs: Any) -> Any:
            self.calls[self.turn] += 1
            return function(*args, **kwargs)

        return counted


@asynccontextmanager
async def count_turns() -> AsyncIterator[TurnCounts]:
    """Counts the turns of the running event loop."""
    counts = TurnCounts()

    async def tick() -> None:
        while True:
            counts.turn += 1
            await asyncio.sleep(0)

    ticks = asyncio.ensure_future(tick())
    try:
        yield counts
    finally:
        ticks.cancel()
