"""Requests and prompt parts that are kept away from servers, and until when.

A suspect is a prompt part or a whole request, by its digest. Which ones are to
blame for crashes is decided by `PartBlame` and `RequestBlame`; a verdict ends
by an answer or by a trial. docs/design/crashing_requests.md has the rule.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Final

from .active_hosts import rank_host
from .answered_parts import AnsweredParts, NEVER_MS
from .part_reports import PartChange, PartReport

# Factor and bound of the time of each further verdict.
RENEWAL_FACTOR: Final = 4
MAX_VERDICT_MS: Final = 3_600_000
# Time between the trials of two hosts in an order, and time for one.
TRIAL_STEP_MS: Final = 500
TRIAL_MS: Final = 5_000
# How long a verdict is remembered after its trials may begin.
KEEP_MS: Final = 600_000
# Bounds of the verdicts and of the reports in one heartbeat.
MAX_VERDICTS: Final = 256
MAX_REPORTS: Final = 16
# Hosts that repeat a verdict to their peers, and the interval.
REPEATING_HOSTS: Final = 16
REPEAT_MS: Final = 1_000
# Time of a report that is to be repeated; later than `NEVER_MS`.
REPEAT_NOW_MS: Final = NEVER_MS + 1
# A verdict that a peer reports is not taken over for a suspect that was
# answered this shortly before it: each host decides for itself then.
RECENT_ANSWER_MS: Final = 60_000
# Difference from which a report of a peer is about a later verdict.
SAME_VERDICT_MS: Final = 1_500


class Verdict:
    """A suspect that is kept away from servers.

    Attributes:
        at_ms: When the last crash under it was, on the monotonic clock.
        period_ms: How long it is kept away before a trial.
        trial: Id of the request that is let through as a trial.
        trial_ms: Since when.
        reported_ms: When peers were last told.
        stored: Whether only the store has told of it. Its age is then too
            low by the time since it was written, so that peers are not told.
    """

    __slots__ = (
        "at_ms",
        "period_ms",
        "trial",
        "trial_ms",
        "reported_ms",
        "stored",
    )

    def __init__(
        self, at_ms: int, period_ms: int, stored: bool = False
    ) -> None:
        self.at_ms = at_ms
        self.period_ms = period_ms
        self.stored = stored
        self.trial = ""
        self.trial_ms = NEVER_MS
        self.reported_ms = NEVER_MS

    @property
    def until_ms(self) -> int:
        """When trials may begin."""
        return self.at_ms + self.period_ms


class CrashVerdicts:
    """The suspects that are kept away from servers.

    Attributes:
        answered: When suspects were last answered.
        on_change: Called with the digest of a suspect and what became of it.
    """

    __slots__ = (
        "answered",
        "on_change",
        "_name",
        "_verdicts",
        "_ended",
        "_last_told",
    )

    def __init__(self, name: str) -> None:
        """Creates the verdicts of the host `name`, without any."""
        self.answered = AnsweredParts()
        self.on_change: Callable[[int, PartChange], None] = (
            lambda suspect, change: None
        )
        self._name = name
        self._verdicts: dict[int, Verdict] = {}
        # Suspects whose verdicts ended by answers that peers may not know.
        self._ended: set[int] = set()
        # Suspect of whose answers peers were told last.
        self._last_told: int | None = None

    def __len__(self) -> int:
        """Returns the number of verdicts."""
        return len(self._verdicts)

    def __contains__(self, suspect: int) -> bool:
        """Returns whether a suspect is kept away from servers."""
        return suspect in self._verdicts

    def convict(self, suspect: int, at_ms: int, period_ms: int) -> None:
        """Keeps a suspect away from servers until a trial."""
        self._add(suspect, Verdict(at_ms, period_ms))
        self.on_change(suspect, PartChange.QUARANTINED)

    def record_crash(self, suspect: int, at_ms: int) -> None:
        """Records a crash under a suspect; one under a trial renews."""
        found = self._verdicts.get(suspect)
        if found is None or at_ms < found.until_ms:
            return
        period_ms = min(MAX_VERDICT_MS, RENEWAL_FACTOR * found.period_ms)
        self._verdicts[suspect] = Verdict(at_ms, period_ms)
        self.on_change(suspect, PartChange.RENEWED)

    def release(self, suspect: int) -> None:
        """Ends the verdict on a suspect that is sound after all."""
        if self._verdicts.pop(suspect, None) is not None:
            self.on_change(suspect, PartChange.RELEASED)

    def record_part_answers(self, parts: Sequence[int], began_ms: int) -> None:
        """Records an answer to a request with `parts` that went on."""
        for part in parts:
            self.answered.record(part, began_ms)
            self._release_answered(part)

    def record_request_answer(self, request: int, began_ms: int) -> None:
        """Records an answer to a request by its fingerprint."""
        self.answered.add(request, began_ms)
        self._release_answered(request)

    def _release_answered(self, suspect: int) -> None:
        found = self._verdicts.get(suspect)
        if found is not None and self.answered.last_ms(suspect) > found.at_ms:
            self._ended.add(suspect)
            self.release(suspect)

    def may_send(
        self,
        suspects: Sequence[int],
        request_id: str,
        is_first: bool,
        hosts: Sequence[str],
        now_ms: int,
    ) -> bool:
        """Returns whether a request may be sent to a server.

        Args:
            suspects: Digests of the request and of its shared parts.
            request_id: Id of the request, which may be the one on trial.
            is_first: Whether no server has got the request yet.
            hosts: Names of all hosts, which take turns with trials.
            now_ms: Monotonic time in ms.
        """
        for suspect in suspects:
            found = self._verdicts.get(suspect)
            if found is None:
                continue
            if not is_first:
                return False
            if found.trial != request_id and not self._begin_trial(
                suspect, found, request_id, hosts, now_ms
            ):
                return False
        return True

    def _begin_trial(
        self,
        suspect: int,
        found: Verdict,
        request_id: str,
        hosts: Sequence[str],
        now_ms: int,
    ) -> bool:
        if now_ms < found.until_ms or now_ms - found.trial_ms < TRIAL_MS:
            return False
        delay_ms = TRIAL_STEP_MS * self._rank(suspect, hosts)
        if now_ms < found.until_ms + delay_ms:
            return False
        found.trial = request_id
        found.trial_ms = now_ms
        self.on_change(suspect, PartChange.TRIED)
        return True

    def _rank(self, suspect: int, hosts: Sequence[str]) -> int:
        """Returns this host's place in the order of a suspect."""
        own = rank_host(f"{suspect} {self._name}")
        return sum(rank_host(f"{suspect} {host}") < own for host in hosts)

    def _add(self, suspect: int, verdict: Verdict) -> None:
        self._verdicts[suspect] = verdict
        while len(self._verdicts) > MAX_VERDICTS:
            del self._verdicts[next(iter(self._verdicts))]

    def drop_expired(self, now_ms: int) -> None:
        """Drops the verdicts that ended long ago."""
        for suspect, found in list(self._verdicts.items()):
            if now_ms >= found.until_ms + KEEP_MS:
                self.release(suspect)

    def repeat_soon(self) -> bool:
        """Reports all verdicts anew, as a host may not know them.

        Returns:
            Whether there are any.
        """
        for found in self._verdicts.values():
            found.reported_ms = min(found.reported_ms, REPEAT_NOW_MS)
        return bool(self._verdicts)

    def take_reports(
        self, suspects: Iterable[int], hosts: Sequence[str], now_ms: int
    ) -> list[PartReport]:
        """Returns what peers are to be told now.

        Args:
            suspects: Those of whose answers peers are to be told.
            hosts: Names of all hosts.
            now_ms: Monotonic time in ms.
        """
        reports: list[PartReport] = []
        for suspect, found in self._verdicts.items():
            if len(reports) >= MAX_REPORTS:
                return reports
            if found.stored or now_ms - found.reported_ms < REPEAT_MS:
                continue
            is_new = found.reported_ms == NEVER_MS
            found.reported_ms = now_ms
            if is_new or self._rank(suspect, hosts) < REPEATING_HOSTS:
                age_ms = now_ms - found.at_ms
                reports.append(
                    PartReport(suspect, None, age_ms, found.period_ms)
                )
        for suspect in self._list_in_turn(suspects):
            if len(reports) >= MAX_REPORTS:
                break
            if suspect in self._ended:
                self._ended.discard(suspect)
            else:
                self._last_told = suspect
            at_ms = self.answered.take_untold(suspect)
            if at_ms is not None:
                reports.append(PartReport(suspect, now_ms - at_ms, None, 0))
        return reports

    def _list_in_turn(self, suspects: Iterable[int]) -> list[int]:
        """Returns suspects in the order in which peers are told of answers.

        First those whose verdicts ended, then those after the last one that
        was looked at: answers come all the time, and a report has room for
        few.
        """
        listed = list(suspects)
        if self._last_told in listed:
            place = listed.index(self._last_told) + 1
            listed = listed[place:] + listed[:place]
        return [*self._ended, *listed]

    def merge(self, report: PartReport, now_ms: int) -> None:
        """Adds the report of a peer."""
        suspect = report.part
        if report.answered_age_ms is not None:
            self.answered.merge(suspect, now_ms - report.answered_age_ms)
            self._release_answered(suspect)
        if report.quarantined_age_ms is None:
            return
        at_ms = now_ms - report.quarantined_age_ms
        if at_ms - self.answered.last_ms(suspect) < RECENT_ANSWER_MS:
            return
        found = self._verdicts.get(suspect)
        if found is not None and found.stored:
            self._correct(suspect, found, report, at_ms)
            return
        if found is not None and at_ms - found.at_ms < SAME_VERDICT_MS:
            return
        period_ms = min(MAX_VERDICT_MS, report.period_ms)
        if now_ms >= at_ms + period_ms + KEEP_MS:
            # This host may have dropped it before its peer does.
            return
        self._add(suspect, Verdict(at_ms, period_ms))
        self.on_change(
            suspect, PartChange.RENEWED if found else PartChange.QUARANTINED
        )

    def _correct(
        self, suspect: int, found: Verdict, report: PartReport, at_ms: int
    ) -> None:
        """Takes the time of a stored verdict from a peer, which knows it."""
        found.stored = False
        found.at_ms = at_ms
        period_ms = min(MAX_VERDICT_MS, report.period_ms)
        if period_ms != found.period_ms:
            found.period_ms = period_ms
            self.on_change(suspect, PartChange.RENEWED)

    def list_all(self, now_ms: int) -> tuple[PartReport, ...]:
        """Returns all verdicts, with their ages."""
        return tuple(
            PartReport(
                suspect, None, max(0, now_ms - found.at_ms), found.period_ms
            )
            for suspect, found in self._verdicts.items()
        )

    def restore(self, stored: Iterable[PartReport], now_ms: int) -> None:
        """Takes over verdicts from the store that this host does not know.

        The time since they were written is unknown and does not count.
        """
        for report in stored:
            age_ms = report.quarantined_age_ms
            if report.part in self._verdicts or age_ms is None:
                continue
            period_ms = min(MAX_VERDICT_MS, report.period_ms)
            if age_ms < period_ms + KEEP_MS:
                self._add(
                    report.part, Verdict(now_ms - age_ms, period_ms, True)
                )
                self.on_change(report.part, PartChange.RESTORED)

    def drop_stored(self, kept: Collection[int]) -> None:
        """Ends the verdicts that only the store told of, but for `kept`."""
        for suspect, found in list(self._verdicts.items()):
            if found.stored and suspect not in kept:
                self.release(suspect)
