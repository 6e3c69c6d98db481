"""Listed backend servers, and which of them to use."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from typing import Final

import xxhash

from ..records import Record
from .departed_servers import DepartedServers

# Servers in use for each one that is held back on suspicion.
MIN_USABLE_FOR_HELD: Final = 2


class BackendServer(Record):
    """One backend server as listed by the platform.

    Attributes:
        id: Id of the server.
        service: Name of its service.
        host: IP address.
        port: Port.
        data_centre: Data centre of the server.
        available: Whether it accepts new requests; False while it drains.
        slots: Number of requests that it processes concurrently.
        cold_ms: How long it stays cold after the entry was written.
        started_ms: Unix time of its start in ms; 0 if unknown.
        version: Version of its software; empty if unknown.
        sequence: Number of the entry; rises with each write of the process.
    """

    __slots__ = (
        "id",
        "service",
        "host",
        "port",
        "data_centre",
        "available",
        "slots",
        "cold_ms",
        "started_ms",
        "version",
        "sequence",
    )

    def __init__(
        self,
        id: str,
        service: str,
        host: str,
        port: int,
        data_centre: str,
        available: bool,
        slots: int,
        cold_ms: float,
        started_ms: int,
        version: str = "",
        sequence: int = 0,
    ) -> None:
        self.sequence = sequence
        self.version = version
        self.id = id
        self.service = service
        self.host = host
        self.port = port
        self.data_centre = data_centre
        self.available = available
        self.slots = slots
        self.cold_ms = cold_ms
        self.started_ms = started_ms

    def same_incarnation(self, other: BackendServer) -> bool:
        """Returns whether `other` is the same process of the same server."""
        return (
            self.started_ms == other.started_ms
            and self.host == other.host
            and self.port == other.port
        )

    def is_no_newer_than(self, other: BackendServer) -> bool:
        """Returns whether `other` is the same process or a later one."""
        return (
            self.same_incarnation(other) or self.started_ms < other.started_ms
        )

    def was_written_before(self, other: BackendServer) -> bool:
        """Returns whether `other` is of a later write of the server.

        The store may execute a write that got no answer after later ones.
        """
        if self.same_incarnation(other):
            return self.sequence < other.sequence
        return self.started_ms < other.started_ms


def digest_id(server_id: str) -> int:
    """Returns the number that identifies a server between hosts."""
    return xxhash.xxh3_64_intdigest(server_id.encode())


class Servers:
    """The listed servers and evacuated data centres.

    Holds one record for each listed server and evacuated data centre.

    Attributes:
        departed: Servers that left.
        on_ended: Called with the id of a server whose process has ended or
            left, for whichever reason, so that what is known of that process
            is dropped.
    """

    __slots__ = (
        "departed",
        "on_ended",
        "_listed",
        "_cold_until",
        "_expiring",
        "_evacuated",
        "_usable",
        "_digests",
    )

    def __init__(self) -> None:
        self.departed = DepartedServers()
        self.on_ended: list[Callable[[str], None]] = []
        self._listed: dict[str, BackendServer] = {}
        self._cold_until: dict[str, int] = {}
        self._expiring: dict[str, int] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._usable: dict[str, list[BackendServer]] = {}
        self._digests: dict[int, str] = {}

    def put(self, server: BackendServer, now_ms: int) -> bool:
        """Adds or updates `server`.

        Returns:
            Whether the server was listed and has restarted since.
        """
        old = self._listed.get(server.id)
        fresh = old is None or not old.same_incarnation(server)
        self._listed[server.id] = server
        self.departed.forget(server.id)
        self._digests[digest_id(server.id)] = server.id
        self._expiring.pop(server.id, None)
        if server.cold_ms > 0:
            until_ms = now_ms + int(server.cold_ms)
            if fresh or until_ms > self._cold_until.get(server.id, 0):
                self._cold_until[server.id] = until_ms
        elif fresh and not (old and old.started_ms > server.started_ms):
            self._cold_until.pop(server.id, None)
        self._usable.clear()
        if not fresh or old is None:
            return False
        self._tell_ended(server.id)
        return True

    def _tell_ended(self, server_id: str) -> None:
        for drop in self.on_ended:
            drop(server_id)

    def accepts_copy(
        self, server: BackendServer, now_ms: int, grace_ms: int
    ) -> bool:
        """Returns whether to use an entry that a restored store had kept.

        The entry may be older than what is known: its server may have left,
        started again or begun to drain since.

        Args:
            server: The entry.
            now_ms: Monotonic time in ms.
            grace_ms: How long a later incarnation that is known stays in
                use without writing its entry again.
        """
        known = self._listed.get(server.id)
        if known is None:
            return not self.departed.hold_back(server, now_ms)
        if not server.is_no_newer_than(known):
            return True
        if not known.same_incarnation(server):
            self._expiring.setdefault(server.id, now_ms + grace_ms)
            return False
        self._expiring.pop(server.id, None)
        return known.available and not server.available

    def is_overtaken(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether a later write than that of an entry is known."""
        known = self._listed.get(server.id)
        if known is None:
            return self.departed.is_overtaken(server, now_ms)
        return server.was_written_before(known)

    def may_be_overtaken(self, server: BackendServer, now_ms: int) -> bool:
        """Returns whether an entry may be of a server that has left since.

        If many servers of a service come back they were silent, and the
        others would not bear their requests.
        """
        if not self.departed.left_lately(server, now_ms):
            return False
        service = server.service
        held = self.departed.count_held_back(service) + 1
        return len(self.usable(service)) >= MIN_USABLE_FOR_HELD * held

    def extend_grace(self, until_ms: int) -> None:
        """Keeps servers whose entries may come back at least until then."""
        for server_id, at_ms in self._expiring.items():
            self._expiring[server_id] = max(at_ms, until_ms)

    def remove(self, server_id: str, now_ms: int, grace_ms: int = 0) -> None:
        """Removes `server_id`.

        Args:
            server_id: Id of the server.
            now_ms: Monotonic time in ms.
            grace_ms: How long to keep the server in use because its entry
                may come back: it may have expired only because the store
                was unreachable.
        """
        if grace_ms > 0 and server_id in self._listed:
            self._expiring.setdefault(server_id, now_ms + grace_ms)
            return
        server = self._listed.pop(server_id, None)
        if server is not None:
            self.departed.record(server, now_ms)
        self.departed.stop_holding(server_id)
        self._digests.pop(digest_id(server_id), None)
        self._cold_until.pop(server_id, None)
        self._expiring.pop(server_id, None)
        self._usable.clear()
        if server is not None:
            self._tell_ended(server_id)

    def remove_expired(self, now_ms: int) -> list[str]:
        """Removes the servers whose entries did not come back in time.

        Returns:
            The ids of the removed servers.
        """
        expired = [name for name, at in self._expiring.items() if at <= now_ms]
        for name in expired:
            self.remove(name, now_ms)
        return expired

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Sets the data centres whose servers get no new requests."""
        self._evacuated = data_centres
        self._usable.clear()

    @property
    def evacuated(self) -> frozenset[str]:
        """The data centres whose servers get no new requests."""
        return self._evacuated

    def find(self, digest: int) -> str | None:
        """Returns the id of the listed server with the id digest `digest`."""
        return self._digests.get(digest)

    def names_other_service(
        self, server: BackendServer, services: Container[str]
    ) -> bool:
        """Returns whether `server` has an unknown service, and had another.

        A process has one service all its life, so the entry is not its own.

        Args:
            server: The server as an entry describes it.
            services: Names of the services of the desired state.
        """
        known = self.get(server.id)
        return (
            known is not None
            and known.same_incarnation(server)
            and known.service != server.service
            and server.service not in services
        )

    def get(self, server_id: str) -> BackendServer | None:
        """Returns the listed server `server_id`; None if it is not listed."""
        return self._listed.get(server_id)

    def find_at(self, host: str, port: str) -> BackendServer | None:
        """Returns the listed server at an address; None if there is none."""
        for server in self._listed.values():
            if server.host == host and str(server.port) == port:
                return server
        return None

    def ids(self) -> frozenset[str]:
        """Returns the ids of all listed servers."""
        return frozenset(self._listed)

    def all(self) -> Iterable[BackendServer]:
        """Returns all listed servers."""
        return self._listed.values()

    def usable(self, service: str) -> list[BackendServer]:
        """Returns the servers of `service` that accept new requests."""
        found = self._usable.get(service)
        if found is None:
            found = [
                server
                for _, server in sorted(self._listed.items())
                if server.service == service
                and server.available
                and server.data_centre not in self._evacuated
            ]
            self._usable[service] = found
        return found

    def listed(self, service: str) -> list[BackendServer]:
        """Returns all servers of `service`, usable or not."""
        return [s for s in self._listed.values() if s.service == service]

    def may_use(self, server: BackendServer) -> bool:
        """Returns whether an earlier chosen `server` is still usable."""
        now = self._listed.get(server.id)
        return (
            now is not None
            and now.available
            and now.same_incarnation(server)
            and now.data_centre not in self._evacuated
        )

    def mark_cold(self, server_id: str, until_ms: int) -> None:
        """Treats `server_id` as cold at least until `until_ms`."""
        if server_id in self._listed:
            known = self._cold_until.get(server_id, 0)
            self._cold_until[server_id] = max(known, until_ms)

    def is_cold(self, server_id: str, now_ms: int) -> bool:
        """Returns whether `server_id` is cold, so in its slow start."""
        return now_ms < self._cold_until.get(server_id, 0)
