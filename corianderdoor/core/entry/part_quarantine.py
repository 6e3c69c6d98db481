"""Quarantine of prompt parts that crash the servers that answer them.

Each crash interrupts many requests. The cause is found by elimination: a part
that was answered since is sound, and so is one beside another with a longer
time without an answer. docs/design/crashing_requests.md has the rule.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import Final

from .active_hosts import rank_host
from .answered_parts import AnsweredParts, NEVER_MS
from .crash_evidence import CrashEvidence, InterruptedAttempt
from .crash_thresholds import (
    ANSWERED_PART,
    count_moments,
    NEW_PART,
    NEW_PART_AT_ONCE,
    Threshold,
    UNINFORMED,
)
from .part_reports import PartChange, PartReport

# Newest crashes that are looked at.
MAX_JUDGED: Final = 16
# Different requests with the part that must have been interrupted.
MIN_REQUESTS: Final = 2
# How long a part is quarantined at first, and the factor and the bound of
# each further time.
NEW_PART_MS: Final = 60_000
ANSWERED_PART_MS: Final = 10_000
RENEWAL_FACTOR: Final = 4
MAX_QUARANTINE_MS: Final = 3_600_000
# Time between the trials of two hosts in an order, and time for one.
TRIAL_STEP_MS: Final = 500
TRIAL_MS: Final = 5_000
# How long a quarantine is remembered after its trials may begin.
KEEP_MS: Final = 600_000
# Bounds of the quarantined parts and of the reports in one heartbeat.
MAX_QUARANTINED: Final = 256
MAX_REPORTS: Final = 16
# Hosts that repeat a quarantine to their peers, and the interval.
REPEATING_HOSTS: Final = 16
REPEAT_MS: Final = 1_000
# Time of a report that is to be repeated; later than `NEVER_MS`.
REPEAT_NOW_MS: Final = NEVER_MS + 1
# A quarantine that a peer reports is not taken over for a part that was
# answered this shortly before it: each host decides for itself then.
RECENT_ANSWER_MS: Final = 60_000
# Difference from which a report of a peer is about a later quarantine.
SAME_QUARANTINE_MS: Final = 1_500


class _Quarantine:
    __slots__ = ("at_ms", "period_ms", "trial", "trial_ms", "reported_ms")

    def __init__(self, at_ms: int, period_ms: int) -> None:
        self.at_ms = at_ms
        self.period_ms = period_ms
        # Id of the request that is let through as a trial, and since when.
        self.trial = ""
        self.trial_ms = NEVER_MS
        self.reported_ms = NEVER_MS

    @property
    def until_ms(self) -> int:
        return self.at_ms + self.period_ms


class PartQuarantine:
    """The prompt parts that are kept away from servers.

    Attributes:
        answered: When parts were last answered.
        on_change: Called with the digest of a part and what became of it.
    """

    __slots__ = (
        "answered",
        "on_change",
        "_name",
        "_evidence",
        "_refused",
        "_quarantined",
    )

    def __init__(
        self,
        name: str,
        evidence: CrashEvidence,
        refused: Collection[int],
    ) -> None:
        """Creates an empty quarantine.

        Args:
            name: Name of this host.
            evidence: The crashes.
            refused: Fingerprints of the requests that are known to crash
                servers by themselves; changes with time.
        """
        self.answered = AnsweredParts()
        self.on_change: Callable[[int, PartChange], None] = (
            lambda part, change: None
        )
        self._name = name
        self._evidence = evidence
        self._refused = refused
        self._quarantined: dict[int, _Quarantine] = {}

    def __len__(self) -> int:
        """Returns the number of quarantined parts."""
        return len(self._quarantined)

    def record_answer(self, parts: Sequence[int], began_ms: int) -> None:
        """Records an answer to a request with `parts` that went on."""
        for part in parts:
            self.answered.record(part, began_ms)
            self._release_answered(part)

    def _release_answered(self, part: int) -> None:
        found = self._quarantined.get(part)
        if found is not None and self.answered.last_ms(part) > found.at_ms:
            del self._quarantined[part]
            self.on_change(part, PartChange.RELEASED)

    def may_send(
        self,
        parts: Sequence[int],
        request_id: str,
        is_first: bool,
        hosts: Sequence[str],
        now_ms: int,
    ) -> bool:
        """Returns whether a request with `parts` may be sent to a server.

        Args:
            parts: Digests of the parts that requests share.
            request_id: Id of the request, which may be the one on trial.
            is_first: Whether no server has got the request yet.
            hosts: Names of all hosts, which take turns with trials.
            now_ms: Monotonic time in ms.
        """
        for part in parts:
            found = self._quarantined.get(part)
            if found is None:
                continue
            if not is_first:
                return False
            if found.trial != request_id and not self._begin_trial(
                part, found, request_id, hosts, now_ms
            ):
                return False
        return True

    def _begin_trial(
        self,
        part: int,
        found: _Quarantine,
        request_id: str,
        hosts: Sequence[str],
        now_ms: int,
    ) -> bool:
        if now_ms < found.until_ms or now_ms - found.trial_ms < TRIAL_MS:
            return False
        delay_ms = TRIAL_STEP_MS * self._rank(part, hosts)
        if now_ms < found.until_ms + delay_ms:
            return False
        found.trial = request_id
        found.trial_ms = now_ms
        self.on_change(part, PartChange.TRIED)
        return True

    def _rank(self, part: int, hosts: Sequence[str]) -> int:
        """Returns this host's place in the order of a part."""
        own = rank_host(f"{part} {self._name}")
        return sum(rank_host(f"{part} {host}") < own for host in hosts)

    def judge(self, attempts: Sequence[InterruptedAttempt]) -> None:
        """Decides about the parts of attempts that were just added."""
        newest = {
            part: attempt
            for attempt in attempts
            for part in self._blamed_parts(attempt)
        }
        for part, attempt in newest.items():
            found = self._quarantined.get(part)
            if found is not None:
                if attempt.at_ms >= found.until_ms:
                    self._renew(part, found, attempt.at_ms)
            elif self._causes_crashes(part):
                is_new = self.answered.last_ms(part) == NEVER_MS
                period_ms = NEW_PART_MS if is_new else ANSWERED_PART_MS
                self._add(part, _Quarantine(attempt.at_ms, period_ms))
                self.on_change(part, PartChange.QUARANTINED)

    def _renew(self, part: int, found: _Quarantine, at_ms: int) -> None:
        period_ms = min(MAX_QUARANTINE_MS, RENEWAL_FACTOR * found.period_ms)
        self._quarantined[part] = _Quarantine(at_ms, period_ms)
        self.on_change(part, PartChange.RENEWED)

    def _add(self, part: int, quarantine: _Quarantine) -> None:
        self._quarantined[part] = quarantine
        while len(self._quarantined) > MAX_QUARANTINED:
            del self._quarantined[next(iter(self._quarantined))]

    def _blamed_parts(self, attempt: InterruptedAttempt) -> list[int]:
        """Returns the parts that have gone without an answer for longest."""
        known: list[int] = []
        if self._quarantined:
            known = [p for p in attempt.parts if p in self._quarantined]
        if known or not attempt.parts:
            return known
        oldest_ms = min(map(self.answered.last_ms, attempt.parts))
        return [
            part
            for part in attempt.parts
            if self.answered.last_ms(part) == oldest_ms
        ]

    def _causes_crashes(self, part: int) -> bool:
        """Returns whether the crashes suffice to blame a part."""
        crashes = self._evidence.of_part(part)[-MAX_JUDGED:]
        if len(crashes) < NEW_PART.crashes:
            return False
        since_ms = self.answered.last_ms(part)
        blamed: list[InterruptedAttempt] = []
        times: list[int] = []
        for crash in crashes:
            suspects = crash.suspects()
            found = [
                attempt
                for attempt in suspects
                if part in attempt.parts
                and attempt.at_ms > since_ms
                and part in self._blamed_parts(attempt)
                and not self._is_explained(suspects, attempt)
            ]
            if found and not self._evidence.is_common_outage(crash, part):
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

    def _find_thresholds(
        self, part: int, attempts: list[InterruptedAttempt]
    ) -> list[Threshold]:
        if self.answered.last_ms(part) != NEVER_MS:
            return [ANSWERED_PART]
        if not self.answered.has_own:
            return [UNINFORMED]
        if all(self._has_answered_part(attempt) for attempt in attempts):
            return [NEW_PART, NEW_PART_AT_ONCE]
        return [NEW_PART]

    def _has_answered_part(self, attempt: InterruptedAttempt) -> bool:
        return any(self.answered.last_ms(p) != NEVER_MS for p in attempt.parts)

    def _is_explained(
        self,
        suspects: Sequence[InterruptedAttempt],
        attempt: InterruptedAttempt,
    ) -> bool:
        """Returns whether another attempt is known to cause crashes."""
        if self.has_quarantined(suspects, attempt):
            return True
        return bool(self._refused) and any(
            other.request != attempt.request and other.request in self._refused
            for other in suspects
        )

    def has_quarantined(
        self,
        suspects: Sequence[InterruptedAttempt],
        attempt: InterruptedAttempt,
    ) -> bool:
        """Returns whether another attempt had a quarantined part.

        Args:
            suspects: The attempts under one crash.
            attempt: Attempt that is not to blame then.
        """
        if not self._quarantined:
            return False
        return any(
            part in self._quarantined and part not in attempt.parts
            for other in suspects
            for part in other.parts
        )

    def drop_expired(self, now_ms: int) -> None:
        """Drops the quarantines that ended long ago."""
        for part, found in list(self._quarantined.items()):
            if now_ms >= found.until_ms + KEEP_MS:
                del self._quarantined[part]
                self.on_change(part, PartChange.RELEASED)

    def repeat_soon(self) -> bool:
        """Reports all quarantines anew, as a host may not know them.

        Returns:
            Whether there are any.
        """
        for found in self._quarantined.values():
            found.reported_ms = min(found.reported_ms, REPEAT_NOW_MS)
        return bool(self._quarantined)

    def take_reports(
        self, hosts: Sequence[str], now_ms: int
    ) -> list[PartReport]:
        """Returns what peers are to be told now."""
        reports: list[PartReport] = []
        for part, found in self._quarantined.items():
            if len(reports) >= MAX_REPORTS:
                return reports
            if now_ms - found.reported_ms < REPEAT_MS:
                continue
            is_new = found.reported_ms == NEVER_MS
            found.reported_ms = now_ms
            if is_new or self._rank(part, hosts) < REPEATING_HOSTS:
                age_ms = now_ms - found.at_ms
                reports.append(PartReport(part, None, age_ms, found.period_ms))
        for part in self._evidence.parts():
            if len(reports) >= MAX_REPORTS:
                return reports
            at_ms = self.answered.take_untold(part)
            if at_ms is not None:
                reports.append(PartReport(part, now_ms - at_ms, None, 0))
        return reports

    def merge(self, report: PartReport, now_ms: int) -> None:
        """Adds the report of a peer."""
        part = report.part
        if report.answered_age_ms is not None:
            self.answered.merge(part, now_ms - report.answered_age_ms)
            self._release_answered(part)
        if report.quarantined_age_ms is None:
            return
        at_ms = now_ms - report.quarantined_age_ms
        if at_ms - self.answered.last_ms(part) < RECENT_ANSWER_MS:
            return
        found = self._quarantined.get(part)
        if found is not None and at_ms - found.at_ms < SAME_QUARANTINE_MS:
            return
        period_ms = min(MAX_QUARANTINE_MS, report.period_ms)
        self._add(part, _Quarantine(at_ms, period_ms))
        self.on_change(
            part, PartChange.RENEWED if found else PartChange.QUARANTINED
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
