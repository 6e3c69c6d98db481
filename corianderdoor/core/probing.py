"""Whom to probe, how long to try, and whom to ask for a second opinion."""

from __future__ import annotations

import random
from typing import Final

from .members import MemberTable
from .membership_messages import State, Update

FAR_EVERY: Final = 4
NEAR_ROUND_MS: Final = 500
FAR_ROUND_MS: Final = 1_000
NEAR_TRIAL_MS: Final = 3_500
FAR_TRIAL_MS: Final = 6_000
FIRST_RELAYS: Final = 3
LATER_RELAYS: Final = 1


def answer_timeout_ms(far: bool) -> int:
    """Returns the wait for an answer; longer between regions."""
    return FAR_ROUND_MS if far else NEAR_ROUND_MS


def probe_timeout_ms(far: bool) -> int:
    """Returns how long a silent member is tried before it counts dead."""
    return FAR_TRIAL_MS if far else NEAR_TRIAL_MS


class Probe:
    """The attempts to reach one member."""

    __slots__ = ("target", "started_ms", "next_ms", "round", "nacks", "far")

    def __init__(self, target: str, now_ms: int, far: bool) -> None:
        self.target = target
        self.started_ms = now_ms
        self.next_ms = now_ms
        self.round = 0
        self.nacks = 0
        self.far = far


class RelayedPing:
    """An indirect ping in progress for another daemon."""

    __slots__ = ("asker", "id", "until_ms")

    def __init__(self, asker: str, id: int, until_ms: int) -> None:
        self.asker = asker
        self.id = id
        self.until_ms = until_ms


class ProbeSchedule:
    """Whom to probe next: each member once before any comes again.

    Most probes stay in the region; each `FAR_EVERY`th leaves it.
    """

    __slots__ = ("_table", "_region", "_rng", "_near", "_far", "_turn")

    def __init__(
        self, table: MemberTable, region: str, rng: random.Random
    ) -> None:
        self._table = table
        self._region = region
        self._rng = rng
        self._near: list[str] = []
        self._far: list[str] = []
        self._turn = 0

    def next(self) -> Update | None:
        """Returns the member to probe now, None if there is none."""
        self._turn += 1
        queues = [(self._near, False), (self._far, True)]
        if self._turn % FAR_EVERY == 0:
            queues.reverse()
        for queue, far in queues:
            if not queue:
                queue += self._names(far)
                self._rng.shuffle(queue)
            while queue:
                member = self._table.get(queue.pop())
                if member and member.update.state is State.ALIVE:
                    return member.update
        return None

    def _names(self, far: bool) -> list[str]:
        return [
            update.name
            for update in self._table.alive()
            if (update.region != self._region) == far
        ]


def choose_relays(
    trial: Probe,
    alive: tuple[Update, ...],
    avoid: set[str],
    region: str,
    rng: random.Random,
) -> list[str]:
    """Returns members to ask about a silent one.

    Args:
        trial: The attempts to reach the silent member.
        alive: Members believed alive.
        avoid: Names of members that are silent themselves.
        region: Region of this daemon; the first round asks there too.
        rng: Source of the choice.
    """
    others = [update for update in alive if update.name not in avoid]
    count = FIRST_RELAYS if trial.round == 1 else LATER_RELAYS
    chosen = rng.sample(others, min(count, len(others)))
    names = [update.name for update in chosen]
    near = [
        update.name
        for update in others
        if update.region == region and update.name not in names
    ]
    if near and trial.round == 1:
        names[-1] = rng.choice(near)
    return names
