"""Port to the permits that other routers grant for their servers."""

from __future__ import annotations

from typing import Protocol

from ..core.messages import AskPermit
from ..core.permits import PermitAnswer


class Outbox(Protocol):
    """Queues the core's messages to other routers until it is flushed."""

    def flush(self) -> None:
        """Sends the core's queued messages to other routers."""


class Permits(Protocol):
    """Exchanges permits with other routers."""

    async def ask(self, action: AskPermit) -> PermitAnswer | None:
        """Asks for a permit; returns None on a timeout."""

    def flush(self) -> None:
        """Sends the core's queued messages to other routers."""

    def find_home(self, pool: str, chat: str) -> str:
        """Returns the home of the chat's first server; empty if none."""
