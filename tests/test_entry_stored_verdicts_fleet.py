"""A fleet of real entry hosts that are all killed after a verdict."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from corianderdoor.platform.verdict_records import VERDICTS_KEY
from corianderdoor.standins.platform_fleet import PlatformFleet, run_fleet

HOSTS = 3
# Two crashes this far apart are two moments, and a server is checked again.
PAUSE_S = 1.3
BACK_S = 0.3
WRITTEN_S = 5
AWAY_S = 1.0


class Crasher:
    """Sends requests that crash the servers which run them."""

    def __init__(self, fleet: PlatformFleet, kind: str) -> None:
        self.fleet = fleet
        self.kind = kind
        self.sent = 0
        self.runs = 0
        for worker in fleet.workers.values():
            worker.on_request = self.crash

    def crash(self, worker, received, runs) -> None:
        if b"crashing" not in received.target:
            return
        self.runs += 1
        # The worker is down: it takes no connections.
        worker.mode = "drop"
        for links in self.fleet.links.values():
            links.cut("refuse")

    async def send(self, host: str) -> int:
        """Sends one request; returns the status, 0 without an answer."""
        self.sent += 1
        number = 0 if self.kind == "request" else self.sent
        reply = await self.fleet.chat(
            host,
            f"r{self.sent}",
            f"/draft/crashing{number}",
            Prompt_Prefix=f"9a:900,f{number:x}:10",
            Token_Usage="910,10",
        )
        await anyio.sleep(BACK_S)
        for links in self.fleet.links.values():
            links.restore()
        for worker in self.fleet.workers.values():
            worker.mode = ""
        return reply.status

    async def send_until_refused(self) -> None:
        for number in range(6):
            runs = self.runs
            await self.send(f"host-{number % HOSTS}")
            if self.runs == runs:
                return
            await anyio.sleep(PAUSE_S)
        raise AssertionError("it is not refused")


def count_stored(fleet: PlatformFleet) -> int:
    value = fleet.store.state.read_value(VERDICTS_KEY)
    if value is None:
        return 0
    return len(msgspec.json.decode(value)["verdicts"])


# Guards against hosts that are all killed at once and know no verdict then:
# the request, or the part, crashed three more servers. They may also start
# while the store is away.
@pytest.mark.parametrize("kind", ["request", "part"])
@pytest.mark.parametrize("away", [False, True])
def test_hosts_that_were_all_killed_refuse_at_once(kind, away):
    async def run() -> None:
        async with run_fleet(3, 1, HOSTS) as fleet:
            # Parts of this kind of request were answered before.
            crasher = Crasher(fleet, kind)
            await crasher.send_until_refused()
            runs = crasher.runs
            assert 3 <= runs <= 5
            with anyio.fail_after(WRITTEN_S):
                while not count_stored(fleet):
                    await anyio.sleep(0.02)
            for name in list(fleet.hosts):
                fleet.kill_host(name)
            if away:
                fleet.store.fault = "reset"
            async with anyio.create_task_group() as tasks:
                for name in list(fleet.hosts):
                    tasks.start_soon(fleet.add_host, name)
                if away:
                    await anyio.sleep(AWAY_S)
                    fleet.store.fault = ""
            for name in fleet.hosts:
                assert await crasher.send(name) == 503
                reply = await fleet.chat(name, f"sound-{name}")
                assert reply.status == 200
            assert crasher.runs == runs

    anyio.run(run)
