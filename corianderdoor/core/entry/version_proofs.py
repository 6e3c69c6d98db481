"""Servers whose software version is not proven for the running process.

An entry speaks of the process that wrote it. A server that crashed may be
back with other software for about a second before its entry says so.
"""

from __future__ import annotations

from typing import Final

# Time after the first answer of a server that is back in which its entry has
# arrived here if the store is in contact: it writes the entry up to 0.8 s
# after it listens, and hosts know of it within 0.3 s.
TOLD_MS: Final = 1_500
# Answers this soon after a sign may have been sent before the crash.
BUFFERED_MS: Final = 250
# The entry of a server that stays away is removed before.
SILENT_MS: Final = 10_000
# Reports of this many peers within the time are a sign: servers that run well
# break single connections.
MIN_REPORTERS: Final = 2
REPORTERS_MS: Final = 2_000
# A server that takes a connection right after it broke one has not restarted
# in between. Time from that connection to the record of the broken one.
RESTART_MS: Final = 100


class VersionProofs:
    """Signs that a server has restarted since it wrote its entry.

    Holds a few times for each listed server.
    """

    __slots__ = (
        "_signs",
        "_ended",
        "_accepted",
        "_answered",
        "_newest",
        "_back",
        "_reporters",
    )

    def __init__(self) -> None:
        # Last sign of each server, by peers or by this host.
        self._signs: dict[str, int] = {}
        # The same, without reports of peers on one that answers this host.
        self._ended: dict[str, int] = {}
        # When a server took a connection after one that broke.
        self._accepted: dict[str, int] = {}
        # First answer after the last sign.
        self._answered: dict[str, int] = {}
        # Last answer of each server.
        self._newest: dict[str, int] = {}
        # First answer after the last one in `_ended`.
        self._back: dict[str, int] = {}
        # When each peer last reported a server.
        self._reporters: dict[str, dict[str, int]] = {}

    def record_unreachable(self, server_id: str, now_ms: int) -> None:
        """Records that this host could not reach a server."""
        self._add(server_id, now_ms)

    def record_broken(self, server_id: str, now_ms: int) -> None:
        """Records that a server broke a connection."""
        accepted_ms = self._accepted.pop(server_id, None)
        if accepted_ms is None or now_ms - accepted_ms >= RESTART_MS:
            self._add(server_id, now_ms)

    def record_accepted(self, server_id: str, now_ms: int) -> None:
        """Records that a server took a connection after one that broke.

        The broken one is recorded next.
        """
        self._accepted[server_id] = now_ms

    def record_report(self, server_id: str, peer: str, now_ms: int) -> None:
        """Records that a peer could not reach a server, or was cut off."""
        reporters = self._reporters.setdefault(server_id, {})
        reporters[peer] = now_ms
        for name, at_ms in list(reporters.items()):
            if now_ms - at_ms >= REPORTERS_MS:
                del reporters[name]
        # A single peer may have lost its own link to a server that answers.
        is_down = server_id in self._signs and server_id not in self._answered
        if len(reporters) >= MIN_REPORTERS or is_down:
            self._signs[server_id] = now_ms
            self._answered.pop(server_id, None)
            newest_ms = self._newest.get(server_id, -REPORTERS_MS)
            if now_ms - newest_ms >= REPORTERS_MS:
                self._record_end(server_id, now_ms)

    def record_answer(self, server_id: str, now_ms: int) -> None:
        """Records that a server has begun to answer a request."""
        self._newest[server_id] = now_ms
        ended_ms = self._ended.get(server_id)
        if ended_ms is not None and now_ms - ended_ms >= BUFFERED_MS:
            self._back.setdefault(server_id, now_ms)
        if self.may_be_next(server_id, now_ms):
            self._answered.setdefault(server_id, now_ms)

    def may_be_next(self, server_id: str, now_ms: int) -> bool:
        """Returns whether an answer may be of a process after the sign."""
        sign_ms = self._signs.get(server_id)
        return sign_ms is not None and now_ms - sign_ms >= BUFFERED_MS

    def record_told(self, server_id: str) -> None:
        """Records that the entry of a later process has arrived."""
        self._signs.pop(server_id, None)
        self._ended.pop(server_id, None)
        self._back.pop(server_id, None)
        self._answered.pop(server_id, None)
        # They spoke of the process before.
        self._reporters.pop(server_id, None)

    def ended_ms(self, server_id: str) -> int | None:
        """Returns when a process may have ended last; None without a sign.

        Reports of peers do not count for a server that answers this host: it
        would have broken this host's connections too.
        """
        return self._ended.get(server_id)

    def has_signs(self) -> bool:
        """Returns whether any server has a sign."""
        return bool(self._signs)

    def has_sign(self, server_id: str) -> bool:
        """Returns whether anything shows that a server has restarted."""
        return server_id in self._signs

    def is_proven(
        self, server_id: str, contact_ms: int, since_ms: int
    ) -> bool:
        """Returns whether the entry of a server speaks of what runs there.

        Args:
            server_id: Id of the server.
            contact_ms: When the store last was in contact.
            since_ms: When servers could write their entries again, if the
                store was away.
        """
        return _is_shown(
            self._signs.get(server_id),
            self._answered.get(server_id),
            contact_ms,
            since_ms,
        )

    def ran_on(self, server_id: str, contact_ms: int, since_ms: int) -> bool:
        """Returns whether a server has not restarted since `ended_ms`.

        Args:
            server_id: Id of the server.
            contact_ms: As for `is_proven`.
            since_ms: As for `is_proven`.
        """
        return _is_shown(
            self._ended.get(server_id),
            self._back.get(server_id),
            contact_ms,
            since_ms,
        )

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the records of all servers but `ids`."""
        for records in (
            self._signs,
            self._ended,
            self._accepted,
            self._answered,
            self._newest,
            self._back,
            self._reporters,
        ):
            for name in records.keys() - ids:
                del records[name]

    def _add(self, server_id: str, now_ms: int) -> None:
        self._signs[server_id] = now_ms
        self._answered.pop(server_id, None)
        self._record_end(server_id, now_ms)

    def _record_end(self, server_id: str, now_ms: int) -> None:
        self._ended[server_id] = now_ms
        self._back.pop(server_id, None)


def _is_shown(
    sign_ms: int | None,
    answered_ms: int | None,
    contact_ms: int,
    since_ms: int,
) -> bool:
    """Returns whether the entry of a later process would be here by now."""
    if sign_ms is None:
        return True
    if contact_ms - max(sign_ms, since_ms) >= SILENT_MS:
        return True
    if answered_ms is None:
        return False
    return contact_ms - max(answered_ms, since_ms) >= TOLD_MS
