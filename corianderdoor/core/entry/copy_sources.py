"""Choice of the peer from which a host copies items of the store."""

from __future__ import annotations

from collections.abc import Iterable

from .active_hosts import rank_host
from .peer import Peer
from .replica import is_ahead, Replica


def find_ahead(
    own: str, peers: Iterable[Peer], known: tuple[int, int], now_ms: int
) -> Peer | None:
    """Returns the reachable peer that is ahead most; None without one.

    Hosts break ties differently, so that no peer has to send copies to all of
    them.

    Args:
        own: Name of this host.
        peers: The other hosts.
        known: Era and revision of this host's replica.
        now_ms: Monotonic time in ms.
    """
    found: list[tuple[int, int, int, Peer]] = []
    for peer in peers:
        heartbeat = peer.last_heartbeat
        if heartbeat is None or peer.address is None:
            continue
        if now_ms > peer.alive_until_ms:
            continue
        if is_ahead(heartbeat.era, heartbeat.revision, *known):
            rank = rank_host(f"{own} {peer.name}")
            found.append((heartbeat.era, heartbeat.revision, rank, peer))
    return max(found, key=lambda one: one[:3])[3] if found else None


def find_overriding_peer(
    peers: Iterable[Peer], replica: Replica, now_ms: int
) -> Peer | None:
    """Returns a peer that does not use all items of a restored store.

    Args:
        peers: The other hosts.
        replica: This host's replica of the store.
        now_ms: Monotonic time in ms.

    Returns:
        The one that started first, as it knows most of what was before; None
        if this host knows what it has to know of them.
    """
    if not replica.misses(replica.era):
        return None
    found: list[tuple[int, Peer]] = []
    for peer in peers:
        heartbeat = peer.last_heartbeat
        if heartbeat is None or now_ms > peer.alive_until_ms:
            continue
        if heartbeat.has_overrides and peer.address is not None:
            if heartbeat.era == replica.era:
                found.append((heartbeat.boot, peer))
    return min(found, key=lambda pair: pair[0])[1] if found else None
