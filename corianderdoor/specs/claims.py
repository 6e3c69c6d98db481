"""Specification: a caller's own key runs at most once across entry hosts.

One key and two routers that both believe themselves home to it, around a
store whose answers may be lost and whose writes may take effect late, also
after their router was replaced. The log has two segments, so that a writer
may hold a head that another has sealed. Decisions are the core's own
`decide_claim`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.claim_rule import decide_claim, Decision, Holder
from ..core.errors import Outcome

MAX_RUNS: Final = 2
MAX_VERSION: Final = 3  # of each of the two segments
MAX_LATE: Final = 1
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

Step = tuple[str, tuple[Any, ...]]


class Log(NamedTuple):
    """What the store holds, or what a router believes that it holds."""

    head: int
    version: int
    owner: str
    outcome: Outcome | None


class Write(NamedTuple):
    """A write under way."""

    owner: str
    head: int
    version: int
    outcome: Outcome | None
    seals: bool


class Node(NamedTuple):
    """A router.

    Attributes:
        incarnation: Grows when it is replaced.
        view: What it last saw of the log; None if it has to read.
        running: The backend server has its request.
        started: It began a run under its claim.
        ending: The outcome that the log does not hold yet.
        write: Its write under way.
    """

    incarnation: int = 0
    view: Log | None = None
    running: bool = False
    started: bool = False
    ending: Outcome | None = None
    write: Write | None = None


class Now(NamedTuple):
    """A state.

    Attributes:
        log: The log in the store.
        left: Version of the sealed segment that stays behind the head.
        first: The first router.
        second: The second router.
        late: Writes without an answer that may still take effect.
        runs: How often the backend server ran the request.
    """

    log: Log
    left: int
    first: Node
    second: Node
    late: frozenset[Write]
    runs: int


START: Final = Now(
    Log(0, 0, NO_OWNER, None), 0, Node(), Node(), frozenset(), 0
)


class ClaimSpec:
    """The transitions, with the guards in `off` taken out."""

    __slots__ = ("_off",)

    def __init__(self, off: frozenset[str] = frozenset()) -> None:
        self._off = off

    def build(self) -> Protocol:
        """Returns the specification for the checker."""
        return Protocol(
            name="own key runs at most once",
            candidate=False,
            fields=Now._fields,
            initial=tuple(START),
            transitions=self._next_states,
            invariants={"runs at most once": lambda state: state["runs"] <= 1},
        )

    def _next_states(self, state: tuple[Any, ...]) -> list[Step]:
        now = Now(*state)
        steps: list[Step] = []
        for place in ("first", "second"):
            for label, node, change in self._act(now, place):
                after = now._replace(**{place: node, **change})
                steps.append((f"{place}: {label}", tuple(after)))
        for write in now.late:
            landed = self._land(now, write)
            after = now._replace(late=now.late - {write}, **landed)
            steps.append(("late write arrives", tuple(after)))
        return steps

    def _act(
        self, now: Now, place: str
    ) -> Iterator[tuple[str, Node, dict[str, Any]]]:
        node: Node = getattr(now, place)
        owner = f"{place}/{node.incarnation}"
        if node.write is not None:
            yield from self._answer(now, node, node.write)
        elif node.view is None:
            yield "reads the log", _look(node, now.log, owner), {}
        else:
            yield from self._decide(now, node, node.view, owner)
        if node.running:
            yield from _end_run(now, node)
        if node.incarnation == 0 and place == "first":
            late = now.late | ({node.write} if node.write else set())
            if len(late) <= MAX_LATE:
                yield "is replaced", Node(incarnation=1), {"late": late}

    def _decide(
        self, now: Now, node: Node, view: Log, owner: str
    ) -> Iterator[tuple[str, Node, dict[str, Any]]]:
        holder = self._find_holder(node, view, owner)
        outcome = view.outcome
        if "ended run is not started again" in self._off:
            outcome = None
        move = decide_claim(holder, outcome, before_deadline=True)
        if move is Decision.CLAIM and "claim before the run" in self._off:
            move = Decision.RUN
        if move is Decision.RUN:
            runs = min(MAX_RUNS, now.runs + 1)
            begun = node._replace(running=True, started=True, ending=None)
            yield "runs it", begun, {"runs": runs}
        if view.version >= MAX_VERSION:
            return
        if move is Decision.CLAIM:
            yield from _write(node, view, owner, None)
        elif node.ending is not None:
            yield from _write(node, view, owner, node.ending)

    def _find_holder(self, node: Node, view: Log, owner: str) -> Holder:
        if view.owner == NO_OWNER:
            return Holder.NOBODY
        if view.owner != owner and not self._takes_for_own(view, owner):
            return Holder.OTHER
        if node.ending is Outcome.NOT_RUN:
            held = "release is held until written" not in self._off
            return Holder.SELF_ENDING if held else Holder.SELF_UNSTARTED
        if node.ending is not None:
            return Holder.SELF_ENDING
        if (
            node.started
            and "started run is not started again" not in self._off
        ):
            return Holder.SELF_RUNNING
        return Holder.SELF_UNSTARTED

    def _takes_for_own(self, view: Log, owner: str) -> bool:
        same_router = view.owner.split("/")[0] == owner.split("/")[0]
        guard = "claim of another is not run"
        if same_router:
            guard = "claim of an earlier incarnation is not run"
        return guard in self._off

    def _answer(
        self, now: Now, node: Node, write: Write
    ) -> Iterator[tuple[str, Node, dict[str, Any]]]:
        landed = self._land(now, write)
        done = node._replace(write=None)
        unsure = done._replace(view=None)
        if landed:
            wrote = _look(done, landed["log"], write.owner)
            yield "write succeeds", wrote, landed
        else:
            yield "write is outrun", unsure, {}
        if "lost answer is not success" in self._off:
            believed = Log(
                write.head,
                write.version + 1,
                NO_OWNER if write.outcome is Outcome.NOT_RUN else write.owner,
                write.outcome,
            )
            unsure = _look(done, believed, write.owner)
        yield "answer to the write is lost", unsure, landed
        if len(now.late) < MAX_LATE:
            yield "write is late", unsure, {"late": now.late | {write}}

    def _land(self, now: Now, write: Write) -> dict[str, Any]:
        """Returns what changes when `write` reaches the store."""
        current = now.log.version if write.head == now.log.head else now.left
        fenced = "version is the fence" not in self._off
        if fenced and write.version != current:
            return {}
        released = write.outcome is Outcome.NOT_RUN
        log = Log(
            now.log.head,
            now.log.version + 1,
            NO_OWNER if released else write.owner,
            None if released else write.outcome,
        )
        if not write.seals:
            return {"log": log}
        left = write.version
        if "full head is sealed" not in self._off:
            left = write.version + 1
        return {"log": log._replace(head=1, version=0), "left": left}


def _look(node: Node, log: Log, owner: str) -> Node:
    """Returns `node` with the log in view; noted endings are dropped."""
    if log.owner != owner:
        return node._replace(view=log, started=False, ending=None)
    if log.outcome is not None:
        return node._replace(view=log, started=False, ending=None)
    return node._replace(view=log)


def _write(
    node: Node, view: Log, owner: str, outcome: Outcome | None
) -> Iterator[tuple[str, Node, dict[str, Any]]]:
    what = "claim" if outcome is None else outcome.value
    write = Write(owner, view.head, view.version, outcome, False)
    yield f"writes {what}", node._replace(write=write), {}
    if view.head == 0:
        sealing = write._replace(seals=True)
        yield f"writes {what} and seals", node._replace(write=sealing), {}


def _end_run(
    now: Now, node: Node
) -> Iterator[tuple[str, Node, dict[str, Any]]]:
    ended = node._replace(running=False)
    yield "answer arrives", ended._replace(ending=Outcome.RUN), {}
    yield "no answer arrives", ended._replace(ending=Outcome.UNKNOWN), {}
    refused = ended._replace(ending=Outcome.NOT_RUN)
    yield "server refuses, not run", refused, {"runs": now.runs - 1}
