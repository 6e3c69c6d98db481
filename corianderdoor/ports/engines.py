"""Ports to the engines as takers of orders, and to the weight store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from expression import Result

from ..core.errors import Fault
from ..core.orders import Order, Report
from ..core.topology import Server


class Engines(Protocol):
    """Reads the state of engines and gives them orders."""

    async def read_state(self, server: Server) -> Result[Report, Fault]:
        """Returns what an engine says of itself."""

    async def send_order(
        self, server: Server, order: Order, may_send: Callable[[], bool]
    ) -> Result[None, Fault]:
        """Gives an order.

        Args:
            server: The engine.
            order: The order.
            may_send: Asked right before the first byte is written; if it
                says no, nothing is written.

        Returns:
            Nothing if the engine accepted; a `Kind.CONFLICT` fault if it
            has seen a larger fencing number; a fault with
            `Outcome.UNKNOWN` if the order may have taken effect.
        """


class Weights(Protocol):
    """The platform's rate-limited weight store."""

    async def size(self, artifact: str) -> Result[int, Fault]:
        """Returns the bytes of an artifact."""
