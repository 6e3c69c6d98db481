"""Typed events and actions of giving orders."""

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
    """Event: what is listed or wanted has changed.

    Attributes:
        servers: The engines that are listed.
        desired: The operators' desired state.
        awake: Servers to be awake, by pool that follows the time of day.
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
    """Event: the state of an engine was read, or was not.

    Attributes:
        server: Name of the engine.
        call: Number of the read that this answers.
        result: Its state, or the fault.
    """

    __slots__ = ("server", "call", "result")

    def __init__(
        self, server: str, call: int, result: Result[Report, Fault]
    ) -> None:
        self.server = server
        self.call = call
        self.result = result


class OrderAnswered(Record):
    """Event: an order was answered, or its answer was lost."""

    __slots__ = ("server", "order", "result")

    def __init__(
        self, server: str, order: Order, result: Result[None, Fault]
    ) -> None:
        self.server = server
        self.order = order
        self.result = result


class SizeRead(Record):
    """Event: the weight store told the size of an artifact, or did not."""

    __slots__ = ("artifact", "result")

    def __init__(self, artifact: str, result: Result[int, Fault]) -> None:
        self.artifact = artifact
        self.result = result


Event: TypeAlias = Tick | TargetsSet | StateRead | OrderAnswered | SizeRead


class ReadState(Record):
    """Action: read the state of an engine.

    Attributes:
        server: The engine.
        call: Number of this read, to be handed back.
    """

    __slots__ = ("server", "call")

    def __init__(self, server: Server, call: int) -> None:
        self.server = server
        self.call = call


class GiveOrder(Record):
    """Action: give an order to an engine."""

    __slots__ = ("server", "order")

    def __init__(self, server: Server, order: Order) -> None:
        self.server = server
        self.order = order


class ReadSize(Record):
    """Action: ask the weight store for the size of an artifact."""

    __slots__ = ("artifact",)

    def __init__(self, artifact: str) -> None:
        self.artifact = artifact


Action: TypeAlias = ReadState | GiveOrder | ReadSize
