"""Bounds the work that one turn of the event loop does, and shares it.

What arrives at once may hold any number of events, chunks or requests, each
of which takes time. A turn of the event loop handles a bounded number of
them, over all connections; the rest waits for the next turns, in the order
in which it came.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final
import weakref

# A step is a piece of work of about one microsecond.
STEPS_PER_TURN: Final = 1_024


class WorkTurns:
    """Steps of work that the turns of an event loop may do.

    A connection asks before each slice of its work and has one slice at most
    in the queue, so that a connection with much to do gets no more turns
    than another. Steps that a turn does not use are left for later ones, up
    to those of one turn, so that light work costs no callback.
    """

    __slots__ = ("_loop", "_left", "_waiting")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        # `_renew` runs in the next turn whenever none is left.
        self._left = STEPS_PER_TURN
        self._waiting: deque[tuple[asyncio.Future[None], int]] = deque()

    def try_take(self, steps: int) -> bool:
        """Returns whether this turn has time for a slice of work.

        Args:
            steps: Size of the slice. The last slice of a turn may exceed
                what is left.
        """
        if self._left <= 0:
            return False
        self._left -= steps
        if self._left <= 0:
            self._loop.call_soon(self._renew)
        return True

    async def take(self, steps: int) -> None:
        """Waits for a turn that has time for a slice of work."""
        if self.try_take(steps):
            return
        fut = self._loop.create_future()
        self._waiting.append((fut, steps))
        await fut

    def _renew(self) -> None:
        """Begins a turn with those that wait for it."""
        self._left = STEPS_PER_TURN
        while self._waiting and self._left > 0:
            fut, steps = self._waiting.popleft()
            if not fut.done():
                self._left -= steps
                fut.set_result(None)
        if self._left <= 0:
            self._loop.call_soon(self._renew)


_turns: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, WorkTurns] = (
    weakref.WeakKeyDictionary()
)


def get_turns() -> WorkTurns:
    """Returns the turns of the running event loop."""
    loop = asyncio.get_running_loop()
    turns = _turns.get(loop)
    if turns is None:
        turns = _turns[loop] = WorkTurns(loop)
    return turns
