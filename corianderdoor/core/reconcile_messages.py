"""Events that `Reconciler` handles and actions that it returns."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

from expression import Result

from .desired import Desired
from .errors import Fault
from .orders import Order, Report
from .records import Record
from .topology import Server


class Tick(Record):
    """Event: time has passed."""

    __slots__ = ()


class TargetsSet(Record):
    """Event: the listed engines or the desired state may have changed.

    Attributes:
        servers: The engines on the host list.
        desired: The operators' desired state.
        active: Names of the servers that should be active, by pool, for the
            pools with a forecast.
    """

    __slots__ = ("servers", "desired", "active")

    def __init__(
        self,
        servers: tuple[Server, ...],
        desired: Desired,
        active: Mapping[str, frozenset[str]],
    ) -> None:
        self.servers = servers
        self.desired = desired
        self.active = active


class StateRead(Record):
    """Event: a read of an engine's state has ended.

    Attributes:
        server: Name of the engine.
        call: Number of the read.
        result: The engine's report, or the fault.
    """

    __slots__ = ("server", "call", "result")

    def __init__(
        self, server: str, call: int, result: Result[Report, Fault]
    ) -> None:
        self.server = server
        self.call = call
        self.result = result


class OrderAnswered(Record):
    """Event: an order was answered, or no answer was received."""

    __slots__ = ("server", "order", "result")

    def __init__(
        self, server: str, order: Order, result: Result[None, Fault]
    ) -> None:
        self.server = server
        self.order = order
        self.result = result


class SizeRead(Record):
    """Event: a read of an artifact's size has ended.

    Attributes:
        artifact: Name of the artifact.
        result: Its size in bytes, or the fault.
    """

    __slots__ = ("artifact", "result")

    def __init__(self, artifact: str, result: Result[int, Fault]) -> None:
        self.artifact = artifact
        self.result = result


Event: TypeAlias = Tick | TargetsSet | StateRead | OrderAnswered | SizeRead


class ReadState(Record):
    """Action: read the state of an engine.

    Attributes:
        server: The engine.
        call: Number of this read, returned in `StateRead`.
    """

    __slots__ = ("server", "call")

    def __init__(self, server: Server, call: int) -> None:
        self.server = server
        self.call = call


class GiveOrder(Record):
    """Action: send an order to an engine."""

    __slots__ = ("server", "order")

    def __init__(self, server: Server, order: Order) -> None:
        self.server = server
        self.order = order


class ReadSize(Record):
    """Action: read the size of an artifact from the weight store."""

    __slots__ = ("artifact",)

    def __init__(self, artifact: str) -> None:
        self.artifact = artifact


Action: TypeAlias = ReadState | GiveOrder | ReadSize
