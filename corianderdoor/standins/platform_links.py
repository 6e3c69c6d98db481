"""Links of one entry host to the servers, which can be cut."""

from __future__ import annotations

import asyncio
from typing import Final

import anyio
import h11

from ..adapters.http1 import H11Protocol
from ..core.clock import MS_PER_SECOND
from ..core.entry.addresses import Address

# What a cut does: new connections and those that are open get no answer; both
# end at once; or only new ones are refused.
CUT_MODES: Final = ("hang", "reset", "refuse")


class _LinkProtocol(H11Protocol):
    """A connection whose link can be cut without closing it."""

    cut = False

    def write(self, event: h11.Event) -> None:
        """Drops what is written while the link is cut."""
        if not self.cut:
            super().write(event)


class ServerLinks:
    """Opens an entry host's connections to servers, and cuts them."""

    __slots__ = ("_mode", "_opened")

    def __init__(self) -> None:
        self._mode = ""
        self._opened: list[_LinkProtocol] = []

    def cut(self, mode: str) -> None:
        """Cuts the links in one of the ways of `CUT_MODES`."""
        self._mode = mode
        for protocol in self._opened:
            if protocol.lost or mode == "refuse":
                continue
            if mode == "reset":
                protocol.abort()
                continue
            protocol.cut = True
            protocol.stop_reading()

    def restore(self) -> None:
        """Restores the links; connections that hung stay silent for good."""
        self._mode = ""

    def count_opened(self) -> int:
        """Returns how many connections were opened."""
        return len(self._opened)

    async def connect(
        self, address: Address, timeout_ms: int, unacked_timeout_ms: int
    ) -> H11Protocol | None:
        """Opens a connection as `http1_connect.connect` does."""
        if self._mode == "hang":
            await anyio.sleep(timeout_ms / MS_PER_SECOND)
            return None
        if self._mode:
            return None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                _, protocol = await loop.create_connection(
                    lambda: _LinkProtocol(
                        h11.CLIENT, unacked_timeout_ms=unacked_timeout_ms
                    ),
                    *address,
                )
        except (OSError, TimeoutError):
            return None
        self._opened.append(protocol)
        return protocol
