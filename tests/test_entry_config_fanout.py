"""Load pattern: a large desired state changes in a fleet with slow links.

First seen with 88 hosts: one host sent its copy to 86 others over 5 Mbit/s,
and routes were missing for seconds.
"""

from __future__ import annotations

from collections import Counter

import anyio

from corianderdoor.core.entry.heartbeat import Heartbeat
from corianderdoor.core.entry.peers import Peers
from corianderdoor.core.entry.replica import Change, Page
from corianderdoor.entry.peer_codec import encode_page
from corianderdoor.standins.platform_fleet import (
    build_config,
    build_route,
    PlatformFleet,
    run_fleet,
)

SLOW, FAST = 5.0, 100.0


def build_fleet(links: dict[str, float]) -> dict[str, Peers]:
    """Returns each host's view of the others."""
    fleet = {name: Peers(name, link) for name, link in links.items()}
    for own, peers in fleet.items():
        for name, link in links.items():
            if name != own:
                peers.add_listed(name, ("x", 1), ("x", 2), "a", 0, link)
                peers.record_heartbeat(Heartbeat(name, 1, 1, 0, False, ()), 0)
    return fleet


def watchers(fleet: dict[str, Peers]) -> list[str]:
    """Returns the hosts that watch the store."""
    return [name for name, peers in fleet.items() if peers.should_watch(10)]


def test_hosts_with_fast_links_watch_and_their_number_grows():
    links = {f"h{n}": FAST if n % 4 == 0 else SLOW for n in range(88)}
    watching = watchers(build_fleet(links))
    assert len(watching) == 4
    assert all(links[name] == FAST for name in watching)
    small = watchers(build_fleet({f"h{n}": SLOW for n in range(8)}))
    assert len(small) == 2


def test_hosts_ask_different_watchers():
    fleet = build_fleet({f"h{n}": FAST for n in range(88)})
    watching = watchers(fleet)
    asked: Counter[str] = Counter()
    for name, peers in fleet.items():
        if name in watching:
            continue
        for other in watching:
            peers.record_heartbeat(Heartbeat(other, 1, 9, 0, False, ()), 10)
        ahead = peers.find_peer_ahead(1, 20)
        assert ahead is not None
        asked[ahead.name] += 1
    assert set(asked) == set(watching)
    assert max(asked.values()) <= 2 * 84 / len(watching)


def test_copy_of_a_large_desired_state_is_small():
    routes = [
        build_route(f"/path-{n}/", "idempotent", "accounts")
        for n in range(350)
    ]
    value = build_config(1, routes)
    page = Page((Change("op/config", value, 1),), 1, False)
    # 22 copies in a second over 5 Mbit/s, with half of the link to spare.
    assert len(encode_page(page)) <= 5e6 / 8 / 22 / 2
    assert len(value) > 50_000


def test_host_whose_peers_send_no_copy_asks_the_store(monkeypatch):
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.state.put("op/config", build_config(2, []))
        for name in fleet.hosts:
            with anyio.fail_after(5):
                while True:
                    reply = await fleet.chat(name, f"id-{name}", "/read/x")
                    if reply.status == 404:
                        break
                    await anyio.sleep(0.02)

    async def run() -> None:
        async with run_fleet(1, 1, 4) as fleet:
            from corianderdoor.entry.peering import Peering

            async def fail(self, peer):
                return None

            monkeypatch.setattr(Peering, "pull", fail)
            await scenario(fleet)

    anyio.run(run)
