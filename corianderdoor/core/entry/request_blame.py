"""Which whole request is to blame for crashes.

A request that crashes the servers that run it has no run that ended well, and
is in progress under one crash after the other, beside requests that change.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from .crash_evidence import Crash, CrashEvidence, InterruptedAttempt
from .crash_verdicts import CrashVerdicts
from .part_blame import is_explained

# Crashes under a request after which it is refused, of the same server or of
# several. Two can come by chance; the platform counts its bound from the
# third.
CRASHES_TO_REFUSE: Final = 3
# How long a request is refused before the first trial.
FIRST_VERDICT_MS: Final = 60_000


class RequestBlame:
    """Decides which requests crash servers."""

    __slots__ = ("_evidence", "_verdicts")

    def __init__(
        self, evidence: CrashEvidence, verdicts: CrashVerdicts
    ) -> None:
        """Initializes the object.

        Args:
            evidence: The crashes.
            verdicts: Takes the requests that are to blame.
        """
        self._evidence = evidence
        self._verdicts = verdicts

    def judge(self, attempts: Sequence[InterruptedAttempt]) -> None:
        """Decides about the requests of attempts that were just added."""
        for attempt in attempts:
            request = attempt.request
            if request in self._verdicts:
                self._verdicts.record_crash(request, attempt.at_ms)
            elif self.count_crashes(request) >= CRASHES_TO_REFUSE:
                self._verdicts.convict(
                    request, attempt.at_ms, FIRST_VERDICT_MS
                )

    def count_crashes(self, request: int) -> int:
        """Returns the number of crashes that a request may have caused.

        Args:
            request: Fingerprint of the request.
        """
        crashes = self._evidence.of_request(request)
        if len(crashes) < CRASHES_TO_REFUSE - 1:
            return 0
        return sum(self._blames(crash, request) for crash in crashes)

    def _blames(self, crash: Crash, request: int) -> bool:
        answered_ms = self._verdicts.answered.last_ms(request)
        own = [
            attempt
            for attempt in crash.left()
            if attempt.request == request and attempt.at_ms > answered_ms
        ]
        if not own or is_explained(crash, own[0], self._verdicts):
            return False
        if not any(attempt.begun for attempt in own):
            if self._is_outranked(crash, request):
                return False
        return not self._evidence.is_common_outage(
            crash, lambda other: other.includes(request)
        )

    def _is_outranked(self, crash: Crash, request: int) -> bool:
        """Returns whether a request whose answer had begun explains more.

        Servers that crash at the beginning of a run have sent nothing of its
        answer, so that answers of others do not clear a request by
        themselves.
        """
        count = self._evidence.count(request)
        return any(
            attempt.begun
            and attempt.request != request
            and self._evidence.count(attempt.request) > count
            for attempt in crash.left()
        )
