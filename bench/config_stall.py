"""Measures the longest event loop stall while a 1 MB text is parsed.

Run: PYTHONPATH=. python bench/config_stall.py

Compares three methods in one run: parsing at once, in slices, and in slices
with one line changed. A timer on the same loop records its longest delay.
"""

from __future__ import annotations

import time
from typing import Any

import anyio

from bench.driver import write_result
from corianderdoor.core.config import (
    Config,
    decode_config,
    EMPTY_CONFIG,
    encode_config,
)
from corianderdoor.core.config_delta import build_delta
from corianderdoor.core.rules import RuleSet
from corianderdoor.core.rules_text import MAX_RULES
from corianderdoor.daemons.config_runner import read_in_slices

TARGET_BYTES = 990_000
TICK_S = 0.001


def build_text() -> str:
    """Returns a rules text of about 1 MB with at most `MAX_RULES` rules."""
    line = (
        "path=/v1/chat/{n} method=POST workspace=w{n} -> redactor "
        "idempotent=yes deadline=10s # Rosa"
    )
    width = len(line.format(n=10_000)) + 1
    count = min(MAX_RULES, TARGET_BYTES // width)
    pad = max(0, TARGET_BYTES // count - width)
    lines = (line.format(n=n) + "." * pad for n in range(count))
    return "\n".join(lines)


def encode(text: str) -> bytes:
    """Returns the stored form of a rules text."""
    return encode_config(Config(1, "c", "bench", text, RuleSet()))


async def measure(method: str, job: Any) -> dict[str, Any]:
    """Runs `job` while a timer measures delays of the loop."""
    longest_s = 0.0

    async def measure_delay() -> None:
        nonlocal longest_s
        while True:
            before = time.perf_counter()
            await anyio.sleep(TICK_S)
            longest_s = max(longest_s, time.perf_counter() - before - TICK_S)

    async with anyio.create_task_group() as tg:
        tg.start_soon(measure_delay)
        await anyio.sleep(0.05)
        longest_s = 0.0
        started = time.perf_counter()
        await job()
        took_s = time.perf_counter() - started
        await anyio.sleep(0.05)
        tg.cancel_scope.cancel()
    return {
        "way": method,
        "stall_ms": longest_s * 1e3,
        "took_ms": took_s * 1e3,
    }


async def run() -> list[dict[str, Any]]:
    """Returns one row for each method."""
    text = build_text()
    encoded = encode(text)
    changed = encode(text.replace("w77 ", "w78 ", 1))
    old = decode_config(encoded, 1).default_value(EMPTY_CONFIG)
    assert old.revision == 1

    async def at_once() -> None:
        assert decode_config(encoded, 2).is_ok()

    async def in_slices() -> None:
        assert (await read_in_slices(encoded, 2, EMPTY_CONFIG)).is_ok()

    async def one_line_changed() -> None:
        assert (await read_in_slices(changed, 2, old)).is_ok()

    rows = [
        await measure("at once", at_once),
        await measure("in slices", in_slices),
        await measure("one line changed", one_line_changed),
    ]
    delta = build_delta(1, encoded, 2, changed)
    for row in rows:
        row["text_bytes"] = len(encoded)
        row["rules"] = len(old.rules.rules)
        row["delta_bytes"] = len(delta.middle)
    return rows


def main() -> None:
    """Prints a table and writes config_stall.json."""
    write_result("config_stall", anyio.run(run))


if __name__ == "__main__":
    main()
