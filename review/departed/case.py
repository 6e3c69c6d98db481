"""A machine that starts between a worker's leaving and a restore.

No case of the review: see "Shown, but given up" in REPORT.md.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import payments as pays  # noqa: E402
from common.fleet import BOUNDS, CALLER_HOST  # noqa: E402
from common.fleet import Fleet, Host, KEY, run_case  # noqa: E402
from common.requester import ask_once  # noqa: E402
from common.worker import BEAT_S  # noqa: E402

# With TROUBLE=0 the store doesn't come back from a copy.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
PACE_S = 0.025
# Time from a worker's `draining` until its entry is removed.
LEAVE_S = 2.2
NOTICE_S = 0.3
STORE_DOWN_S = 0.5


class Sender:
    """Sends payments to one machine, each on a connection of its own.

    Attributes:
        sent_ms: When each was sent.
    """

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self.sent_ms: dict[str, int] = {}
        self._fleet = fleet
        self._host = host
        self._ended = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends until `stop` is called."""
        number = 0
        while not self._ended:
            number += 1
            task = asyncio.create_task(self._send(f"pay-{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(PACE_S)

    async def stop(self) -> None:
        """Ends after the answers in progress."""
        self._ended = True
        await asyncio.sleep(1)
        await asyncio.gather(*self._tasks)

    async def _send(self, id: str) -> None:
        self.sent_ms[id] = self._fleet.record.now_ms()
        await ask_once(
            self._fleet.record,
            self._host.front,
            id,
            "POST /registro/2f",
            {"Host": CALLER_HOST, "Authorization": f"Token {KEY}"},
            b"p" * 600,
            pays.TIME_BUDGET_S,
        )


async def run(fleet: Fleet) -> bool:
    """Runs it; returns whether the rule held."""
    for number in range(4):
        fleet.add_worker(f"i-{number}", "cuentas")
    await fleet.start(HOSTS, pays.DESIRED)
    host, worker = fleet.hosts[0], fleet.workers["i-3"]
    copy = fleet.store.copy()
    await asyncio.sleep(0.2)
    worker.state = "draining"
    worker.register()
    acked_ms = fleet.record.add("draining", worker=worker.id)
    await asyncio.sleep(LEAVE_S)
    # It goes on serving "a little longer (at times many seconds)".
    worker.leave()
    await asyncio.sleep(NOTICE_S)
    fleet.kill(host)
    fleet.start_host(host)
    await fleet.wait_ready(host)
    ready_ms = fleet.record.add("ready", host=host.name)
    sender = Sender(fleet, host)
    task = asyncio.create_task(sender.run())
    if fleet.trouble:
        fleet.store.stop()
        fleet.record.add("store-down")
        await asyncio.sleep(STORE_DOWN_S)
        fleet.store.restore(copy)
    back_ms = fleet.record.add("store-back")
    # "It is removed ... after three heartbeat intervals of silence."
    await asyncio.sleep(3 * BEAT_S)
    fleet.store.remove(f"servers/{worker.id}")
    await asyncio.sleep(1)
    await sender.stop()
    await task
    touch_ms = max(ready_ms, back_ms) + BOUNDS["connectivity_ms"]
    late = [
        id
        for id, at_ms in worker.arrivals
        if at_ms > max(acked_ms + BOUNDS["drain_ms"], ready_ms)
    ]
    in_touch = [id for id in late if sender.sent_ms[id] > touch_ms]
    say = fleet.record.say
    say(f"payments: {len(sender.sent_ms)}")
    say(f"at the worker that had left: {len(late)}")
    say(f"of these from a machine in touch: {len(in_touch)}")
    return not in_touch


if __name__ == "__main__":
    run_case(__file__, run, 60, TROUBLE)
