"""Specifications: the configuration never reverts, changes take effect once.

Two small protocols around the key-value service. In `build_hosts` daemons
watch it with stale answers, hear of and pull from each other, and restart
with nothing kept; the decisions are the core's own `may_replace` and
`may_start`. In `build_operators` two operators race, answers are lost and
writes land late; the verdict is the core's own `judge_change`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.config import judge_change, Verdict
from ..core.config_sync import may_replace, may_start

MAX_REVISION: Final = 2
HOSTS: Final = (0, 1)
OPERATORS: Final = ("a", "b")
MAX_PENDING: Final = 2

MayReplace = Callable[[int, int], bool]
MayStart = Callable[[int, int, int, int, bool], bool]
Judge = Callable[[int, int, bool], Verdict]
Step = tuple[str, tuple[Any, ...]]


class Host(NamedTuple):
    """One daemon.

    Attributes:
        held: Revision that it holds.
        in_force: Revision in force; 0 before it has started.
        heard: Revision that the peer told since the start; None for none.
        confirmed: Whether the service answered since the start.
        floor: Revision in force at the peer when this daemon restarted.
        fault: Whether it went back, or started below `floor`.
    """

    held: int = 0
    in_force: int = 0
    heard: int | None = None
    confirmed: bool = False
    floor: int = 0
    fault: bool = False


def build_hosts(
    replace: MayReplace = may_replace, start: MayStart = may_start
) -> Protocol:
    """Returns the protocol of two daemons and a service that may be stale."""
    return Protocol(
        name="configuration never reverts",
        candidate=False,
        fields=("accepted", "hosts"),
        initial=(0, tuple(Host() for _ in HOSTS)),
        transitions=lambda state: list(
            _host_steps(state[0], state[1], replace, start)
        ),
        invariants={
            "no host goes back": lambda state: not any(
                host.fault for host in state["hosts"]
            ),
            "nothing is invented": lambda state: all(
                host.in_force <= state["accepted"] for host in state["hosts"]
            ),
            "no start without a configuration": lambda state: all(
                host.held > 0 or host.in_force == 0 for host in state["hosts"]
            ),
        },
    )


def _host_steps(
    accepted: int,
    hosts: tuple[Host, ...],
    replace: MayReplace,
    start: MayStart,
) -> Iterator[Step]:
    if accepted < MAX_REVISION:
        yield "accept", (accepted + 1, hosts)
    for number in HOSTS:
        host, peer = hosts[number], hosts[1 - number]
        for revision in range(accepted + 1):
            taken = _load(host, revision, replace)._replace(confirmed=True)
            yield _put(f"watch-{number}-{revision}", accepted, hosts, taken)
        heard = host._replace(heard=peer.held)
        yield _put(f"hear-{number}", accepted, hosts, heard)
        if peer.held:
            pulled = _load(host, peer.held, replace)
            yield _put(f"pull-{number}", accepted, hosts, pulled)
        if _may_start(host, start):
            begun = _enforce(host, host.held)
            if host.held < host.floor:
                begun = begun._replace(fault=True)
            yield _put(f"start-{number}", accepted, hosts, begun)
        yield f"restart-{number}", (accepted, _restart(hosts, number))


def _may_start(host: Host, start: MayStart) -> bool:
    if host.in_force:
        return False
    answers = 0 if host.heard is None else 1
    return start(host.held, host.heard or 0, answers, 1, host.confirmed)


def _load(host: Host, revision: int, replace: MayReplace) -> Host:
    if not replace(host.held, revision):
        return host
    taken = host._replace(held=revision)
    return _enforce(taken, revision) if host.in_force else taken


def _enforce(host: Host, revision: int) -> Host:
    went_back = revision < host.in_force
    return host._replace(in_force=revision, fault=host.fault or went_back)


def _restart(hosts: tuple[Host, ...], number: int) -> tuple[Host, ...]:
    """Replaces a daemon; what only it knew binds the other no longer."""
    peer = hosts[1 - number]
    if not peer.in_force:
        peer = peer._replace(floor=0)
    fresh = Host(floor=peer.in_force)
    return (fresh, peer) if number == 0 else (peer, fresh)


def _put(
    label: str, accepted: int, hosts: tuple[Host, ...], host: Host
) -> Step:
    number = int(label.split("-")[1])
    kept = list(hosts)
    kept[number] = host
    return label, (accepted, tuple(kept))


class Operator(NamedTuple):
    """One operator's tool with one change.

    Attributes:
        base: Revision that it writes over; None before it has read.
        pending: Writes under way that may still land.
        told: What it has told the operator.
    """

    base: int | None = None
    pending: int = 0
    told: Verdict | None = None


def build_operators(
    judge: Judge = judge_change, fence: bool = True, fixed_base: bool = True
) -> Protocol:
    """Returns the protocol of two operators that race.

    Args:
        judge: The verdict after a conflict.
        fence: Whether the service compares the revision.
        fixed_base: Whether a repeated write names the revision of the first.
    """
    return Protocol(
        name="a change takes effect once",
        candidate=False,
        fields=("log", "operators"),
        initial=((), tuple(Operator() for _ in OPERATORS)),
        transitions=lambda state: list(
            _operator_steps(state[0], state[1], judge, fence, fixed_base)
        ),
        invariants={
            "no change twice": lambda state: (
                len(set(state["log"])) == len(state["log"])
            ),
            "what is told is true": lambda state: all(
                _is_true(operator.told, name in state["log"])
                for name, operator in zip(OPERATORS, state["operators"])
            ),
        },
    )


def _is_true(told: Verdict | None, in_log: bool) -> bool:
    if told is Verdict.ACCEPTED:
        return in_log
    return told is not Verdict.BEATEN or not in_log


def _operator_steps(
    log: tuple[str, ...],
    operators: tuple[Operator, ...],
    judge: Judge,
    fence: bool,
    fixed_base: bool,
) -> Iterator[Step]:
    for number, name in enumerate(OPERATORS):
        operator = operators[number]
        for label, new_log, moved in _moves(
            name, operator, log, judge, fence, fixed_base
        ):
            kept = list(operators)
            kept[number] = moved
            yield f"{label}-{name}", (new_log, tuple(kept))


def _moves(
    name: str,
    one: Operator,
    log: tuple[str, ...],
    judge: Judge,
    fence: bool,
    fixed_base: bool,
) -> Iterator[tuple[str, tuple[str, ...], Operator]]:
    if one.pending:
        yield from _land(name, one, log, fence)
    if one.told is not None:
        return
    if one.base is None or not fixed_base:
        for revision in range(len(log) + 1):
            yield f"read-{revision}", log, one._replace(base=revision)
    if one.base is None:
        return
    if one.pending < MAX_PENDING:
        yield "send", log, one._replace(pending=one.pending + 1)
    if one.base != len(log):  # an answer told of a conflict
        for revision in range(len(log) + 1):
            told = judge(one.base, revision, name in log[:revision])
            if told is not Verdict.UNKNOWN:
                yield f"judge-{revision}", log, one._replace(told=told)


def _land(
    name: str, one: Operator, log: tuple[str, ...], fence: bool
) -> Iterator[tuple[str, tuple[str, ...], Operator]]:
    """A write reaches the service; its answer may be lost."""
    left = one._replace(pending=one.pending - 1)
    lands = one.base == len(log) or not fence
    if not lands or len(log) > len(OPERATORS):
        yield "refused", log, left
        return
    written = (*log, name)
    yield "lost", written, left
    if one.told is None:
        yield "answered", written, left._replace(told=Verdict.ACCEPTED)
