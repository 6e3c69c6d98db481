"""Evacuations that a restored store has lost, and their ends."""

from __future__ import annotations

from typing import Final

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.replica import Change, Replica
from ..core.entry.servers import Servers
from ..platform.records import EVACUATION_PREFIX

# Servers of a data centre that takes requests again may be cold, which their
# entries show only after their next heartbeat; until then they count as cold.
READMITTED_COLD_MS: Final = 2_500
# An evacuation that is missing after a restore stays in force for this long,
# in which the operators write it again.
EVACUATION_GRACE_MS: Final = 30_000


class KeptEvacuations:
    """Keeps evacuations in force that are missing after a restore."""

    __slots__ = ("_servers", "_replica", "_clock", "_until_ms")

    def __init__(
        self, servers: Servers, replica: Replica, clock: Clock
    ) -> None:
        """Initializes the object.

        Args:
            servers: Have the data centres that are evacuated.
            replica: Gets what peers are to be told.
            clock: The clock.
        """
        self._servers = servers
        self._replica = replica
        self._clock = clock
        self._until_ms: dict[str, int] = {}

    def begin_era(self) -> None:
        """Gives the operators time anew to write evacuations again."""
        now_ms = self._clock.now_ms()
        for name in self._until_ms:
            self._until_ms[name] = now_ms + EVACUATION_GRACE_MS

    def tick(self, now_ms: int) -> None:
        """Ends what was kept for long enough, and tells peers of the rest."""
        for name, until_ms in list(self._until_ms.items()):
            if until_ms <= now_ms:
                log_event("evacuation_expired", "WARNING", data_centre=name)
                self.end(name)
            else:
                self._pass_on(name, until_ms - now_ms)

    def start(self, data_centre: str) -> None:
        """Puts an evacuation in force that the store has."""
        self._until_ms.pop(data_centre, None)
        evacuated = self._servers.evacuated | {data_centre}
        self._servers.set_evacuated(evacuated)

    def keep(
        self, data_centre: str, grace_ms: int = EVACUATION_GRACE_MS
    ) -> None:
        """Keeps an evacuation in force that the store has lost."""
        self._until_ms[data_centre] = self._clock.now_ms() + grace_ms
        self._pass_on(data_centre, grace_ms)
        log_event(
            "evacuation_kept",
            "WARNING",
            data_centre=data_centre,
            grace_ms=grace_ms,
        )

    def _pass_on(self, data_centre: str, left_ms: int) -> None:
        key = EVACUATION_PREFIX + data_centre
        self._replica.overrides.put(Change(key, b"", 0, left_ms))

    def end(self, data_centre: str) -> None:
        """Ends an evacuation; the servers may be cold."""
        servers = self._servers
        now_ms = self._clock.now_ms()
        self._until_ms.pop(data_centre, None)
        self._replica.overrides.remove(EVACUATION_PREFIX + data_centre)
        servers.set_evacuated(servers.evacuated - {data_centre})
        for server_id in servers.ids():
            server = servers.get(server_id)
            if server and server.data_centre == data_centre:
                servers.mark_cold(server_id, now_ms + READMITTED_COLD_MS)
