"""Measures the controller: fail-over, upkeep, the load queue, the forecast.

Runs the daemon's own core parts in virtual time with fixed seeds.

    python bench/controller.py [--json FILE] [--plot FILE]
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterator
import datetime
import heapq
import json
import math
import pathlib
import random
import statistics
import sys
from typing import Any, Final
import zoneinfo

from expression import Error, Ok

from corianderdoor.core.errors import Fault, Kind
from corianderdoor.core.forecast import DayProfile, SLOT_MS
from corianderdoor.core.lease import LeaseKeeper, LeaseTimes
from corianderdoor.core.lease_messages import (
    GrantLease,
    LeaderRead,
    LeaderRecord,
    LeaderWritten,
    LeaseAction,
    LeaseEvent,
    LeaseGranted,
    LeaseRenewed,
    ReadLeader,
    RenewLease,
    Tick,
    WriteLeader,
)
from corianderdoor.core.weight_loads import LoadLimits, LoadQueue, Priority

HOUR_MS: Final = 3_600_000
DAY_MS: Final = 24 * HOUR_MS
RUNS: Final = 40
CALL_MS: Final = 5
SIZES: Final = (2 * 10**9, 14 * 10**9, 40 * 10**9)
CONFLICT: Final = Error(Fault(Kind.CONFLICT, "store-write", ""))
LEASE_EXPIRED: Final = Error(Fault(Kind.LEASE_LOST, "renew-lease", ""))
Row = dict[str, Any]


class KeyValueStore:
    """A key-value store with the calls that a lease needs."""

    def __init__(self) -> None:
        self.leases: dict[str, int] = {}
        self.record: LeaderRecord | None = None
        self.ttl_ms = 0
        self.calls = 0
        self.version = 0

    def answer(self, action: LeaseAction, now_ms: int) -> LeaseEvent:
        """Performs one call and returns its answer."""
        self.calls += 1
        record = self.record
        if record and self.leases.get(record.lease, 0) <= now_ms:
            self.record = None
        match action:
            case ReadLeader(call=call):
                return LeaderRead(call, Ok(self.record))
            case GrantLease(call=call, ttl_ms=ttl_ms):
                self.ttl_ms = ttl_ms
                lease = f"lease-{self.calls}"
                self.leases[lease] = now_ms + ttl_ms
                return LeaseGranted(call, Ok(lease))
            case RenewLease(call=call, lease=lease):
                if self.leases.get(lease, 0) <= now_ms:
                    return LeaseRenewed(call, LEASE_EXPIRED)
                self.leases[lease] = now_ms + self.ttl_ms
                return LeaseRenewed(call, Ok(None))
            case WriteLeader(call=call, lease=lease):
                if self.record is not None:
                    return LeaderWritten(call, CONFLICT)
                self.version += 1
                self.record = LeaderRecord("holder", lease, self.version)
                return LeaderWritten(call, Ok(self.version))


class ControllerFleet:
    """Lease keepers with one key-value store, in virtual time."""

    def __init__(self, times: LeaseTimes, count: int, seed: int) -> None:
        rng = random.Random(seed)
        self.store = KeyValueStore()
        self.keepers = []
        self.wakeups: list[tuple[int, int]] = []
        for number in range(count):
            keeper = LeaseKeeper(
                f"c{number}", times, random.Random(rng.random()), 0
            )
            keeper.set_controllers(count, 0)
            self.keepers.append(keeper)
            heapq.heappush(self.wakeups, (keeper.next_ms, number))
        self.stopped: set[int] = set()

    def run(self, end_ms: int, until_leader: bool = False) -> int:
        """Runs to `end_ms`, or until one leads; returns the time in ms."""
        while self.wakeups and self.wakeups[0][0] <= end_ms:
            now_ms, number = heapq.heappop(self.wakeups)
            if number in self.stopped:
                continue
            done_ms = self._run_keeper(self.keepers[number], now_ms)
            next_ms = max(self.keepers[number].next_ms, done_ms + 1)
            heapq.heappush(self.wakeups, (next_ms, number))
            if until_leader and self.leader(done_ms) is not None:
                return done_ms
        return end_ms

    def _run_keeper(self, keeper: LeaseKeeper, now_ms: int) -> int:
        pending = list(keeper.handle(Tick(), now_ms))
        while pending:
            answer = self.store.answer(pending.pop(), now_ms)
            now_ms += CALL_MS
            pending += keeper.handle(answer, now_ms)
        return now_ms

    def leader(self, now_ms: int) -> int | None:
        """Returns the number of the current leader, None if there is none."""
        for number, keeper in enumerate(self.keepers):
            alive = number not in self.stopped
            if alive and keeper.fence(now_ms) is not None:
                return number
        return None


def build_times(ttl_ms: int) -> LeaseTimes:
    """Returns the daemon's intervals scaled to a lease of `ttl_ms`."""
    return LeaseTimes(ttl_ms, ttl_ms // 9, ttl_ms // 3, 1_000)


def measure_failover() -> Iterator[Row]:
    """Measures the time without a leader after it stops at a random time."""
    for ttl_ms in (3_000, 9_000, 30_000):
        for count in (3, 8, 330):
            gaps = []
            for seed in range(RUNS):
                fleet = ControllerFleet(build_times(ttl_ms), count, seed)
                start_ms = fleet.run(HOUR_MS, until_leader=True)
                kill_ms = start_ms + random.Random(seed).randint(
                    ttl_ms, 3 * ttl_ms
                )
                fleet.run(kill_ms)
                leader = fleet.leader(kill_ms)
                if leader is not None:
                    fleet.stopped.add(leader)
                led_ms = fleet.run(kill_ms + HOUR_MS, until_leader=True)
                gaps.append(led_ms - kill_ms)
            yield {
                "lease_s": ttl_ms / 1000,
                "controllers": count,
                "median_s": statistics.median(gaps) / 1000,
                "worst_s": max(gaps) / 1000,
            }


def measure_upkeep() -> Iterator[Row]:
    """Counts calls on the store in an hour of steady leadership."""
    times = build_times(9_000)
    for count in (3, 8, 60, 330):
        fleet = ControllerFleet(times, count, 1)
        fleet.run(60_000)
        before = fleet.store.calls
        fleet.run(60_000 + HOUR_MS)
        each = (count - 1) * HOUR_MS // times.poll_ms
        renewals = HOUR_MS // times.renew_ms
        yield {
            "controllers": count,
            "calls_per_hour": fleet.store.calls - before,
            "each_polls_alone": renewals + each,
        }


def measure_queue() -> Iterator[Row]:
    """Measures waits by priority for several ageing intervals.

    An ageing interval is the wait that outweighs one step of priority.
    Steady: loads of all priorities at 90 % of the store's rate. Burst: 150
    loads of a rollout at once, then all priorities at 60 %.
    """
    for scene, load, burst in (("steady", 0.9, 0), ("burst", 0.6, 150)):
        for ageing_ms in (1, 60_000, 600_000, 1_800_000):
            limits = LoadLimits(10**9, 20 * 10**9, 8, ageing_ms)
            waits = run_queue(limits, load, burst)
            row: Row = {"scene": scene, "ageing_s": ageing_ms // 1000}
            for priority in Priority:
                sorted_waits = sorted(waits[priority])
                name = priority.name.lower()
                row[f"{name}_median_s"] = round(
                    statistics.median(sorted_waits) / 1000
                )
                row[f"{name}_worst_s"] = round(sorted_waits[-1] / 1000)
            yield row


def run_queue(
    limits: LoadLimits, load: float, burst: int
) -> dict[Priority, list[int]]:
    """Simulates one queue for three hours; returns the waits in ms."""
    rng = random.Random(5)
    queue = LoadQueue(limits, rng, 0)
    gap_ms = statistics.mean(SIZES) / limits.bytes_per_s / load * 1000
    waits: dict[Priority, list[int]] = {item: [] for item in Priority}
    queued: dict[tuple[str, str], tuple[int, Priority]] = {}
    next_ms = 0.0
    for now_ms in range(0, 3 * HOUR_MS, 100):
        arrived = [Priority.ROLLOUT] * (burst if now_ms == 0 else 0)
        while next_ms <= now_ms:
            arrived.append(rng.choice(list(Priority)))
            next_ms += rng.expovariate(1 / gap_ms)
        for priority in arrived:
            key = (f"engine-{now_ms}-{len(queued)}", "model")
            queue.add(key, rng.choice(SIZES), priority, now_ms)
            queued[key] = (now_ms, priority)
        for key in queue.take(now_ms):
            start_ms, priority = queued.pop(key)
            waits[priority].append(now_ms - start_ms)
            queue.finish(key)
    for start_ms, priority in queued.values():
        # Loads still queued count with their wait so far.
        waits[priority].append(3 * HOUR_MS - start_ms)
    return waits


def compute_load(wall_ms: int, zone: zoneinfo.ZoneInfo) -> float:
    """Returns the load at a time: two peaks in the local day."""
    when = datetime.datetime.fromtimestamp(wall_ms / 1000, zone)
    hour = when.hour + when.minute / 60
    morning = math.exp(-((hour - 9.5) ** 2) / 2)
    evening = 0.6 * math.exp(-((hour - 18) ** 2) / 4)
    return 10 + 100 * (morning + evening)


def learn_days(
    zone_name: str, local_zone: str, start_ms: int, end_ms: int
) -> DayProfile:
    """Returns a profile in `zone_name` of load by the clock of `local_zone`.

    The observations carry 5 % noise.
    """
    rng = random.Random(11)
    zone = zoneinfo.ZoneInfo(local_zone)
    profile = DayProfile(zone_name)
    for wall_ms in range(start_ms, end_ms, SLOT_MS // 3):
        noise = rng.gauss(1, 0.05)
        profile.observe(wall_ms, compute_load(wall_ms, zone) * noise)
    return profile


def measure_forecast() -> Iterator[Row]:
    """Measures the error in the week after a clock change.

    The profile learns from the three weeks before.
    """
    changes = {"April": (2026, 4, 5), "September": (2026, 9, 6)}
    for place in ("America/Santiago", "Africa/Addis_Ababa"):
        for month, date in changes.items():
            when = datetime.datetime(*date, tzinfo=datetime.UTC)
            change_ms = int(when.timestamp() * 1000)
            row: Row = {"place": place, "change": month}
            for rule, zone in (("local", place), ("fixed_utc", "UTC")):
                profile = learn_days(
                    zone, place, change_ms - 21 * DAY_MS, change_ms
                )
                row |= measure_error(profile, place, change_ms, rule)
            yield row


def measure_error(
    profile: DayProfile, place: str, start_ms: int, rule: str
) -> Row:
    """Returns mean error and worst shortfall over a week, without learning."""
    zone = zoneinfo.ZoneInfo(place)
    errors, worst_shortfall = [], 0.0
    for wall_ms in range(start_ms, start_ms + 7 * DAY_MS, SLOT_MS):
        actual = statistics.mean(
            compute_load(wall_ms + part * SLOT_MS // 3, zone)
            for part in range(3)
        )
        expected = profile.expected(wall_ms) or 0.0
        errors.append(abs(expected - actual) / actual)
        worst_shortfall = max(worst_shortfall, (actual - expected) / actual)
    return {
        f"{rule}_mean_error": round(statistics.mean(errors), 3),
        f"{rule}_worst_shortfall": round(worst_shortfall, 3),
    }


MEASURES: Final[dict[str, Callable[[], Iterator[Row]]]] = {
    "failover": measure_failover,
    "upkeep": measure_upkeep,
    "queue": measure_queue,
    "forecast": measure_forecast,
}


def print_table(title: str, rows: list[Row]) -> None:
    """Prints the rows of one measure as a table."""
    columns = list(rows[0])
    lines = [columns] + [[str(row[head]) for head in columns] for row in rows]
    widths = [
        max(len(line[at]) for line in lines) for at in range(len(columns))
    ]
    print(f"\n{title}")
    for line in lines:
        cells = zip(line, widths, strict=True)
        print("  ".join(cell.rjust(width) for cell, width in cells))


def plot(results: dict[str, list[Row]], path: pathlib.Path) -> None:
    """Plots fail-over by lease length and the forecast's shortfall."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for count in (3, 8, 330):
        rows = [r for r in results["failover"] if r["controllers"] == count]
        left.plot(
            [r["lease_s"] for r in rows],
            [r["worst_s"] for r in rows],
            marker="o",
            label=f"{count} controllers",
        )
    left.set(xlabel="lease, s", ylabel="worst time without a leader, s")
    left.legend()
    rows = results["forecast"]
    names = [f"{r['place'].split('/')[1]}\n{r['change']}" for r in rows]
    positions = range(len(rows))
    right.bar(
        [at - 0.2 for at in positions],
        [r["local_worst_shortfall"] for r in rows],
        0.4,
        label="local time",
    )
    right.bar(
        [at + 0.2 for at in positions],
        [r["fixed_utc_worst_shortfall"] for r in rows],
        0.4,
        label="fixed UTC",
    )
    right.set_xticks(list(positions), names)
    right.set_ylabel("worst shortfall, share of the load")
    right.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    """Runs every measure and prints its table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--plot", type=pathlib.Path)
    args = parser.parse_args()
    results = {name: list(measure()) for name, measure in MEASURES.items()}
    for name, rows in results.items():
        print_table(name, rows)
    if args.json:
        args.json.write_text(json.dumps(results, indent=1), encoding="utf-8")
    if args.plot:
        plot(results, args.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
