"""The home router of each backend server."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .rendezvous import rank
from .topology import EntryHost, Server


class Homes:
    """Finds the one router that admits work to a backend server.

    The home is the first router in the rendezvous order of the server's
    name, over the live routers of its data centre. If there are none, it is
    chosen from those of its region, else from all. Routers with equal views
    find the same home without a message. Homes are cached until the live
    routers change.
    """

    __slots__ = ("_entries", "_regions", "_cache")

    def __init__(self) -> None:
        self._entries: dict[str, EntryHost] = {}
        self._regions: dict[str, str] = {}
        self._cache: dict[str, tuple[str, tuple[str, str]]] = {}

    def set_entries(self, entries: Iterable[EntryHost]) -> bool:
        """Replaces the live routers; returns whether they changed."""
        fresh = {entry.name: entry for entry in entries}
        if fresh == self._entries:
            return False
        self._entries = fresh
        for entry in fresh.values():
            self._regions[entry.data_centre] = entry.region
        self._cache.clear()
        return True

    def names(self) -> set[str]:
        """Returns the names of all live routers."""
        return set(self._entries)

    def entry(self, name: str) -> EntryHost | None:
        """Returns the live router called `name`."""
        return self._entries.get(name)

    def region_of(self, data_centre: str) -> str:
        """Returns the region of a data centre, empty if unknown."""
        return self._regions.get(data_centre, "")

    def retain_servers(self, names: Collection[str]) -> None:
        """Drops the cached homes of servers that are not in `names`."""
        for name in [n for n in self._cache if n not in names]:
            del self._cache[name]

    def find(self, server: Server) -> str:
        """Returns the name of the server's home, empty without routers."""
        return self._pair(server)[0]

    def find_former(self, server: Server) -> str:
        """Returns the home before the present one joined, empty if none."""
        return self._pair(server)[1]

    def _pair(self, server: Server) -> tuple[str, str]:
        cached = self._cache.get(server.name)
        if cached is not None and cached[0] == server.data_centre:
            return cached[1]
        names = rank(server.name, self._candidates(server))
        pair = (
            names[0] if names else "",
            names[1] if len(names) > 1 else "",
        )
        self._cache[server.name] = (server.data_centre, pair)
        return pair

    def _candidates(self, server: Server) -> list[str]:
        entries = self._entries.values()
        centre, region = server.data_centre, self.region_of(server.data_centre)
        near = [e.name for e in entries if e.data_centre == centre]
        if not near:
            near = [e.name for e in entries if e.region == region]
        return near or list(self._entries)
