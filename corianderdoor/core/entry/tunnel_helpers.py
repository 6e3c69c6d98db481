"""Order in which peers are asked for a connection to a server."""

from __future__ import annotations

from collections.abc import Iterable
from collections import Counter

from .active_hosts import rank_host
from .addresses import Address
from .peer import Peer


def order_helpers(
    own: str, peers: Iterable[Peer], server_id: str, now_ms: int
) -> list[Address]:
    """Returns the peers to ask for a connection to a server, best first.

    Peers that reach servers themselves come first, the data centres in turn,
    in an order of this host and the server. Peers that shut down come later,
    as they end their tunnels. Peers that are listed and have sent no heartbeat
    yet come last: this host may just have started.

    Args:
        own: Name of this host.
        peers: The other hosts.
        server_id: Id of the server.
        now_ms: Monotonic time in ms.
    """
    live = [
        peer
        for peer in peers
        if peer.address is not None
        and (
            now_ms <= peer.named_until_ms
            or peer.listed
            and peer.last_heartbeat is None
        )
    ]
    live.sort(key=lambda p: rank_host(f"{own} {server_id} {p.name}"))
    seen: Counter[str] = Counter()
    turns: dict[str, int] = {}
    for peer in live:
        turns[peer.name] = seen[peer.data_centre]
        seen[peer.data_centre] += 1
    live.sort(
        key=lambda p: (
            p.last_heartbeat is None,
            p.leaving,
            p.links_cut,
            turns[p.name],
        )
    )
    return [peer.address for peer in live if peer.address is not None]
