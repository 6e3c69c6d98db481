"""Which prompt part is to blame for crashes.

Each crash interrupts many requests. The cause is found by elimination: a part
that was answered since is sound, and so is one beside another with a longer
time without an answer. docs/design/crashing_requests.md has the rule.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

from .answered_parts import NEVER_MS
from .crash_evidence import Crash, CrashEvidence, InterruptedAttempt
from .crash_thresholds import (
    ANSWERED_PART,
    count_moments,
    NEW_PART,
    NEW_PART_AT_ONCE,
    Threshold,
    UNINFORMED,
)
from .crash_verdicts import CrashVerdicts

# Newest crashes that are looked at.
MAX_JUDGED: Final = 16
# Different requests with the part that must have been interrupted.
MIN_REQUESTS: Final = 2
# How long a part is kept away from servers at first.
NEW_PART_MS: Final = 60_000
ANSWERED_PART_MS: Final = 10_000


class PartBlame:
    """Decides which prompt parts crash servers."""

    __slots__ = ("_evidence", "_verdicts", "_answered")

    def __init__(
        self, evidence: CrashEvidence, verdicts: CrashVerdicts
    ) -> None:
        """Initializes the object.

        Args:
            evidence: The crashes.
            verdicts: Takes the parts that are to blame.
        """
        self._evidence = evidence
        self._verdicts = verdicts
        self._answered = verdicts.answered

    def judge(self, attempts: Sequence[InterruptedAttempt]) -> None:
        """Decides about the parts of attempts that were just added."""
        newest = {
            part: attempt
            for attempt in attempts
            for part in self._blamed_parts(attempt)
        }
        for part, attempt in newest.items():
            if part in self._verdicts:
                self._verdicts.record_crash(part, attempt.at_ms)
            elif self._causes_crashes(part):
                is_new = self._answered.last_ms(part) == NEVER_MS
                period_ms = NEW_PART_MS if is_new else ANSWERED_PART_MS
                self._verdicts.convict(part, attempt.at_ms, period_ms)

    def select_suspect(
        self, parts: tuple[int, ...], count: int
    ) -> tuple[int, ...]:
        """Returns the `count` parts that may be to blame most, in order.

        Those that have gone without an answer for longest, and of these the
        ones that more crashes interrupted.
        """
        if len(parts) <= count:
            return parts
        ranked = sorted(
            range(len(parts)),
            key=lambda place: (
                self._answered.last_ms(parts[place]),
                -len(self._evidence.of_part(parts[place])),
                -place,
            ),
        )
        return tuple(parts[place] for place in sorted(ranked[:count]))

    def _blamed_parts(self, attempt: InterruptedAttempt) -> list[int]:
        """Returns the parts that have gone without an answer for longest."""
        known: list[int] = []
        if len(self._verdicts):
            known = [p for p in attempt.parts if p in self._verdicts]
        if known or not attempt.parts:
            return known
        oldest_ms = min(map(self._answered.last_ms, attempt.parts))
        return [
            part
            for part in attempt.parts
            if self._answered.last_ms(part) == oldest_ms
        ]

    def _causes_crashes(self, part: int) -> bool:
        """Returns whether the crashes suffice to blame a part."""
        crashes = self._evidence.of_part(part)[-MAX_JUDGED:]
        if len(crashes) < NEW_PART.crashes:
            return False
        since_ms = self._answered.last_ms(part)
        blamed: list[InterruptedAttempt] = []
        times: list[int] = []
        for crash in crashes:
            found = [
                attempt
                for attempt in self._find_suspects(crash, part)
                if part in attempt.parts
                and attempt.at_ms > since_ms
                and part in self._blamed_parts(attempt)
                and not is_explained(crash, attempt, self._verdicts)
            ]
            if found and not self._is_common_outage(crash, part):
                blamed += found
                times.append(crash.at_ms)
        thresholds = self._find_thresholds(part, blamed)
        moments = count_moments(times)
        if not any(
            len(times) >= need.crashes and moments >= need.moments
            for need in thresholds
        ):
            return False
        if len({attempt.request for attempt in blamed}) < MIN_REQUESTS:
            return False
        return not _has_common_later_part(part, blamed, self._blamed_parts)

    def _find_suspects(
        self, crash: Crash, part: int
    ) -> list[InterruptedAttempt]:
        """Returns the attempts that may have caused a crash by a part.

        A server may crash before it has sent a byte on a new part. Those that
        it had begun to answer did not cause it if all of their parts have been
        answered.
        """
        suspects = crash.suspects()
        if self._answered.last_ms(part) != NEVER_MS:
            return suspects
        if all(
            attempt.parts and self._is_answered(attempt)
            for attempt in suspects
            if attempt.begun
        ):
            return crash.left()
        return suspects

    def _is_answered(self, attempt: InterruptedAttempt) -> bool:
        """Returns whether all parts of an attempt have been answered."""
        return all(
            self._answered.last_ms(part) != NEVER_MS for part in attempt.parts
        )

    def _find_thresholds(
        self, part: int, attempts: list[InterruptedAttempt]
    ) -> list[Threshold]:
        if self._answered.last_ms(part) != NEVER_MS:
            return [ANSWERED_PART]
        if not self._answered.has_own:
            return [UNINFORMED]
        if all(self._has_answered_part(attempt) for attempt in attempts):
            return [NEW_PART, NEW_PART_AT_ONCE]
        return [NEW_PART]

    def _has_answered_part(self, attempt: InterruptedAttempt) -> bool:
        return any(
            self._answered.last_ms(p) != NEVER_MS for p in attempt.parts
        )

    def _is_common_outage(self, crash: Crash, part: int) -> bool:
        return self._evidence.is_common_outage(
            crash,
            lambda other: any(
                part in a.parts for a in self._find_suspects(other, part)
            ),
        )


def is_explained(
    crash: Crash, attempt: InterruptedAttempt, verdicts: CrashVerdicts
) -> bool:
    """Returns whether a crash has a known cause other than `attempt`."""
    if not len(verdicts):
        return False
    if any(
        other.request != attempt.request and other.request in verdicts
        for other in crash.left()
    ):
        return True
    return any(
        part in verdicts and part not in attempt.parts
        for other in crash.suspects()
        for part in other.parts
    )


def _has_common_later_part(
    part: int,
    attempts: list[InterruptedAttempt],
    blamed_parts: Callable[[InterruptedAttempt], list[int]],
) -> bool:
    """Returns whether a later part was in all attempts too.

    It is the cause as likely, and fewer requests have it.
    """
    common: set[int] | None = None
    for attempt in attempts:
        blamed = blamed_parts(attempt)
        later = set(blamed[blamed.index(part) + 1 :])
        common = later if common is None else common & later
    return bool(common)
