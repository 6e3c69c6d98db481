"""Ports to the engines, which carry out orders, and to the weight store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from expression import Result

from ..core.errors import Fault
from ..core.orders import Order, Report
from ..core.topology import Server


class Engines(Protocol):
    """Reads the state of engines and sends them orders."""

    async def read_state(self, server: Server) -> Result[Report, Fault]:
        """Returns the state that an engine reports."""

    async def send_order(
        self, server: Server, order: Order, may_send: Callable[[], bool]
    ) -> Result[None, Fault]:
        """Sends an order.

        Args:
            server: The engine.
            order: The order.
            may_send: Called right before the first byte is written; if it
                returns False, nothing is written.

        Returns:
            Nothing if the engine accepted; a `Kind.CONFLICT` fault if it
            has seen a larger fencing token; a fault with
            `Outcome.UNKNOWN` if the order may have taken effect.
        """


class Weights(Protocol):
    """The platform's rate-limited weight store."""

    async def size(self, artifact: str) -> Result[int, Fault]:
        """Returns the size of an artifact, in bytes."""
