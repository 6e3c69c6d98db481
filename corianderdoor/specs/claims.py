"""Specification: a caller's own key runs at most once across entry hosts.

Models one key, two routers that both consider themselves responsible for it,
and a store. Answers of the store may be lost, and its writes may take effect
late, even after the router that sent them was replaced. The log has two
segments, so that a router may write to a head that the other has sealed.
Routers decide by `decide_claim` of the core.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.claim_rule import decide_claim, Decision, Holder
from ..core.errors import Outcome

MAX_RUNS: Final = 2
MAX_VERSION: Final = 3  # of each of the two segments
MAX_LATE_WRITES: Final = 1
GUARDS: Final = frozenset(
    {
        "claim before the run",
        "version is the fence",
        "full head is sealed",
        "lost answer is not success",
        "claim of another is not run",
        "claim of an earlier incarnation is not run",
        "started run is not started again",
        "ended run is not started again",
        "release is held until written",
    }
)
NO_OWNER: Final = ""

Transition = tuple[str, tuple[Any, ...]]


class Log(NamedTuple):
    """The claim log in the store, or a router's view of it."""

    head: int
    version: int
    owner: str
    outcome: Outcome | None


class Write(NamedTuple):
    """A write whose answer has not arrived."""

    owner: str
    head: int
    version: int
    outcome: Outcome | None
    seals: bool


class RouterState(NamedTuple):
    """State of a router.

    Attributes:
        incarnation: Incremented when the router is replaced.
        view: The log as last read or written; None if it must read it.
        running: Whether the backend server has the router's request.
        started: Whether the router started a run under its claim.
        ending: Outcome of the run that is not in the log yet.
        write: Write without an answer so far.
    """

    incarnation: int = 0
    view: Log | None = None
    running: bool = False
    started: bool = False
    ending: Outcome | None = None
    write: Write | None = None


class ModelState(NamedTuple):
    """State of the whole model.

    Attributes:
        log: The log in the store.
        left: Version of the sealed segment before the head.
        first: The first router.
        second: The second router.
        late: Unanswered writes that may still take effect.
        runs: How often the backend server ran the request.
    """

    log: Log
    left: int
    first: RouterState
    second: RouterState
    late: frozenset[Write]
    runs: int


INITIAL_STATE: Final = ModelState(
    Log(0, 0, NO_OWNER, None), 0, RouterState(), RouterState(), frozenset(), 0
)


class ClaimSpec:
    """The protocol with the guards in `disabled` removed."""

    __slots__ = ("_disabled",)

    def __init__(self, disabled: frozenset[str] = frozenset()) -> None:
        self._disabled = disabled

    def build(self) -> Protocol:
        """Returns the specification for the model checker."""
        return Protocol(
            name="own key runs at most once",
            candidate=False,
            fields=ModelState._fields,
            initial=tuple(INITIAL_STATE),
            transitions=self._next_states,
            invariants={"runs at most once": lambda state: state["runs"] <= 1},
        )

    def _next_states(self, values: tuple[Any, ...]) -> list[Transition]:
        state = ModelState(*values)
        steps: list[Transition] = []
        for router_name in ("first", "second"):
            for label, router, change in self._list_router_steps(
                state, router_name
            ):
                after = state._replace(**{router_name: router, **change})
                steps.append((f"{router_name}: {label}", tuple(after)))
        for write in state.late:
            changes = self._apply_write(state, write)
            after = state._replace(late=state.late - {write}, **changes)
            steps.append(("late write arrives", tuple(after)))
        return steps

    def _list_router_steps(
        self, state: ModelState, router_name: str
    ) -> Iterator[tuple[str, RouterState, dict[str, Any]]]:
        router: RouterState = getattr(state, router_name)
        owner = f"{router_name}/{router.incarnation}"
        if router.write is not None:
            yield from self._list_write_answers(state, router, router.write)
        elif router.view is None:
            yield "reads the log", _observe_log(router, state.log, owner), {}
        else:
            yield from self._list_decision_steps(
                state, router, router.view, owner
            )
        if router.running:
            yield from _list_run_ends(state, router)
        if router.incarnation == 0 and router_name == "first":
            late = state.late | ({router.write} if router.write else set())
            if len(late) <= MAX_LATE_WRITES:
                yield "is replaced", RouterState(incarnation=1), {"late": late}

    def _list_decision_steps(
        self, state: ModelState, router: RouterState, view: Log, owner: str
    ) -> Iterator[tuple[str, RouterState, dict[str, Any]]]:
        holder = self._find_holder(router, view, owner)
        outcome = view.outcome
        if "ended run is not started again" in self._disabled:
            outcome = None
        move = decide_claim(holder, outcome, before_deadline=True)
        if move is Decision.CLAIM and "claim before the run" in self._disabled:
            move = Decision.RUN
        if move is Decision.RUN:
            runs = min(MAX_RUNS, state.runs + 1)
            updated = router._replace(running=True, started=True, ending=None)
            yield "runs it", updated, {"runs": runs}
        if view.version >= MAX_VERSION:
            return
        if move is Decision.CLAIM:
            yield from _list_writes(router, view, owner, None)
        elif router.ending is not None:
            yield from _list_writes(router, view, owner, router.ending)

    def _find_holder(
        self, router: RouterState, view: Log, owner: str
    ) -> Holder:
        if view.owner == NO_OWNER:
            return Holder.NOBODY
        if view.owner != owner and not self._mistakes_for_own(view, owner):
            return Holder.OTHER
        if router.ending is Outcome.NOT_RUN:
            held = "release is held until written" not in self._disabled
            return Holder.SELF_ENDING if held else Holder.SELF_UNSTARTED
        if router.ending is not None:
            return Holder.SELF_ENDING
        if (
            router.started
            and "started run is not started again" not in self._disabled
        ):
            return Holder.SELF_RUNNING
        return Holder.SELF_UNSTARTED

    def _mistakes_for_own(self, view: Log, owner: str) -> bool:
        same_router = view.owner.split("/")[0] == owner.split("/")[0]
        guard = "claim of another is not run"
        if same_router:
            guard = "claim of an earlier incarnation is not run"
        return guard in self._disabled

    def _list_write_answers(
        self, state: ModelState, router: RouterState, write: Write
    ) -> Iterator[tuple[str, RouterState, dict[str, Any]]]:
        changes = self._apply_write(state, write)
        done = router._replace(write=None)
        unconfirmed = done._replace(view=None)
        if changes:
            wrote = _observe_log(done, changes["log"], write.owner)
            yield "write succeeds", wrote, changes
        else:
            yield "write is rejected", unconfirmed, {}
        if "lost answer is not success" in self._disabled:
            believed = Log(
                write.head,
                write.version + 1,
                NO_OWNER if write.outcome is Outcome.NOT_RUN else write.owner,
                write.outcome,
            )
            unconfirmed = _observe_log(done, believed, write.owner)
        yield "answer to the write is lost", unconfirmed, changes
        if len(state.late) < MAX_LATE_WRITES:
            yield "write is late", unconfirmed, {"late": state.late | {write}}

    def _apply_write(self, state: ModelState, write: Write) -> dict[str, Any]:
        """Returns the fields that change when `write` reaches the store.

        Empty if the store rejects it.
        """
        current = (
            state.log.version if write.head == state.log.head else state.left
        )
        fenced = "version is the fence" not in self._disabled
        if fenced and write.version != current:
            return {}
        released = write.outcome is Outcome.NOT_RUN
        log = Log(
            state.log.head,
            state.log.version + 1,
            NO_OWNER if released else write.owner,
            None if released else write.outcome,
        )
        if not write.seals:
            return {"log": log}
        left = write.version
        if "full head is sealed" not in self._disabled:
            left = write.version + 1
        return {"log": log._replace(head=1, version=0), "left": left}


def _observe_log(router: RouterState, log: Log, owner: str) -> RouterState:
    """Returns `router` with `log` as its view.

    Resets `started` and `ending` if the claim is not the router's own or has
    an outcome.
    """
    if log.owner != owner:
        return router._replace(view=log, started=False, ending=None)
    if log.outcome is not None:
        return router._replace(view=log, started=False, ending=None)
    return router._replace(view=log)


def _list_writes(
    router: RouterState, view: Log, owner: str, outcome: Outcome | None
) -> Iterator[tuple[str, RouterState, dict[str, Any]]]:
    what = "claim" if outcome is None else outcome.value
    write = Write(owner, view.head, view.version, outcome, False)
    yield f"writes {what}", router._replace(write=write), {}
    if view.head == 0:
        sealing = write._replace(seals=True)
        yield f"writes {what} and seals", router._replace(write=sealing), {}


def _list_run_ends(
    state: ModelState, router: RouterState
) -> Iterator[tuple[str, RouterState, dict[str, Any]]]:
    ended = router._replace(running=False)
    yield "answer arrives", ended._replace(ending=Outcome.RUN), {}
    yield "no answer arrives", ended._replace(ending=Outcome.UNKNOWN), {}
    refused = ended._replace(ending=Outcome.NOT_RUN)
    yield "server refuses, not run", refused, {"runs": state.runs - 1}
