"""Specification: no stream goes on at another version than it began at.

Servers of two versions are listed and unlisted, hosts follow the store late,
begin streams, and are killed. A stream that broke off is taken up at a host
that knows nothing but the ledger in the store and its own copy of the list,
as after the loss of all hosts. The store may be restored from an older copy.
A host may lose contact to the store and the other hosts, and serve on; one
whose process stands still and goes on is the same.
The guards are those of the core (`VersionLedger`, `KnownLedger`).

Left out: time, so that what waits for long enough is done at any moment at
which that wait can be over (a version is retired once none of its streams can
be resumed and no host lists it; a ledger is complete once all hosts know the
one of this era and no stream of before is left); the first start, after which
callers come only once the ledger is there; and streams that begin while no
recorded version is in service, which the design note lists as a gap.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.entry.version_ledger import VersionLedger

SERVICE: Final = "s"
VERSIONS: Final = (1, 2)
HOSTS: Final = (0, 1)
# One is enough: the hosts are alike.
CUT_HOST: Final = 0
MAX_ERA: Final = 2
MAX_LIST_CHANGES: Final = 3

Names = frozenset[int]
Transition = tuple[str, tuple[Any, ...]]


class Ledger(NamedTuple):
    """The ledger of one service.

    Attributes:
        era: Era in which it was written.
        versions: The versions that it names.
        complete: Whether others are excluded.
    """

    era: int
    versions: Names
    complete: bool


class Store(NamedTuple):
    """The store.

    Attributes:
        era: Number of the era.
        listed: Versions that have a listed server.
        ledger: The ledger; None before the first.
        copy: The ledger in the copy that it may be restored from.
        changes: Number of changes of the list.
    """

    era: int
    listed: Names
    ledger: Ledger | None
    copy: Ledger | None
    changes: int


class Host(NamedTuple):
    """What a running host has read of the store.

    Attributes:
        era: Era of the store at that time.
        listed: Versions that had a listed server.
        ledger: The ledger.
        confirmed: The last ledger that was of the store's era then.
    """

    era: int
    listed: Names
    ledger: Ledger | None
    confirmed: Ledger | None


class Rules(NamedTuple):
    """The guards.

    Attributes:
        gate: Whether streams begin at recorded versions alone.
        era: Whether a ledger of an older era is no evidence.
        complete: Whether a first ledger of a later start is incomplete.
        union: Whether the list counts beside the ledger.
        fresh: Whether the ledger is read after the question, so that a host
            without contact tells nothing; if not, a host's copy counts.
    """

    gate: bool = True
    era: bool = True
    complete: bool = True
    union: bool = True
    fresh: bool = True


class State(NamedTuple):
    """All of it.

    Attributes:
        store: The store.
        hosts: The hosts; None for one that is down or has read nothing.
        cut: Hosts without contact.
        streams: Versions of which a stream may be resumed.
        joined: Whether a stream went on at another version.
    """

    store: Store
    hosts: tuple[Host | None, ...]
    cut: frozenset[int]
    streams: Names
    joined: bool


def build_streams(first: bool = True, **without: bool) -> Protocol:
    """Returns the protocol.

    Args:
        first: Whether the hosts begin with a ledger, as after a first start;
            if not, one may be there that knows none, with a stream.
        **without: Guards of `Rules` that are left out.
    """
    rules = Rules(**without)
    one = frozenset(VERSIONS[:1])
    ledger = Ledger(1, one, True) if first else None
    host = Host(1, one, ledger, ledger)
    initial = State(
        Store(1, one, ledger, ledger, 0),
        tuple(host for _ in HOSTS),
        frozenset(),
        frozenset() if first else frozenset(VERSIONS[1:]),
        False,
    )
    return Protocol(
        name="streams keep their version",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in _list(state, rules)
        ],
        invariants={
            "no stream is joined from two versions": lambda state: (
                not state["joined"]
            ),
        },
    )


def _list(raw: tuple[Any, ...], rules: Rules) -> Iterator[tuple[str, State]]:
    state = State(*raw)
    if state.joined:
        return
    yield from _change_store(state)
    for number in HOSTS:
        yield from _act(state, number, rules)


def _change_store(state: State) -> Iterator[tuple[str, State]]:
    store = state.store
    for version in VERSIONS:
        if store.changes < MAX_LIST_CHANGES:
            changed = store._replace(
                listed=store.listed ^ {version}, changes=store.changes + 1
            )
            yield f"list-{version}", state._replace(store=changed)
        if version in state.streams:
            # Its caller has given up.
            yield f"end-{version}", state._replace(
                streams=state.streams - {version}
            )
    if store.copy != store.ledger:
        yield "copy", state._replace(store=store._replace(copy=store.ledger))
    if store.era < MAX_ERA:
        restored = store._replace(era=store.era + 1, ledger=store.copy)
        yield "restore", state._replace(store=restored)


def _act(
    state: State, number: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    store, host = state.store, state.hosts[number]
    confirmed = host.confirmed if host is not None else None
    if store.ledger is not None and store.ledger.era == store.era:
        confirmed = store.ledger
    seen = Host(store.era, store.listed, store.ledger, confirmed)
    is_cut = number in state.cut
    if host != seen and not is_cut:
        yield f"read-{number}", _set_host(state, number, seen)
    if host is None:
        return
    yield from _lose(state, number)
    if (host.era, host.ledger) == (store.era, store.ledger) and not is_cut:
        ledger = _plan(host, state, rules)
        if ledger != host.ledger:
            written = state._replace(store=store._replace(ledger=ledger))
            after = host._replace(ledger=ledger, confirmed=ledger)
            yield f"record-{number}", _set_host(written, number, after)
    known = host.ledger or host.confirmed
    for version in host.listed:
        if known is None or version in known.versions or not rules.gate:
            yield f"begin-{number}-{version}", state._replace(
                streams=state.streams | {version}
            )
    only = None
    if not is_cut or not rules.fresh:
        only = _find_only(host, store, rules)
    if only is not None and state.streams - {only}:
        yield f"resume-{number}", state._replace(joined=True)


def _lose(state: State, number: int) -> Iterator[tuple[str, State]]:
    """Loses or regains the contact of a running host, or the host."""
    if number == CUT_HOST:
        label = "reach" if number in state.cut else "cut"
        yield f"{label}-{number}", state._replace(cut=state.cut ^ {number})
    killed = state._replace(cut=state.cut - {number})
    yield f"kill-{number}", _set_host(killed, number, None)


def _set_host(state: State, number: int, host: Host | None) -> State:
    hosts = list(state.hosts)
    hosts[number] = host
    return state._replace(hosts=tuple(hosts))


def _plan(host: Host, state: State, rules: Rules) -> Ledger:
    """Returns the ledger that a host writes, after all that it may retire."""
    running = [other for other in state.hosts if other is not None]
    used = state.streams.union(*(other.listed for other in running))
    settled = not state.streams and all(
        other.ledger is not None and other.ledger.era == host.era
        for other in running
    )
    stored, confirmed = host.ledger, host.confirmed
    if stored is None and confirmed is None:
        versions, complete = frozenset[int](), not rules.complete
    elif stored is not None and (stored.era == host.era or not rules.era):
        versions, complete = stored.versions, stored.complete
    else:
        versions = stored.versions if stored is not None else frozenset()
        versions |= confirmed.versions if confirmed is not None else versions
        complete = False
    return Ledger(
        host.era, (versions & used) | host.listed, complete or settled
    )


def _find_only(host: Host, store: Store, rules: Rules) -> int | None:
    """Returns the version that the ledger, read just now, shows."""
    read = store.ledger if rules.fresh else host.ledger
    if read is None:
        return None
    era, names, complete = read
    store_era = store.era if rules.fresh else host.era
    ledger = VersionLedger(
        era, {SERVICE: frozenset(map(str, names))}, complete
    )
    listed = map(str, host.listed if rules.union else ())
    only = ledger.find_only(SERVICE, listed, store_era if rules.era else era)
    return None if only is None else int(only)
