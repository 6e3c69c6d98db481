"""Measures how one workspace's surge affects another's first-byte time.

Runs processes on loopback: 4 routers, 5 engines of 8 concurrent requests
each. A calm workspace chats throughout; in the second half another one
surges with many times the engines' capacity. Only the ratio of times within
a run is meaningful.

    PYTHONPATH=.:scripts python bench/surge.py
"""

from __future__ import annotations

from collections import Counter
import json
import sys
import time

import anyio
from fleet import Fleet
import httpx

from corianderdoor.client import Client

KEYS = ["a key for benches only"]
ROUTERS, ENGINES = 4, 5
CALM_CALLERS, SURGE_CALLERS = 8, 120
WARM_UP_S, PHASE_S = 15.0, 15.0


class SurgeRun:
    """Callers of one run.

    Attributes:
        seeds: Addresses of the routers.
        phase: "warm", "before", "during" the surge, or "over".
        first_ms: First-byte times of the calm workspace by phase, in ms.
        statuses: Number of answers by phase, workspace and status.
    """

    def __init__(self, seeds: list[str]) -> None:
        self.seeds = seeds
        self.phase = "warm"
        self.first_ms: dict[str, list[float]] = {"before": [], "during": []}
        self.statuses: Counter[str] = Counter()

    async def chat(self, workspace: str, number: int) -> None:
        """Sends requests of one chat until the run ends; times calm ones."""
        client = Client(self.seeds, workspace)
        chat = f"{workspace}-{number}"
        body = {"model": "redactor", "chat": chat, "answer_tokens": 40}
        content = json.dumps(body).encode()
        while self.phase != "over":
            phase, sent_at = self.phase, time.monotonic()
            async with client.stream(
                "POST", "/v1/chat", chat, content=content
            ) as resp:
                is_first_part = True
                async for _ in resp.aiter_raw():
                    if (
                        is_first_part
                        and resp.is_success
                        and workspace == "calm"
                    ):
                        first_byte_ms = (time.monotonic() - sent_at) * 1_000
                        self.first_ms.setdefault(phase, []).append(
                            first_byte_ms
                        )
                    is_first_part = False
            self.statuses[f"{phase} {workspace} {resp.status_code}"] += 1
            await anyio.sleep(0.2 if resp.is_success else 1.0)
        await client.close()

    async def run(self) -> None:
        """Runs the warm-up and both halves."""
        async with anyio.create_task_group() as tg:
            for number in range(CALM_CALLERS):
                tg.start_soon(self.chat, "calm", number)
            await anyio.sleep(WARM_UP_S)
            self.phase = "before"
            await anyio.sleep(PHASE_S)
            self.phase = "during"
            for number in range(SURGE_CALLERS):
                tg.start_soon(self.chat, "surge", number)
            await anyio.sleep(PHASE_S)
            self.phase = "over"


def main() -> int:
    """Runs the bench and prints its results."""
    with Fleet() as fleet:
        fleet.start_chat_fleet(ENGINES, ROUTERS, KEYS, ["--token-ms", "20"])
        run = SurgeRun(
            [entry["address"] for entry in fleet.listing["entries"]]
        )
        try:
            anyio.run(run.run)
        except httpx.HTTPError as exc:
            print(f"a caller failed: {exc}")
            return 1
    for phase in ("before", "during"):
        times = sorted(run.first_ms[phase])
        print(
            f"{phase}: {len(times)} calm answers, first byte median "
            f"{times[len(times) // 2]:.0f} ms, 95 in 100 "
            f"{times[int(len(times) * 0.95)]:.0f} ms"
        )
    for name, count in sorted(run.statuses.items()):
        print(f"{name}: {count}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
