"""To whom a router tells the load of its servers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .rendezvous import rank
from .topology import EntryHost

DIGEST_MS: Final = 1_000
DIGEST_MS_PER_PEER: Final = 75
MAX_MESH_ROUTERS: Final = 20
NEWS_MS_PER_PEER: Final = 10


class DigestFanout:
    """Names the receivers of load digests, so that bytes stay bounded.

    In a fleet of up to `MESH_ROUTERS`, each router tells its own servers'
    load to all. In a larger one it tells the routers of its data centre.
    One of them, the first of the centre's rendezvous order, tells the
    centre's sums to its like in the other data centres, and the sums of
    those to its own.

    Attributes:
        near: The routers that get this one's own digests.
        delegates: The delegates of the other data centres.
        is_delegate: Whether this router speaks for its data centre.
    """

    __slots__ = ("near", "delegates", "is_delegate", "_me")

    def __init__(self, me: str) -> None:
        self.near: list[str] = []
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
        near = centres.pop(own, [])
        self.near = [name for name in near if name != self._me]
        self.is_delegate = bool(near) and rank(own, near)[0] == self._me
        self.delegates = [
            rank(centre, names)[0] for centre, names in centres.items()
        ]

    @property
    def period_ms(self) -> int:
        """The longest time between two digests, in ms."""
        return max(DIGEST_MS, DIGEST_MS_PER_PEER * self._receivers())

    @property
    def news_ms(self) -> int:
        """The least time between two digests, in ms."""
        return NEWS_MS_PER_PEER * self._receivers()

    def _receivers(self) -> int:
        if self.is_delegate:
            return 2 * len(self.near) + len(self.delegates)
        return len(self.near)
