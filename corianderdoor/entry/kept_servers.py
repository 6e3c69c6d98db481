"""Servers that the store lists otherwise than they are known.

A restored store lists them as they were before, and a write that the store
executes late replaces a newer entry until the server writes its next one.
"""

from __future__ import annotations

from typing import Final

from ..adapters.logs import log_event
from ..core.clock import Clock
from ..core.entry.planner import Planner
from ..core.entry.replica import Change, Replica
from ..core.entry.servers import BackendServer
from ..platform.changes import decode_change, ServerListed
from ..platform.records import SERVER_PREFIX
from .server_changes import list_server

# Allowed on top of the silence after which the platform removes an entry.
REMOVAL_MARGIN_MS: Final = 500


class KeptServers:
    """Keeps servers as they were known, in place of older entries."""

    __slots__ = ("_planner", "_servers", "_replica", "_clock", "_hold_ms")

    def __init__(
        self,
        planner: Planner,
        replica: Replica,
        clock: Clock,
        silence_ms: int,
    ) -> None:
        """Initializes the object.

        Args:
            planner: Has the listed servers.
            replica: Gets what peers are to be told.
            clock: The clock.
            silence_ms: Silence after which a server's entry is removed.
        """
        self._planner = planner
        self._servers = planner.servers
        self._replica = replica
        self._clock = clock
        self._hold_ms = silence_ms + REMOVAL_MARGIN_MS

    def tick(self, now_ms: int) -> None:
        """Uses entries that the store goes on listing.

        While the store is away, servers can't replace or end theirs.
        """
        departed = self._servers.departed
        if not self._planner.restarts.in_contact:
            departed.extend(now_ms + self._hold_ms)
        for server in departed.list_held_back():
            self._doubt_version(server, now_ms)
        for server in departed.release(now_ms):
            log_event("server_readmitted", server=server.id)
            self._replica.overrides.remove(SERVER_PREFIX + server.id)
            list_server(self._planner, server, now_ms)

    def defer(self, server: BackendServer) -> bool:
        """Holds back an entry that the store may have got late.

        Such a write is soon replaced by the server's next one, or removed as
        the entry of a silent server. An entry that stays is the server's own,
        whose clock or count was set back.

        Returns:
            Whether it is held back.
        """
        now_ms = self._clock.now_ms()
        is_overtaken = self._servers.is_overtaken(server, now_ms)
        if not is_overtaken and not self._servers.may_be_overtaken(
            server, now_ms
        ):
            return False
        self._servers.departed.hold(server, now_ms + self._hold_ms)
        self._doubt_version(server, now_ms)
        known = self._servers.get(server.id)
        log_event(
            "server_entry_late",
            server=server.id,
            certain=is_overtaken,
            number=server.sequence,
            known=known.sequence if known else None,
            hold_ms=self._hold_ms,
        )
        return True

    def _doubt_version(self, held: BackendServer, now_ms: int) -> None:
        """Doubts the version of a server that may have an earlier start.

        The entry of an earlier start may be that of the process that runs, if
        the clock of its host was set back.
        """
        known = self._servers.get(held.id)
        if known is not None and held.started_ms < known.started_ms:
            self._planner.restarts.proofs.record_unreachable(held.id, now_ms)

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
