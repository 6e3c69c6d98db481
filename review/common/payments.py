"""Payments that requesters send all the while."""

from __future__ import annotations

import asyncio
import time

from .fleet import build_route, CALLER_HOST, Fleet, KEY
from .requester import Connection, Reply

CONNS_PER_HOST = 3
# Time between two requests of one connection.
PACE_S = 0.1
TIME_BUDGET_S = 1.0
WARM_UP_S = 3.0
WORKERS = 3

DESIRED = {
    "routes": [build_route("/registro/", "non_idempotent", "cuentas")],
    "services": [
        {
            "name": "cuentas",
            "health_check_path": "/health",
            "connection_limit": 110,
            "cold_per_s": 0,
            "cold_start_s": 0,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "hule930", "api_keys": [KEY]}],
}


class Payments:
    """Sends requests to all hosts over kept connections.

    Attributes:
        sent_ms: When each request was sent.
        replies: What came back, for the requests that have ended.
        hosts: Name of the host that each request was sent to.
        kept: Requests that were not the first on their connections.
    """

    def __init__(
        self,
        fleet: Fleet,
        name: str = "pay",
        line: str = "POST /registro/2f",
        body: bytes = b"p" * 600,
    ) -> None:
        """Creates the senders.

        Args:
            fleet: The deployment.
            name: Begin of the requests' ids.
            line: Method and target.
            body: The body.
        """
        self.sent_ms: dict[str, int] = {}
        self.replies: dict[str, Reply] = {}
        self.hosts: dict[str, str] = {}
        self.kept: set[str] = set()
        self._fleet = fleet
        self._name = name
        self._line = line
        self._body = body
        self._ended = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, pace_s: float | None = None) -> None:
        """Starts to send.

        Args:
            pace_s: Time between two requests of one connection.
        """
        pace_s = pace_s or PACE_S
        count = len(self._fleet.hosts) * CONNS_PER_HOST
        for place in range(count):
            task = asyncio.create_task(self._send(place, pace_s, count))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Ends after the answers in progress."""
        self._ended = True
        await asyncio.gather(*self._tasks)

    async def _send(self, place: int, pace_s: float, count: int) -> None:
        """Sends requests on one connection, one after the other."""
        record = self._fleet.record
        hosts = self._fleet.hosts
        host = hosts[place % len(hosts)]
        headers = {"Host": CALLER_HOST, "Authorization": f"Token {KEY}"}
        await asyncio.sleep(pace_s * place / count)
        conn = Connection(record, *host.front)
        is_open = await conn.open()
        is_new = True
        number = 0
        while is_open and not self._ended:
            number += 1
            id = f"{self._name}-{place}-{number}"
            self.sent_ms[id] = record.now_ms()
            self.hosts[id] = host.name
            if not is_new:
                self.kept.add(id)
            self.replies[id] = await conn.ask(
                id, self._line, headers, self._body, TIME_BUDGET_S
            )
            is_new = not self.replies[id].complete
            if is_new:
                conn.close()
                conn = Connection(record, *host.front)
                is_open = await conn.open()
            await asyncio.sleep(pace_s)
        conn.close()

    def judge(
        self, arrivals: list[tuple[str, int]], acked_ms: int, drain_ms: int
    ) -> list[str]:
        """Returns the requests that reached a worker too late.

        Args:
            arrivals: Requests that reached the worker, and when.
            acked_ms: When the store acknowledged that it is draining or gone.
            drain_ms: For how long it may get requests.
        """
        say = self._fleet.record.say
        say(f"requests: {len(self.replies)}, at the worker: {len(arrivals)}")
        newest = max(at_ms for _, at_ms in arrivals) - acked_ms
        say(f"last request {newest} ms after the ack, drain_ms is {drain_ms}")
        late = [id for id, at_ms in arrivals if at_ms > acked_ms + drain_ms]
        say(f"later than drain_ms: {len(late)}")
        lost = [id for id in late if self.replies[id].status != 200]
        say(f"of these without the worker's answer: {len(lost)}")
        return late


async def start(fleet: Fleet, hosts: int) -> Payments:
    """Starts a deployment and its payments."""
    for number in range(WORKERS):
        fleet.add_worker(f"i-{number}", "cuentas")
    await fleet.start(hosts, DESIRED)
    payments = Payments(fleet)
    payments.start()
    await asyncio.sleep(WARM_UP_S)
    return payments


def seconds_to_beat(started_s: float, beat_s: float) -> float:
    """Returns the time until a worker's next write of its entry."""
    return beat_s - (time.monotonic() - started_s) % beat_s
