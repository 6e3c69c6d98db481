"""Measures a router's CPU and memory without any requests.

Starts routers, engines and the platform's stand-ins as processes on
loopback and reads each router's CPU time and memory while it serves no
caller. Bounds: 2.6% of a core; 32 MB above the libraries alone.

    PYTHONPATH=.:scripts python bench/control.py
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import Any

from fleet import Fleet

KEYS = ["a key for benches only"]
SETTLE_S = 15.0
MEASURE_S = 20.0
ENGINES = 5
IMPORT_PROGRAM = """
import pathlib
import corianderdoor.daemons.router
print(pathlib.Path("/proc/self/status").read_text())
"""


def read_rss_mb(status: str) -> float:
    """Returns the resident memory from a process's status, in MB."""
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1e3
    raise ValueError("no VmRSS")


def read_process(pid: int) -> tuple[float, float]:
    """Returns a process's CPU time in s and resident memory in MB."""
    directory = pathlib.Path(f"/proc/{pid}")
    fields = (directory / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    memory = read_rss_mb((directory / "status").read_text())
    return ticks / os.sysconf("SC_CLK_TCK"), memory


def measure_imports_mb() -> float:
    """Returns the memory in MB of a process that only imports the router."""
    done = subprocess.run(
        [sys.executable, "-c", IMPORT_PROGRAM],
        capture_output=True,
        text=True,
        check=True,
    )
    return read_rss_mb(done.stdout)


def measure(routers: int) -> dict[str, Any]:
    """Returns the row of a fleet with `routers` routers."""
    with Fleet() as fleet:
        fleet.start_chat_fleet(ENGINES, routers, KEYS, [])
        time.sleep(SETTLE_S)
        pids = [fleet.procs[f"entry-{n}"].pid for n in range(routers)]
        before = [read_process(pid)[0] for pid in pids]
        time.sleep(MEASURE_S)
        after = [read_process(pid) for pid in pids]
    cpu_shares = [
        (cpu_s - start) / MEASURE_S
        for (cpu_s, _), start in zip(after, before, strict=True)
    ]
    memories_mb = [memory for _, memory in after]
    return {
        "routers": routers,
        "core_share_mean": sum(cpu_shares) / routers,
        "core_share_worst": max(cpu_shares),
        "memory_mb_worst": max(memories_mb),
    }


def main() -> int:
    """Prints a table and writes JSON with `--out`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path, help="write JSON")
    args = parser.parse_args()
    imports_mb = measure_imports_mb()
    rows = [measure(routers) for routers in (2, 4, 8)]
    print(f"imports alone: {imports_mb:.1f} MB")
    for row in rows:
        row["memory_mb_above_imports"] = row["memory_mb_worst"] - imports_mb
        print("  ".join(f"{key}={value:.3g}" for key, value in row.items()))
    if args.out:
        args.out.write_text(json.dumps(rows), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
