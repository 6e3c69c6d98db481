"""Specification: a minted key runs at most once across entry hosts.

One key, its minter and a second router. Copies of the request arrive at
either, at any time and in any order. The minter may be replaced, and it
forgets keys that have expired. The decision is the core's own
`decide_ticket`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from minicheck import Protocol

from ..core.tickets import decide_ticket, Decision, Origin, State

MAX_RUNS: Final = 2
MAX_INCARNATION: Final = 1

Judge = Callable[[Origin, bool, State | None], Decision]
Step = tuple[str, tuple[Any, ...]]


class Now(NamedTuple):
    """A state; tuples, since the checker hashes every state.

    Attributes:
        incarnation: The minter's incarnation; 0 minted the key.
        used: What the minter knows of the key.
        running: The backend server has the request of this incarnation.
        expired: The key has expired by the minter's clock.
        listed: The second router has the minter in its list.
        runs: How often the backend server ran the request.
    """

    incarnation: int
    used: State | None
    running: bool
    expired: bool
    listed: bool
    runs: int


START: Final = Now(0, None, False, False, True, 0)


def build_spec(judge: Judge = decide_ticket) -> Protocol:
    """Returns the specification with `judge` as its only guard."""

    def next_states(state: tuple[Any, ...]) -> list[Step]:
        now = Now(*state)
        return [*_arrive(now, judge), *_end(now), *_fail(now)]

    return Protocol(
        name="minted key runs at most once",
        candidate=False,
        fields=Now._fields,
        initial=tuple(START),
        transitions=next_states,
        invariants={"runs at most once": lambda state: state["runs"] <= 1},
    )


def _arrive(now: Now, judge: Judge) -> Iterator[Step]:
    place = Origin.HERE if now.incarnation == 0 else Origin.BEFORE
    if judge(place, now.expired, now.used) is Decision.RUN:
        yield "minter runs it", tuple(_begin(now))
    other = Origin.ELSEWHERE if now.listed else Origin.GONE
    if judge(other, now.expired, None) is Decision.RUN:
        yield "other router runs it", tuple(_count(now))


def _begin(now: Now) -> Now:
    return _count(now)._replace(used=State.RUNNING, running=True)


def _count(now: Now) -> Now:
    return now._replace(runs=min(MAX_RUNS, now.runs + 1))


def _end(now: Now) -> Iterator[Step]:
    if not now.running:
        return
    ended = now._replace(running=False)
    yield "answer arrives", tuple(ended._replace(used=State.RUN))
    yield "no answer arrives", tuple(ended._replace(used=State.UNKNOWN))
    refused = ended._replace(used=None, runs=now.runs - 1)
    yield "server refuses, not run", tuple(refused)


def _fail(now: Now) -> Iterator[Step]:
    if now.incarnation < MAX_INCARNATION:
        fresh = now._replace(
            incarnation=now.incarnation + 1, used=None, running=False
        )
        yield "minter is replaced", tuple(fresh)
    if not now.expired:
        yield "key expires", tuple(now._replace(expired=True, used=None))
    yield "list changes", tuple(now._replace(listed=not now.listed))
