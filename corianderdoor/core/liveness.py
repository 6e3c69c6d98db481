"""Which backend servers may get new work."""

from __future__ import annotations

from typing import Final

from .topology import HostList, Server

FLAP_WINDOW_MS: Final = 600_000
FLAP_HOLD_MS: Final = 30_000
FLAP_HOLD_MAX_MS: Final = 480_000
DEPARTURES_BEFORE_HOLD: Final = 1


class Liveness:
    """Combines the lagging host list with leave notices, by incarnation.

    A server that was reported as leaving gets no new work from then on,
    whatever the list says, until the list names a newer incarnation. A
    server that departs repeatedly is held down after its return, for a time
    that doubles with each departure, so that its chats move once and not
    with each flap; but not if its pool has no other server.
    State covers servers that are listed or left within `FLAP_WINDOW_MS`.
    """

    __slots__ = ("_listed", "_leaving", "_departures")

    def __init__(self) -> None:
        self._listed: dict[str, Server] = {}
        self._leaving: dict[str, int] = {}
        self._departures: dict[str, tuple[int, int]] = {}

    def update_list(self, listing: HostList, now_ms: int) -> None:
        """Applies the platform's current list, by newest incarnation."""
        updated: dict[str, Server] = {}
        for server in listing.servers:
            known = self._listed.get(server.name)
            if known is not None and known.incarnation > server.incarnation:
                server = known
            elif known is not None and known.incarnation < server.incarnation:
                self._count_departure(known, now_ms)
            updated[server.name] = server
            if server.name in listing.leaving:
                self.record_leave(server.name, server.incarnation, now_ms)
        for name, server in self._listed.items():
            if name not in updated:
                self._count_departure(server, now_ms)
        self._listed = updated
        self._expire(now_ms)

    def record_leave(self, name: str, incarnation: int, now_ms: int) -> bool:
        """Records that an incarnation of a server is leaving.

        Returns:
            Whether this is new, so that peers should be notified.
        """
        if self._leaving.get(name, -1) >= incarnation:
            return False
        listed = self._listed.get(name)
        if listed is not None and listed.incarnation <= incarnation:
            self._count_departure(listed, now_ms)
        self._leaving[name] = incarnation
        return True

    def live(self, now_ms: int) -> tuple[Server, ...]:
        """Returns the servers that may get new work."""
        present = [
            server
            for server in self._listed.values()
            if self._leaving.get(server.name, -1) < server.incarnation
        ]
        stable = [s for s in present if not self._is_held_down(s.name, now_ms)]
        served = {server.pool for server in stable}
        stable += [s for s in present if s.pool not in served]
        return tuple(stable)

    def _is_held_down(self, name: str, now_ms: int) -> bool:
        count, at_ms = self._departures.get(name, (0, 0))
        if count <= DEPARTURES_BEFORE_HOLD:
            return False
        hold_ms = FLAP_HOLD_MS << min(10, count - DEPARTURES_BEFORE_HOLD - 1)
        return now_ms - at_ms < min(FLAP_HOLD_MAX_MS, hold_ms)

    def _count_departure(self, server: Server, now_ms: int) -> None:
        if self._leaving.get(server.name, -1) >= server.incarnation:
            return
        count, _ = self._departures.get(server.name, (0, 0))
        self._departures[server.name] = (count + 1, now_ms)

    def _expire(self, now_ms: int) -> None:
        self._departures = {
            name: (count, at_ms)
            for name, (count, at_ms) in self._departures.items()
            if now_ms - at_ms <= FLAP_WINDOW_MS
        }
        self._leaving = {
            name: incarnation
            for name, incarnation in self._leaving.items()
            if name in self._listed or name in self._departures
        }
