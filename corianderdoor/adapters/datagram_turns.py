"""Handles datagrams in the turns of the event loop.

The event loop receives many datagrams in one turn, and any sender may send
as many as it likes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections import Counter, deque
from typing import Final

from ..core.entry.addresses import Address
from .work_turns import get_turns

# Steps of work that a datagram takes, and bytes of it that take one more.
DATAGRAM_STEPS: Final = 32
BYTES_PER_STEP: Final = 4
# Bounds of what waits: datagrams of one sender, and bytes of all.
MAX_WAITING: Final = 1_024
MAX_WAITING_BYTES: Final = 1_048_576

Handle = Callable[[bytes, Address], None]


class DatagramTurns:
    """Datagrams that wait for a turn, in the order of their arrival.

    Each sender has a share of the places, so that one that sends too much
    costs no other its datagrams.
    """

    __slots__ = (
        "_handle",
        "_on_dropped",
        "_waiting",
        "_by_sender",
        "_bytes",
        "_task",
    )

    def __init__(self, handle: Handle, on_dropped: Callable[[], None]) -> None:
        """Creates an empty queue.

        Args:
            handle: Handles a datagram of a sender.
            on_dropped: Called for each one that there is no room for.
        """
        self._handle = handle
        self._on_dropped = on_dropped
        self._waiting: deque[tuple[bytes, Address]] = deque()
        self._by_sender: Counter[Address] = Counter()
        self._bytes = 0
        self._task: asyncio.Task[None] | None = None

    def receive(self, data: bytes, sender: Address) -> None:
        """Handles a datagram, at once if this turn has time for it."""
        if not self._waiting and get_turns().try_take(_count_steps(data)):
            self._handle(data, sender)
            return
        own = self._by_sender[sender]
        # A part is kept for senders that have nothing there.
        most = MAX_WAITING_BYTES // (2 if own else 1)
        if own >= MAX_WAITING or self._bytes + len(data) > most:
            self._on_dropped()
            return
        self._waiting.append((data, sender))
        self._by_sender[sender] += 1
        self._bytes += len(data)
        if self._task is None:
            self._task = asyncio.ensure_future(self._handle_waiting())

    async def _handle_waiting(self) -> None:
        try:
            while self._waiting:
                await get_turns().take(_count_steps(self._waiting[0][0]))
                data, sender = self._waiting.popleft()
                self._bytes -= len(data)
                self._by_sender[sender] -= 1
                if not self._by_sender[sender]:
                    del self._by_sender[sender]
                self._handle(data, sender)
        finally:
            self._task = None


def _count_steps(data: bytes) -> int:
    return DATAGRAM_STEPS + len(data) // BYTES_PER_STEP
