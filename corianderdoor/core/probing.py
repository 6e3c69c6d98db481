"""Probes of members: targets, timeouts and relays of indirect pings."""

from __future__ import annotations

import random
from typing import Final

from .members import MemberTable
from .membership_messages import State, Update

FAR_PROBE_EVERY: Final = 4
NEAR_ANSWER_TIMEOUT_MS: Final = 500
FAR_ANSWER_TIMEOUT_MS: Final = 1_000
NEAR_PROBE_TIMEOUT_MS: Final = 3_500
FAR_PROBE_TIMEOUT_MS: Final = 6_000
FIRST_ROUND_RELAYS: Final = 3
LATER_ROUND_RELAYS: Final = 1


def answer_timeout_ms(far: bool) -> int:
    """Returns the timeout of one ping, in ms; longer between regions."""
    return FAR_ANSWER_TIMEOUT_MS if far else NEAR_ANSWER_TIMEOUT_MS


def probe_timeout_ms(far: bool) -> int:
    """Returns how long a silent member is probed before it counts as dead."""
    return FAR_PROBE_TIMEOUT_MS if far else NEAR_PROBE_TIMEOUT_MS


class Probe:
    """Repeated attempts to reach one member.

    Attributes:
        target: Name of the member.
        started_ms: Monotonic time of the start.
        next_ms: Monotonic time at which the next round is due.
        round: Number of rounds so far.
        nacks: Number of relays that did not reach the member either.
        far: Whether the member is in another region.
    """

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

    __slots__ = ("requester", "id", "until_ms")

    def __init__(self, requester: str, id: int, until_ms: int) -> None:
        self.requester = requester
        self.id = id
        self.until_ms = until_ms


class ProbeSchedule:
    """Chooses probe targets: each member once before any is repeated.

    Most probes stay in the region; every `FAR_PROBE_EVERY`th leaves it.
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
        if self._turn % FAR_PROBE_EVERY == 0:
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
    probe: Probe,
    alive: tuple[Update, ...],
    avoid: set[str],
    region: str,
    rng: random.Random,
) -> list[str]:
    """Returns the members to ask for an indirect ping of a silent one.

    Args:
        probe: The probe of the silent member.
        alive: Members believed alive.
        avoid: Names of members that are being probed themselves.
        region: Region of this daemon; the first round also asks a member
            of it.
        rng: Source of randomness.
    """
    others = [update for update in alive if update.name not in avoid]
    count = FIRST_ROUND_RELAYS if probe.round == 1 else LATER_ROUND_RELAYS
    chosen = rng.sample(others, min(count, len(others)))
    names = [update.name for update in chosen]
    near = [
        update.name
        for update in others
        if update.region == region and update.name not in names
    ]
    if near and probe.round == 1:
        names[-1] = rng.choice(near)
    return names
