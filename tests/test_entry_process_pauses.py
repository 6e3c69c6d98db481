"""Permissions that expire while the process of a host is suspended."""

from __future__ import annotations

import anyio
from entry_builders import (
    build_planner,
    build_request,
    build_server,
    COLD_MS,
)
import pytest
from test_entry_brittle_servers import announce, reject, send_until_full

from corianderdoor.core.clock import ManualClock
from corianderdoor.core.entry.brittle_room import RoomReport
from corianderdoor.core.entry.flights import Hold, Refuse, Send
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.process_pauses import SETTLE_MS
from corianderdoor.core.entry.servers import digest_id
from corianderdoor.core.entry.suspected_restarts import CONFIRM_PAUSE_MS
from corianderdoor.entry.directory import DirectoryService
from corianderdoor.platform.settings import decode_settings
from corianderdoor.standins.platform_fleet import build_settings

PAUSES_MS = (1_500, 20_000)


def choose(planner, id, now_ms):
    """Returns a flight, and the planner's choice for it."""
    flight = planner.admit(build_request(id=id, parts=()), now_ms)
    return flight, planner.choose(flight, now_ms)


# Guards against crashes of servers that restarted during the pause: the host
# took them for warm until it heard of it.
@pytest.mark.parametrize("pause_ms", PAUSES_MS)
def test_servers_count_as_cold_until_a_contact_after_the_pause(pause_ms):
    planner = build_planner(servers=1, hosts=15)
    planner.restarts.update_contact(0, 0)
    planner.selection.process_pauses.record_tick(0)
    flight, step = choose(planner, "r1", pause_ms)
    assert isinstance(step, Send)
    planner.record_sent(flight, step.server, pause_ms)
    assert not isinstance(choose(planner, "r2", pause_ms)[1], Send)
    late_ms = pause_ms + CONFIRM_PAUSE_MS
    planner.restarts.update_contact(late_ms - 1, late_ms)
    assert not isinstance(choose(planner, "r3", late_ms)[1], Send)
    planner.restarts.update_contact(late_ms, late_ms)
    assert isinstance(choose(planner, "r4", late_ms)[1], Send)


def test_servers_are_warm_again_if_the_store_stays_away():
    planner = build_planner(servers=1)
    planner.selection.process_pauses.record_tick(0)
    planner.selection.check_pause(5_000)
    server = planner.servers.get("s0")
    assert planner.selection.may_be_cold(server, 5_000)
    assert not planner.selection.may_be_cold(server, 5_000 + COLD_MS)


# Guards against twice the rate of a cold server: what was planned before the
# pause was sent after it, and no longer counted then.
@pytest.mark.parametrize("cold_ms", [0, 100_000])
def test_request_to_a_cold_server_counts_when_it_is_sent(cold_ms):
    planner = build_planner(servers=1, hosts=15)
    planner.servers.put(build_server("s0", cold_ms=cold_ms), 0)
    flight, step = choose(planner, "r1", 0)
    planner.servers.mark_cold("s0", 100_000)
    planner.record_sent(flight, step.server, 3_000)
    assert isinstance(choose(planner, "r2", 3_001)[1], Hold | Refuse)


# Guards against falls of brittle servers: after a pause nothing was known of
# what peers had in progress and had caused to be turned away.
@pytest.mark.parametrize("pause_ms", [3_000, 20_000])
def test_brittle_server_gets_only_this_hosts_part_after_a_pause(pause_ms):
    planner = build_planner(servers=0, hosts=2, plain=1)
    announce(planner, limit=30)
    reject(planner, limit=30, load=8)
    report = RoomReport(digest_id("p0"), 30, 20, 8)
    planner.rooms.merge_reports("h2", (report,), 0)
    planner.selection.process_pauses.record_tick(0)
    planner.selection.check_pause(pause_ms)
    planner.rooms.tick(pause_ms)
    assert planner.rooms.count() == 1
    sent, _ = send_until_full(planner, pause_ms)
    assert sent == planner.rooms.lowest_room() // 2


class Conn:
    """Records the answers on a connection."""

    def __init__(self) -> None:
        self.statuses: list[int] = []

    async def respond(self, status, headers, body=b""):
        """Records an answer."""
        self.statuses.append(status)


# Guards against answers that name hosts which left during the pause.
def test_directory_answers_once_the_peers_were_heard_after_a_pause():
    async def run() -> None:
        clock, conn, planner = ManualClock(), Conn(), build_planner()
        data = build_settings("h1", "127.0.0.1", ("127.0.0.1", 1))
        directory = DirectoryService(
            decode_settings(data), planner, Peers("h1"), clock, lambda: True
        )
        planner.selection.process_pauses.record_tick(0)
        clock.advance(PAUSES_MS[0])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(directory._answer_hosts, conn)
            await anyio.sleep(0.05)
            assert conn.statuses == []
            clock.advance(SETTLE_MS)
        assert conn.statuses == [200]

    anyio.run(run)
