"""Measures memory, CPU per request and export steps of the metrics."""

from __future__ import annotations

import gc
import json
import pathlib
import sys
import time

from corianderdoor.adapters.otel import CARDINALITY_LIMIT, OtelTelemetry
from corianderdoor.core.errors import Outcome
from corianderdoor.ports.telemetry import RequestEnd

SIZES = ((70, 2), (350, 11), (700, 22))
NO_CARDINALITY_LIMIT = 10_000_000
PAGE_BYTES = 4096


def read_rss_mb() -> float:
    """Returns the resident memory of this process in MB."""
    statm = pathlib.Path("/proc/self/statm").read_text(encoding="ascii")
    return int(statm.split()[1]) * PAGE_BYTES / 1e6


def measure(workspaces: int, pools: int, limit: int) -> dict[str, float]:
    """Records one request for each pair and exports once."""
    gc.collect()
    before = read_rss_mb()
    telemetry = OtelTelemetry("router", "entry-1", 1, "dc-a", limit)
    started = time.process_time()
    for workspace in range(workspaces):
        for pool in range(pools):
            telemetry.record_end(
                RequestEnd(
                    f"workspace-{workspace}",
                    f"pool-{pool}",
                    "POST",
                    200,
                    Outcome.RUN,
                    None,
                    500,
                    200,
                    20.0,
                )
            )
    record_s = time.process_time() - started
    steps_s, size_bytes = [], 0
    started = time.process_time()
    for part in telemetry.export_protobuf():
        now_s = time.process_time()
        steps_s.append(now_s - started)
        size_bytes += len(part)
        started = time.process_time()
    gc.collect()
    return {
        "workspaces": workspaces,
        "pools": pools,
        "limit": limit,
        "us_a_request": record_s / (workspaces * pools) * 1e6,
        "memory_mb": read_rss_mb() - before,
        "longest_step_ms": max(steps_s) * 1e3,
        "export_ms": sum(steps_s) * 1e3,
        "export_kb": size_bytes / 1e3,
    }


def main() -> int:
    """Prints a table and writes JSON to the path given, if any."""
    rows = [
        measure(workspaces, pools, limit)
        for limit in (CARDINALITY_LIMIT, NO_CARDINALITY_LIMIT)
        for workspaces, pools in SIZES
    ]
    print("  ".join(f"{name:>15}" for name in rows[0]))
    for row in rows:
        print("  ".join(f"{value:15.1f}" for value in row.values()))
    if len(sys.argv) > 1:
        pathlib.Path(sys.argv[1]).write_text(json.dumps(rows), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
