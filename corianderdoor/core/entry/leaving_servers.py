"""Backend servers that have announced in an answer that they leave.

A server may announce this long before the store says so, and the store may
go on listing it as available, or list it again after a restore. Only a new
incarnation of the server takes requests again.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

from .servers import BackendServer

# How long the announcement of an incarnation that is not listed is kept. It
# may arrive before its record, or the record may come back in a restore of
# the store.
KEEP_UNLISTED_MS: Final = 60_000
MAX_RECORDS: Final = 1_024
# Bound of the announcements in one heartbeat. Half of them are the newest, the
# others take turns.
MAX_REPORTED: Final = 32


def digest_incarnation(server: BackendServer) -> int:
    """Returns the number that identifies an incarnation between hosts."""
    key = f"{server.id}\0{server.started_ms}\0{server.host}:{server.port}"
    return xxhash.xxh3_64_intdigest(key.encode())


class LeavingServers:
    """Incarnations of servers that leave, seen here or reported by peers.

    Holds at most `MAX_RECORDS` of each.
    """

    __slots__ = ("_kept_until", "_own", "_listed", "_turn")

    def __init__(self) -> None:
        # Digests of incarnations, with the time until which each is kept
        # unless it is listed.
        self._kept_until: dict[int, int] = {}
        # Those whose own answers said so, the newest last.
        self._own: dict[int, None] = {}
        # Those that are listed.
        self._listed: tuple[int, ...] = ()
        # Where the next turn of the older ones begins.
        self._turn = 0

    def record(self, server: BackendServer, now_ms: int) -> bool:
        """Records that an answer of `server` announced that it leaves.

        Returns:
            Whether this host did not know yet.
        """
        digest = digest_incarnation(server)
        self._own[digest] = None
        return self.add_report(digest, now_ms)

    def add_report(self, digest: int, now_ms: int) -> bool:
        """Records the report of a peer.

        Args:
            digest: Digest of the incarnation.
            now_ms: Monotonic time in ms.

        Returns:
            Whether this host did not know yet.
        """
        fresh = digest not in self._kept_until
        self._kept_until[digest] = now_ms + KEEP_UNLISTED_MS
        while len(self._kept_until) > MAX_RECORDS:
            oldest = min(self._kept_until, key=self._kept_until.__getitem__)
            self._drop(oldest)
        return fresh

    def includes(self, server: BackendServer) -> bool:
        """Returns whether this incarnation of `server` leaves."""
        # Most of the time no server leaves, and none has to be hashed.
        return (
            bool(self._kept_until)
            and digest_incarnation(server) in self._kept_until
        )

    def reports(self) -> tuple[int, ...]:
        """Returns the digests of the incarnations to report to peers.

        Reports of peers are passed on while the server is listed: the host
        that saw the announcement may have restarted, and forgot it.
        """
        others = tuple(dict.fromkeys((*self._listed, *self._own)))
        if len(others) <= MAX_REPORTED:
            return others
        half = MAX_REPORTED // 2
        older, newest = others[:-half], others[-half:]
        start = self._turn % len(older)
        self._turn = start + half
        return (older[start:] + older[:start])[:half] + newest

    def retain(self, listed: Iterable[BackendServer], now_ms: int) -> None:
        """Drops the incarnations that have been unlisted for long."""
        self._listed = ()
        if not self._kept_until:
            return
        self._listed = tuple(
            digest
            for digest in map(digest_incarnation, listed)
            if digest in self._kept_until
        )
        for digest in self._listed:
            self._kept_until[digest] = now_ms + KEEP_UNLISTED_MS
        for digest, until_ms in list(self._kept_until.items()):
            if until_ms <= now_ms:
                self._drop(digest)

    def _drop(self, digest: int) -> None:
        del self._kept_until[digest]
        self._own.pop(digest, None)
