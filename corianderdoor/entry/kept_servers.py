"""Servers that a restored store lists otherwise than they were known."""

from __future__ import annotations

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.replica import Change, Replica
from ..core.entry.servers import BackendServer, Servers
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

    def pass_on(
        self, copied: BackendServer, former: dict[str, Change], grace_ms: int
    ) -> None:
        """Lists what is in force in place of a copy's entry.

        A server that left, one that drains, or a later start of the server.

        Args:
            copied: The server as the copy has it.
            former: What was in force before the restore, by key.
            grace_ms: How long a later start is used without its writing.
        """
        key = SERVER_PREFIX + copied.id
        known = self._servers.get(copied.id)
        overrides = self._replica.overrides
        if known is None:
            overrides.put(Change(key, None, 0))
        elif key not in former:
            return
        elif not known.same_incarnation(copied):
            until_ms = self._clock.now_ms() + grace_ms
            overrides.put(
                Change(key, former[key].value, 0, grace_ms), until_ms
            )
        elif not known.available:
            overrides.put(Change(key, former[key].value, 0))

    def adopt(self, override: Change, server: BackendServer) -> None:
        """Lists a peer's entry too, if this host now goes by it.

        Args:
            override: The peer's entry.
            server: The server that it names.
        """
        known = self._servers.get(server.id)
        if known is None or not known.same_incarnation(server):
            return
        if known.available != server.available:
            return
        if not override.grace_ms:
            self._replica.overrides.put(override)
            return
        now_ms = self._clock.now_ms()
        self._servers.remove(server.id, now_ms, override.grace_ms)
        self._replica.overrides.put(override, now_ms + override.grace_ms)
