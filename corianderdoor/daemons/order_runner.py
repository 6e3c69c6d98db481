"""Runs the reconciler's actions against engines and the weight store."""

from __future__ import annotations

from functools import singledispatchmethod

from anyio.abc import TaskGroup
from expression import Result

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.errors import Fault
from ..core.lease import Leadership
from ..core.reconcile import Reconciler
from ..core.reconcile_messages import (
    Action,
    Event,
    GiveOrder,
    OrderAnswered,
    ReadSize,
    ReadState,
    SizeRead,
    StateRead,
)
from ..ports.engines import Engines, Weights


class OrderRunner:
    """Runs the actions of a `Reconciler` and feeds back their results."""

    __slots__ = (
        "_reconciler",
        "_lease",
        "_engines",
        "_weights",
        "_clock",
        "_tasks",
    )

    def __init__(
        self,
        reconciler: Reconciler,
        lease: Leadership,
        engines: Engines,
        weights: Weights,
        clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        self._reconciler = reconciler
        self._lease = lease
        self._engines = engines
        self._weights = weights
        self._clock = clock
        self._tasks = tasks

    def submit(self, event: Event) -> None:
        """Passes an event to the reconciler and starts its actions."""
        for action in self._reconciler.handle(
            event, self._clock.now_ms(), self._clock.wall_ms()
        ):
            self._tasks.start_soon(self._run, action)

    async def _run(self, action: Action) -> None:
        self.submit(await self._call(action))

    @singledispatchmethod
    async def _call(self, action: Action) -> Event:
        raise TypeError(f"no action: {action!r}")

    @_call.register
    async def _read_state(self, action: ReadState) -> Event:
        result = await self._engines.read_state(action.server)
        return StateRead(action.server.name, action.call, result)

    @_call.register
    async def _read_size(self, action: ReadSize) -> Event:
        result = await self._weights.size(action.artifact)
        return SizeRead(action.artifact, result)

    @_call.register
    async def _send_order(self, action: GiveOrder) -> Event:
        order = action.order

        def may_send() -> bool:
            # The order or the lease may have expired since the
            # reconciler checked.
            in_time = self._clock.wall_ms() <= order.not_after_ms
            fence = self._lease.fence(self._clock.now_ms())
            return in_time and fence == order.fence

        result = await self._engines.send_order(action.server, order, may_send)
        self._log_order(action, result)
        return OrderAnswered(action.server.name, order, result)

    def _log_order(
        self, action: GiveOrder, result: Result[None, Fault]
    ) -> None:
        step = action.order.step
        log_event(
            "order_given" if result.is_ok() else "order_failed",
            "INFO" if result.is_ok() else "WARNING",
            server=action.server.name,
            fence=action.order.fence,
            kind=step.kind.value,
            name=step.name,
            version=step.version,
            detail="" if result.is_ok() else result.error.detail,
        )
