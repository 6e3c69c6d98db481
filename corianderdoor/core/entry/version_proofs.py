"""Servers whose software version is not proven for the running process.

An entry speaks of the process that wrote it. A server that crashed may be
back with other software for about a second before its entry says so.
"""

from __future__ import annotations

from typing import Final

from .restart_signs import RestartSigns

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
        "_doubts",
        "_accepted",
        "_newest",
        "_reporters",
    )

    def __init__(self) -> None:
        # By peers or by this host.
        self._signs = RestartSigns()
        # The same, without reports of peers on one that answers this host.
        self._ended = RestartSigns()
        # Any failure, also one that a server that runs well may show.
        self._doubts = RestartSigns()
        # When a server took a connection after one that broke.
        self._accepted: dict[str, int] = {}
        # Last answer of each server.
        self._newest: dict[str, int] = {}
        # When each peer last reported a server.
        self._reporters: dict[str, dict[str, int]] = {}

    def record_unreachable(self, server_id: str, now_ms: int) -> None:
        """Records that this host could not reach a server."""
        self._add(server_id, now_ms)

    def record_broken(self, server_id: str, now_ms: int) -> None:
        """Records that a server broke a connection."""
        self._doubts.add(server_id, now_ms)
        accepted_ms = self._accepted.pop(server_id, None)
        if accepted_ms is None or now_ms - accepted_ms >= RESTART_MS:
            self._add(server_id, now_ms)

    def record_accepted(self, server_id: str, now_ms: int) -> None:
        """Records that a server took a connection after one that broke.

        The broken one is recorded next.
        """
        self._accepted[server_id] = now_ms

    def record_doubt(self, server_id: str, now_ms: int) -> None:
        """Records a failure that is no sign while the store is in contact."""
        self._doubts.add(server_id, now_ms)

    def record_report(self, server_id: str, peer: str, now_ms: int) -> None:
        """Records that a peer could not reach a server, or was cut off."""
        reporters = self._reporters.setdefault(server_id, {})
        reporters[peer] = now_ms
        for name, at_ms in list(reporters.items()):
            if now_ms - at_ms >= REPORTERS_MS:
                del reporters[name]
        # A single peer may have lost its own link to a server that answers.
        is_down = self._signs.is_unanswered(server_id)
        if len(reporters) >= MIN_REPORTERS or is_down:
            self._signs.add(server_id, now_ms)
            newest_ms = self._newest.get(server_id, -REPORTERS_MS)
            if now_ms - newest_ms >= REPORTERS_MS:
                self._ended.add(server_id, now_ms)

    def record_answer(self, server_id: str, now_ms: int) -> None:
        """Records that a server has begun to answer a request."""
        self._newest[server_id] = now_ms
        for signs in (self._signs, self._ended, self._doubts):
            signs.record_answer(server_id, now_ms)

    def may_be_next(self, server_id: str, now_ms: int) -> bool:
        """Returns whether an answer may be of a process after the sign."""
        return self._signs.may_be_next(server_id, now_ms)

    def record_told(self, server_id: str) -> None:
        """Records that the entry of a later process has arrived."""
        for signs in (self._signs, self._ended, self._doubts):
            signs.drop(server_id)
        # They spoke of the process before.
        self._reporters.pop(server_id, None)

    def ended_ms(self, server_id: str) -> int | None:
        """Returns when a process may have ended last; None without a sign.

        Reports of peers do not count for a server that answers this host: it
        would have broken this host's connections too.
        """
        return self._ended.last_ms(server_id)

    def has_signs(self) -> bool:
        """Returns whether any server has a sign."""
        return bool(len(self._signs))

    def has_sign(self, server_id: str) -> bool:
        """Returns whether anything shows that a server has restarted."""
        return server_id in self._signs

    def has_doubt(self, server_id: str) -> bool:
        """Returns whether a server has failed in any way."""
        return server_id in self._doubts

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
        return self._signs.are_disproved(server_id, contact_ms, since_ms)

    def is_beyond_doubt(
        self, server_id: str, contact_ms: int, since_ms: int
    ) -> bool:
        """Returns the same for a host out of contact, by any failure.

        Args:
            server_id: Id of the server.
            contact_ms: As for `is_proven`.
            since_ms: As for `is_proven`.
        """
        return self._doubts.are_disproved(server_id, contact_ms, since_ms)

    def ran_on(self, server_id: str, contact_ms: int, since_ms: int) -> bool:
        """Returns whether a server has not restarted since `ended_ms`.

        Args:
            server_id: Id of the server.
            contact_ms: As for `is_proven`.
            since_ms: As for `is_proven`.
        """
        return self._ended.are_disproved(server_id, contact_ms, since_ms)

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the records of all servers but `ids`."""
        for signs in (self._signs, self._ended, self._doubts):
            signs.retain(ids)
        for records in (self._accepted, self._newest, self._reporters):
            for name in records.keys() - ids:
                del records[name]

    def _add(self, server_id: str, now_ms: int) -> None:
        for signs in (self._signs, self._ended, self._doubts):
            signs.add(server_id, now_ms)
