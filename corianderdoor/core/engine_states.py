"""The leader's state of each engine."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

from .desired import Goal
from .orders import plan_steps, Report, Step
from .records import Record
from .topology import Server
from .weight_loads import LoadKey

BACKOFF_BASE_MS: Final = 1_000
BACKOFF_CAP_MS: Final = 60_000
MAX_DOUBLINGS: Final = 6


class EngineState:
    """What the leader knows of one engine and its calls to it.

    Attributes:
        server: The engine.
        fenced: Whether it checks fencing tokens.
        goal: Its desired state; None if none is set.
        report: Its last report; None if it has to be read.
        read_at_ms: When that was read, in ms.
        call: Number of the call in progress; 0 if none.
        load: Its queued or running weight load.
        load_running: Whether that load was ordered.
        fence_raised: Whether it accepted the leader's fencing token.
        not_before_ms: Earliest time of the next call, in ms.
        idle_until_ms: Until when there is nothing to do, in ms.
        failures: Failed calls in a row.
    """

    __slots__ = (
        "server",
        "fenced",
        "goal",
        "report",
        "read_at_ms",
        "call",
        "load",
        "load_running",
        "fence_raised",
        "not_before_ms",
        "idle_until_ms",
        "failures",
    )

    def __init__(
        self, server: Server, fenced: bool, not_before_ms: int
    ) -> None:
        self.server = server
        self.fenced = fenced
        self.reset(not_before_ms)

    def reset(self, not_before_ms: int) -> None:
        """Clears all state of an earlier leadership."""
        self.goal: Goal | None = None
        self.report: Report | None = None
        self.read_at_ms = 0
        self.call = 0
        self.load: LoadKey | None = None
        self.load_running = False
        self.fence_raised = False
        self.not_before_ms = not_before_ms
        self.idle_until_ms = 0
        self.failures = 0

    @property
    def next_step(self) -> Step | None:
        """The next difference between desired and reported state."""
        if self.goal is None or self.report is None:
            return None
        return next(plan_steps(self.goal.spec, self.report), None)

    @property
    def loading(self) -> bool:
        """Whether a weight load is in progress."""
        reported = self.report is not None and bool(self.report.loading)
        return reported or self.load_running

    @property
    def changing(self) -> bool:
        """Whether a weight load is queued or in progress."""
        return self.loading or self.load is not None

    @property
    def serves(self) -> bool:
        """Whether it serves requests and should."""
        should_serve = self.goal is None or self.goal.serves
        return should_serve and self.report is not None and self.report.serves

    def set_goal(self, goal: Goal | None) -> None:
        """Sets the engine's desired state."""
        if goal != self.goal:
            self.goal = goal
            self.idle_until_ms = 0

    def holds(self, artifact: str) -> bool:
        """Returns whether the engine reports an artifact as loaded."""
        if self.report is None:
            return False
        name, _, version = artifact.rpartition("@")
        held = (self.report.models.get(name), self.report.adapters.get(name))
        return version in held

    def back_off(self, now_ms: int) -> None:
        """Delays the next call exponentially after a failure."""
        delay_ms = BACKOFF_BASE_MS * 2 ** min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        self.not_before_ms = now_ms + min(delay_ms, BACKOFF_CAP_MS)


class PoolView(Record):
    """Counts of the engines of one pool.

    Attributes:
        size: Engines in the pool.
        serving: Engines that serve and should.
        should_serve: Engines that should serve.
        changing: Serving engines with a weight load queued or in progress.
    """

    __slots__ = ("size", "serving", "should_serve", "changing")

    def __init__(self, engines: Iterable[EngineState]) -> None:
        self.size = self.serving = self.should_serve = self.changing = 0
        for engine in engines:
            self.size += 1
            self.serving += engine.serves
            self.should_serve += engine.goal is None or engine.goal.serves
            self.changing += engine.serves and engine.changing


class EngineStates:
    """All engines, by name and by pool."""

    __slots__ = ("_by_name", "_by_pool")

    def __init__(self) -> None:
        self._by_name: dict[str, EngineState] = {}
        self._by_pool: dict[str, dict[str, EngineState]] = {}

    def __iter__(self) -> Iterator[EngineState]:
        return iter(tuple(self._by_name.values()))

    def get(self, name: str) -> EngineState | None:
        """Returns the engine of that name."""
        return self._by_name.get(name)

    def put(self, engine: EngineState) -> None:
        """Adds an engine."""
        name, pool = engine.server.name, engine.server.pool
        self._by_name[name] = engine
        self._by_pool.setdefault(pool, {})[name] = engine

    def remove(self, engine: EngineState) -> None:
        """Removes an engine."""
        del self._by_name[engine.server.name]
        del self._by_pool[engine.server.pool][engine.server.name]

    def view(self, pool: str) -> PoolView:
        """Returns the counts of a pool."""
        return PoolView(self._by_pool.get(pool, {}).values())
