"""Port by which a request asks other routers for room on their servers."""

from __future__ import annotations

from typing import Protocol

from ..core.messages import AskPermit
from ..core.permits import PermitAnswer


class Outbox(Protocol):
    """Holds messages of the core for other routers until it is flushed."""

    def flush(self) -> None:
        """Sends what the core has to tell other routers."""


class Permits(Protocol):
    """Carries permits between this router and others."""

    async def ask(self, action: AskPermit) -> PermitAnswer | None:
        """Asks for a permit; returns None if no answer came in time."""

    def flush(self) -> None:
        """Sends what the core has to tell other routers."""

    def find_home(self, pool: str, chat: str) -> str:
        """Returns the home of the chat's first server, empty if none."""
