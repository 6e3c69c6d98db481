"""Runs `Control` for routers that a test builds itself."""

import random

from corianderdoor.adapters.keyring import Keyring
from corianderdoor.adapters.peer_capnp import bind_datagrams, UdpPeers
from corianderdoor.adapters.serving import bind_socket
from corianderdoor.adapters.store_http import HttpStore
from corianderdoor.core.config import CONFIG_KEY, decode_config
from corianderdoor.core.topology import EntryHost
from corianderdoor.daemons.control import Control


async def run_control(router, settings, clock, peers=None, control=None):
    """Runs a router's `Control`.

    Without `peers`, datagrams use a free port. The HTTP port differs from the
    datagram port, so peers cannot pull from it; no test here does.
    """
    keyring = Keyring(["key"])
    if peers is None:
        peers = UdpPeers(keyring, settings.name, clock.wall_ms())
        udp = bind_datagrams("127.0.0.1", 0)
        control = f"127.0.0.1:{udp.getsockname()[1]}"
        await peers.open(udp)
    own = EntryHost(
        settings.name, settings.data_centre, settings.region, "", control
    )
    store = HttpStore(settings.store_url)
    parts = Control(
        own, store, peers, keyring, clock, random.Random(3), router
    )
    await parts.run(bind_socket("127.0.0.1", 0))


async def enforce_stored(router, store):
    """Reads the stored configuration once and puts it in force."""
    found = (await store.read(CONFIG_KEY)).ok
    router.enforce(decode_config(found.value, found.version).ok)
