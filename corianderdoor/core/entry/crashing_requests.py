"""Detection of requests that crash each server that runs them.

A request is identified by its path, API key and body. If servers crashed
several times while they ran it, and no complete answer came since, it is
refused until a trial instead of being sent to the next server. The same holds
for the parts of prompts that requests share, see `CrashVerdicts`. A broken
connection alone is not a crash: the server must also become unreachable,
disappear from the list or restart soon after. Otherwise a popular request
would be refused because of lost answers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
import enum
from typing import Final

import xxhash

from ..records import Record
from .cache_map import digest_part
from .crash_evidence import AttemptReport, CrashEvidence, InterruptedAttempt
from .crash_verdicts import CrashVerdicts
from .flights import AnswerProgress, Flight
from .part_blame import PartBlame
from .part_reports import PartReport
from .request_blame import CRASHES_TO_REFUSE, RequestBlame
from .requests import CallerRequest
from .servers import digest_id
from .stored_verdicts import VerdictKeeper

# A broken connection counts as a crash if the server is found to be
# unreachable or gone within this time.
CONFIRM_MS: Final = 5_000
# An answer that has gone on for this long shows that its request crashes no
# server.
SOUND_AFTER_MS: Final = 300
# Parts of one prompt in a report to peers, those that are most suspect.
MAX_PARTS: Final = 8
# Bound of the interrupted attempts kept for each server, and of those that
# wait to be reported; those whose answers had not begun are dropped first.
MAX_UPDATES: Final = 64
# Attempts in one heartbeat, and heartbeats that report each, as datagrams
# may be lost.
MAX_REPORTS: Final = 8
TIMES_REPORTED: Final = 3


class CrashCause(enum.Enum):
    """How a host found out that a server has crashed.

    UNREACHABLE: No connection to the server could be opened.
    RESTARTED: The store lists a later incarnation of the server.
    REMOVED: The store lists the server no longer.
    """

    UNREACHABLE = "unreachable"
    RESTARTED = "restarted"
    REMOVED = "removed"


class ServerCrash(Record):
    """A crash of a server, with what this host had in progress there.

    Attributes:
        server_id: Id of the server.
        cause: How the crash was found out.
        fingerprints: Fingerprints of the requests that it interrupted.
    """

    __slots__ = ("server_id", "cause", "fingerprints")

    def __init__(
        self, server_id: str, cause: CrashCause, fingerprints: tuple[int, ...]
    ) -> None:
        self.server_id = server_id
        self.cause = cause
        self.fingerprints = fingerprints


def compute_fingerprint(req: CallerRequest) -> int:
    """Returns the number that identifies a request over retries and hosts."""
    digest = xxhash.xxh3_64()
    for part in (req.path, req.key or "", req.body):
        raw = part.encode() if isinstance(part, str) else part
        digest.update(len(raw).to_bytes(4, "big"))
        digest.update(raw)
    return digest.intdigest()


def digest_shared_parts(req: CallerRequest) -> tuple[int, ...]:
    """Returns the digests of the parts that other requests can share.

    The last part belongs to the request itself.
    """
    return tuple(digest_part(part) for part in req.parts[:-1])


class CrashingRequests:
    """Crashes of servers, and the requests and prompt parts to blame.

    Attributes:
        verdicts: Requests and prompt parts that are kept away from servers.
        keeper: Tells which of them the store lacks.
        on_crash: Called with each crash that interrupted a request of this
            host.
        on_interrupted: Called with the id of a server that may have crashed.
    """

    __slots__ = (
        "verdicts",
        "keeper",
        "on_crash",
        "on_interrupted",
        "_evidence",
        "_requests",
        "_parts",
        "_interrupted",
        "_unreported",
    )

    def __init__(self, name: str = "") -> None:
        """Creates the records of the host `name`, without any crash."""
        self._evidence = CrashEvidence()
        self.verdicts = CrashVerdicts(name)
        self.keeper = VerdictKeeper(self.verdicts)
        self._requests = RequestBlame(self._evidence, self.verdicts)
        self._parts = PartBlame(self._evidence, self.verdicts)
        self.on_crash: Callable[[ServerCrash], None] = lambda crash: None
        self.on_interrupted: Callable[[str], None] = lambda server_id: None
        # Attempts at servers that are not known to have crashed.
        self._interrupted: dict[str, list[InterruptedAttempt]] = {}
        # Attempts, and how often each is to be reported yet.
        self._unreported: list[tuple[InterruptedAttempt, int]] = []

    def record_interruption(
        self, flight: Flight, server_id: str, now_ms: int
    ) -> None:
        """Records that the attempt at `server_id` ended without an answer.

        An answer that had gone on for a while shows that its request is not
        to blame if the server has crashed.
        """
        if flight.progress is not AnswerProgress.SOUND:
            begun = flight.progress is AnswerProgress.BEGUN
            self.record_broken_connection(flight.req, server_id, now_ms, begun)

    def record_broken_connection(
        self,
        req: CallerRequest,
        server_id: str,
        now_ms: int,
        begun: bool = False,
    ) -> None:
        """Records that an attempt at `server_id` was interrupted.

        Args:
            req: The request.
            server_id: Id of the server that ran it.
            now_ms: Monotonic time in ms.
            begun: Whether the head of its answer had arrived.
        """
        attempt = InterruptedAttempt(
            xxhash.xxh3_64_intdigest(
                f"{req.id}\0{server_id}\0{now_ms}".encode()
            ),
            compute_fingerprint(req),
            digest_id(server_id),
            now_ms,
            begun,
            digest_shared_parts(req),
        )
        kept = self._interrupted.setdefault(server_id, [])
        kept.append(attempt)
        if len(kept) > MAX_UPDATES:
            kept.remove(min(kept, key=lambda one: one.begun))
        self.on_interrupted(server_id)

    def confirm_crash(
        self,
        server_id: str,
        now_ms: int,
        cause: CrashCause = CrashCause.UNREACHABLE,
    ) -> None:
        """Counts recent interruptions at `server_id` as a crash.

        To be called when the server is unreachable, gone from the list or
        restarted.
        """
        attempts = [
            attempt
            for attempt in self._interrupted.pop(server_id, ())
            if now_ms - attempt.at_ms < CONFIRM_MS
        ]
        if not attempts:
            return
        self._add(attempts, now_ms)
        self._unreported.extend((one, TIMES_REPORTED) for one in attempts)
        fingerprints = tuple(attempt.request for attempt in attempts)
        self.on_crash(ServerCrash(server_id, cause, fingerprints))

    def merge(self, reports: Iterable[AttemptReport], now_ms: int) -> None:
        """Adds attempts under crashes that a peer reported."""
        attempts = [
            InterruptedAttempt(
                report.id,
                report.request,
                report.server,
                now_ms - report.age_ms,
                report.begun,
                report.parts,
            )
            for report in reports
        ]
        self._add(attempts, now_ms)

    def _add(self, attempts: list[InterruptedAttempt], now_ms: int) -> None:
        added = [one for one in attempts if self._evidence.add(one, now_ms)]
        self._requests.judge(added)
        self._parts.judge(added)

    def add_crash(self, fingerprint: int, server: int, now_ms: int) -> None:
        """Records a crash reported by a host of an earlier release.

        Args:
            fingerprint: Fingerprint of the request.
            server: Digest of the id of the server that crashed.
            now_ms: Monotonic time in ms.
        """
        id = xxhash.xxh3_64_intdigest(b"%d %d" % (fingerprint, server))
        attempt = InterruptedAttempt(id, fingerprint, server, now_ms)
        self._add([attempt], now_ms)

    def record_complete_answer(
        self, req: CallerRequest, sent_ms: int = 0
    ) -> None:
        """Clears `req` of its crashes, as it got a complete answer.

        Args:
            req: The request.
            sent_ms: When it was sent, on the monotonic clock.
        """
        if self._knows_crashes():
            fingerprint = compute_fingerprint(req)
            self._clear(fingerprint, sent_ms)
            self.verdicts.release(fingerprint)

    def _knows_crashes(self) -> bool:
        return bool(len(self._evidence) or len(self.verdicts))

    def record_progress(self, flight: Flight, now_ms: int) -> None:
        """Records that an event of the answer to a request has arrived.

        An answer that goes on shows that its prompt's parts crash no server.
        """
        if flight.progress is AnswerProgress.SOUND:
            return
        if flight.first_event_ms is None:
            flight.first_event_ms = now_ms
        if now_ms - flight.first_event_ms >= SOUND_AFTER_MS:
            self.record_sound_answer(flight, flight.first_event_ms)

    def record_sound_answer(self, flight: Flight, began_ms: int) -> None:
        """Records an answer that was complete or has gone on for a while."""
        if flight.progress is not AnswerProgress.SOUND:
            flight.progress = AnswerProgress.SOUND
            flight.was_sound = True
            self.verdicts.record_part_answers(
                digest_shared_parts(flight.req), began_ms
            )
            if self._knows_crashes():
                self._clear(compute_fingerprint(flight.req), began_ms)

    def _clear(self, fingerprint: int, began_ms: int) -> None:
        """Clears a request that got a sound answer, and has peers told."""
        if (
            self._evidence.knows_request(fingerprint)
            or fingerprint in self.verdicts
        ):
            self._evidence.forget_request(fingerprint)
            self.verdicts.record_request_answer(fingerprint, began_ms)

    def find_refusal(
        self, flight: Flight, hosts: Sequence[str], now_ms: int
    ) -> str | None:
        """Returns why a request must not be sent to a server.

        Args:
            flight: The request.
            hosts: Names of all hosts, which share the trials of prompt parts.
            now_ms: Monotonic time in ms.

        Returns:
            The reason as a stable word; None if it may be sent.
        """
        if not self._knows_crashes():
            return None
        fingerprint = compute_fingerprint(flight.req)
        if flight.sends and self._awaits_last_crash(fingerprint):
            return "breaks-servers"
        if not len(self.verdicts) or flight.was_sound:
            return None
        suspects = (
            ((fingerprint,), "breaks-servers"),
            (digest_shared_parts(flight.req), "prompt-breaks-servers"),
        )
        for digests, reason in suspects:
            if not self.verdicts.may_send(
                digests, flight.req.id, flight.sends == 0, hosts, now_ms
            ):
                return reason
        return None

    def should_refuse(self, req: CallerRequest) -> bool:
        """Returns whether `req` itself is kept away from servers."""
        if not len(self.verdicts):
            return False
        return compute_fingerprint(req) in self.verdicts

    def _awaits_last_crash(self, fingerprint: int) -> bool:
        """Returns whether a request is not worth one more server.

        Its last connection broke, and whether that server has crashed too is
        not known yet.
        """
        if self._requests.count_crashes(fingerprint) < CRASHES_TO_REFUSE - 1:
            return False
        return any(
            attempt.request == fingerprint
            for attempts in self._interrupted.values()
            for attempt in attempts
        )

    def take_reports(
        self, hosts: Sequence[str], now_ms: int
    ) -> list[PartReport]:
        """Returns what peers are to be told of suspects now."""
        return self.verdicts.take_reports(
            self._evidence.suspects(), hosts, now_ms
        )

    def tick(self, ids: frozenset[str], now_ms: int) -> None:
        """Drops what no longer counts.

        Args:
            ids: Ids of the listed servers.
            now_ms: Monotonic time in ms.
        """
        for name in self._interrupted.keys() - ids:
            del self._interrupted[name]
        self._evidence.drop_expired(now_ms)
        self.verdicts.drop_expired(now_ms)

    def take_updates(self, now_ms: int) -> list[AttemptReport]:
        """Returns the attempts to report to peers now.

        Attempts whose answers had begun come first.
        """
        waiting = sorted(
            self._unreported, key=lambda item: (not item[0].begun, -item[1])
        )
        due, rest = waiting[:MAX_REPORTS], waiting[MAX_REPORTS:MAX_UPDATES]
        again = [(attempt, times - 1) for attempt, times in due if times > 1]
        self._unreported = rest + again
        return [
            AttemptReport(
                attempt.id,
                attempt.request,
                attempt.server,
                max(0, now_ms - attempt.at_ms),
                attempt.begun,
                self._parts.select_suspect(attempt.parts, MAX_PARTS),
            )
            for attempt, _ in due
        ]
