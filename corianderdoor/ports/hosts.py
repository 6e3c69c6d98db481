"""Port to the platform's lagging list of hosts."""

from __future__ import annotations

from typing import Protocol

from expression import Result

from ..core.errors import Fault
from ..core.topology import HostList


class Hosts(Protocol):
    """The platform's list of live and leaving hosts."""

    async def list_hosts(self) -> Result[HostList, Fault]:
        """Returns the platform's current list."""
