"""Which entry hosts callers are sent to in a large fleet.

Hosts that share servers have to know each other's loads and what the
servers keep in their caches. Few hosts that take all calls know more, and
keep fewer connections, than many that take a few calls each. The others
are in reserve: they answer where to connect, serve who comes, and take the
place of a host that fails.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

from ..records import Record

# Fleets up to this size use all hosts; it bears the loss of several hosts
# and of a data centre at once.
MIN_ACTIVE_HOSTS: Final = 16
# Part of a large fleet that callers are sent to.
ACTIVE_SHARE: Final = 0.25
# Hosts with slower links are taken last within a data centre.
SLOW_LINK_MBPS: Final = 50.0
# Mean part of their processor time that active hosts may use, in percent,
# before callers are sent to all hosts; it leaves room for a peak of twice
# the calls.
MAX_CPU_PERCENT: Final = 50
# All hosts stay in use for this long after such a peak.
ALL_ACTIVE_MS: Final = 30_000


class Candidate(Record):
    """A host that callers could be sent to.

    Attributes:
        name: Its name.
        data_centre: Where it is.
        link_mbps: Speed of its link; 0 if unknown.
        busy: Part of its processor time in use, in percent.
    """

    __slots__ = ("name", "data_centre", "link_mbps", "cpu_percent")

    def __init__(
        self, name: str, data_centre: str, link_mbps: float, cpu_percent: int
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.link_mbps = link_mbps
        self.cpu_percent = cpu_percent


class ActiveHosts:
    """The hosts that are in use, as one host sees it.

    All hosts that see the same candidates choose the same ones, and one
    host more or less changes at most one of the others.

    Attributes:
        names: The hosts; empty until the first choice.
    """

    __slots__ = ("names", "_all_active_until_ms")

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        self._all_active_until_ms = 0

    def choose(self, candidates: Iterable[Candidate], now_ms: int) -> bool:
        """Chooses anew; returns whether the choice has changed."""
        ordered = _order(candidates)
        cpu_percent = [
            host.cpu_percent for host in ordered if host.name in self.names
        ]
        if cpu_percent and sum(cpu_percent) > MAX_CPU_PERCENT * len(
            cpu_percent
        ):
            self._all_active_until_ms = now_ms + ALL_ACTIVE_MS
        count = len(ordered)
        if now_ms >= self._all_active_until_ms:
            count = max(MIN_ACTIVE_HOSTS, int(count * ACTIVE_SHARE))
        names = frozenset(host.name for host in ordered[:count])
        changed = names != self.names
        self.names = names
        return changed

    def includes(self, name: str) -> bool:
        """Returns whether `name` is in use; all are before any choice."""
        return not self.names or name in self.names


def _order(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Returns hosts so that each data centre has its turn."""
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
    slow = host.link_mbps < SLOW_LINK_MBPS
    return slow, xxhash.xxh3_64_intdigest(host.name.encode())
