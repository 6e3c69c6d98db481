"""Runs real entry hosts under random faults and checks their guarantees.

Each seed runs in its own process (soak_run.py), which writes its report and
the logs of its hosts into a new folder below --folder.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

import anyio
from soak_deployment import ROOT
from soak_run import Soak

from corianderdoor.adapters.logs import set_up_entry_logs
from corianderdoor.core.clock import SystemClock

SEEDS_FILE = pathlib.Path(__file__).with_name("soak_seeds.txt")
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_SEED = re.compile(r"soak\.py .*--seed (\d+)")
# A run takes at most 20 s longer than its faults.
SEED_TIMEOUT_S = 180


def run_seed(args: argparse.Namespace, seed: int) -> int:
    """Runs one seed in this process; returns 1 if a check failed."""
    folder = pathlib.Path(
        tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=args.folder)
    )
    log = (folder / "soak.log").open("w")
    os.dup2(log.fileno(), sys.stdout.fileno())
    set_up_entry_logs("soak", "ERROR", SystemClock())
    report = anyio.run(
        Soak(args, seed, folder).run, backend_options={"use_uvloop": True}
    )
    (folder / "report.json").write_text(json.dumps(report, indent=1))
    return int(bool(report["violations"]))


def read_seeds() -> list[int]:
    """Returns the seeds of earlier failures."""
    lines = SEEDS_FILE.read_text(encoding="utf-8").splitlines()
    return [int(x.split()[0]) for x in lines if x and not x.startswith("#")]


def exclude_known_failures(seeds: list[int]) -> list[int]:
    """Returns the seeds not listed in KNOWN-RED.txt; prints the others."""
    red = {
        int(x) for x in KNOWN_RED_SEED.findall(KNOWN_RED.read_text("utf-8"))
    }
    for seed in seeds:
        if seed in red:
            print(f"seed {seed}: passed over, see {KNOWN_RED.name}")
    return [seed for seed in seeds if seed not in red]


def run_all(args: argparse.Namespace, seeds: list[int]) -> int:
    """Runs seeds in parallel; returns 1 if any of them failed."""
    pending = list(seeds)
    running: dict[int, tuple[subprocess.Popen[bytes], float]] = {}
    failed = 0
    while pending or running:
        while pending and len(running) < args.jobs:
            seed = pending.pop(0)
            command = [sys.executable, __file__, "--seed", str(seed), "--one"]
            for name in ("hosts", "engines", "plain", "callers", "seconds"):
                command += [f"--{name}", str(getattr(args, name))]
            command += ["--folder", args.folder]
            proc = subprocess.Popen(command, cwd=ROOT)
            running[seed] = (proc, time.monotonic())
        time.sleep(0.1)
        for seed, (proc, started_s) in list(running.items()):
            if proc.poll() is None:
                if time.monotonic() - started_s > SEED_TIMEOUT_S:
                    proc.terminate()
                continue
            del running[seed]
            failed += print_verdict(args.folder, seed, proc.returncode)
    print(f"{len(seeds)} seeds, {failed} with broken promises")
    return int(bool(failed))


def print_verdict(folder: str, seed: int, status: int) -> int:
    """Prints the verdict of a seed; returns 1 if the seed failed."""
    reports = sorted(
        pathlib.Path(folder).glob(f"soak-{seed}-*/report.json"),
        key=lambda path: path.stat().st_mtime,
    )
    if not reports:
        print(f"seed {seed}: no report, status {status}", flush=True)
        return 1
    report = json.loads(reports[-1].read_text())
    verdict = "FAILED" if report["violations"] else "kept"
    print(
        f"seed {seed}: {verdict}, {report['theme']}, {report['steps']} "
        f"steps, {report['served']} of {report['asked']} served, "
        f"{report['probes']} probes, {report['peak_mb']} MB",
        flush=True,
    )
    for line in report["violations"][:8]:
        print(f"  {line}", flush=True)
    if report["violations"]:
        print(f"  logs in {reports[-1].parent}", flush=True)
    return int(bool(report["violations"]))


def main() -> int:
    """Runs the requested seeds; returns 1 if any of them failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--fresh", action="store_true", help="seeds from the clock"
    )
    parser.add_argument(
        "--known", action="store_true", help="the seeds of earlier failures"
    )
    parser.add_argument(
        "--jobs", type=int, default=4, help="seeds in parallel"
    )
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--plain", type=int, default=3)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--seconds", type=int, default=16, help="of faults")
    parser.add_argument("--folder", default=tempfile.gettempdir())
    parser.add_argument("--one", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one:
        return run_seed(args, args.seed)
    first = int(time.time()) if args.fresh else args.seed
    seeds = list(range(first, first + args.count))
    if args.known:
        seeds = exclude_known_failures(read_seeds())
    return run_all(args, seeds)


if __name__ == "__main__":
    sys.exit(main())
