"""Reconciles the reported state of engines with their desired state.

The reconciler acts only while its lease is valid. It reads an engine's state
before it sends an order, has one call in progress per engine, and after the
outcome of an order, even if unknown, reads the state again before the next.
"""

from __future__ import annotations

from functools import singledispatchmethod
import itertools
from typing import Final

from expression import Result

from .engine_states import EngineState, EngineStates, PoolView
from .errors import Fault, Kind, Outcome
from .lease import Leadership
from .orders import Order, OrderKind, Report, settle_end_ms, Step
from .reconcile_messages import (
    Action,
    Event,
    GiveOrder,
    OrderAnswered,
    ReadSize,
    ReadState,
    SizeRead,
    StateRead,
    TargetsSet,
    Tick,
)
from .records import Record
from .topology import Server
from .weight_loads import LoadKey, LoadQueue, Priority

MAX_ENGINES: Final = 10_000
MAX_CALLS_IN_FLIGHT: Final = 32
MAX_FAILED_CALLS: Final = 3
ORDER_POLL_MS: Final = 1_000
RAISE_FENCE: Final = Step(OrderKind.RAISE_FENCE, "")


class ReconcileTimes(Record):
    """Durations and limits of reconciliation.

    Attributes:
        longest_order_ms: Maximum duration of an order, in ms.
        reread_ms: Time between reads of an engine without pending steps, in
            ms.
        busy_share: Share of a pool's engines that may load while serving;
            at least one may.
    """

    __slots__ = ("longest_order_ms", "reread_ms", "busy_share")

    def __init__(
        self, longest_order_ms: int, reread_ms: int, busy_share: float
    ) -> None:
        self.longest_order_ms = longest_order_ms
        self.reread_ms = reread_ms
        self.busy_share = busy_share


class Reconciler:
    """Sends orders to engines while its lease is valid."""

    __slots__ = (
        "_lease",
        "_times",
        "_fenced_pools",
        "_queue",
        "_engines",
        "_views",
        "_sizes",
        "_fence",
        "_last_call",
        "_calls_in_flight",
        "_waiting",
    )

    def __init__(
        self,
        lease: Leadership,
        times: ReconcileTimes,
        fenced_pools: frozenset[str],
        queue: LoadQueue,
    ) -> None:
        self._lease = lease
        self._times = times
        self._fenced_pools = fenced_pools
        self._queue = queue
        self._engines = EngineStates()
        self._views: dict[str, PoolView] = {}
        self._sizes: dict[str, int | None] = {}
        self._fence = 0
        self._last_call = 0
        self._calls_in_flight = 0
        self._waiting: dict[str, None] = {}

    def reports(self) -> dict[str, Report]:
        """Returns the last report of each engine that was read."""
        return {
            engine.server.name: engine.report
            for engine in self._engines
            if engine.report is not None
        }

    def handle(
        self, event: Event, now_ms: int, wall_ms: int
    ) -> tuple[Action, ...]:
        """Handles one event and returns the calls to make.

        Args:
            event: What happened.
            now_ms: Monotonic time, in ms.
            wall_ms: Unix time, in ms, for the expiry of orders.
        """
        self._views.clear()
        self._check_leadership(now_ms)
        affected = self._on(event, now_ms)
        if self._lease.fence(now_ms, self._times.longest_order_ms) is None:
            return ()
        actions: list[Action] = []
        for key in self._queue.take(now_ms):
            actions += self._start_load(key, now_ms, wall_ms)
        pending = self._engines if affected is None else affected
        for engine in (*pending, *self._take_waiting()):
            actions += self._advance(engine, now_ms, wall_ms)
        return tuple(actions)

    def _take_waiting(self) -> list[EngineState]:
        """Dequeues engines that waited for a call slot."""
        free_calls = MAX_CALLS_IN_FLIGHT - self._calls_in_flight
        names = list(itertools.islice(self._waiting, max(0, free_calls)))
        for name in names:
            del self._waiting[name]
        waiting = [self._engines.get(name) for name in names]
        return [engine for engine in waiting if engine is not None]

    def _check_leadership(self, now_ms: int) -> None:
        fence = self._lease.fence(now_ms)
        if fence is None or fence == self._fence:
            return
        self._fence = fence
        self._waiting.clear()
        for engine in self._engines:
            self._release_engine(engine)
            engine.reset(self._settle_end_ms(engine.fenced))

    @singledispatchmethod
    def _on(self, event: Event, now_ms: int) -> tuple[EngineState, ...] | None:
        """Handles an event; returns the engines affected, None for all."""
        raise TypeError(f"unknown event: {event!r}")

    @_on.register
    def _on_tick(
        self, event: Tick, now_ms: int
    ) -> tuple[EngineState, ...] | None:
        return None

    @_on.register
    def _on_targets(
        self, event: TargetsSet, now_ms: int
    ) -> tuple[EngineState, ...] | None:
        listed = {item.name: item for item in event.servers[:MAX_ENGINES]}
        for engine in self._engines:
            server = listed.get(engine.server.name)
            if server is None or _is_newer(server, engine.server):
                self._release_engine(engine)
                self._engines.remove(engine)
        for server in listed.values():
            engine = self._engines.get(server.name) or self._add_engine(server)
            engine.set_goal(event.desired.goal(server, event.active))
            self._drop_unwanted_load(engine)
        return None

    def _add_engine(self, server: Server) -> EngineState:
        fenced = server.pool in self._fenced_pools
        engine = EngineState(server, fenced, self._settle_end_ms(fenced))
        self._engines.put(engine)
        return engine

    def _settle_end_ms(self, fenced: bool) -> int:
        return settle_end_ms(
            self._lease.since_ms, self._times.longest_order_ms, fenced
        )

    def _drop_unwanted_load(self, engine: EngineState) -> None:
        if engine.load is None or engine.load_running:
            return
        step = engine.next_step
        if step is None or step.artifact != engine.load[1]:
            self._drop_load(engine)

    @_on.register
    def _on_state(
        self, event: StateRead, now_ms: int
    ) -> tuple[EngineState, ...] | None:
        engine = self._engines.get(event.server)
        if engine is None or engine.call != event.call:
            return ()
        self._end_call(engine)
        match event.result:
            case Result(tag="ok", ok=report):
                self._apply_report(engine, report, now_ms)
            case _:
                engine.report = None
                engine.back_off(now_ms)
                self._fail_load_if_unreachable(engine, now_ms)
        return (engine,)

    def _apply_report(
        self, engine: EngineState, report: Report, now_ms: int
    ) -> None:
        engine.report = report
        engine.read_at_ms = now_ms
        if engine.fenced and report.fence < self._fence:
            # The engine was restarted and lost the token.
            engine.fence_raised = False
        self._drop_unwanted_load(engine)
        if engine.load is None or not engine.load_running or report.loading:
            return
        key, engine.load, engine.load_running = engine.load, None, False
        if engine.holds(key[1]):
            engine.failures = 0
            self._queue.finish(key)
        else:
            self._queue.fail(key, now_ms)

    def _fail_load_if_unreachable(
        self, engine: EngineState, now_ms: int
    ) -> None:
        if engine.load is None or engine.failures < MAX_FAILED_CALLS:
            return
        key, engine.load, engine.load_running = engine.load, None, False
        self._queue.fail(key, now_ms)

    @_on.register
    def _on_answer(
        self, event: OrderAnswered, now_ms: int
    ) -> tuple[EngineState, ...] | None:
        engine = self._engines.get(event.server)
        if engine is None or engine.call != event.order.call:
            return ()
        self._end_call(engine)
        # Whatever the answer, only a new report shows the engine's state.
        engine.report = None
        match event.result:
            case Result(tag="ok"):
                if event.order.step.kind is OrderKind.RAISE_FENCE:
                    engine.fence_raised = True
            case Result(error=fault):
                self._handle_order_fault(engine, fault, now_ms)
        return (engine,)

    def _handle_order_fault(
        self, engine: EngineState, fault: Fault, now_ms: int
    ) -> None:
        engine.back_off(now_ms)
        if fault.kind is Kind.CONFLICT:
            # The engine has seen the higher token of another leader.
            engine.fence_raised = False
        # An order with an unknown outcome may have taken effect: the load
        # counts as running until the engine's report shows its result.
        not_run = fault.outcome is Outcome.NOT_RUN
        if not_run and engine.load is not None and engine.load_running:
            key, engine.load, engine.load_running = engine.load, None, False
            self._queue.fail(key, now_ms, fault.retry_after_ms)

    @_on.register
    def _on_size(
        self, event: SizeRead, now_ms: int
    ) -> tuple[EngineState, ...] | None:
        match event.result:
            case Result(tag="ok", ok=size):
                self._sizes[event.artifact] = size
            case _:
                self._sizes.pop(event.artifact, None)
        return ()

    def _advance(
        self, engine: EngineState, now_ms: int, wall_ms: int
    ) -> list[Action]:
        if engine.call or now_ms < engine.idle_until_ms:
            return []
        if now_ms < engine.not_before_ms:
            return []
        if self._calls_in_flight >= MAX_CALLS_IN_FLIGHT:
            self._waiting[engine.server.name] = None
            return []
        if engine.fenced and not engine.fence_raised:
            return self._give_order(engine, RAISE_FENCE, now_ms, wall_ms)
        if self._needs_read(engine, now_ms):
            return [ReadState(engine.server, self._begin_call(engine))]
        step = engine.next_step
        if step is None and not engine.loading:
            engine.idle_until_ms = engine.read_at_ms + self._times.reread_ms
        if step is None or engine.loading:
            return []
        if step.loads:
            return self._queue_load(engine, step, now_ms)
        if step.reduces_service and not self._may_reduce_service(engine):
            return []
        return self._give_order(engine, step, now_ms, wall_ms)

    def _needs_read(self, engine: EngineState, now_ms: int) -> bool:
        if engine.report is None:
            return True
        wait_ms = ORDER_POLL_MS if engine.loading else self._times.reread_ms
        return now_ms - engine.read_at_ms >= wait_ms

    def _may_reduce_service(self, engine: EngineState) -> bool:
        """Returns whether the pool may do without this engine.

        Another engine must serve, or none of the pool should.
        """
        view = self._view(engine)
        return view.serving - engine.serves > 0 or view.should_serve == 0

    def _queue_load(
        self, engine: EngineState, step: Step, now_ms: int
    ) -> list[Action]:
        if step.artifact not in self._sizes:
            self._sizes[step.artifact] = None
            return [ReadSize(step.artifact)]
        size = self._sizes[step.artifact]
        if size is None or (engine.load is None and self._is_busy(engine)):
            return []
        key = (engine.server.name, step.artifact)
        if self._queue.add(key, size, self._priority(engine), now_ms):
            if engine.load is None:
                self._view(engine).changing += engine.serves
            engine.load = key
        return []

    def _is_busy(self, engine: EngineState) -> bool:
        if not engine.serves:
            return False
        view = self._view(engine)
        return view.changing >= max(1, int(view.size * self._times.busy_share))

    def _priority(self, engine: EngineState) -> Priority:
        if not self._view(engine).serving:
            return Priority.RECOVERY
        return engine.goal.priority if engine.goal else Priority.SPARE

    def _start_load(
        self, key: LoadKey, now_ms: int, wall_ms: int
    ) -> list[Action]:
        engine = self._engines.get(key[0])
        if engine is None or engine.load != key:
            self._queue.finish(key)
            return []
        step = engine.next_step
        if step is None or step.artifact != key[1]:
            self._drop_load(engine)
            return []
        if engine.call:
            self._queue.requeue(key)
            return []
        actions = self._give_order(engine, step, now_ms, wall_ms)
        engine.load_running = True
        return actions

    def _give_order(
        self, engine: EngineState, step: Step, now_ms: int, wall_ms: int
    ) -> list[Action]:
        longest_ms = self._times.longest_order_ms
        fence = self._lease.fence(now_ms, longest_ms)
        if fence is None:
            return []
        order = Order(
            self._begin_call(engine), step, fence, wall_ms + longest_ms
        )
        return [GiveOrder(engine.server, order)]

    def _view(self, engine: EngineState) -> PoolView:
        pool = engine.server.pool
        if pool not in self._views:
            self._views[pool] = self._engines.view(pool)
        return self._views[pool]

    def _release_engine(self, engine: EngineState) -> None:
        self._drop_load(engine)
        self._end_call(engine)

    def _drop_load(self, engine: EngineState) -> None:
        if engine.load is not None:
            self._queue.finish(engine.load)
        engine.load, engine.load_running = None, False

    def _begin_call(self, engine: EngineState) -> int:
        self._last_call += 1
        self._calls_in_flight += 1
        engine.call = self._last_call
        return engine.call

    def _end_call(self, engine: EngineState) -> None:
        if engine.call:
            engine.call = 0
            self._calls_in_flight -= 1


def _is_newer(listed: Server, known: Server) -> bool:
    return listed.incarnation > known.incarnation
