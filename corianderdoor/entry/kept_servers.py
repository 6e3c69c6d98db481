"""Servers that a restored store lists otherwise than they were known."""

from __future__ import annotations

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.replica import Change, Replica
from ..core.entry.servers import Servers
from ..platform.changes import decode_change, ServerListed
from ..platform.records import SERVER_PREFIX


class KeptServers:
    """Keeps servers as they were known, in place of a copy's entries."""

    __slots__ = ("_servers", "_replica", "_clock")

    def __init__(
        self, servers: Servers, replica: Replica, clock: Clock
    ) -> None:
        """Initializes the object.

        Args:
            servers: The listed servers.
            replica: Gets what peers are to be told.
            clock: The clock.
        """
        self._servers = servers
        self._replica = replica
        self._clock = clock

    def tick(self, now_ms: int) -> None:
        """Uses servers again that the store goes on listing."""
        for server in self._servers.departed.release(now_ms):
            log_event("server_readmitted", server=server.id)
            self._replica.overrides.remove(SERVER_PREFIX + server.id)
            self._servers.put(server, now_ms)

    def hold_back(self, item: Change) -> None:
        """Stops using a server that left before the store was restored."""
        decoded = decode_change(item)
        if isinstance(decoded, ServerListed):
            now_ms = self._clock.now_ms()
            servers = self._servers
            known = servers.get(decoded.server.id)
            if known and not known.is_no_newer_than(decoded.server):
                return
            servers.remove(decoded.server.id, now_ms)
            servers.departed.record(decoded.server, now_ms)
            servers.departed.hold_back(decoded.server, now_ms)
            log_event("server_copy_ignored", server=decoded.server.id)

    def pass_on(self, server_id: str, former: dict[str, bytes | None]) -> None:
        """Lists a server that left, or drains, in place of a copy's item.

        Args:
            server_id: Id of the server.
            former: Values in force before the restore.
        """
        key = SERVER_PREFIX + server_id
        known = self._servers.get(server_id)
        if known is None:
            self._replica.overrides.put(Change(key, None, 0))
        elif not known.available and key in former:
            self._replica.overrides.put(Change(key, former[key], 0))
