"""Brings engines from their reported to their desired state.

The reconciler acts only while its lease holds. It reads the state of an
engine before it orders, gives one order at a time to an engine, and after
any answer, or none, reads the state again before the next order.
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

MAX_SERVERS: Final = 10_000
MAX_IN_FLIGHT: Final = 32
MAX_SILENT_READS: Final = 3
ORDER_POLL_MS: Final = 1_000
RAISE_FENCE: Final = Step(OrderKind.RAISE_FENCE, "")


class ReconcileTimes(Record):
    """Lengths and limits of giving orders.

    Attributes:
        longest_order_ms: How long an order may last until it is answered.
        reread_ms: Time between reads of an engine with nothing to do.
        busy_share: Share of a pool's serving engines that may load at once.
    """

    __slots__ = ("longest_order_ms", "reread_ms", "busy_share")

    def __init__(
        self, longest_order_ms: int, reread_ms: int, busy_share: float
    ) -> None:
        self.longest_order_ms = longest_order_ms
        self.reread_ms = reread_ms
        self.busy_share = busy_share


class Reconciler:
    """Gives orders to engines while its lease holds."""

    __slots__ = (
        "_lease",
        "_times",
        "_fenced_pools",
        "_queue",
        "_tracks",
        "_views",
        "_sizes",
        "_fence",
        "_calls",
        "_in_flight",
        "_denied",
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
        self._tracks = EngineStates()
        self._views: dict[str, PoolView] = {}
        self._sizes: dict[str, int | None] = {}
        self._fence = 0
        self._calls = 0
        self._in_flight = 0
        self._denied: dict[str, None] = {}

    def reports(self) -> dict[str, Report]:
        """Returns the last report of each engine that was read."""
        return {
            track.server.name: track.report
            for track in self._tracks
            if track.report is not None
        }

    def handle(
        self, event: Event, now_ms: int, wall_ms: int
    ) -> tuple[Action, ...]:
        """Takes one event and returns the calls to make.

        Args:
            event: What happened.
            now_ms: Monotonic time, in ms.
            wall_ms: Unix time, in ms, for the expiry of orders.
        """
        self._views.clear()
        self._notice_leadership(now_ms)
        concerned = self._on(event, now_ms)
        if self._lease.fence(now_ms, self._times.longest_order_ms) is None:
            return ()
        actions: list[Action] = []
        for key in self._queue.take(now_ms):
            actions += self._start_load(key, now_ms, wall_ms)
        todo = self._tracks if concerned is None else concerned
        for track in (*todo, *self._take_denied()):
            actions += self._advance(track, now_ms, wall_ms)
        return tuple(actions)

    def _take_denied(self) -> list[EngineState]:
        """Returns engines that waited for others' calls to end."""
        room = MAX_IN_FLIGHT - self._in_flight
        names = list(itertools.islice(self._denied, max(0, room)))
        for name in names:
            del self._denied[name]
        found = [self._tracks.get(name) for name in names]
        return [track for track in found if track is not None]

    def _notice_leadership(self, now_ms: int) -> None:
        fence = self._lease.fence(now_ms)
        if fence is None or fence == self._fence:
            return
        self._fence = fence
        self._denied.clear()
        for track in self._tracks:
            self._let_go(track)
            track.reset(self._settle_end_ms(track.fenced))

    @singledispatchmethod
    def _on(self, event: Event, now_ms: int) -> tuple[EngineState, ...] | None:
        """Takes an event; returns the engines concerned, None for all."""
        raise TypeError(f"no event: {event!r}")

    @_on.register
    def _on_tick(
        self, event: Tick, now_ms: int
    ) -> tuple[EngineState, ...] | None:
        return None

    @_on.register
    def _on_targets(
        self, event: TargetsSet, now_ms: int
    ) -> tuple[EngineState, ...] | None:
        listed = {item.name: item for item in event.servers[:MAX_SERVERS]}
        for track in self._tracks:
            server = listed.get(track.server.name)
            if server is None or _is_newer(server, track.server):
                self._let_go(track)
                self._tracks.remove(track)
        for server in listed.values():
            track = self._tracks.get(server.name) or self._add(server)
            track.set_goal(event.desired.goal(server, event.active))
            self._drop_unwanted_load(track)
        return None

    def _add(self, server: Server) -> EngineState:
        fenced = server.pool in self._fenced_pools
        track = EngineState(server, fenced, self._settle_end_ms(fenced))
        self._tracks.put(track)
        return track

    def _settle_end_ms(self, fenced: bool) -> int:
        return settle_end_ms(
            self._lease.since_ms, self._times.longest_order_ms, fenced
        )

    def _drop_unwanted_load(self, track: EngineState) -> None:
        if track.load is None or track.load_running:
            return
        step = track.next_step
        if step is None or step.artifact != track.load[1]:
            self._forget_load(track)

    @_on.register
    def _on_state(
        self, event: StateRead, now_ms: int
    ) -> tuple[EngineState, ...] | None:
        track = self._tracks.get(event.server)
        if track is None or track.call != event.call:
            return ()
        self._release(track)
        match event.result:
            case Result(tag="ok", ok=report):
                self._take_report(track, report, now_ms)
            case _:
                track.report = None
                track.back_off(now_ms)
                self._give_up_load(track, now_ms)
        return (track,)

    def _take_report(
        self, track: EngineState, report: Report, now_ms: int
    ) -> None:
        track.report = report
        track.read_at_ms = now_ms
        if track.fenced and report.fence < self._fence:
            # It was restarted and has forgotten the number.
            track.fence_raised = False
        self._drop_unwanted_load(track)
        if track.load is None or not track.load_running or report.loading:
            return
        key, track.load, track.load_running = track.load, None, False
        if track.holds(key[1]):
            track.failures = 0
            self._queue.finish(key)
        else:
            self._queue.fail(key, now_ms)

    def _give_up_load(self, track: EngineState, now_ms: int) -> None:
        if track.load is None or track.failures < MAX_SILENT_READS:
            return
        key, track.load, track.load_running = track.load, None, False
        self._queue.fail(key, now_ms)

    @_on.register
    def _on_answer(
        self, event: OrderAnswered, now_ms: int
    ) -> tuple[EngineState, ...] | None:
        track = self._tracks.get(event.server)
        if track is None or track.call != event.order.call:
            return ()
        self._release(track)
        # Whatever the answer, only the engine's own report tells its state.
        track.report = None
        match event.result:
            case Result(tag="ok"):
                if event.order.step.kind is OrderKind.RAISE_FENCE:
                    track.fence_raised = True
            case Result(error=fault):
                self._take_refusal(track, fault, now_ms)
        return (track,)

    def _take_refusal(
        self, track: EngineState, fault: Fault, now_ms: int
    ) -> None:
        track.back_off(now_ms)
        if fault.kind is Kind.CONFLICT:
            # A leader with a larger number has been there.
            track.fence_raised = False
        # An order without an answer may have taken effect: the load stays
        # with the engine until its report tells.
        refused = fault.outcome is Outcome.NOT_RUN
        if refused and track.load is not None and track.load_running:
            key, track.load, track.load_running = track.load, None, False
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
        self, track: EngineState, now_ms: int, wall_ms: int
    ) -> list[Action]:
        if track.call or now_ms < track.idle_until_ms:
            return []
        if now_ms < track.not_before_ms:
            return []
        if self._in_flight >= MAX_IN_FLIGHT:
            self._denied[track.server.name] = None
            return []
        if track.fenced and not track.fence_raised:
            return self._give(track, RAISE_FENCE, now_ms, wall_ms)
        if self._must_read(track, now_ms):
            return [ReadState(track.server, self._hold(track))]
        step = track.next_step
        if step is None and not track.loading:
            track.idle_until_ms = track.read_at_ms + self._times.reread_ms
        if step is None or track.loading:
            return []
        if step.loads:
            return self._queue_load(track, step, now_ms)
        if step.takes_away and not self._may_take_away(track):
            return []
        return self._give(track, step, now_ms, wall_ms)

    def _must_read(self, track: EngineState, now_ms: int) -> bool:
        if track.report is None:
            return True
        wait_ms = ORDER_POLL_MS if track.loading else self._times.reread_ms
        return now_ms - track.read_at_ms >= wait_ms

    def _may_take_away(self, track: EngineState) -> bool:
        """Tells whether the pool goes on serving without this engine."""
        view = self._view(track)
        return view.serving - track.serves > 0 or view.should_serve == 0

    def _queue_load(
        self, track: EngineState, step: Step, now_ms: int
    ) -> list[Action]:
        if step.artifact not in self._sizes:
            self._sizes[step.artifact] = None
            return [ReadSize(step.artifact)]
        size = self._sizes[step.artifact]
        if size is None or (track.load is None and self._is_busy(track)):
            return []
        key = (track.server.name, step.artifact)
        if self._queue.add(key, size, self._priority(track), now_ms):
            if track.load is None:
                self._view(track).changing += track.serves
            track.load = key
        return []

    def _is_busy(self, track: EngineState) -> bool:
        if not track.serves:
            return False
        view = self._view(track)
        return view.changing >= max(1, int(view.size * self._times.busy_share))

    def _priority(self, track: EngineState) -> Priority:
        if not self._view(track).serving:
            return Priority.RECOVERY
        return track.goal.priority if track.goal else Priority.SPARE

    def _start_load(
        self, key: LoadKey, now_ms: int, wall_ms: int
    ) -> list[Action]:
        track = self._tracks.get(key[0])
        if track is None or track.load != key:
            self._queue.finish(key)
            return []
        step = track.next_step
        if step is None or step.artifact != key[1]:
            self._forget_load(track)
            return []
        if track.call:
            self._queue.requeue(key)
            return []
        actions = self._give(track, step, now_ms, wall_ms)
        track.load_running = True
        return actions

    def _give(
        self, track: EngineState, step: Step, now_ms: int, wall_ms: int
    ) -> list[Action]:
        longest_ms = self._times.longest_order_ms
        fence = self._lease.fence(now_ms, longest_ms)
        if fence is None:
            return []
        order = Order(self._hold(track), step, fence, wall_ms + longest_ms)
        return [GiveOrder(track.server, order)]

    def _view(self, track: EngineState) -> PoolView:
        pool = track.server.pool
        if pool not in self._views:
            self._views[pool] = self._tracks.view(pool)
        return self._views[pool]

    def _let_go(self, track: EngineState) -> None:
        self._forget_load(track)
        self._release(track)

    def _forget_load(self, track: EngineState) -> None:
        if track.load is not None:
            self._queue.finish(track.load)
        track.load, track.load_running = None, False

    def _hold(self, track: EngineState) -> int:
        self._calls += 1
        self._in_flight += 1
        track.call = self._calls
        return track.call

    def _release(self, track: EngineState) -> None:
        if track.call:
            track.call = 0
            self._in_flight -= 1


def _is_newer(listed: Server, known: Server) -> bool:
    return listed.incarnation > known.incarnation
