"""Which hosts share the limits that servers name."""

from __future__ import annotations

from typing import Final

from .active_hosts import MIN_ACTIVE_HOSTS
from .peers import Peers

# Share of the peers whose heartbeats must arrive for this host's choice of
# active hosts to be the same as theirs.
MIN_LIVE_SHARE: Final = 0.9


def list_limit_hosts(hosts: list[str], peers: Peers, now_ms: int) -> list[str]:
    """Returns the names of the hosts that share the limits of servers.

    In a large fleet these are the active hosts, as shares of hosts in reserve
    would not be used. A host that gets too few heartbeats to know which are
    active counts all hosts, like others in its place.

    Args:
        hosts: Names of all hosts, this one included.
        peers: The other hosts.
        now_ms: Monotonic time in ms.
    """
    if len(hosts) <= MIN_ACTIVE_HOSTS:
        return hosts
    if peers.count_live(now_ms) < MIN_LIVE_SHARE * (len(hosts) - 1):
        return hosts
    return [name for name in hosts if peers.active.includes(name)]
