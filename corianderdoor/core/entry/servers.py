"""Backend servers as the platform lists them, and which of them to use."""

from __future__ import annotations

import xxhash

from ..records import Record


class BackendServer(Record):
    """One listed backend server.

    Attributes:
        id: Its id.
        service: Name of its service.
        host: IP number.
        port: Port.
        data_centre: Where it is.
        available: False once it is leaving.
        slots: Requests that it works on at once.
        cold_ms: How long it stays cold after the entry was written.
        born_ms: Unix time of its start, 0 if unknown.
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
    ) -> None:
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
        """Returns whether `other` is the same start of the same server."""
        return (
            self.started_ms == other.started_ms
            and self.host == other.host
            and self.port == other.port
        )


def digest_id(server_id: str) -> int:
    """Returns the number that stands for a server between hosts."""
    return xxhash.xxh3_64_intdigest(server_id.encode())


class Servers:
    """The listed servers, drains and evacuations, as this host knows them.

    State is one record for each listed server and evacuated data centre.
    """

    __slots__ = (
        "_listed",
        "_cold_until",
        "_lapsing",
        "_evacuated",
        "_by",
        "_digests",
    )

    def __init__(self) -> None:
        self._listed: dict[str, BackendServer] = {}
        self._cold_until: dict[str, int] = {}
        self._lapsing: dict[str, int] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._by: dict[str, list[BackendServer]] = {}
        self._digests: dict[int, str] = {}

    def put(self, server: BackendServer, now_ms: int) -> bool:
        """Lists `server`; returns whether a listed one started anew."""
        old = self._listed.get(server.id)
        fresh = old is None or not old.same_incarnation(server)
        self._listed[server.id] = server
        self._digests[digest_id(server.id)] = server.id
        self._lapsing.pop(server.id, None)
        if server.cold_ms > 0:
            until_ms = now_ms + int(server.cold_ms)
            if fresh or until_ms > self._cold_until.get(server.id, 0):
                self._cold_until[server.id] = until_ms
        elif fresh:
            self._cold_until.pop(server.id, None)
        self._by.clear()
        return fresh and old is not None

    def remove(self, server_id: str, now_ms: int, grace_ms: int = 0) -> None:
        """Takes `server_id` off the list.

        Args:
            server_id: Id of the server.
            now_ms: Monotonic time.
            grace_ms: How long the entry may still come back, because it
                may have lapsed with the store away.
        """
        if grace_ms > 0 and server_id in self._listed:
            self._lapsing.setdefault(server_id, now_ms + grace_ms)
            return
        self._listed.pop(server_id, None)
        self._digests.pop(digest_id(server_id), None)
        self._cold_until.pop(server_id, None)
        self._lapsing.pop(server_id, None)
        self._by.clear()

    def remove_expired(self, now_ms: int) -> list[str]:
        """Removes the servers whose entries did not come back."""
        gone = [name for name, at in self._lapsing.items() if at <= now_ms]
        for name in gone:
            self.remove(name, now_ms)
        return gone

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Sets the data centres whose servers get nothing."""
        self._evacuated = data_centres
        self._by.clear()

    @property
    def evacuated(self) -> frozenset[str]:
        """The data centres whose servers get nothing."""
        return self._evacuated

    def find(self, digest: int) -> str | None:
        """Returns the id of the listed server that `digest` stands for."""
        return self._digests.get(digest)

    def get(self, server_id: str) -> BackendServer | None:
        """Returns the listed server `server_id`."""
        return self._listed.get(server_id)

    def ids(self) -> frozenset[str]:
        """Returns the ids of all listed servers."""
        return frozenset(self._listed)

    def usable(self, service: str) -> list[BackendServer]:
        """Returns the servers of `service` that may get new requests."""
        found = self._by.get(service)
        if found is None:
            found = [
                server
                for _, server in sorted(self._listed.items())
                if server.service == service
                and server.available
                and server.data_centre not in self._evacuated
            ]
            self._by[service] = found
        return found

    def listed(self, service: str) -> list[BackendServer]:
        """Returns all servers of `service`, usable or not."""
        return [s for s in self._listed.values() if s.service == service]

    def may_use(self, server: BackendServer) -> bool:
        """Returns whether `server` as chosen before may still be used."""
        now = self._listed.get(server.id)
        return (
            now is not None
            and now.available
            and now.same_incarnation(server)
            and now.data_centre not in self._evacuated
        )

    def mark_cold(self, server_id: str, until_ms: int) -> None:
        """Notes that `server_id` says it is cold until `until_ms`."""
        if server_id in self._listed:
            known = self._cold_until.get(server_id, 0)
            self._cold_until[server_id] = max(known, until_ms)

    def is_cold(self, server_id: str, now_ms: int) -> bool:
        """Returns whether `server_id` is in its slow start."""
        return now_ms < self._cold_until.get(server_id, 0)
