"""Specifications: a rollout ends once, cuts nothing off and stays reverted.

In `build_outcome` two hosts find a version bad, restart and write the
outcome; they decide by `may_use_new` of the core. In `build_completion` a
host and a peer move through the stages, and the host completes the rollout
by `may_complete`. In both, heartbeats may be lost, arrive late and arrive
again. In `build_counts` a host counts answers, restarts and reports to
another one, which merges by `merge_counts` of the core.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.entry.rollout_evidence import Counts, merge_counts
from ..core.entry.rollout_records import RolloutOrder, RolloutState
from ..core.entry.rollout_stages import may_complete, may_use_new

HOSTS: Final = (0, 1)
ORDER: Final = RolloutOrder("llm", "v2", 12_000, 1)
# A fraction in stage full in which requests at old servers still count.
FULL_FRACTION: Final = 0.8
MAX_COUNT: Final = 2
MAX_BOOT: Final = 2
IN_PROGRESS: Final = RolloutState.IN_PROGRESS
COMPLETED: Final = RolloutState.COMPLETED
REVERTED: Final = RolloutState.REVERTED

MayComplete = Callable[[float, bool, bool, int], bool]
MayUseNew = Callable[[RolloutState, RolloutOrder | None, bool], bool]
Merge = Callable[[Counts, Counts], Counts]
Transition = tuple[str, tuple[Any, ...]]


class Store(NamedTuple):
    """The hosts' record in the store.

    Attributes:
        state: State of the rollout.
        revision: Revision of the record.
        finals: Number of final states that were written.
    """

    state: RolloutState = IN_PROGRESS
    revision: int = 0
    finals: int = 0


class Host(NamedTuple):
    """One host that finds the outcome of an order.

    Attributes:
        known: State that it has read.
        revision: Revision of the record that it has read.
        bad: Whether it knows that the version is bad.
        offer: State that it is about to write, with the revision; None if
            it writes nothing.
        learnt: Whether it ever read that the version was reverted.
        wrong: Whether it sent to a version that it should not use.
    """

    known: RolloutState = IN_PROGRESS
    revision: int = 0
    bad: bool = False
    offer: tuple[RolloutState, int] | None = None
    learnt: bool = False
    wrong: bool = False


Hosts = tuple[Host, ...]


class Rules(NamedTuple):
    """The guards of the hosts."""

    use_new: MayUseNew
    compares: bool
    reads_record: bool


def build_outcome(
    use_new: MayUseNew = may_use_new,
    compares: bool = True,
    reads_record: bool = True,
) -> Protocol:
    """Returns the protocol of two hosts that write the outcome of an order.

    Args:
        use_new: Whether a host may send to the new version.
        compares: Whether the store writes only on the revision that the host
            has read.
        reads_record: Whether a host reads the record when it starts.
    """
    rules = Rules(use_new, compares, reads_record)
    return Protocol(
        name="a rollout ends once",
        candidate=False,
        fields=("store", "hosts", "late"),
        initial=(Store(), tuple(Host() for _ in HOSTS), False),
        transitions=lambda state: list(
            _list_steps(state[0], state[1], state[2], rules)
        ),
        invariants={
            "the final state is written once": (
                lambda state: state["store"].finals <= 1
            ),
            "a version that is bad or was reverted gets no request": (
                lambda state: not any(h.wrong for h in state["hosts"])
            ),
        },
    )


def _list_steps(
    store: Store, hosts: Hosts, late: bool, rules: Rules
) -> Iterator[Transition]:
    """Yields the steps; `late` is whether a verdict is on its way."""
    for number in HOSTS:
        host = hosts[number]
        for label, changed in _list_host_steps(store, host, rules):
            updated = _replace_host(hosts, number, changed)
            yield f"{label}-{number}", (store, updated, late)
        if host.bad:
            yield f"heartbeat-{number}", (store, hosts, True)
        if late and host.known is IN_PROGRESS:
            updated = _replace_host(hosts, number, host._replace(bad=True))
            yield f"verdict arrives-{number}", (store, updated, False)
            yield f"verdict arrives again-{number}", (store, updated, True)
        if host.offer is not None:
            written = _write(store, host.offer, rules)
            updated = _replace_host(hosts, number, host._replace(offer=None))
            yield f"write-{number}", (written, updated, late)
    if late:
        yield "heartbeat is lost", (store, hosts, False)


def _list_host_steps(
    store: Store, host: Host, rules: Rules
) -> Iterator[tuple[str, Host]]:
    if rules.use_new(host.known, ORDER, host.bad):
        is_wrong = host.learnt or (host.bad and host.known is not COMPLETED)
        yield "send", host._replace(wrong=host.wrong or is_wrong)
    if host.known is IN_PROGRESS and not host.bad:
        yield "find bad", host._replace(bad=True)
    if host.known is not store.state:
        yield "read", _read(host, store)
    if host.known is IN_PROGRESS and host.offer is None:
        state = REVERTED if host.bad else COMPLETED
        yield "offer", host._replace(offer=(state, host.revision))
    fresh = Host(learnt=host.learnt, wrong=host.wrong)
    yield "restart", _read(fresh, store) if rules.reads_record else fresh


def _read(host: Host, store: Store) -> Host:
    return host._replace(
        known=store.state,
        revision=store.revision,
        learnt=host.learnt or store.state is REVERTED,
    )


def _write(
    store: Store, offer: tuple[RolloutState, int], rules: Rules
) -> Store:
    state, revision = offer
    if rules.compares and revision != store.revision:
        return store
    # More than two tell nothing new and keep the state space finite.
    return Store(state, min(2, store.revision + 1), min(2, store.finals + 1))


def _replace_host(hosts: Hosts, number: int, host: Host) -> Hosts:
    updated = list(hosts)
    updated[number] = host
    return tuple(updated)


class Progress(NamedTuple):
    """Stage of one host.

    Attributes:
        full: Whether it is in stage full.
        old: Requests in progress at old servers.
        left: Whether it left stage full, as after a restart.
    """

    full: bool = False
    old: int = 0
    left: bool = False


class Seen(NamedTuple):
    """What a heartbeat tells of the stage of its sender."""

    full: bool = False
    old: int = 0


def build_completion(complete: MayComplete = may_complete) -> Protocol:
    """Returns the protocol of a host that completes a rollout, and a peer.

    Args:
        complete: Whether the host may write that a rollout is completed.
    """
    return Protocol(
        name="a completed rollout cuts nothing off",
        candidate=False,
        fields=("hosts", "seen", "late", "completed"),
        initial=(tuple(Progress() for _ in HOSTS), Seen(), None, False),
        transitions=lambda state: list(
            _list_completion_steps(
                state[0], state[1], state[2], state[3], complete
            )
        ),
        invariants={
            "no request of a host that stayed in stage full is cut off": (
                lambda state: not state["completed"]
                or all(host.left or not host.old for host in state["hosts"])
            ),
        },
    )


def _list_completion_steps(
    hosts: tuple[Progress, ...],
    seen: Seen,
    late: Seen | None,
    completed: bool,
    complete: MayComplete,
) -> Iterator[Transition]:
    """Yields the steps; the first host writes, the second one reports."""
    if completed:
        return
    for number in HOSTS:
        for label, changed in _list_stage_steps(hosts[number]):
            updated = list(hosts)
            updated[number] = changed
            yield f"{label}-{number}", (tuple(updated), seen, late, False)
    now = Seen(hosts[1].full, hosts[1].old)
    yield "heartbeat", (hosts, now, late, False)
    if late is None:
        yield "late heartbeat", (hosts, seen, now, False)
    else:
        yield "late arrives", (hosts, late, None, False)
        yield "late arrives and again", (hosts, late, late, False)
        yield "late is lost", (hosts, seen, None, False)
    all_full = hosts[0].full and seen.full
    if complete(FULL_FRACTION, False, all_full, hosts[0].old + seen.old):
        yield "complete", (hosts, seen, late, True)


def _list_stage_steps(host: Progress) -> Iterator[tuple[str, Progress]]:
    if not host.full:
        yield "full", host._replace(full=True)
        yield "send old", host._replace(old=1)
    else:
        yield "leave", host._replace(full=False, left=True)
    if host.old:
        yield "end old", host._replace(old=0)
    yield "restart", Progress(left=True)


def build_counts(
    merge: Merge = merge_counts, by_boot: bool = True
) -> Protocol:
    """Returns the protocol of a host that reports its counts to another.

    Args:
        merge: Returns the counts of a boot after one more report.
        by_boot: Whether counts are merged for each boot of the sender.
    """
    return Protocol(
        name="merged counts follow the true ones",
        candidate=False,
        fields=("true", "told", "merged", "late"),
        initial=((0,), (0,), (0,) * MAX_BOOT, None),
        transitions=lambda state: list(
            _list_count_steps(
                state[0], state[1], state[2], state[3], merge, by_boot
            )
        ),
        invariants={
            "no answer counts twice": (
                lambda state: sum(state["merged"]) <= sum(state["true"])
            ),
            "no report is forgotten": (
                lambda state: sum(state["merged"]) >= sum(state["told"])
            ),
        },
    )


def _list_count_steps(
    true: Counts,
    told: Counts,
    merged: Counts,
    late: tuple[int, int] | None,
    merge: Merge,
    by_boot: bool,
) -> Iterator[Transition]:
    """Yields the steps.

    `true` and `told` hold the counts of each boot of the sender, and the
    highest ones that arrived; `merged` is what the receiver holds.
    """
    if true[-1] < MAX_COUNT:
        counted = (*true[:-1], true[-1] + 1)
        yield "answer", (counted, told, merged, late)
    if len(true) < MAX_BOOT:
        yield "restart", ((*true, 0), (*told, 0), merged, late)
    now = (len(true) - 1, true[-1])
    if late is None:
        yield "late report", (true, told, merged, now)
    for label, report, left in (
        ("report", now, late),
        ("late arrives", late, None),
        ("late arrives and again", late, late),
    ):
        if report is None:
            continue
        boot, count = report
        highest = list(told)
        highest[boot] = max(highest[boot], count)
        slot = boot if by_boot else 0
        sums = list(merged)
        [sums[slot]] = merge((sums[slot],), (count,))
        # Above the bound a sum is wrong in any case.
        sums[slot] = min(sums[slot], MAX_COUNT + 1)
        yield label, (true, tuple(highest), tuple(sums), left)
