"""Virtual engines and a fake lease for tests of the reconciler."""

import random

from builders import build_server
from expression import Error, Ok
import msgspec

from corianderdoor.adapters.engines_http import read_report
from corianderdoor.core.clock import ManualClock
from corianderdoor.core.desired import decode_desired
from corianderdoor.core.errors import Fault, Kind, Outcome
from corianderdoor.core.orders import OrderKind
from corianderdoor.core.reconcile import Reconciler, ReconcileTimes
from corianderdoor.core.reconcile_messages import (
    GiveOrder,
    OrderAnswered,
    ReadSize,
    ReadState,
    SizeRead,
    StateRead,
    TargetsSet,
    Tick,
)
from corianderdoor.core.weight_loads import LoadLimits, LoadQueue
from corianderdoor.standins.engine_orders import EngineOrders, OrderBody
from corianderdoor.standins.faults import Faults

LONGEST_MS = 2_000
LOAD_MS = 3_000
SIZE = 1_000
MAX_EVENTS_PER_STEP = 10_000
LIMITS = LoadLimits(1_000_000, 1_000_000, 100, 60_000)
TIMES = ReconcileTimes(LONGEST_MS, 30_000, 0.25)
NO_ANSWER = Error(
    Fault(Kind.PEER_FAILED, "order", "", outcome=Outcome.UNKNOWN)
)
REJECTED = Error(Fault(Kind.CONFLICT, "order", "old fencing token"))
UNREACHABLE = Error(Fault(Kind.PEER_FAILED, "order", "refused"))


class Lease:
    """A leadership whose token and end a test sets."""

    def __init__(self, fence=1, since_ms=0, end_ms=10**12):
        self.token = fence
        self.since_ms = since_ms
        self.end_ms = end_ms

    def fence(self, now_ms, needed_ms=0):
        return self.token if now_ms + needed_ms < self.end_ms else None


class EngineBench:
    """One reconciler with engines in virtual time."""

    def __init__(self, clock, engines, lease, desired, fenced=True, **options):
        self.clock = clock
        self.engines = engines
        self.lease = lease
        self.queue = LoadQueue(options.get("limits", LIMITS), rng(), 0)
        pools = frozenset({"redactor"}) if fenced else frozenset()
        self.core = Reconciler(
            lease, options.get("times", TIMES), pools, self.queue
        )
        self.servers = tuple(build_server(name) for name in engines)
        self.set_desired(desired)
        self.orders_sent = []
        self.reads = 0
        self.answers_to_lose = 0
        self.unreachable = set()
        self.load_ends = []

    def set_desired(self, text, active=None):
        desired = decode_desired(text.encode(), 1).default_value(None)
        event = TargetsSet(self.servers, desired, active or {})
        self.pending = [event]

    def run(self, duration_ms, step_ms=100):
        """Advances virtual time; answers every call at once."""
        for _ in range(duration_ms // step_ms):
            self.clock.advance(step_ms)
            self._end_loads()
            events = self.pending + [Tick()]
            self.pending = []
            events_left = MAX_EVENTS_PER_STEP
            while events:
                events_left -= 1
                assert events_left, "too many events in one step"
                events += self._answer_all(self._handle(events.pop(0)))

    def _handle(self, event):
        return self.core.handle(
            event, self.clock.now_ms(), self.clock.wall_ms()
        )

    def _answer_all(self, actions):
        return [self._answer(action) for action in actions]

    def _answer(self, action):
        if isinstance(action, ReadSize):
            return SizeRead(action.artifact, Ok(SIZE))
        name = action.server.name
        if isinstance(action, ReadState):
            self.reads += 1
            return StateRead(name, action.call, self._read(name))
        assert isinstance(action, GiveOrder)
        self.orders_sent.append((self.clock.now_ms(), name, action.order))
        return OrderAnswered(name, action.order, self._order(action))

    def _read(self, name):
        if name in self.unreachable:
            return UNREACHABLE
        raw = msgspec.json.encode(self.engines[name].state())
        return Ok(read_report(raw))

    def _order(self, action):
        name = action.server.name
        if name in self.unreachable:
            return UNREACHABLE
        status = self.deliver(name, action.order)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return NO_ANSWER
        return Ok(None) if status == 202 else REJECTED

    def deliver(self, name, order):
        """Delivers an order to an engine; returns the HTTP status."""
        step = order.step
        body = OrderBody(
            str(order.call),
            order.fence,
            step.kind,
            step.name,
            step.version,
            order.not_after_ms,
        )
        status = self.engines[name].apply(body)
        if status == 202 and step.loads:
            end_ms = self.clock.now_ms() + LOAD_MS
            self.load_ends.append((end_ms, name, body))
        return status

    def _end_loads(self):
        now_ms = self.clock.now_ms()
        for end_ms, name, body in [
            e for e in self.load_ends if e[0] <= now_ms
        ]:
            self.engines[name].end_load(body, loaded=True)
        self.load_ends = [e for e in self.load_ends if e[0] > now_ms]

    def kinds(self, name=None):
        """Returns the kinds of the orders sent, except `RAISE_FENCE`."""
        return [
            order.step.kind
            for _, server, order in self.orders_sent
            if name in (None, server)
            and order.step.kind is not OrderKind.RAISE_FENCE
        ]


def rng():
    """Returns a seeded random generator."""
    return random.Random(7)


def build_engines(clock, count=1, fenced=True):
    """Returns engines by name."""
    return {
        f"e{number}": EngineOrders(clock, Faults(), int, 1, fenced)
        for number in range(count)
    }


def build_bench(desired, count=1, fenced=True, lease=None, **options):
    """Returns a bench with its own clock and engines."""
    clock = ManualClock()
    engines = build_engines(clock, count, fenced)
    lease = lease or Lease()
    return EngineBench(
        clock, engines, lease, desired, fenced=fenced, **options
    )
