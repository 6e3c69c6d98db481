"""Measures the leader's CPU time by number of engines.

Measures the reconciler alone, in virtual time; HTTP calls and parsing are
not included. The slope matters, not the absolute values.

    python bench/leader.py [--json FILE]
"""

from __future__ import annotations

import argparse
from collections import deque
import json
import pathlib
import random
import sys
import time
from typing import Any, Final

from expression import Ok

from corianderdoor.core.desired import decode_desired
from corianderdoor.core.orders import Report, Role
from corianderdoor.core.reconcile import Reconciler, ReconcileTimes
from corianderdoor.core.reconcile_messages import (
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
from corianderdoor.core.topology import Server
from corianderdoor.core.weight_loads import LoadLimits, LoadQueue

DESIRED: Final = b'{"pools": {"redactor": {"models": {"redactor": "v1"}}}}'
TICK_MS: Final = 500
STEADY_S: Final = 120
ENGINE_COUNTS: Final = (230, 1_000, 3_900)


class PermanentLease:
    """Lease that never ends."""

    since_ms = 0

    def fence(self, now_ms: int, needed_ms: int = 0) -> int | None:
        """Returns the fencing token."""
        return 1


class Engines:
    """Engines in the desired state that answer at once."""

    def __init__(self) -> None:
        self.fences: dict[str, int] = {}
        self.calls = 0

    def answer(self, action: Action) -> Event:
        """Answers one call."""
        self.calls += 1
        match action:
            case ReadState(server=server, call=call):
                models = {"redactor": "v1"}
                fence = self.fences.get(server.name, 0)
                report = Report(1, Role.MIXED, models, {}, fence=fence)
                return StateRead(server.name, call, Ok(report))
            case GiveOrder(server=server, order=order):
                self.fences[server.name] = order.fence
                return OrderAnswered(server.name, order, Ok(None))
            case ReadSize(artifact=artifact):
                return SizeRead(artifact, Ok(1))


def build_core() -> Reconciler:
    """Returns a reconciler with the daemon's default times."""
    limits = LoadLimits(10**9, 10**9, 8, 1_800_000)
    pools = frozenset({"redactor"})
    return Reconciler(
        PermanentLease(),
        ReconcileTimes(2_000, 60_000, 0.25),
        pools,
        LoadQueue(limits, random.Random(1), 0),
    )


def process_event(
    core: Reconciler, engines: Engines, event: Event, now_ms: int
) -> None:
    """Passes an event to the core and answers all calls that follow."""
    events = deque([event])
    while events:
        actions = core.handle(events.popleft(), now_ms, now_ms)
        events.extend(engines.answer(action) for action in actions)


def measure(count: int) -> dict[str, Any]:
    """Measures a take-over and two minutes as leader of `count` engines."""
    desired = decode_desired(DESIRED, 1).default_with(raise_fault)
    servers = tuple(
        Server(f"e{n}", f"h{n}", f"dc-{n % 17}", "redactor", "", 1, 8)
        for n in range(count)
    )
    core, engines = build_core(), Engines()
    start_s = time.process_time()
    process_event(core, engines, TargetsSet(servers, desired, {}), 0)
    take_over_s = time.process_time() - start_s
    take_over_calls, engines.calls = engines.calls, 0
    start_s = time.process_time()
    for now_ms in range(TICK_MS, STEADY_S * 1_000, TICK_MS):
        process_event(core, engines, Tick(), now_ms)
    steady_s = time.process_time() - start_s
    return {
        "engines": count,
        "take_over_cpu_ms": round(take_over_s * 1_000, 1),
        "take_over_calls": take_over_calls,
        "steady_cpu_percent": round(100 * steady_s / STEADY_S, 3),
        "steady_calls_per_s": round(engines.calls / STEADY_S, 1),
    }


def raise_fault(fault: object) -> Any:
    raise ValueError(fault)


def main() -> int:
    """Measures each number of engines."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", type=pathlib.Path)
    args = parser.parse_args()
    rows = [measure(count) for count in ENGINE_COUNTS]
    print("  ".join(rows[0]))
    for row in rows:
        cells = zip(rows[0], row.values(), strict=True)
        print("  ".join(str(cell).rjust(len(head)) for head, cell in cells))
    if args.json:
        args.json.write_text(json.dumps(rows, indent=1), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
