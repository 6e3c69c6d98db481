"""Specifications: the configuration never reverts, changes take effect once.

Two small protocols around the key-value service. In `build_hosts` daemons
watch the service, whose answers may be stale, notify and pull from each
other, and restart without stored state. They decide by `may_replace` and
`may_start` of the core. In `build_operators` two operators submit changes
concurrently, answers are lost and writes take effect late. The verdict comes
from `judge_change` of the core.
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
Transition = tuple[str, tuple[Any, ...]]


class Host(NamedTuple):
    """State of one daemon.

    Attributes:
        held: Revision that the daemon holds.
        in_force: Revision in force; 0 before the daemon has started.
        heard: Revision that the peer has reported since the start; None
            without a report.
        confirmed: Whether the service has answered since the start.
        floor: Revision in force at the peer when this daemon restarted.
        fault: Whether the daemon went back to an older revision or started
            below `floor`.
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
    """Returns the protocol of two daemons and a service with stale answers."""
    return Protocol(
        name="configuration never reverts",
        candidate=False,
        fields=("accepted", "hosts"),
        initial=(0, tuple(Host() for _ in HOSTS)),
        transitions=lambda state: list(
            _list_host_steps(state[0], state[1], replace, start)
        ),
        invariants={
            "no host goes back to an older revision": lambda state: not any(
                host.fault for host in state["hosts"]
            ),
            "no revision in force that was never accepted": lambda state: all(
                host.in_force <= state["accepted"] for host in state["hosts"]
            ),
            "no start without a configuration": lambda state: all(
                host.held > 0 or host.in_force == 0 for host in state["hosts"]
            ),
        },
    )


def _list_host_steps(
    accepted: int,
    hosts: tuple[Host, ...],
    replace: MayReplace,
    start: MayStart,
) -> Iterator[Transition]:
    if accepted < MAX_REVISION:
        yield "accept", (accepted + 1, hosts)
    for number in HOSTS:
        host, peer = hosts[number], hosts[1 - number]
        for revision in range(accepted + 1):
            loaded = _load_revision(host, revision, replace)._replace(
                confirmed=True
            )
            yield _replace_host(
                f"watch-{number}-{revision}", accepted, hosts, loaded
            )
        heard = host._replace(heard=peer.held)
        yield _replace_host(f"hear-{number}", accepted, hosts, heard)
        if peer.held:
            pulled = _load_revision(host, peer.held, replace)
            yield _replace_host(f"pull-{number}", accepted, hosts, pulled)
        if _may_start(host, start):
            started = _enforce(host, host.held)
            if host.held < host.floor:
                started = started._replace(fault=True)
            yield _replace_host(f"start-{number}", accepted, hosts, started)
        yield f"restart-{number}", (accepted, _restart(hosts, number))


def _may_start(host: Host, start: MayStart) -> bool:
    if host.in_force:
        return False
    answers = 0 if host.heard is None else 1
    return start(host.held, host.heard or 0, answers, 1, host.confirmed)


def _load_revision(host: Host, revision: int, replace: MayReplace) -> Host:
    if not replace(host.held, revision):
        return host
    loaded = host._replace(held=revision)
    return _enforce(loaded, revision) if host.in_force else loaded


def _enforce(host: Host, revision: int) -> Host:
    went_back = revision < host.in_force
    return host._replace(in_force=revision, fault=host.fault or went_back)


def _restart(hosts: tuple[Host, ...], number: int) -> tuple[Host, ...]:
    """Restarts a daemon without its state.

    A revision that only this daemon had in force is no longer a floor for the
    other daemon, if that one has not started.
    """
    peer = hosts[1 - number]
    if not peer.in_force:
        peer = peer._replace(floor=0)
    fresh = Host(floor=peer.in_force)
    return (fresh, peer) if number == 0 else (peer, fresh)


def _replace_host(
    label: str, accepted: int, hosts: tuple[Host, ...], host: Host
) -> Transition:
    number = int(label.split("-")[1])
    updated = list(hosts)
    updated[number] = host
    return label, (accepted, tuple(updated))


class Operator(NamedTuple):
    """State of one operator's tool with one change.

    Attributes:
        base: Revision that the change replaces; None before the first read.
        pending: Number of writes that may still take effect.
        told: Verdict reported to the operator.
    """

    base: int | None = None
    pending: int = 0
    told: Verdict | None = None


def build_operators(
    judge: Judge = judge_change, fence: bool = True, fixed_base: bool = True
) -> Protocol:
    """Returns the protocol of two operators with concurrent changes.

    Args:
        judge: Returns the verdict after a conflict.
        fence: Whether the service compares the revision of a write.
        fixed_base: Whether a retried write keeps the revision of the first.
    """
    return Protocol(
        name="a change takes effect once",
        candidate=False,
        fields=("log", "operators"),
        initial=((), tuple(Operator() for _ in OPERATORS)),
        transitions=lambda state: list(
            _list_operator_steps(state[0], state[1], judge, fence, fixed_base)
        ),
        invariants={
            "no change twice": lambda state: (
                len(set(state["log"])) == len(state["log"])
            ),
            "reported verdicts are true": lambda state: all(
                _is_true(operator.told, name in state["log"])
                for name, operator in zip(OPERATORS, state["operators"])
            ),
        },
    )


def _is_true(verdict: Verdict | None, in_log: bool) -> bool:
    if verdict is Verdict.ACCEPTED:
        return in_log
    return verdict is not Verdict.BEATEN or not in_log


def _list_operator_steps(
    log: tuple[str, ...],
    operators: tuple[Operator, ...],
    judge: Judge,
    fence: bool,
    fixed_base: bool,
) -> Iterator[Transition]:
    for number, name in enumerate(OPERATORS):
        operator = operators[number]
        for label, new_log, changed in _list_moves(
            name, operator, log, judge, fence, fixed_base
        ):
            updated = list(operators)
            updated[number] = changed
            yield f"{label}-{name}", (new_log, tuple(updated))


def _list_moves(
    name: str,
    operator: Operator,
    log: tuple[str, ...],
    judge: Judge,
    fence: bool,
    fixed_base: bool,
) -> Iterator[tuple[str, tuple[str, ...], Operator]]:
    if operator.pending:
        yield from _list_write_answers(name, operator, log, fence)
    if operator.told is not None:
        return
    if operator.base is None or not fixed_base:
        for revision in range(len(log) + 1):
            yield f"read-{revision}", log, operator._replace(base=revision)
    if operator.base is None:
        return
    if operator.pending < MAX_PENDING:
        yield "send", log, operator._replace(pending=operator.pending + 1)
    if operator.base != len(log):  # an answer reported a conflict
        for revision in range(len(log) + 1):
            verdict = judge(operator.base, revision, name in log[:revision])
            if verdict is not Verdict.UNKNOWN:
                yield f"judge-{revision}", log, operator._replace(told=verdict)


def _list_write_answers(
    name: str, operator: Operator, log: tuple[str, ...], fence: bool
) -> Iterator[tuple[str, tuple[str, ...], Operator]]:
    """Yields the results of a write that reaches the service.

    The answer may be lost.
    """
    answered = operator._replace(pending=operator.pending - 1)
    is_applied = operator.base == len(log) or not fence
    if not is_applied or len(log) > len(OPERATORS):
        yield "refused", log, answered
        return
    written = (*log, name)
    yield "lost", written, answered
    if operator.told is None:
        yield "answered", written, answered._replace(told=Verdict.ACCEPTED)
