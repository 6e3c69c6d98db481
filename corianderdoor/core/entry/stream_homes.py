"""Hosts that keep copies of the origin of a stream."""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from collections import Counter
from typing import Final

from .active_hosts import rank_host
from .peer import Peer

# Hosts after the place of a stream on the ring among which those of
# different data centres come first.
SPAN: Final = 12
# Hosts that get a copy. All that know of a stream have to be lost at once for
# it to become unknown.
COPIES: Final = 3
# Hosts that are asked; more than get a copy, as the list of hosts may have
# changed since.
ASKED: Final = 8


class StreamHomes:
    """The peers on a ring by the hash of their names.

    All hosts that know the same peers find the same ones for a stream.
    """

    __slots__ = ("_names", "_ring", "_peers")

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()
        self._ring: list[tuple[int, str]] = []
        self._peers: dict[str, Peer] = {}

    def update(self, peers: Iterable[Peer]) -> None:
        """Replaces the peers."""
        self._peers = {p.name: p for p in peers if p.address is not None}
        names = frozenset(self._peers)
        if names != self._names:
            self._names = names
            self._ring = sorted((rank_host(name), name) for name in names)

    def find_asked(self, stream: int) -> list[Peer]:
        """Returns the peers to ask for the origin of a stream."""
        return self._find(stream)[:ASKED]

    def find_copied(self, stream: int, now_ms: int) -> list[Peer]:
        """Returns the peers that get a copy of the origin of a stream."""
        near = self._find(stream)
        live = [peer for peer in near if now_ms <= peer.named_until_ms]
        return (live or near)[:COPIES]

    def _find(self, stream: int) -> list[Peer]:
        """Returns the nearest peers, with the data centres in turn."""
        start = bisect.bisect_left(self._ring, (stream, ""))
        after = (self._ring[start:] + self._ring[:start])[:SPAN]
        near = [self._peers[name] for _, name in after]
        seen: Counter[str] = Counter()
        turns: dict[str, int] = {}
        for peer in near:
            turns[peer.name] = seen[peer.data_centre]
            seen[peer.data_centre] += 1
        return sorted(near, key=lambda peer: turns[peer.name])
