"""Measures membership: detection, false deaths, bytes, CPU and memory.

Run: PYTHONPATH=. python bench/membership.py --out DIR [--sizes 8 40 100 330]
"""

from __future__ import annotations

import argparse
import json
import pathlib
import statistics
import time
import tracemalloc
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from bench.members import MemberFleet  # noqa: E402

SETTLE_MS = 120_000
IDLE_MS = 60_000
CRASH_WINDOW_MS = 45_000
CRASHES = 5
LOSSES = (0.01, 0.05)
FALSE_DEATH_WINDOW_MS = 240_000
PARTITION_MS = 120_000
MERGE_TIMEOUT_MS = 180_000
TRAFFIC_BUDGET_BYTES_S = 14_000
CPU_BUDGET_SHARE = 0.026
REGIONS = {8: 1, 40: 2, 100: 3, 330: 7}
MS_PER_SECOND = 1_000


def measure_idle(fleet: MemberFleet) -> dict[str, Any]:
    """Returns bytes, messages and CPU per member of an idle fleet."""
    count = len(fleet.entries)
    before = sum(fleet.bytes_sent.values()), sum(fleet.messages.values())
    started = time.process_time()
    fleet.run_for(IDLE_MS)
    cpu_s = time.process_time() - started
    seconds = IDLE_MS / MS_PER_SECOND
    sent = sum(fleet.bytes_sent.values()) - before[0]
    messages = sum(fleet.messages.values()) - before[1]
    return {
        "bytes_s": sent / count / seconds,
        "messages_s": messages / count / seconds,
        "core_share": cpu_s / count / seconds,
    }


def measure_detection(fleet: MemberFleet) -> dict[str, Any]:
    """Returns times from a crash to its detection by one, half and all."""
    first, half, last = [], [], []
    for number in range(CRASHES):
        name = f"entry-{number + 1:03}"
        at_ms = fleet.simulation.now_ms
        fleet.stop(name)
        fleet.run_for(CRASH_WINDOW_MS)
        times = sorted(
            when - at_ms
            for when, _, member in fleet.deaths(at_ms)
            if member == name
        )
        assert len(times) == len(fleet.simulation.running), (name, len(times))
        first.append(times[0])
        half.append(times[len(times) // 2])
        last.append(times[-1])
        fleet.start(name)
        fleet.run_for(CRASH_WINDOW_MS)
    return {
        "detect_first_ms": statistics.mean(first),
        "detect_half_ms": statistics.mean(half),
        "detect_all_ms": statistics.mean(last),
        "detect_all_worst_ms": max(last),
    }


def measure_partition(count: int, regions: int) -> dict[str, Any]:
    """Returns the peak bytes/s in a network partition and the merge time."""
    if regions < 2:
        return {"parted_bytes_s": None, "merge_ms": None}
    fleet = MemberFleet(count, regions, seed=5, count_bytes=True)
    fleet.run_for(SETTLE_MS)
    fleet.simulation.is_cut = lambda one, two: (
        (fleet.region(one) == "region-0") != (fleet.region(two) == "region-0")
    )
    peak = 0.0
    for _ in range(PARTITION_MS // 5_000):
        before = dict(fleet.bytes_sent)
        fleet.run_for(5_000)
        max_bytes = max(
            sent - before.get(name, 0)
            for name, sent in fleet.bytes_sent.items()
        )
        peak = max(peak, max_bytes / 5)
    fleet.simulation.is_cut = lambda *_: False
    merged_ms = fleet.wait_converged(MERGE_TIMEOUT_MS, step_ms=1_000)
    return {"parted_bytes_s": peak, "merge_ms": merged_ms}


def measure_false_deaths(
    count: int, regions: int, loss: float
) -> dict[str, Any]:
    """Returns members falsely declared dead, and the member-hours."""
    fleet = MemberFleet(count, regions, seed=9, loss=loss)
    fleet.run_for(FALSE_DEATH_WINDOW_MS)
    falsely_dead = {name for _, _, name in fleet.deaths()}
    hours = count * FALSE_DEATH_WINDOW_MS / 3_600_000
    return {
        f"false_deaths_{loss}": len(falsely_dead),
        f"member_hours_{loss}": round(hours, 1),
    }


def measure_memory(count: int, regions: int) -> float:
    """Returns the allocated bytes per core."""
    tracemalloc.start()
    fleet = MemberFleet(count, regions)
    fleet.run_for(5_000)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count


def measure(count: int) -> dict[str, Any]:
    """Returns all measures of a fleet of `count` members."""
    regions = REGIONS.get(count, 1)
    row: dict[str, Any] = {"members": count, "regions": regions}
    fleet = MemberFleet(count, regions, seed=3, count_bytes=True)
    started = dict(fleet.bytes_sent)
    fleet.run_for(10_000)
    joined = sum(fleet.bytes_sent.values()) - sum(started.values())
    row["mass_start_bytes_s"] = joined / count / 10
    fleet.run_for(SETTLE_MS)
    row |= measure_idle(fleet)
    row |= measure_detection(fleet)
    row |= measure_partition(count, regions)
    for loss in LOSSES:
        row |= measure_false_deaths(count, regions, loss)
    row["memory_bytes"] = measure_memory(min(count, 100), regions)
    return row


def plot(rows: list[dict[str, Any]], path: pathlib.Path) -> None:
    """Plots bytes and detection times by number of members."""
    sizes = [row["members"] for row in rows]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for key in ("bytes_s", "mass_start_bytes_s"):
        left.plot(sizes, [row[key] for row in rows], "o-", label=key)
    left.axhline(
        TRAFFIC_BUDGET_BYTES_S, color="red", label="budget of all control"
    )
    left.set(xlabel="members", ylabel="bytes/s per daemon", yscale="log")
    left.legend()
    for key in ("detect_first_ms", "detect_half_ms", "detect_all_ms"):
        right.plot(sizes, [row[key] for row in rows], "o-", label=key)
    right.set(xlabel="members", ylabel="ms from the crash", ylim=(0, None))
    right.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Prints a table and writes membership.json and membership.png."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path, required=True)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(REGIONS))
    args = parser.parse_args()
    args.out.mkdir(parents=True, exist_ok=True)
    rows = [measure(count) for count in args.sizes]
    for key in rows[0]:
        cells = [row[key] for row in rows]
        print(f"{key:24}", *(f"{_format_cell(cell):>10}" for cell in cells))
    (args.out / "membership.json").write_text(json.dumps(rows, indent=1))
    plot(rows, args.out / "membership.png")


def _format_cell(cell: Any) -> str:
    if cell is None:
        return "-"
    return f"{cell:.4g}" if isinstance(cell, float) else str(cell)


if __name__ == "__main__":
    main()
