"""Connections to backend servers."""

from __future__ import annotations

from typing import Final

from ..adapters.http1 import connect, H11Protocol
from ..core.clock import Clock, MS_PER_SECOND
from ..core.entry.counters import Counters
from ..core.entry.servers import BackendServer

# A connection takes a round trip; a server out of reach shows by then.
CONNECT_TIMEOUT_MS: Final = 400
# Sent bytes that stay unacknowledged for this long show a dead path; three
# retransmissions fit in.
UNACKED_MS: Final = 1_000
# How long an idle connection is kept if the server does not say.
DEFAULT_IDLE_MS: Final = 4_000
# A connection is given up this long before the server closes it.
IDLE_MARGIN_MS: Final = 1_000
# A request that must not be sent twice goes over a connection that was idle
# for at most this part of what the server allows, or over a new one.
FRESH_SHARE: Final = 0.5


class _Idle:
    __slots__ = ("protocol", "fresh_until_ms", "until_ms")

    def __init__(
        self, protocol: H11Protocol, now_ms: int, idle_ms: int
    ) -> None:
        self.protocol = protocol
        self.fresh_until_ms = now_ms + int(idle_ms * FRESH_SHARE)
        self.until_ms = now_ms + idle_ms


class Backends:
    """Kept connections by server."""

    __slots__ = ("_counters", "_clock", "_idle")

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._counters = counters
        self._clock = clock
        self._idle: dict[str, list[_Idle]] = {}

    async def take(
        self, server: BackendServer, fresh: bool
    ) -> H11Protocol | None:
        """Returns an open connection; None if the server is out of reach.

        Args:
            server: Where to.
            fresh: Whether a connection that has long been idle won't do.
        """
        kept = self._take_idle(server, fresh)
        if kept is not None:
            return kept
        address = (server.host, server.port)
        protocol = await connect(address, CONNECT_TIMEOUT_MS, UNACKED_MS)
        if protocol is None:
            self.forget(server.id)
            return None
        self._counters.add("connections")
        return protocol

    def is_connected(self, server_id: str) -> bool:
        """Returns whether a connection to a server was in use of late."""
        kept = self._idle.get(server_id)
        if not kept:
            return False
        return self._clock.now_ms() <= kept[-1].fresh_until_ms

    def _take_idle(
        self, server: BackendServer, fresh: bool
    ) -> H11Protocol | None:
        idle = self._idle.get(server.id)
        now_ms = self._clock.now_ms()
        while idle:
            last = idle[-1]
            if fresh and now_ms > last.fresh_until_ms:
                return None
            idle.pop()
            if last.protocol.reusable and now_ms < last.until_ms:
                return last.protocol
            last.protocol.abort()
        return None

    def give_back(
        self, server: BackendServer, protocol: H11Protocol, idle_s: int | None
    ) -> None:
        """Keeps a connection whose last exchange is whole."""
        now_ms = self._clock.now_ms()
        idle_ms = DEFAULT_IDLE_MS
        if idle_s is not None:
            idle_ms = idle_s * MS_PER_SECOND - IDLE_MARGIN_MS
        if (
            idle_ms <= 0
            or protocol.unsent_bytes()
            or not protocol.reset_cycle()
        ):
            protocol.abort()
            return
        kept = self._idle.setdefault(server.id, [])
        kept.append(_Idle(protocol, now_ms, idle_ms))

    def forget(self, server_id: str) -> None:
        """Ends the idle connections to a server."""
        for idle in self._idle.pop(server_id, []):
            idle.protocol.abort()

    def trim(self) -> None:
        """Ends the connections that have been idle for too long."""
        now_ms = self._clock.now_ms()
        for name, kept in list(self._idle.items()):
            good = []
            for idle in kept:
                if idle.protocol.reusable and now_ms < idle.until_ms:
                    good.append(idle)
                else:
                    idle.protocol.abort()
            if good:
                self._idle[name] = good
            else:
                del self._idle[name]
