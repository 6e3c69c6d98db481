"""Tests of the checks whether a server that broke a request is down."""

from __future__ import annotations

import anyio
from entry_builders import build_planner, build_request
import pytest

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.flights import Ending, Flight, Send
from corianderdoor.entry.crash_checks import CHECK_INTERVAL_MS, CrashChecks


class Pool:
    """Opens connections to all servers but those in `down`."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.opened: list[str] = []
        self.kept: list[str] = []

    async def open(self, server):
        self.opened.append(server.id)
        return None if server.id in self.down else object()

    def keep(self, server, protocol):
        self.kept.append(server.id)


class Bench:
    """One host whose requests break."""

    def __init__(self) -> None:
        self.planner = build_planner(servers=8)
        self.clock = ManualClock()
        self.pool = Pool()
        self.isolated = False
        self.checks = CrashChecks(
            self.planner, self.pool, self.clock, lambda: self.isolated
        )

    def break_request(self, number=0) -> str:
        """Has the request with a number break; returns its server's id."""
        req = build_request("/once/x", f"r{number}")
        flight = self.planner.admit(req, self.clock.now_ms())
        assert isinstance(flight, Flight)
        step = self.planner.choose(flight, self.clock.now_ms())
        assert isinstance(step, Send)
        now_ms = self.clock.now_ms()
        self.planner.record_sent(flight, step.server, now_ms)
        self.planner.handle_failure(flight, step.server, Ending.BROKEN, now_ms)
        return step.server.id

    def count_attempts(self) -> int:
        return len(self.planner.crashing_requests._evidence)


def run(scenario) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            bench = Bench()
            tasks.start_soon(bench.checks.run)
            await anyio.wait_all_tasks_blocked()
            await scenario(bench)
            tasks.cancel_scope.cancel()

    anyio.run(main)


# Guards against a crash that counts only when the next request comes.
def test_crash_counts_at_once():
    async def scenario(bench):
        bench.pool.down = {f"s{n}" for n in range(8)}
        bench.break_request()
        await anyio.wait_all_tasks_blocked()
        assert bench.count_attempts() == 1

    run(scenario)


# Guards against new connections that only serve the check.
def test_connection_of_a_check_is_kept_for_requests():
    async def scenario(bench):
        server_id = bench.break_request()
        await anyio.wait_all_tasks_blocked()
        assert bench.pool.kept == [server_id]
        assert bench.count_attempts() == 0

    run(scenario)


# Guards against as many checks as requests break.
@pytest.mark.parametrize("later_ms, count", [(0, 1), (CHECK_INTERVAL_MS, 2)])
def test_servers_are_checked_once_in_a_while(later_ms, count):
    async def scenario(bench):
        server_id = bench.break_request()
        await anyio.wait_all_tasks_blocked()
        bench.clock.advance(later_ms)
        bench.checks.request(server_id)
        await anyio.wait_all_tasks_blocked()
        assert bench.pool.opened == [server_id] * count

    run(scenario)


# Guards against servers that are blamed for the loss of this host's links.
def test_host_without_peers_finds_no_crash():
    async def scenario(bench):
        bench.isolated = True
        bench.pool.down = {f"s{n}" for n in range(8)}
        bench.break_request()
        await anyio.wait_all_tasks_blocked()
        assert bench.count_attempts() == 0

    run(scenario)


# Guards against planned ends that count as crashes.
def test_end_of_a_server_that_leaves_is_no_crash():
    async def scenario(bench):
        for server in bench.planner.servers.all():
            bench.planner.leaving.record(server, 0)
        flight = bench.planner.admit(build_request("/once/x"), 0)
        server = bench.planner.servers.get("s1")
        bench.planner.record_sent(flight, server, 0)
        bench.planner.handle_failure(flight, server, Ending.BROKEN, 0)
        await anyio.wait_all_tasks_blocked()
        assert bench.pool.opened == []

    run(scenario)
