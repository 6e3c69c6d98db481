"""Selection of the entry hosts that serve the callers of a large fleet.

Hosts that share backend servers exchange their loads and the contents of
the servers' caches. A few active hosts that serve all requests have fresher
state and keep fewer connections than many hosts that serve a few requests
each. The other hosts are in reserve: they answer directory requests, serve
the callers that still connect to them, and replace active hosts that fail.
"""

from __future__ import annotations

from collections.abc import Iterable
import functools
from typing import Final

import xxhash

from ..records import Record

# All hosts of a fleet up to this size are active; it is enough to survive
# the loss of several hosts and of a data centre at once.
MIN_ACTIVE_HOSTS: Final = 16
# Share of the hosts of a large fleet that is active.
ACTIVE_SHARE: Final = 0.25
# Hosts with slower links are chosen last within a data centre.
SLOW_LINK_MBPS: Final = 50.0
# Mean CPU use of the active hosts above which all hosts become active; it
# leaves room for twice as many requests.
MAX_CPU_PERCENT: Final = 50
# How long all hosts stay active after the CPU limit was exceeded.
ALL_ACTIVE_MS: Final = 30_000
# Names whose ranks are kept, each about 150 bytes; more than the hosts of a
# fleet and their pairs with this host.
MAX_KEPT_RANKS: Final = 4_096


@functools.lru_cache(maxsize=MAX_KEPT_RANKS)
def rank_host(name: str) -> int:
    """Returns the place of a name in an order that all hosts share."""
    return xxhash.xxh3_64_intdigest(name.encode())


class Candidate(Record):
    """A host that can be chosen as active.

    Attributes:
        name: Name of the host.
        data_centre: Data centre of the host.
        link_mbps: Link speed in Mbit/s; 0 if unknown.
        cpu_percent: CPU use in percent.
        place: Data centre, and whether the link is slow.
    """

    __slots__ = ("name", "data_centre", "link_mbps", "cpu_percent", "place")

    def __init__(
        self, name: str, data_centre: str, link_mbps: float, cpu_percent: int
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.link_mbps = link_mbps
        self.cpu_percent = cpu_percent
        self.place = (data_centre, link_mbps < SLOW_LINK_MBPS)


class ActiveHosts:
    """The active hosts from the point of view of one host.

    All hosts with the same candidates choose the same active hosts. Adding
    or removing one candidate replaces at most one other active host, apart
    from the change of their number.

    Attributes:
        names: Names of the active hosts; empty until the first choice.
    """

    __slots__ = ("names", "_all_active_until_ms", "_ordered", "_places")

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        self._all_active_until_ms = 0
        # The last order of candidates, and the places that it depends on.
        self._ordered: list[str] = []
        self._places: dict[str, tuple[str, bool]] = {}

    def choose(self, candidates: Iterable[Candidate], now_ms: int) -> bool:
        """Chooses the active hosts; returns whether the choice changed.

        Args:
            candidates: Hosts that callers can be sent to.
            now_ms: Monotonic time in ms.
        """
        hosts = list(candidates)
        places = {host.name: host.place for host in hosts}
        # Sorting costs far more than the comparison, and hosts rarely change.
        if places != self._places:
            self._places = places
            self._ordered = [host.name for host in _order(hosts)]
        ordered = self._ordered
        used = [host.cpu_percent for host in hosts if host.name in self.names]
        if used and sum(used) > MAX_CPU_PERCENT * len(used):
            self._all_active_until_ms = now_ms + ALL_ACTIVE_MS
        count = len(ordered)
        if now_ms >= self._all_active_until_ms:
            count = max(MIN_ACTIVE_HOSTS, int(count * ACTIVE_SHARE))
        names = frozenset(ordered[:count])
        changed = names != self.names
        self.names = names
        return changed

    def reset(self) -> None:
        """Forgets the choice; all hosts count as active until the next."""
        self.names = frozenset()

    def includes(self, name: str) -> bool:
        """Returns whether `name` is active; all are until the first choice."""
        return not self.names or name in self.names


def _order(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Returns the hosts with the data centres taken in turn."""
    centres: dict[str, list[Candidate]] = {}
    for host in candidates:
        centres.setdefault(host.data_centre, []).append(host)
    turns = []
    for hosts in centres.values():
        hosts.sort(key=_preference)
        turns += [(turn, host) for turn, host in enumerate(hosts)]
    turns.sort(key=lambda item: (item[0], _preference(item[1])))
    return [host for _, host in turns]


def _preference(host: Candidate) -> tuple[bool, int]:
    return host.place[1], rank_host(host.name)
