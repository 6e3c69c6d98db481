"""Quarantine of requests that crash the backend servers that run them.

A request is identified by its fingerprint, which only byte-identical
requests share, and by traits, which near-duplicates share: its chat, and
the first and the last part of its body. Each crash of a server counts
against the requests that ran on it; docs/design/quarantine.md states the
rule.
"""

from __future__ import annotations

import collections
from typing import Final

from .clock import MS_PER_SECOND
from .errors import Fault, Kind
from .messages import Req
from .records import Record
from .topology import Server

WINDOW_MS: Final = 600_000
FINGERPRINT_CRASHES: Final = 2
TRAIT_CRASHES: Final = 3
MAX_SUSPECTS: Final = 4_096
MAX_SUCCESS_COUNTS: Final = 16_384
MAX_REPORTS: Final = 64
REPORT_MAX_AGE_MS: Final = 30_000
REPORTS_PER_MESSAGE: Final = 8
ISOLATION_RETRY_MS: Final = MS_PER_SECOND


class CrashReport(Record):
    """A crash counted against one key, as routers report it to peers.

    Attributes:
        key: Fingerprint or trait of a request that ran during the crash.
        exact: Whether `key` is a fingerprint.
        server: The server that crashed.
        incarnation: The server's incarnation.
        number: Number of the crash within that incarnation, from 1.
        sole: Whether no other request could have caused the crash.
        age_ms: Time since the crash, in ms.
    """

    __slots__ = (
        "key",
        "exact",
        "server",
        "incarnation",
        "number",
        "sole",
        "age_ms",
    )

    def __init__(
        self,
        key: int,
        exact: bool,
        server: str,
        incarnation: int,
        number: int,
        sole: bool,
        age_ms: int,
    ) -> None:
        self.key = key
        self.exact = exact
        self.server = server
        self.incarnation = incarnation
        self.number = number
        self.sole = sole
        self.age_ms = age_ms


class CrashReports(Record):
    """Message: crash reports, as many as one datagram holds."""

    __slots__ = ("reports",)

    def __init__(self, reports: tuple[CrashReport, ...]) -> None:
        self.reports = reports


class _Suspect:
    """Crashes and complete answers of one fingerprint or trait."""

    __slots__ = ("exact", "crashes", "successes")

    def __init__(self, exact: bool) -> None:
        self.exact = exact
        self.crashes: dict[tuple[str, int, int], tuple[int, bool]] = {}
        self.successes = 0

    def expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - WINDOW_MS
        for crash, (at_ms, _) in list(self.crashes.items()):
            if at_ms < oldest_ms:
                del self.crashes[crash]

    @property
    def cleared(self) -> bool:
        return self.successes >= len(self.crashes)

    @property
    def quarantined(self) -> bool:
        if self.cleared:
            return False
        needed = FINGERPRINT_CRASHES if self.exact else TRAIT_CRASHES
        found = len(self.crashes)
        sole = any(sole for _, sole in self.crashes.values())
        return found >= needed and (sole or found > needed)


class _Run:
    """One request on one server."""

    __slots__ = ("req", "server", "started_ms")

    def __init__(self, req: Req, server: Server, started_ms: int) -> None:
        self.req = req
        self.server = server
        self.started_ms = started_ms


class Quarantine:
    """Correlates crashes with running requests and refuses likely causes.

    State is bounded: `MAX_SUSPECTS` suspect keys, `MAX_SUCCESS_COUNTS`
    fingerprints with a complete answer, and the runs in progress.
    """

    __slots__ = (
        "_suspects",
        "_success_counts",
        "_runs",
        "_crashes",
        "_reports_made",
        "_reports",
    )

    def __init__(self) -> None:
        self._reports_made = 0
        self._suspects: collections.OrderedDict[int, _Suspect] = (
            collections.OrderedDict()
        )
        self._success_counts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._runs: dict[str, dict[str, _Run]] = {}
        self._crashes: dict[str, tuple[int, int, int]] = {}
        self._reports: collections.deque[tuple[int, CrashReport]] = (
            collections.deque(maxlen=MAX_REPORTS)
        )

    def check(self, req: Req, now_ms: int) -> Fault | None:
        """Returns a fault if `req` must not run now, else None."""
        if not self._suspects:
            return None
        for key in _keys(req):
            if self._is_quarantined(key, now_ms):
                return Fault(
                    Kind.QUARANTINED,
                    "check-quarantine",
                    "requests like this one crashed the servers that ran it",
                )
        if self._is_suspect(req, now_ms) and self._runs_elsewhere(req):
            return Fault(
                Kind.LIMITED,
                "check-quarantine",
                "a copy of this request runs, after one crashed its server",
                retry_after_ms=ISOLATION_RETRY_MS,
            )
        return None

    def avoided(self, req: Req, now_ms: int) -> frozenset[str]:
        """Returns the servers that run a suspect, which `req` must avoid.

        Empty for a request that is not a suspect itself.
        """
        if not self._suspects or not self._is_suspect(req, now_ms):
            return frozenset()
        return frozenset(
            name
            for name, runs in self._runs.items()
            if any(self._is_suspect(run.req, now_ms) for run in runs.values())
        )

    def record_start(self, req: Req, server: Server, now_ms: int) -> None:
        """Records that `req` was sent to `server`."""
        run = _Run(req, server, now_ms)
        self._runs.setdefault(server.name, {})[req.id] = run

    def record_end(self, req: Req, server: Server) -> None:
        """Records that `req` no longer runs on `server`."""
        runs = self._runs.get(server.name)
        if runs is None:
            return
        runs.pop(req.id, None)
        if not runs:
            del self._runs[server.name]

    def record_success(self, req: Req) -> None:
        """Records a complete answer to `req`, which counts in its favour."""
        for key in _keys(req):
            suspect = self._suspects.get(key)
            if suspect is not None:
                suspect.successes += 1
        if req.fingerprint:
            count = self._success_counts.pop(req.fingerprint, 0)
            self._success_counts[req.fingerprint] = count + 1
            if len(self._success_counts) > MAX_SUCCESS_COUNTS:
                self._success_counts.popitem(last=False)

    def record_crash(self, req: Req, server: Server, now_ms: int) -> None:
        """Records that `server` crashed while it ran `req` and others.

        Call it for each request that ran on the server at the crash, before
        `record_end`.
        """
        runs = self._runs.get(server.name, {})
        run = runs.get(req.id)
        if run is None:
            return
        crash = self._identify(run, now_ms)
        if crash is None:
            return
        causes = self._find_possible_causes(list(runs.values()), now_ms)
        for other in causes:
            for key in _keys(other.req):
                exact = key == other.req.fingerprint
                sole = len(causes) == 1
                self._add_crash(key, exact, crash, (now_ms, sole))
                report = CrashReport(key, exact, *crash, sole, 0)
                self._reports.append((now_ms, report))
                self._reports_made += 1

    def reports(self, now_ms: int) -> list[CrashReport]:
        """Returns the latest crash reports for peers.

        Later calls return a report again until `REPORT_MAX_AGE_MS`.
        """
        return [
            CrashReport(
                report.key,
                report.exact,
                report.server,
                report.incarnation,
                report.number,
                report.sole,
                now_ms - at_ms,
            )
            for at_ms, report in self._reports
            if now_ms - at_ms <= REPORT_MAX_AGE_MS
        ]

    @property
    def reports_made(self) -> int:
        """The number of crash reports made here; it never decreases."""
        return self._reports_made

    def messages(self, now_ms: int) -> list[CrashReports]:
        """Returns the latest crash reports as messages to peers."""
        found = self.reports(now_ms)
        return [
            CrashReports(tuple(found[first : first + REPORTS_PER_MESSAGE]))
            for first in range(0, len(found), REPORTS_PER_MESSAGE)
        ]

    def merge(self, report: CrashReport, now_ms: int) -> None:
        """Merges a crash report of a peer."""
        if not 0 <= report.age_ms <= WINDOW_MS:
            return
        crash = (report.server, report.incarnation, report.number)
        seen = (now_ms - report.age_ms, report.sole)
        self._add_crash(report.key, report.exact, crash, seen)

    def tick(self, now_ms: int) -> None:
        """Evicts expired crashes; call about once a minute."""
        for key, suspect in list(self._suspects.items()):
            suspect.expire(now_ms)
            if not suspect.crashes:
                del self._suspects[key]

    def _find_possible_causes(
        self, runs: list[_Run], now_ms: int
    ) -> list[_Run]:
        """Returns which of the runs during a crash may have caused it.

        These are the earlier suspects; if none, those whose request has no
        complete answer yet; if none, all.
        """
        suspects = [run for run in runs if self._is_suspect(run.req, now_ms)]
        if suspects:
            return suspects
        without_success = [
            run
            for run in runs
            if run.req.fingerprint not in self._success_counts
        ]
        return without_success or runs

    def _identify(self, run: _Run, now_ms: int) -> tuple[str, int, int] | None:
        """Returns the crash that ended `run`; None if already recorded."""
        server = run.server
        incarnation, number, at_ms = self._crashes.get(server.name, (0, 0, -1))
        if run.started_ms <= at_ms:
            return None
        number = number + 1 if incarnation == server.incarnation else 1
        self._crashes[server.name] = (server.incarnation, number, now_ms)
        if len(self._crashes) > MAX_SUSPECTS:
            del self._crashes[next(iter(self._crashes))]
        return server.name, server.incarnation, number

    def _add_crash(
        self,
        key: int,
        exact: bool,
        crash: tuple[str, int, int],
        seen: tuple[int, bool],
    ) -> None:
        suspect = self._suspects.pop(key, None)
        if suspect is None:
            suspect = _Suspect(exact)
            suspect.successes = self._success_counts.get(key, 0)
        suspect.crashes[crash] = seen
        self._suspects[key] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def _is_quarantined(self, key: int, now_ms: int) -> bool:
        suspect = self._suspects.get(key)
        if suspect is None:
            return False
        suspect.expire(now_ms)
        return suspect.quarantined

    def _is_suspect(self, req: Req, now_ms: int) -> bool:
        for key in _keys(req):
            suspect = self._suspects.get(key)
            if suspect is None:
                continue
            suspect.expire(now_ms)
            if not suspect.cleared:
                return True
        return False

    def _runs_elsewhere(self, req: Req) -> bool:
        return req.fingerprint != 0 and any(
            run.req.fingerprint == req.fingerprint and run.req.id != req.id
            for runs in self._runs.values()
            for run in runs.values()
        )


def _keys(req: Req) -> tuple[int, ...]:
    if not req.fingerprint:
        return req.traits
    return (req.fingerprint, *req.traits)
