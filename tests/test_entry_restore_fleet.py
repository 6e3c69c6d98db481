"""A fleet of real entry hosts while its store is restored from a copy."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from corianderdoor.standins.platform_fleet import (
    build_config,
    build_route,
    METRICS_PORT,
    PLAIN_SERVICE,
    PlatformFleet,
    run_fleet,
    send_request,
)

HOSTS = 5
AWAY_S = 0.5
SETTLE_S = 8


async def read_eras(fleet: PlatformFleet) -> list[str]:
    """Returns the era that each host reports."""
    eras = []
    for address, _ in fleet.hosts.values():
        reply = await send_request((address, METRICS_PORT), "/metrics")
        eras += [
            line.split()[-1]
            for line in reply.body.decode().splitlines()
            if line.startswith("corianderdoor_replica_era")
        ]
    return eras


async def wait_until(holds: Callable[[], bool]) -> None:
    """Waits until `holds` returns True."""
    while not holds():
        await anyio.sleep(0.02)


async def wait_for_status(
    fleet: PlatformFleet, host: str, id: str, status: int
) -> None:
    """Sends requests to a route until the host answers with `status`."""
    with anyio.fail_after(5):
        while (await fleet.chat(host, id, "/later/x")).status != status:
            await anyio.sleep(0.02)


def hosts_listed(fleet: PlatformFleet) -> int:
    """Returns how many hosts have a record in the store."""
    keys = [f"corianderdoor/hosts/{name}" for name in fleet.hosts]
    return sum(fleet.store.state.get(key) is not None for key in keys)


# Guards against a fleet that goes back with its store: routes and servers
# that the copy does not know are lost, or hosts go on in two eras.
@pytest.mark.parametrize("restores", [1, 2])
def test_fleet_serves_through_a_restore_and_follows_the_new_era(restores):
    async def run() -> None:
        async with run_fleet(1, 1, HOSTS) as fleet:
            store = fleet.store
            snapshot = store.state.take_snapshot()
            routes = [build_route("/later/", "idempotent", PLAIN_SERVICE)]
            store.state.put("op/config", build_config(2, routes))
            worker = await fleet.add_worker("plain-later", False)
            for name in fleet.hosts:
                await wait_for_status(fleet, name, f"wait-{name}", 200)
            lists = store.calls["kv-range"]
            for _ in range(restores):
                store.fault = "reset"
                await anyio.sleep(AWAY_S)
                store.state.restore(snapshot)
                store.fault = ""
                for name in fleet.hosts:
                    reply = await fleet.chat(name, f"in-{name}", "/later/x")
                    assert reply.status == 200
            expected = [f"{1 + restores}.0"] * HOSTS
            with anyio.fail_after(SETTLE_S):
                while await read_eras(fleet) != expected:
                    await anyio.sleep(0.05)
                await wait_until(lambda: hosts_listed(fleet) == HOSTS)
            # Two of the hosts watch the store and list it.
            assert store.calls["kv-range"] <= lists + 2 * restores
            for name in fleet.hosts:
                reply = await fleet.chat(name, f"after-{name}", "/later/x")
                assert reply.status == 200
            # A host that starts now finds the older state in the store.
            await fleet.add_host("host-late")
            await wait_for_status(fleet, "host-late", "late", 200)
            reply = await fleet.chat("host-late", "lost", "/read/x")
            assert reply.status == 404
            store.state.put("op/config", build_config(3))
            for name in fleet.hosts:
                await wait_for_status(fleet, name, f"new-{name}", 404)
            assert worker is fleet.workers["plain-later"]

    anyio.run(run)
