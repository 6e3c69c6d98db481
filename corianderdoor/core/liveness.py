"""Which backend servers may get new work, by all the evidence there is."""

from __future__ import annotations

from typing import Final

from .topology import HostList, Server

FLAP_WINDOW_MS: Final = 600_000
FLAP_HOLD_MS: Final = 30_000
FLAP_HOLD_MAX_MS: Final = 480_000
FREE_DEPARTURES: Final = 1


class Liveness:
    """Joins the lagging list with the servers' own word, by incarnation.

    A server that said itself that it leaves, or of which a peer heard so,
    is out from then on, whatever the list says, until the list names a
    newer incarnation. One that departs repeatedly is held out after its
    return, for a time that doubles with each departure, so that its chats
    move once and not with each flap; but never the last one of its pool.
    State is two entries for each listed server at most.
    """

    __slots__ = ("_listed", "_left", "_departures")

    def __init__(self) -> None:
        self._listed: dict[str, Server] = {}
        self._left: dict[str, int] = {}
        self._departures: dict[str, tuple[int, int]] = {}

    def update_list(self, listing: HostList, now_ms: int) -> None:
        """Takes the platform's list as it now reads."""
        fresh: dict[str, Server] = {}
        for server in listing.servers:
            known = self._listed.get(server.name)
            if known is not None and known.incarnation > server.incarnation:
                server = known
            elif known is not None and known.incarnation < server.incarnation:
                self._count_departure(known, now_ms)
            fresh[server.name] = server
            if server.name in listing.leaving:
                self.record_leave(server.name, server.incarnation, now_ms)
        for name, server in self._listed.items():
            if name not in fresh:
                self._count_departure(server, now_ms)
        self._listed = fresh
        self._forget(now_ms)

    def record_leave(self, name: str, incarnation: int, now_ms: int) -> bool:
        """Takes the word that an incarnation of a server leaves.

        Returns:
            Whether this is news that peers should hear.
        """
        if self._left.get(name, -1) >= incarnation:
            return False
        listed = self._listed.get(name)
        if listed is not None and listed.incarnation <= incarnation:
            self._count_departure(listed, now_ms)
        self._left[name] = incarnation
        return True

    def live(self, now_ms: int) -> tuple[Server, ...]:
        """Returns the servers that may get new work."""
        present = [
            server
            for server in self._listed.values()
            if self._left.get(server.name, -1) < server.incarnation
        ]
        steady = [s for s in present if not self._is_held(s.name, now_ms)]
        served = {server.pool for server in steady}
        steady += [s for s in present if s.pool not in served]
        return tuple(steady)

    def _is_held(self, name: str, now_ms: int) -> bool:
        count, at_ms = self._departures.get(name, (0, 0))
        if count <= FREE_DEPARTURES:
            return False
        hold_ms = FLAP_HOLD_MS << min(10, count - FREE_DEPARTURES - 1)
        return now_ms - at_ms < min(FLAP_HOLD_MAX_MS, hold_ms)

    def _count_departure(self, server: Server, now_ms: int) -> None:
        if self._left.get(server.name, -1) >= server.incarnation:
            return
        count, _ = self._departures.get(server.name, (0, 0))
        self._departures[server.name] = (count + 1, now_ms)

    def _forget(self, now_ms: int) -> None:
        self._departures = {
            name: (count, at_ms)
            for name, (count, at_ms) in self._departures.items()
            if now_ms - at_ms <= FLAP_WINDOW_MS
        }
        self._left = {
            name: incarnation
            for name, incarnation in self._left.items()
            if name in self._listed or name in self._departures
        }
