"""Opens HTTP/1.1 connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import h11

from ..core.clock import MS_PER_SECOND
from ..core.entry.addresses import Address
from .http1 import H11Protocol
from .logs import log_event

# Turns of the event loop in which it delivers what has arrived.
LOOP_TURNS: Final = 2
# Turns that it needs to report a connection that is open.
CONNECT_LOOP_TURNS: Final = 6


async def deliver_pending() -> None:
    """Lets the event loop deliver what has arrived.

    A busy process may learn of bytes and of a timeout at once, in either
    order.
    """
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


async def connect(
    address: Address, timeout_ms: int, unacked_timeout_ms: int
) -> H11Protocol | None:
    """Opens a connection; returns None on failure or timeout."""
    loop = asyncio.get_running_loop()
    opening = asyncio.ensure_future(
        loop.create_connection(
            lambda: H11Protocol(
                h11.CLIENT, unacked_timeout_ms=unacked_timeout_ms
            ),
            address[0],
            address[1],
        )
    )
    try:
        await asyncio.wait({opening}, timeout=timeout_ms / MS_PER_SECOND)
        for _ in range(CONNECT_LOOP_TURNS):
            if not opening.done():
                await asyncio.sleep(0)
    except asyncio.CancelledError:
        opening.add_done_callback(_abort_opened)
        opening.cancel()
        raise
    if not opening.done():
        opening.add_done_callback(_abort_opened)
        opening.cancel()
        return None
    exc = opening.exception()
    if exc is None:
        return opening.result()[1]
    if not isinstance(exc, Exception):
        raise exc
    if not isinstance(exc, OSError):
        # The event loop raises other errors for addresses that can't be one.
        log_event("connect_raised", "WARNING", detail=repr(exc)[:200])
    return None


def _abort_opened(
    opening: asyncio.Future[tuple[asyncio.Transport, H11Protocol]],
) -> None:
    """Aborts a connection that nobody waits for any more."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[1].abort()


# Opens a connection, as `connect` does.
Connect = Callable[[Address, int, int], Awaitable[H11Protocol | None]]
