"""A worker goes on with a stream by empty lines, without an end."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common3"))

import lab  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# What the worker repeats; any of "\n", ":\n\n" and "id: 1\n\n" will do.
UNIT = os.environ.get("UNIT", "\\n")
CALM_S = 3.0
PLAY_S = 12.0
GAP_S = 0.15
TIMEOUT_S = 1.5
LATE_S = 0.5
# A caller leaves a stream without an event after eight times the pause.
PATIENCE_S = 3.2


async def main():
    """Plays the case; returns whether the rule was broken."""
    plain = []
    ready = []
    async with lab.run_lab(HERE / "record.txt") as fleet:
        names = list(fleet.hosts)
        trouble_at = time.time() + CALM_S
        end = trouble_at + PLAY_S

        async def chat(number):
            await fleet.request(
                random.choice(names),
                f"chat-{number}",
                "/chat/x",
                deadline_ms=15000,
                patience_s=PATIENCE_S,
            )

        async def ask(number, path, body):
            answer = await fleet.request(
                random.choice(names),
                f"{path[1:5]}-{number}",
                path,
                body,
                deadline_ms=3000,
            )
            plain.append(answer)

        async def check():
            while True:
                for name in names:
                    got = await fleet.ask(
                        name, 8220, "/corianderdoor/readiness"
                    )
                    ready.append(got.status)
                    fleet.record.add("ready", host=name, status=got.status)
                await asyncio.sleep(1.0)

        checker = asyncio.ensure_future(check())
        calls = []
        number = 0
        while time.time() < end:
            if TROUBLE and trouble_at and time.time() >= trouble_at:
                trouble_at = 0.0
                fleet.set_worker("engine-0", mode=f"endless:{UNIT}")
            number += 1
            for call in (
                chat(number),
                ask(number, "/book/x", b"order"),
                ask(number, "/read/x", b""),
            ):
                calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(GAP_S)
        await asyncio.wait(calls, timeout=6)
        checker.cancel()
        late = [a for a in plain if a.ended - a.sent >= TIMEOUT_S]
        never = [a for a in late if a.ended - a.sent >= TIMEOUT_S + LATE_S]
        broken = len(late) >= 8 and len(never) > len(late) / 4
        text = (
            f"{len(plain)} plain requests to sound workers; at the timeout"
            f" of {TIMEOUT_S} s {len(late)} had no answer, {LATE_S} s later"
            f" {len(never)}; readiness failed {len(ready) - ready.count(200)}"
            f" of {len(ready)} times; rule " + ("broken" if broken else "held")
        )
        fleet.record.add("result", text=text)
        print(text)
    return broken


sys.exit(lab.play(main))
