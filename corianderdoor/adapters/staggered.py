"""Attempts that start one after the other until one succeeds."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import anyio

from ..core.clock import MS_PER_SECOND
from .http1 import H11Protocol
from .logs import log_event


class Attempt:
    """One way to open a connection.

    Attributes:
        delay_ms: When it starts, counted from the start of the first one; it
            starts at once when the attempt before it has failed.
        open: Opens the connection; returns None if that fails.
    """

    __slots__ = ("delay_ms", "open")

    def __init__(
        self, delay_ms: int, open: Callable[[], Awaitable[H11Protocol | None]]
    ) -> None:
        self.delay_ms = delay_ms
        self.open = open

    async def run(self) -> H11Protocol | None:
        """Opens the connection; an error is a failure of this attempt."""
        try:
            return await self.open()
        except Exception as exc:
            log_event("connect_raised", "WARNING", detail=repr(exc)[:200])
            return None


async def open_first(
    attempts: Sequence[Attempt], timeout_ms: int
) -> tuple[int, H11Protocol] | None:
    """Opens a connection in the way that succeeds first.

    Args:
        attempts: The ways, in the order of their start.
        timeout_ms: Time for all of them.

    Returns:
        Index of the successful attempt and its connection, or None.
    """
    failed = [anyio.Event() for _ in attempts]
    opened: list[tuple[int, H11Protocol]] = []

    async def run(index: int, attempt: Attempt) -> None:
        if index:
            with anyio.move_on_after(attempt.delay_ms / MS_PER_SECOND):
                await failed[index - 1].wait()
        protocol = await attempt.run()
        if protocol is None:
            failed[index].set()
        elif opened:
            protocol.abort()
        else:
            opened.append((index, protocol))
            tasks.cancel_scope.cancel()

    try:
        with anyio.move_on_after(timeout_ms / MS_PER_SECOND):
            async with anyio.create_task_group() as tasks:
                for index, attempt in enumerate(attempts):
                    tasks.start_soon(run, index, attempt)
    except BaseException:
        # Nobody will use the connection, for example as the caller has left.
        for _, protocol in opened:
            protocol.abort()
        raise
    return opened[0] if opened else None
