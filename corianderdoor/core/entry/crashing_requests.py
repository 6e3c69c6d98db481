"""Detection of requests that crash each server that runs them.

A request is identified by its path, API key and body. If several servers
crashed while they ran it, and no complete answer came since, it is refused
for a while instead of being sent to the next server. A broken connection
alone is not a crash: the server must also become unreachable, disappear
from the list or restart soon after. Otherwise a popular request would be
refused because of lost answers.
"""

from __future__ import annotations

from collections import deque, OrderedDict
from collections.abc import Callable
import enum
from typing import Final

import xxhash

from ..records import Record
from .requests import CallerRequest
from .servers import digest_id

# Number of different servers that must have crashed while they ran the
# request. Two can crash by chance during one popular request; the platform
# counts its bound from the third.
SERVERS_TO_REFUSE: Final = 3
# A broken connection counts as a crash if the server is found to be
# unreachable or gone within this time.
CONFIRM_MS: Final = 5_000
# How long a crash counts; the request is refused no longer than this after
# its last crash.
CRASH_TTL_MS: Final = 60_000
# One request takes about 300 bytes.
MAX_REQUESTS: Final = 2_000
# Bound of the broken connections kept for each server, and of the crashes
# that wait to be reported; the oldest are dropped.
MAX_UPDATES: Final = 64


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


class CrashingRequests:
    """Crashes by request and server, for the last `MAX_REQUESTS` requests.

    Attributes:
        on_crash: Called with each crash that interrupted a request of this
            host.
    """

    __slots__ = ("on_crash", "_crashes", "_broken", "_updates")

    def __init__(self) -> None:
        self.on_crash: Callable[[ServerCrash], None] = lambda crash: None
        self._crashes: OrderedDict[int, dict[int, int]] = OrderedDict()
        self._broken: dict[str, deque[tuple[int, int]]] = {}
        self._updates: deque[tuple[int, int]] = deque(maxlen=MAX_UPDATES)

    def record_broken_connection(
        self, req: CallerRequest, server_id: str, now_ms: int
    ) -> None:
        """Records that the connection broke while `server_id` ran `req`."""
        broken = self._broken.setdefault(server_id, deque(maxlen=MAX_UPDATES))
        broken.append((now_ms, compute_fingerprint(req)))

    def confirm_crash(
        self,
        server_id: str,
        now_ms: int,
        cause: CrashCause = CrashCause.UNREACHABLE,
    ) -> None:
        """Counts recent broken connections to `server_id` as crashes.

        To be called when the server is unreachable, gone from the list or
        restarted.
        """
        digest = digest_id(server_id)
        fingerprints = []
        for at_ms, fingerprint in self._broken.pop(server_id, ()):
            if now_ms - at_ms < CONFIRM_MS:
                self.add_crash(fingerprint, digest, now_ms)
                self._updates.append((fingerprint, digest))
                fingerprints.append(fingerprint)
        if fingerprints:
            self.on_crash(ServerCrash(server_id, cause, tuple(fingerprints)))

    def add_crash(self, fingerprint: int, server: int, now_ms: int) -> None:
        """Records a crash, seen here or reported by a peer.

        Args:
            fingerprint: Fingerprint of the request.
            server: Digest of the id of the server that crashed.
            now_ms: Monotonic time in ms.
        """
        self._crashes.setdefault(fingerprint, {})[server] = now_ms
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > MAX_REQUESTS:
            self._crashes.popitem(last=False)

    def record_complete_answer(self, req: CallerRequest) -> None:
        """Drops the crashes of `req`, which got a complete answer.

        Peers keep theirs.
        """
        if self._crashes:
            self._crashes.pop(compute_fingerprint(req), None)

    def should_refuse(self, req: CallerRequest, now_ms: int) -> bool:
        """Returns whether `req` must not be sent to a server."""
        if not self._crashes:
            return False
        crashes = self._crashes.get(compute_fingerprint(req), {})
        recent = [at for at in crashes.values() if now_ms - at < CRASH_TTL_MS]
        return len(recent) >= SERVERS_TO_REFUSE

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the broken connections of all servers but `ids`."""
        for name in self._broken.keys() - ids:
            del self._broken[name]

    def take_updates(self) -> list[tuple[int, int]]:
        """Removes and returns the crashes to report to peers.

        Returns:
            Pairs of a request's fingerprint and a server's digest.
        """
        updates = list(self._updates)
        self._updates.clear()
        return updates
