"""Specifications: hosts that start learn what a restored store has lost.

One record of the store gets versions, and the store may go back to any older
one in a new era. Hosts start, stop, read the store and copy from the peer
that started first what it has in force in place of the store's version. They
decide by `keeps_override` and `misses_overrides` of the core.

A record may be one of which a listing shows the newest version (a desired
state), or one of which a listing shows nothing once it has ended, as of a
server that left: then only hosts that saw its end know it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.entry.replica import keeps_override, misses_overrides

MAX_ERA: Final = 3
MAX_VERSION: Final = 2
MAX_HOSTS: Final = 3

Keeps = Callable[[bytes | None, bytes | None], bool]
Transition = tuple[str, tuple[Any, ...]]


class Store(NamedTuple):
    """The store, with one record.

    Attributes:
        era: Number of the era.
        version: Version of the record.
        accepted: Newest version that the store has accepted in any era.
    """

    era: int = 1
    version: int = 1
    accepted: int = 1


class Host(NamedTuple):
    """One host.

    Attributes:
        era: Era of its replica; 0 before it has read the store.
        held: Version in its replica.
        known: Newest version that it knows of.
        passed_on: Version that it has in force in place of the store's; 0 if
            it uses the store's.
        copied_era: Era in which it knows what peers have in place.
    """

    era: int = 0
    held: int = 0
    known: int = 0
    passed_on: int = 0
    copied_era: int = 0

    @property
    def used(self) -> int:
        """The version by which the host goes."""
        return max(self.held, self.known)


# In the order in which they started.
Hosts = tuple[Host, ...]


class Rules(NamedTuple):
    """The guards of the hosts.

    Attributes:
        keeps: Whether an entry stays listed over one more restore.
        asks: Whether a host asks a peer also after a restore that it saw
            itself.
        is_shown: Whether a listing shows the newest version.
    """

    keeps: Keeps
    asks: bool
    is_shown: bool


def build_restored_records(
    is_shown: bool = True,
    keeps: Keeps = keeps_override,
    asks: bool = True,
) -> Protocol:
    """Returns the protocol of up to three hosts that start and stop.

    Args:
        is_shown: Whether a listing shows the newest version.
        keeps: Whether an entry stays listed over one more restore.
        asks: Whether a host asks a peer also after a restore that it saw
            itself.
    """
    rules = Rules(keeps, asks, is_shown)
    return Protocol(
        name="hosts that start learn what the store has lost",
        candidate=False,
        fields=("store", "hosts"),
        initial=(Store(), ()),
        transitions=lambda state: [
            *_list_store_steps(*state),
            *_list_starts_and_stops(*state),
            *_list_reads(state[0], state[1], rules),
            *_list_copies(*state),
        ],
        invariants={
            "a host goes by what a peer knows, or can ask for it": (
                lambda state: _is_settled(state["store"], state["hosts"])
            )
        },
    )


def _is_settled(store: Store, hosts: Hosts) -> bool:
    current = [
        host
        for host in hosts
        if (host.era, host.held) == (store.era, store.version)
    ]
    newest = max((host.used for host in current), default=0)
    # Hosts that have yet to read the store may be the ones that know it.
    return len(current) < len(hosts) or all(
        host.used == newest
        or _copy(host, _without(hosts, number)).used == newest
        for number, host in enumerate(hosts)
    )


def _list_store_steps(store: Store, hosts: Hosts) -> Iterator[Transition]:
    if store.accepted < MAX_VERSION:
        version = store.accepted + 1
        written = store._replace(version=version, accepted=version)
        yield "write", (written, hosts)
    if store.era < MAX_ERA:
        for version in range(1, store.version + 1):
            restored = store._replace(era=store.era + 1, version=version)
            yield f"restore-{version}", (restored, hosts)


def _list_starts_and_stops(store: Store, hosts: Hosts) -> Iterator[Transition]:
    if len(hosts) < MAX_HOSTS:
        yield "start", (store, (*hosts, Host()))
    for number in range(len(hosts)):
        yield f"stop-{number}", (store, _without(hosts, number))


def _list_reads(
    store: Store, hosts: Hosts, rules: Rules
) -> Iterator[Transition]:
    for number, host in enumerate(hosts):
        if (host.era, host.held) != (store.era, store.version):
            read = _read(store, host, rules)
            yield f"read-{number}", (store, _replace(hosts, number, read))


def _read(store: Store, host: Host, rules: Rules) -> Host:
    version = store.version
    saw_change = 0 < host.era
    known = host.known
    if saw_change or rules.is_shown:
        known = max(known, version)
    read = host._replace(era=store.era, held=version, known=known)
    if host.era == store.era:
        # Written in this era, so it holds.
        return read._replace(passed_on=0)
    if not saw_change:
        return read
    if not rules.asks:
        read = read._replace(copied_era=store.era)
    if host.held == version:
        kept = rules.keeps(_encode(host.held), _encode(version))
        return read if kept else read._replace(passed_on=0)
    return read._replace(passed_on=known if known > version else 0)


def _encode(version: int) -> bytes:
    return bytes((version,))


def _find_peer(host: Host, peers: Iterable[Host]) -> Host | None:
    """Returns the peer that a host would ask; None if it asks none."""
    if not misses_overrides(host.copied_era, host.era, host.era):
        return None
    for peer in peers:
        if peer.era == host.era and peer.passed_on:
            return peer
    return None


def _list_copies(store: Store, hosts: Hosts) -> Iterator[Transition]:
    for number, host in enumerate(hosts):
        copied = _copy(host, _without(hosts, number))
        if copied != host:
            yield f"copy-{number}", (store, _replace(hosts, number, copied))


def _copy(host: Host, peers: Iterable[Host]) -> Host:
    """Returns the host after it has copied from the peer that it asks."""
    peer = _find_peer(host, peers)
    if peer is None:
        return host
    copied = host._replace(copied_era=host.era)
    if peer.passed_on <= host.used:
        return copied
    return copied._replace(known=peer.passed_on, passed_on=peer.passed_on)


def _without(hosts: Hosts, number: int) -> Hosts:
    return hosts[:number] + hosts[number + 1 :]


def _replace(hosts: Hosts, number: int, host: Host) -> Hosts:
    return (*hosts[:number], host, *hosts[number + 1 :])
