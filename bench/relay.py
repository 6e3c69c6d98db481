"""Measures the CPU cost of a streamed chunk for several relay designs.

The relay, the engine and the caller each run in their own process, on
loopback. The cost is the relay's CPU time divided by the number of chunks
that the caller received. `paced` sends a chunk every 29 ms, the target of
the service, on each of many streams; `burst` sends without a pause.
`through` and `direct` are first-byte times via the relay and from the
engine, measured alternately.

    python bench/relay.py --out relay.json
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import socket
import subprocess
import sys
import time
from typing import Any, Final

import httpx

ROLES: Final = pathlib.Path(__file__).with_name("relay_roles.py")
CHUNK_INTERVAL_MS: Final = 29
DESIGNS: Final = (
    "asyncio+httpcore",
    "uvloop+httpcore",
    "uvloop+aiohttp",
    "asyncio+aiohttp",
    "uvloop+aiohttp+hold=5",
    "uvloop+aiohttp+hold=20",
    "uvloop+httpcore+engine-h2",
    "uvloop+aiohttp+caller-h2",
    "own",
    "own+caller-h2",
)
HEADING: Final = (
    f"{'design':28} {'paced us':>9} {'ratio':>6} {'gap p95':>8} "
    f"{'burst us':>9} {'through':>8} {'direct':>7}"
)


def find_free_port() -> int:
    """Returns a port that is currently free."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def start_role(role: str, port: int, *args: str) -> subprocess.Popen[bytes]:
    """Starts a serving role and waits until it accepts connections.

    Raises:
        TimeoutError: If it does not within 20 s.
    """
    command = [sys.executable, str(ROLES), role, "--port", str(port), *args]
    proc = subprocess.Popen(command)
    deadline_s = time.monotonic() + 20
    while time.monotonic() < deadline_s:
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return proc
        time.sleep(0.05)
    proc.kill()
    raise TimeoutError(f"{role} accepted no connection within 20 s")


def run_role(role: str, port: int, *args: str) -> dict[str, float]:
    """Runs a caller's role to its end and returns its results."""
    command = [sys.executable, str(ROLES), role, "--port", str(port), *args]
    done = subprocess.run(command, stdout=subprocess.PIPE, check=True)
    results: dict[str, float] = json.loads(done.stdout)
    return results


def fetch_cpu_ns(port: int) -> int:
    """Returns the CPU time of the relay at `port`, in ns."""
    with httpx.Client(trust_env=False) as client:
        return int(client.get(f"http://127.0.0.1:{port}/cpu").text)


def measure(design: str, engine_port: int, args: Any) -> dict[str, Any]:
    """Measures one design.

    Raises:
        RuntimeError: If the caller did not receive every chunk.
    """
    port = find_free_port()
    engine = f"http://127.0.0.1:{engine_port}"
    relay = start_role("relay", port, "--design", design, "--engine", engine)
    h2 = ["--h2"] if "caller-h2" in design else []
    row: dict[str, Any] = {"design": design}
    try:
        run_role("load", port, "--streams", "20", "--chunks", "50", *h2)
        for name, streams, chunks, pace in (
            ("paced", args.streams, args.chunks, CHUNK_INTERVAL_MS),
            ("burst", 40, args.chunks * args.streams // 40, 0),
        ):
            load = ["--streams", str(streams), "--chunks", str(chunks)]
            began_ns = fetch_cpu_ns(port)
            result = run_role("load", port, *load, "--pace-ms", str(pace), *h2)
            used_ns = fetch_cpu_ns(port) - began_ns
            if result["chunks"] != streams * chunks:
                raise RuntimeError(
                    f"{design}: received {result['chunks']} chunks, "
                    f"expected {streams * chunks}"
                )
            row[f"{name}_us"] = used_ns / 1000 / result["chunks"]
            row[f"{name}_gap_p95_ms"] = result["gap_p95_ms"]
        other = ["--other-port", str(engine_port), "--streams", "200"]
        row |= run_role("first", port, *other)
    finally:
        relay.terminate()
        relay.wait()
    return row


def print_row(row: dict[str, Any], base: dict[str, Any]) -> None:
    """Prints a row of the table; `base` is the row for the ratio."""
    print(
        f"{row['design']:28} {row['paced_us']:9.1f} "
        f"{row['paced_us'] / base['paced_us']:6.2f} "
        f"{row['paced_gap_p95_ms']:8.1f} {row['burst_us']:9.1f} "
        f"{row['through_ms']:8.2f} {row['direct_ms']:7.2f}",
        flush=True,
    )


def main() -> int:
    """Measures every design and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path)
    parser.add_argument("--streams", type=int, default=80)
    parser.add_argument("--chunks", type=int, default=100)
    parser.add_argument("--designs", nargs="*", default=list(DESIGNS))
    args = parser.parse_args()
    engine_port = find_free_port()
    engine = start_role("engine", engine_port)
    try:
        rows = []
        print(HEADING)
        for name in args.designs:
            rows.append(measure(name, engine_port, args))
            print_row(rows[-1], rows[0])
    finally:
        engine.terminate()
        engine.wait()
    if args.out:
        results = {"cpus": os.cpu_count(), "rows": rows}
        args.out.write_text(json.dumps(results, indent=1), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
