"""Recipients of the load digests that a router sends."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .rendezvous import rank
from .topology import EntryHost

DIGEST_INTERVAL_MS: Final = 1_000
DIGEST_INTERVAL_MS_PER_PEER: Final = 75
MAX_MESH_ROUTERS: Final = 20
MIN_INTERVAL_MS_PER_PEER: Final = 10


class DigestFanout:
    """Chooses the recipients of load digests so that traffic stays bounded.

    In a fleet of up to `MAX_MESH_ROUTERS`, each router sends the load of
    its own servers to all others. In a larger one it sends it to the routers
    of its data centre. One of them, the delegate, is the first of the
    centre's rendezvous order; it sends the centre's sums to the delegates of
    the other data centres, and their sums to the routers of its own.

    Attributes:
        local_peers: The routers that get this router's own digests.
        delegates: The delegates of the other data centres.
        is_delegate: Whether this router is its data centre's delegate.
    """

    __slots__ = ("local_peers", "delegates", "is_delegate", "_me")

    def __init__(self, me: str) -> None:
        self.local_peers: list[str] = []
        self.delegates: list[str] = []
        self.is_delegate = False
        self._me = me

    def set_entries(self, entries: Iterable[EntryHost]) -> None:
        """Replaces the live routers."""
        entries = tuple(entries)
        centres: dict[str, list[str]] = {}
        own = ""
        for entry in entries:
            centre = entry.data_centre
            if len(entries) <= MAX_MESH_ROUTERS:
                centre = ""
            centres.setdefault(centre, []).append(entry.name)
            if entry.name == self._me:
                own = centre
        local_peers = centres.pop(own, [])
        self.local_peers = [name for name in local_peers if name != self._me]
        self.is_delegate = (
            bool(local_peers) and rank(own, local_peers)[0] == self._me
        )
        self.delegates = [
            rank(centre, names)[0] for centre, names in centres.items()
        ]

    @property
    def max_interval_ms(self) -> int:
        """Interval after which a digest is sent in any case, in ms."""
        return max(
            DIGEST_INTERVAL_MS, DIGEST_INTERVAL_MS_PER_PEER * self._receivers()
        )

    @property
    def min_interval_ms(self) -> int:
        """Shortest interval between two digests, in ms."""
        return MIN_INTERVAL_MS_PER_PEER * self._receivers()

    def _receivers(self) -> int:
        if self.is_delegate:
            return 2 * len(self.local_peers) + len(self.delegates)
        return len(self.local_peers)
