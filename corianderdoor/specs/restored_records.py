"""Specifications: hosts that start learn what a restored store has lost.

One record of the store gets versions, and the store may go back to any older
one in a new era. Hosts start, stop, read the store and copy from peers what
these have in force in place of the store's version. They decide by
`keeps_override` and `misses_list` of the core.

A record may be one of which a listing shows the newest version (a desired
state), or one of which a listing shows nothing once it has ended, as of a
server that left: then only hosts that saw its end know it.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.entry.overrides import digest_list, misses_list
from ..core.entry.replica import keeps_override

MAX_ERA: Final = 3
MAX_VERSION: Final = 3
MAX_HOSTS: Final = 3

# The digests of all lists that there may be.
ALL_LISTS: Final = frozenset(
    digest_list(listed) for listed in ({2}, {3}, {2, 3})
)

Keeps = Callable[[bytes | None, bytes | None], bool]
Misses = Callable[[int, Container[int], int], bool]
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
        listed: Versions that were listed in its era, here or by peers.
        copied: Digests of the lists that it has copied in its era.
    """

    era: int = 0
    held: int = 0
    known: int = 0
    passed_on: int = 0
    listed: frozenset[int] = frozenset()
    copied: frozenset[int] = frozenset()

    @property
    def used(self) -> int:
        """The version by which the host goes."""
        return max(self.held, self.known)

    @property
    def told(self) -> int:
        """The digest that its heartbeats tell."""
        return digest_list(self.listed) if self.passed_on else 0


# In the order in which they started.
Hosts = tuple[Host, ...]


class Rules(NamedTuple):
    """The guards of the hosts.

    Attributes:
        keeps: Whether an entry stays listed over one more restore.
        asks: Whether a host asks peers also after a restore that it saw
            itself.
        misses: Whether a host asks a peer.
        is_shown: Whether a listing shows the newest version.
    """

    keeps: Keeps
    asks: bool
    misses: Misses
    is_shown: bool


def build_restored_records(
    is_shown: bool = True,
    keeps: Keeps = keeps_override,
    asks: bool = True,
    misses: Misses = misses_list,
) -> Protocol:
    """Returns the protocol of up to three hosts that start and stop.

    Args:
        is_shown: Whether a listing shows the newest version.
        keeps: Whether an entry stays listed over one more restore.
        asks: Whether a host asks peers also after a restore that it saw
            itself.
        misses: Whether a host asks a peer.
    """
    rules = Rules(keeps, asks, misses, is_shown)
    return Protocol(
        name="hosts that start learn what the store has lost",
        candidate=False,
        fields=("store", "hosts"),
        initial=(Store(), ()),
        transitions=lambda state: [
            *_list_store_steps(*state),
            *_list_starts_and_stops(*state),
            *_list_reads(state[0], state[1], rules),
            *_list_copies(state[0], state[1], rules),
        ],
        invariants={
            "a host goes by what a peer knows, or can ask for it": (
                lambda state: _is_settled(
                    state["store"], state["hosts"], rules
                )
            )
        },
    )


def _is_settled(store: Store, hosts: Hosts, rules: Rules) -> bool:
    current = [
        host
        for host in hosts
        if (host.era, host.held) == (store.era, store.version)
    ]
    newest = max((host.used for host in current), default=0)
    # Hosts that have yet to read the store may be the ones that know it.
    return len(current) < len(hosts) or all(
        _copy_all(host, _without(hosts, number), rules).used == newest
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
    passed_on = known if known > version else 0
    if host.held == version:
        kept = rules.keeps(_encode(host.held), _encode(version))
        passed_on = host.passed_on if kept else 0
    return read._replace(
        passed_on=passed_on,
        listed=frozenset({passed_on} - {0}),
        copied=frozenset() if rules.asks else ALL_LISTS,
    )


def _encode(version: int) -> bytes:
    return bytes((version,))


def _list_copies(
    store: Store, hosts: Hosts, rules: Rules
) -> Iterator[Transition]:
    for number, host in enumerate(hosts):
        for source, peer in enumerate(hosts):
            if source != number and _asks(host, peer, rules):
                copied = _replace(hosts, number, _copy(host, peer))
                yield f"copy-{number}-{source}", (store, copied)


def _asks(host: Host, peer: Host, rules: Rules) -> bool:
    """Returns whether a host asks a peer for its list."""
    if not 0 < host.era == peer.era:
        return False
    return rules.misses(digest_list(host.listed), host.copied, peer.told)


def _copy(host: Host, peer: Host) -> Host:
    """Returns the host after it has copied the list of a peer."""
    copied = host._replace(
        listed=host.listed | peer.listed, copied=host.copied | {peer.told}
    )
    if peer.passed_on <= host.used or peer.passed_on in host.listed:
        return copied
    return copied._replace(known=peer.passed_on, passed_on=peer.passed_on)


def _copy_all(host: Host, peers: Iterable[Host], rules: Rules) -> Host:
    """Returns the host after it has copied from all that it asks."""
    for peer in peers:
        if _asks(host, peer, rules):
            host = _copy(host, peer)
    return host


def _without(hosts: Hosts, number: int) -> Hosts:
    return hosts[:number] + hosts[number + 1 :]


def _replace(hosts: Hosts, number: int, host: Host) -> Hosts:
    return (*hosts[:number], host, *hosts[number + 1 :])
