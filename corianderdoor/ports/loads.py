"""Port to the load reports of backend servers."""

from __future__ import annotations

from typing import Protocol

from expression import Result

from ..core.errors import Fault
from ..core.load_report import LoadReport
from ..core.topology import Server


class Loads(Protocol):
    """Reads the load reports of backend servers."""

    async def read(self, server: Server) -> Result[LoadReport, Fault]:
        """Returns the server's latest report."""
