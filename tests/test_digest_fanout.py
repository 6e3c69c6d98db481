"""Tests of the exchange of load digests in large and small fleets."""

import random

from builders import build_server
from test_home_placement import LEFT_MS, POOL, Routers, warm_report

from corianderdoor.core.digest_fanout import DigestFanout, MAX_MESH_ROUTERS
from corianderdoor.core.home_placement import HomePlacement
from corianderdoor.core.permits import Ask
from corianderdoor.core.topology import EntryHost

CENTRES = ("dc-a", "dc-b", "dc-c")
EACH = 10


class LargeFleet(Routers):
    """Routers and servers in three data centres."""

    def __init__(self):
        self.now_ms = 0
        self.entries = [
            EntryHost(f"{centre}-r{n}", centre, "reg", "", "")
            for centre in CENTRES
            for n in range(EACH)
        ]
        servers = tuple(
            build_server(f"{centre}-e{n}", data_centre=centre, capacity=64)
            for centre in CENTRES
            for n in range(EACH)
        )
        self.cores = {}
        for entry in self.entries:
            core = HomePlacement(entry.name, 1.5, random.Random(1))
            core.set_entries(self.entries, 0)
            core.set_servers(servers, 0)
            self.cores[entry.name] = core
            for state in core.admission.states.values():
                core.apply_report(warm_report(state.server), 0)
                state.apply_hand_off(state.hand_off(), 0)
                if state.server.data_centre == CENTRES[0]:
                    ask = Ask(1, state.server.name, 960, LEFT_MS)
                    state.grant(("x", 1), ask, 0)
            core.admission.tick(0)


def test_mean_reaches_every_router_over_the_delegates():
    fleet = LargeFleet()
    for _ in range(6):
        fleet.exchange_digests()
    means = {core.admission.mean(POOL, 0) for core in fleet.cores.values()}
    assert means == {5.0}


def test_large_fleet_bounds_the_receivers_of_each_router():
    fleet = LargeFleet()
    receivers = []
    for entry in fleet.entries:
        fanout = DigestFanout(entry.name)
        fanout.set_entries(fleet.entries)
        receivers.append(len(fanout.local_peers) + len(fanout.delegates))
        assert len(fanout.local_peers) == EACH - 1
    assert max(receivers) == EACH - 1 + len(CENTRES) - 1
    assert len(fleet.entries) > MAX_MESH_ROUTERS


def test_small_fleet_sends_digests_to_every_router():
    entries = LargeFleet().entries[::2]
    fanout = DigestFanout(entries[0].name)
    fanout.set_entries(entries)
    assert len(fanout.local_peers) == len(entries) - 1
    assert fanout.delegates == []
