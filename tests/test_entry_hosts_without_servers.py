"""Hosts that lost their links to the servers but not to their peers."""

from __future__ import annotations

import anyio
import msgspec
import pytest
from test_entry_path import run, total_runs

from corianderdoor.standins.platform_fleet import (
    PlatformFleet,
    READY_PORT,
    Reply,
    send_request,
)
from corianderdoor.standins.platform_links import CUT_MODES

# Time after which the operators judge, counted from the cut.
JUDGED_AFTER_MS = 3_000
PATHS = ("/chat/x", "/draft/x", "/pay/x", "/read/x")
# First tries of each path; the share of them that has to be served.
TRIES = 10
SERVED_SHARE = 0.95
TRAFFIC_GAP_MS = 100


async def send_tries(
    fleet: PlatformFleet, host: str, name: str, count: int
) -> dict[str, Reply]:
    """Sends `count` first tries of each path to a host."""
    replies: dict[str, Reply] = {}

    async def send(id: str, path: str) -> None:
        replies[id] = await fleet.chat(host, id, path)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            for path in PATHS:
                id = f"{name}{path.replace('/', '-')}-{number}"
                tasks.start_soon(send, id, path)
            await anyio.sleep(TRAFFIC_GAP_MS / 1_000)
    return replies


async def cut_links(
    fleet: PlatformFleet, mode: str, hosts: tuple[str, ...]
) -> None:
    """Cuts hosts from all servers and waits, with traffic, to be judged."""
    for host in hosts:
        await send_tries(fleet, host, f"{host}-warm", 2)
    for host in hosts:
        fleet.links[host].cut(mode)
    async with anyio.create_task_group() as tasks:
        for host in hosts:
            tasks.start_soon(send_tries, fleet, host, f"{host}-between", 5)
        await anyio.sleep(JUDGED_AFTER_MS / 1_000)


def count_served(replies: dict[str, Reply]) -> int:
    """Returns how many replies are complete answers of servers."""
    return sum(
        reply.status == 200
        and reply.complete
        and b"response-signature" in reply.headers
        for reply in replies.values()
    )


async def read_directory(fleet: PlatformFleet, host: str) -> list[str]:
    """Returns the addresses that a host names to callers."""
    reply = await send_request(
        (fleet.hosts[host][0], READY_PORT),
        "/corianderdoor/resolution?name=chat.example",
    )
    return msgspec.json.decode(reply.body)["addresses"]


# Guards against RECOVER: each request tried one server after the other until
# it was refused, though the peers reached all of them.
@pytest.mark.parametrize("mode", CUT_MODES)
def test_host_without_servers_serves_first_tries(mode):
    async def scenario(fleet):
        await cut_links(fleet, mode, ("host-0",))
        replies = await send_tries(fleet, "host-0", "cut", TRIES)
        assert count_served(replies) >= SERVED_SHARE * len(replies)
        for id in replies:
            if "pay" in id:
                assert total_runs(fleet, id) <= 1

    run(scenario, hosts=3)


# Guards against RECOVER: as above, when most hosts are cut off and a peer
# that is asked for help is too.
def test_hosts_without_servers_find_the_peer_that_has_them():
    async def scenario(fleet):
        cut = ("host-0", "host-1", "host-2")
        await cut_links(fleet, "hang", cut)
        replies = await send_tries(fleet, "host-0", "cut", TRIES)
        assert count_served(replies) >= SERVED_SHARE * len(replies)

    run(scenario, hosts=4)


# Guards against RECOVER: callers were sent to hosts without servers as
# before.
def test_callers_are_not_sent_to_a_host_without_servers():
    async def scenario(fleet):
        await cut_links(fleet, "hang", ("host-0",))
        own = "{}:{}".format(*fleet.hosts["host-0"])
        for host in fleet.hosts:
            assert own not in await read_directory(fleet, host)
        fleet.links["host-0"].restore()
        with anyio.fail_after(5):
            while own not in await read_directory(fleet, "host-1"):
                await send_tries(fleet, "host-0", "again", 1)

    run(scenario, hosts=3)
