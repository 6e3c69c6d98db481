"""What ran on backend servers when they crashed, over all hosts.

Each interrupted attempt names the request and the shared parts of its prompt.
Which of them is to blame is decided by `PartBlame` and `RequestBlame`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
import itertools
from typing import Final

from ..records import Record

# How long a crash counts. A request that comes once in many minutes, and
# crashes a server each time, is found as well.
CRASH_TTL_MS: Final = 3_600_000
# Attempts at one server whose interruptions are this close together were
# interrupted by one crash; a server is away for longer.
SAME_CRASH_MS: Final = 1_500
# Servers that crash this close together may have a cause in common.
SAME_OUTAGE_MS: Final = 100
# Bounds; an attempt takes about 400 bytes. The oldest crashes are dropped.
MAX_ATTEMPTS: Final = 2_000
MAX_ATTEMPTS_PER_CRASH: Final = 256
MAX_CRASHES: Final = 256
# Parts of prompts in all attempts; each takes up to 200 bytes.
MAX_HELD_PARTS: Final = 20_000


class InterruptedAttempt(Record):
    """An attempt at a server that crashed before the answer had gone on.

    Attributes:
        id: Number that identifies the attempt between hosts.
        request: Fingerprint of the request.
        server: Digest of the server's id.
        at_ms: When the connection failed, on this host's monotonic clock.
        begun: Whether the head of the answer had arrived.
        parts: Digests of the prompt's shared parts, in order.
    """

    __slots__ = ("id", "request", "server", "at_ms", "begun", "parts")

    def __init__(
        self,
        id: int,
        request: int,
        server: int,
        at_ms: int,
        begun: bool = False,
        parts: tuple[int, ...] = (),
    ) -> None:
        self.id = id
        self.request = request
        self.server = server
        self.at_ms = at_ms
        self.begun = begun
        self.parts = parts


class AttemptReport(Record):
    """What a host tells its peers about an interrupted attempt.

    Attributes:
        id: Number that identifies the attempt between hosts.
        request: Fingerprint of the request.
        server: Digest of the server's id.
        age_ms: Time since the connection failed.
        begun: Whether the head of the answer had arrived.
        parts: Digests of the prompt's shared parts, in order.
    """

    __slots__ = ("id", "request", "server", "age_ms", "begun", "parts")

    def __init__(
        self,
        id: int,
        request: int,
        server: int,
        age_ms: int,
        begun: bool,
        parts: tuple[int, ...],
    ) -> None:
        self.id = id
        self.request = request
        self.server = server
        self.age_ms = age_ms
        self.begun = begun
        self.parts = parts


class Crash:
    """A crash of one server.

    Attributes:
        server: Digest of the server's id.
        at_ms: When the first attempt was interrupted.
        attempts: The interrupted attempts.
        cleared: Fingerprints of the requests that are sound after all.
    """

    __slots__ = ("server", "at_ms", "attempts", "cleared")

    def __init__(self, server: int, at_ms: int) -> None:
        self.server = server
        self.at_ms = at_ms
        self.attempts: list[InterruptedAttempt] = []
        self.cleared: set[int] = set()

    def suspects(self) -> list[InterruptedAttempt]:
        """Returns the attempts that may have caused the crash.

        These are the ones that the server had begun to answer, if any: a
        crashing request ends its server when it begins to run.
        """
        left = self.left()
        return [a for a in left if a.begun] or left

    def left(self) -> list[InterruptedAttempt]:
        """Returns the attempts at requests that may not be sound."""
        if not self.cleared:
            return self.attempts
        return [a for a in self.attempts if a.request not in self.cleared]

    def count_parts(self) -> int:
        """Returns the number of parts of the prompts of all attempts."""
        return sum(len(attempt.parts) for attempt in self.attempts)

    def includes(self, request: int) -> bool:
        """Returns whether a request that may not be sound was interrupted."""
        return any(attempt.request == request for attempt in self.left())


class CrashEvidence:
    """The crashes of the last `CRASH_TTL_MS`, with indexes.

    Holds at most `MAX_CRASHES` crashes, `MAX_ATTEMPTS` attempts and
    `MAX_HELD_PARTS` parts of their prompts.
    """

    __slots__ = (
        "_crashes",
        "_by_server",
        "_by_request",
        "_by_part",
        "_seen",
        "_parts",
    )

    def __init__(self) -> None:
        self._parts = 0
        self._crashes: list[Crash] = []
        self._by_server: dict[int, list[Crash]] = {}
        self._by_request: dict[int, list[Crash]] = {}
        self._by_part: dict[int, list[Crash]] = {}
        self._seen: set[int] = set()

    def __len__(self) -> int:
        """Returns the number of attempts."""
        return len(self._seen)

    def add(self, attempt: InterruptedAttempt, now_ms: int) -> bool:
        """Adds an attempt; returns whether it is new and recent."""
        if attempt.id in self._seen:
            return False
        if now_ms - attempt.at_ms >= CRASH_TTL_MS:
            return False
        crash = self._find_crash(attempt)
        # Half of the room is for attempts whose answers had begun.
        room = MAX_ATTEMPTS_PER_CRASH // (1 if attempt.begun else 2)
        if len(crash.attempts) >= room:
            return False
        if crash.count_parts() + len(attempt.parts) > MAX_HELD_PARTS // 2:
            return False
        self._seen.add(attempt.id)
        self._parts += len(attempt.parts)
        crash.attempts.append(attempt)
        _index(self._by_request, attempt.request, crash)
        for part in attempt.parts:
            _index(self._by_part, part, crash)
        while self._is_full():
            self._drop(self._crashes[0])
        return True

    def _is_full(self) -> bool:
        return (
            len(self._seen) > MAX_ATTEMPTS
            or len(self._crashes) > MAX_CRASHES
            or self._parts > MAX_HELD_PARTS
        )

    def _find_crash(self, attempt: InterruptedAttempt) -> Crash:
        crashes = self._by_server.setdefault(attempt.server, [])
        for crash in reversed(crashes):
            if abs(crash.at_ms - attempt.at_ms) < SAME_CRASH_MS:
                return crash
        crash = Crash(attempt.server, attempt.at_ms)
        crashes.append(crash)
        self._crashes.append(crash)
        return crash

    def of_request(self, request: int) -> list[Crash]:
        """Returns the crashes that interrupted a request."""
        return self._by_request.get(request, [])

    def of_part(self, part: int) -> list[Crash]:
        """Returns the crashes that interrupted requests with a part."""
        return self._by_part.get(part, [])

    def count(self, request: int) -> int:
        """Returns the number of crashes that interrupted a request.

        Those before it was found to be sound do not count.
        """
        crashes = self._by_request.get(request, ())
        return sum(request not in crash.cleared for crash in crashes)

    def is_common_outage(
        self, crash: Crash, has_suspect: Callable[[Crash], bool]
    ) -> bool:
        """Returns whether more servers ended at the time without a suspect.

        Whatever ended them all is more likely to be the cause.

        Args:
            crash: One of the crashes.
            has_suspect: Whether a crash interrupted the suspect.
        """
        others = [
            other
            for other in self._crashes
            if abs(other.at_ms - crash.at_ms) < SAME_OUTAGE_MS
        ]
        return len(others) > 2 * sum(map(has_suspect, others))

    def suspects(self) -> Iterable[int]:
        """Returns the requests and parts of all interrupted attempts."""
        return itertools.chain(self._by_part, self._by_request)

    def knows_request(self, request: int) -> bool:
        """Returns whether a crash interrupted a request."""
        return request in self._by_request

    def forget_request(self, request: int) -> None:
        """Clears a request that is sound after all of its crashes.

        Reports of them that arrive later are ignored as known.
        """
        for crash in self._by_request.get(request, ()):
            crash.cleared.add(request)

    def drop_expired(self, now_ms: int) -> None:
        """Drops the crashes that no longer count."""
        for crash in list(self._crashes):
            if now_ms - crash.at_ms >= CRASH_TTL_MS:
                self._drop(crash)

    def _drop(self, crash: Crash) -> None:
        self._crashes.remove(crash)
        _unindex(self._by_server, crash.server, crash)
        for attempt in crash.attempts:
            self._parts -= len(attempt.parts)
            self._seen.discard(attempt.id)
            _unindex(self._by_request, attempt.request, crash)
            for part in attempt.parts:
                _unindex(self._by_part, part, crash)


def _index(index: dict[int, list[Crash]], key: int, crash: Crash) -> None:
    crashes = index.setdefault(key, [])
    if crash not in crashes:
        crashes.append(crash)


def _unindex(index: dict[int, list[Crash]], key: int, crash: Crash) -> None:
    crashes = index.get(key, [])
    if crash in crashes:
        crashes.remove(crash)
    if not crashes:
        index.pop(key, None)
