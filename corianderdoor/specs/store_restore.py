"""Specifications: a restored store mixes no eras and loses no lease.

The store may go back to any earlier moment, as if it came from a copy of
then. It begins a new era and gives revisions and lease ids out again. In
`build_replicas` hosts read the store and each other, and a page may arrive
late. They decide by `may_merge` and `is_ahead` of the core, and use the
answer to a watch only in the era in which they asked. In `build_leases`
hosts hold leases and decide by `owns_lease` of the core.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.entry.replica import is_ahead, may_merge, owns_lease

MAX_ERA: Final = 3
MAX_REVISION: Final = 2
MAX_VERSION: Final = 2
MAX_LEASE: Final = 2
HOSTS: Final = (0, 1)
# Pages to this host may arrive late.
LATE_HOST: Final = 0

MayMerge = Callable[[int, int, bool], bool]
IsAhead = Callable[[int, int, int, int], bool]
IsNewer = Callable[[int, int], bool]
OwnsLease = Callable[[int, int], bool]
Transition = tuple[str, tuple[Any, ...]]


class Store(NamedTuple):
    """The store, with one key.

    Attributes:
        era: Number of the era.
        log: Versions of the desired state, one for each revision.
        accepted: Newest version that the store has accepted in any era.
    """

    era: int = 1
    log: tuple[int, ...] = ()
    accepted: int = 0


class Page(NamedTuple):
    """An answer of the store or a peer.

    Attributes:
        era: Era of the store.
        revision: Revision up to which it covers all changes.
        full: Whether it has all items.
        version: The desired state in it; 0 if it has none.
    """

    era: int
    revision: int
    full: bool
    version: int


class Host(NamedTuple):
    """One host.

    Attributes:
        era: Era of its replica.
        revision: Revision of its replica.
        version: Desired state in its replica; 0 if there is none.
        in_force: Version in force.
        reverted: Whether the version in force went back.
        went_back: Whether the replica went back to an older era.
    """

    era: int = 0
    revision: int = 0
    version: int = 0
    in_force: int = 0
    reverted: bool = False
    went_back: bool = False


Hosts = tuple[Host, ...]


class Rules(NamedTuple):
    """The guards of the hosts."""

    merge: MayMerge
    ahead: IsAhead
    newer: IsNewer
    asked_era: bool


def _is_newer(version: int, in_force: int) -> bool:
    return version > in_force


def build_replicas(
    merge: MayMerge = may_merge,
    ahead: IsAhead = is_ahead,
    newer: IsNewer = _is_newer,
    asked_era: bool = True,
) -> Protocol:
    """Returns the protocol of two hosts that follow a restored store.

    Args:
        merge: Whether a page may be applied to a replica.
        ahead: Whether a revision is newer than another one.
        newer: Whether a version may come into force.
        asked_era: Whether hosts drop the answer to a watch if the store is
            not in the era any more to which the revision belongs.
    """
    rules = Rules(merge, ahead, newer, asked_era)
    return Protocol(
        name="eras are not mixed",
        candidate=False,
        fields=("store", "hosts", "late"),
        initial=(Store(), tuple(Host() for _ in HOSTS), None),
        transitions=lambda state: [
            *_list_store_steps(*state),
            *_list_reads(state[0], state[1], state[2], rules),
            *_list_failures(*state),
        ],
        invariants={
            "a replica holds what the store held at its revision": (
                lambda state: all(
                    _is_true(host, state["store"]) for host in state["hosts"]
                )
            ),
            "the version in force does not go back": lambda state: not any(
                host.reverted for host in state["hosts"]
            ),
            "a replica does not go back to an older era": lambda state: (
                not any(host.went_back for host in state["hosts"])
            ),
            "a host of an older era pulls from one of a newer era": (
                lambda state: all(
                    _sees_ahead(a, b, ahead)
                    for a in state["hosts"]
                    for b in state["hosts"]
                )
            ),
        },
    )


def _is_true(host: Host, store: Store) -> bool:
    if host.era != store.era:
        return host.era < store.era
    held = store.log[host.revision - 1] if host.revision else 0
    return host.revision <= len(store.log) and host.version == held


def _sees_ahead(host: Host, peer: Host, ahead: IsAhead) -> bool:
    if host.era == peer.era:
        return True
    found = ahead(peer.era, peer.revision, host.era, host.revision)
    return found == (peer.era > host.era)


def _list_store_steps(
    store: Store, hosts: Hosts, late: Page | None
) -> Iterator[Transition]:
    if len(store.log) < MAX_REVISION:
        for version in (store.accepted, store.accepted + 1):
            if 0 < version <= MAX_VERSION:
                written = store._replace(
                    log=(*store.log, version), accepted=version
                )
                yield f"write-{version}", (written, hosts, late)
    if store.era < MAX_ERA:
        for length in range(len(store.log) + 1):
            restored = store._replace(
                era=store.era + 1, log=store.log[:length]
            )
            yield f"restore-{length}", (restored, hosts, late)


def _list_reads(
    store: Store, hosts: Hosts, late: Page | None, rules: Rules
) -> Iterator[Transition]:
    for number in HOSTS:
        host, peer = hosts[number], hosts[1 - number]
        for label, page in _list_pages(store, host, peer, rules):
            applied = _apply(host, page, rules)
            yield f"{label}-{number}", (
                store,
                _replace_host(hosts, number, applied),
                late,
            )
            if number == LATE_HOST and late is None:
                yield f"delayed {label}-{number}", (store, hosts, page)
    if late is not None:
        applied = _apply(hosts[LATE_HOST], late, rules)
        arrived = _replace_host(hosts, LATE_HOST, applied)
        yield "late page arrives", (store, arrived, None)


def _list_pages(
    store: Store, host: Host, peer: Host, rules: Rules
) -> Iterator[tuple[str, Page]]:
    at = len(store.log)
    newest = store.log[-1] if store.log else 0
    yield "list", Page(store.era, at, True, newest)
    has_revision = host.revision <= at  # else the store answers 410
    if has_revision and (host.era == store.era or not rules.asked_era):
        version = newest if at > host.revision else 0
        yield "watch", Page(store.era, at, False, version)
    if rules.ahead(peer.era, peer.revision, host.era, host.revision):
        full = peer.era != host.era
        yield "pull", Page(peer.era, peer.revision, full, peer.version)


def _apply(host: Host, page: Page, rules: Rules) -> Host:
    if not rules.merge(host.era, page.era, page.full):
        return host
    if page.era == host.era and page.revision <= host.revision:
        return host
    version = page.version if page.full else page.version or host.version
    applied = host._replace(
        era=page.era,
        revision=page.revision,
        version=version,
        went_back=host.went_back or page.era < host.era,
    )
    if not version or not rules.newer(version, host.in_force):
        return applied
    return applied._replace(
        in_force=version,
        reverted=host.reverted or version < host.in_force,
    )


def _list_failures(
    store: Store, hosts: Hosts, late: Page | None
) -> Iterator[Transition]:
    for number in HOSTS:
        fresh = _replace_host(hosts, number, Host())
        # The connection of a late page ends with the process.
        kept = None if number == LATE_HOST else late
        yield f"restart-{number}", (store, fresh, kept)


def _replace_host(hosts: Hosts, number: int, host: Host) -> Hosts:
    updated = list(hosts)
    updated[number] = host
    return tuple(updated)


class Holder(NamedTuple):
    """One host with its lease.

    Attributes:
        lease: Id of its lease; None without one.
        lease_era: Era in which the lease was granted.
        known_era: Newest era that the host knows.
    """

    lease: int | None = None
    lease_era: int = 1
    known_era: int = 1


class Leases(NamedTuple):
    """State of the store's leases and of the hosts.

    Attributes:
        era: Era of the store.
        owners: The hosts that got the leases, by id; None for an ended one.
        holders: The hosts.
        robbed: Whether a host renewed or ended the lease of another one.
    """

    era: int
    owners: tuple[int | None, ...]
    holders: tuple[Holder, ...]
    robbed: bool


def build_leases(
    owns: OwnsLease = owns_lease, renews_before_end: bool = True
) -> Protocol:
    """Returns the protocol of two hosts that renew and end leases.

    Args:
        owns: Whether a host still owns a lease.
        renews_before_end: Whether a host renews a lease, and so learns of
            the era, before it ends it.
    """
    return Protocol(
        name="no host ends the lease of another one",
        candidate=False,
        fields=Leases._fields,
        initial=tuple(Leases(1, (), tuple(Holder() for _ in HOSTS), False)),
        transitions=lambda values: [
            (label, tuple(state))
            for label, state in _list_lease_steps(
                Leases(*values), owns, renews_before_end
            )
        ],
        invariants={
            "no host ends the lease of another one": (
                lambda state: not state["robbed"]
            ),
        },
    )


def _list_lease_steps(
    state: Leases, owns: OwnsLease, renews_before_end: bool
) -> Iterator[tuple[str, Leases]]:
    if state.era < MAX_ERA:
        for count in range(len(state.owners) + 1):
            yield f"restore-{count}", state._replace(
                era=state.era + 1, owners=state.owners[:count]
            )
    for number, holder in enumerate(state.holders):
        if holder.lease is None and len(state.owners) < MAX_LEASE:
            granted = Holder(len(state.owners), state.era, state.era)
            yield f"grant-{number}", _replace_holder(
                state._replace(owners=(*state.owners, number)), number, granted
            )
        if holder.lease is not None:
            yield f"renew-{number}", _renew(state, number, owns)
            yield f"end-{number}", _end(state, number, owns, renews_before_end)


def _replace_holder(state: Leases, number: int, holder: Holder) -> Leases:
    holders = list(state.holders)
    holders[number] = holder
    return state._replace(holders=tuple(holders))


def _renew(state: Leases, number: int, owns: OwnsLease) -> Leases:
    """Renews a lease; the answer tells the era.

    To renew another host's lease once does no harm; to go on does.
    """
    holder = state.holders[number]._replace(known_era=state.era)
    exists = holder.lease in range(len(state.owners))
    if not exists or not owns(holder.lease_era, holder.known_era):
        holder = holder._replace(lease=None)
    return _replace_holder(state, number, holder)


def _end(
    state: Leases, number: int, owns: OwnsLease, renews_before_end: bool
) -> Leases:
    if renews_before_end:
        state = _renew(state, number, owns)
    holder = state.holders[number]
    lease = holder.lease
    if lease is None or not owns(holder.lease_era, holder.known_era):
        return _replace_holder(state, number, holder._replace(lease=None))
    owners = list(state.owners)
    robbed = state.robbed
    if lease < len(owners):
        robbed = robbed or owners[lease] not in (number, None)
        owners[lease] = None
    ended = state._replace(owners=tuple(owners), robbed=robbed)
    return _replace_holder(ended, number, holder._replace(lease=None))
