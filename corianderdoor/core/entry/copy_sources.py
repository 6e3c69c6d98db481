"""Choice of the peer from which a host copies items of the store."""

from __future__ import annotations

from collections.abc import Iterable

from .active_hosts import rank_host
from .overrides import UNTOLD_DIGEST
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
    own: str, peers: Iterable[Peer], replica: Replica, now_ms: int
) -> Peer | None:
    """Returns a peer that does not use all items of a restored store.

    Args:
        own: Name of this host.
        peers: The other hosts.
        replica: This host's replica of the store.
        now_ms: Monotonic time in ms.

    Returns:
        One whose list is not known here; None without one. Hosts break ties
        differently. Of those of an earlier release, which do not tell what is
        on their lists, the one that started first knows most.
    """
    found: list[tuple[bool, int, Peer]] = []
    for peer in peers:
        heartbeat = peer.last_heartbeat
        if heartbeat is None or now_ms > peer.alive_until_ms:
            continue
        told = heartbeat.told_overrides
        if peer.address is None or not replica.misses(heartbeat.era, told):
            continue
        if told == UNTOLD_DIGEST:
            found.append((True, heartbeat.boot, peer))
        else:
            found.append((False, rank_host(f"{own} {peer.name}"), peer))
    return min(found, key=lambda one: one[:2])[2] if found else None
