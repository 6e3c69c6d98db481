"""Specification: a minted key runs at most once across entry hosts.

Models one key, the router that minted it and a second router. Copies of the
request arrive at both, at any time and in any order. The minter may be
replaced, and it forgets expired keys. Routers decide by `decide_ticket` of
the core.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.tickets import decide_ticket, Decision, Origin, State

MAX_RUNS: Final = 2
MAX_INCARNATION: Final = 1

Judge = Callable[[Origin, bool, State | None], Decision]
Transition = tuple[str, tuple[Any, ...]]


class ModelState(NamedTuple):
    """State of the whole model; a tuple, since the checker hashes it.

    Attributes:
        incarnation: Incarnation of the minter; 0 minted the key.
        used: State of the key at the minter; None if unused or forgotten.
        running: Whether the backend server has a request of this
            incarnation.
        expired: Whether the key has expired by the minter's clock.
        listed: Whether the minter is in the second router's host list.
        runs: How often the backend server ran the request.
    """

    incarnation: int
    used: State | None
    running: bool
    expired: bool
    listed: bool
    runs: int


INITIAL_STATE: Final = ModelState(0, None, False, False, True, 0)


def build_spec(judge: Judge = decide_ticket) -> Protocol:
    """Returns the specification with `judge` as its only guard."""

    def next_states(values: tuple[Any, ...]) -> list[Transition]:
        state = ModelState(*values)
        return [
            *_list_arrivals(state, judge),
            *_list_run_ends(state),
            *_list_failures(state),
        ]

    return Protocol(
        name="minted key runs at most once",
        candidate=False,
        fields=ModelState._fields,
        initial=tuple(INITIAL_STATE),
        transitions=next_states,
        invariants={"runs at most once": lambda state: state["runs"] <= 1},
    )


def _list_arrivals(state: ModelState, judge: Judge) -> Iterator[Transition]:
    origin = Origin.HERE if state.incarnation == 0 else Origin.BEFORE
    if judge(origin, state.expired, state.used) is Decision.RUN:
        yield "minter runs it", tuple(_start_run(state))
    other = Origin.ELSEWHERE if state.listed else Origin.GONE
    if judge(other, state.expired, None) is Decision.RUN:
        yield "other router runs it", tuple(_count_run(state))


def _start_run(state: ModelState) -> ModelState:
    return _count_run(state)._replace(used=State.RUNNING, running=True)


def _count_run(state: ModelState) -> ModelState:
    return state._replace(runs=min(MAX_RUNS, state.runs + 1))


def _list_run_ends(state: ModelState) -> Iterator[Transition]:
    if not state.running:
        return
    ended = state._replace(running=False)
    yield "answer arrives", tuple(ended._replace(used=State.RUN))
    yield "no answer arrives", tuple(ended._replace(used=State.UNKNOWN))
    refused = ended._replace(used=None, runs=state.runs - 1)
    yield "server refuses, not run", tuple(refused)


def _list_failures(state: ModelState) -> Iterator[Transition]:
    if state.incarnation < MAX_INCARNATION:
        fresh = state._replace(
            incarnation=state.incarnation + 1, used=None, running=False
        )
        yield "minter is replaced", tuple(fresh)
    if not state.expired:
        yield "key expires", tuple(state._replace(expired=True, used=None))
    yield "list changes", tuple(state._replace(listed=not state.listed))
