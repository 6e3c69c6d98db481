"""Backend servers that may have restarted without a record of it.

The store tells hosts which servers started anew and are cold. While it
answers nobody, a server that could not be reached for a moment may come back
cold, and hosts would send it as much as to a warm one.
"""

from __future__ import annotations

from typing import Final

from .peers import MAX_CONTACT_AGE_MS
from .restart_signs import TOLD_MS
from .version_proofs import VersionProofs

# Time after which the record of a server that restarted has arrived here if
# the store is in contact with the hosts.
RECORD_DELAY_MS: Final = 1_000
# Two signs of a restart within this time, without an answer in between, are
# enough while the store seems to be in contact. Healthy servers break single
# connections.
CONFIRM_MS: Final = 1_000
# A contact this long after a pause of this process shows what happened in it;
# an earlier one may have waited here unread.
CONFIRM_PAUSE_MS: Final = 50
# Time after the return of the store in which servers begin to write their
# entries again.
RETURN_MS: Final = 1_000
# Time before the first contact to the store.
NEVER_MS: Final = -(2**31)
# How long a server that this host could not reach is reported to peers;
# longer than the time between two heartbeats to a host in reserve.
REPORT_MS: Final = 1_600
# A server that has not answered for this long since it failed is not held
# back any longer; other means find out whether it is there.
MAX_UNANSWERED_MS: Final = 30_000


class SuspectedRestarts:
    """Servers that could not be reached lately, by this host or by peers.

    In contact with the store, a failure counts until the entry of a later
    process would be here (see `VersionProofs`); a contact lost later than
    `RECORD_DELAY_MS` after it has shown what became of it. Until the loss of
    contact is noticed, a single broken connection or report of a peer does
    not count: servers that run well break some connections, and a peer may
    have lost its own links. Holds at most one time of each kind for each
    listed server.

    Attributes:
        in_contact: Whether this host, or a peer that it hears, has contact
            to the store.
        proofs: Servers whose version is not proven.
    """

    __slots__ = (
        "in_contact",
        "proofs",
        "_contact_ms",
        "_regained_ms",
        "_resumed_ms",
        "_unreached",
        "_broken",
        "_reported",
        "_confirmed",
        "_answered",
        "_newest_answer",
    )

    def __init__(self) -> None:
        self.in_contact = True
        self.proofs = VersionProofs()
        self._contact_ms = NEVER_MS
        self._regained_ms = NEVER_MS
        self._resumed_ms = NEVER_MS - TOLD_MS
        self._unreached: dict[str, int] = {}
        self._broken: dict[str, int] = {}
        self._reported: dict[str, int] = {}
        # Last sign that another one preceded, without an answer in between.
        self._confirmed: dict[str, int] = {}
        # First answer after the last failure, which shows the return.
        self._answered: dict[str, int] = {}
        self._newest_answer: dict[str, int] = {}

    def update_contact(
        self, contact_ms: int, now_ms: int, shown_ms: int | None = None
    ) -> None:
        """Sets when this host or a peer last had contact to the store.

        Args:
            contact_ms: Time of the contact.
            now_ms: Monotonic time in ms.
            shown_ms: Time up to which this host has the changes that the
                contact showed; None if it has all of them.
        """
        was_in_contact = self.in_contact
        self.in_contact = now_ms - contact_ms < MAX_CONTACT_AGE_MS
        if self.in_contact and not was_in_contact:
            self._regained_ms = now_ms
        if shown_ms is None:
            shown_ms = contact_ms
        self._contact_ms = max(self._contact_ms, shown_ms)

    def record_pause(self, now_ms: int) -> None:
        """Records that this process was suspended until now.

        All servers may have restarted in that time. They count until the
        store, or a peer with contact to it, has answered again.
        """
        self._resumed_ms = now_ms

    def record_unreachable(self, server_id: str, now_ms: int) -> None:
        """Records that this host could not reach a server."""
        self._unreached[server_id] = now_ms
        self.proofs.record_unreachable(server_id, now_ms)

    def record_broken(self, server_id: str, now_ms: int) -> None:
        """Records that a server broke a connection before its answer."""
        if self._follows(self._broken, server_id, now_ms) or self._follows(
            self._reported, server_id, now_ms
        ):
            self._confirmed[server_id] = now_ms
        self._broken[server_id] = now_ms
        self.proofs.record_broken(server_id, now_ms)

    def add_report(self, server_id: str, now_ms: int) -> None:
        """Records that a peer could not reach a server."""
        if self._follows(self._broken, server_id, now_ms):
            self._confirmed[server_id] = now_ms
        self._reported[server_id] = now_ms
        self.proofs.record_doubt(server_id, now_ms)

    def _follows(
        self, times: dict[str, int], server_id: str, now_ms: int
    ) -> bool:
        """Returns whether a sign came shortly before, and no answer since."""
        at_ms = times.get(server_id)
        if at_ms is None or now_ms - at_ms >= CONFIRM_MS:
            return False
        return self._newest_answer.get(server_id, -1) <= at_ms

    def record_answer(self, server_id: str, now_ms: int) -> None:
        """Records that a server has begun to answer a request."""
        self.proofs.record_answer(server_id, now_ms)
        self._newest_answer[server_id] = now_ms
        failed_ms = max(
            times.get(server_id, -1)
            for times in (self._unreached, self._broken, self._reported)
        )
        if failed_ms > self._answered.get(server_id, -1):
            self._answered[server_id] = now_ms

    def recent(self, now_ms: int) -> list[str]:
        """Returns the servers to report to peers.

        One that took a connection right after it broke one has not restarted.
        """
        return [
            server_id
            for server_id, at_ms in (self._broken | self._unreached).items()
            if now_ms - at_ms < REPORT_MS and self.proofs.has_sign(server_id)
        ]

    def may_include(self, server_id: str) -> bool:
        """Returns whether anything is known that `includes` has to weigh."""
        return (
            self.proofs.has_doubt(server_id)
            or self._contact_ms < self._resumed_ms + CONFIRM_PAUSE_MS
        )

    def proves_version(self, server_id: str) -> bool:
        """Returns whether a server has the version that its entry names.

        Without contact to the store, a server that has failed in any way may
        have started again with another version, unless the entry would have
        arrived before the loss of contact; after a pause of this process, any
        server may.
        """
        if self._contact_ms < self._resumed_ms + TOLD_MS:
            return False
        if not self._is_told(server_id):
            return False
        return self.in_contact or self.proofs.is_beyond_doubt(
            server_id, self._contact_ms, self._regained_ms + RETURN_MS
        )

    def has_run_since(self, server_id: str, began_ms: int) -> bool:
        """Returns whether the process of an entry ran at a time before.

        The entry of another process that answered then would be here.

        Args:
            server_id: Id of the server, whose entry has not changed since.
            began_ms: When it answered.
        """
        since_ms = max(began_ms, self._regained_ms + RETURN_MS)
        return (
            self.in_contact
            and self._contact_ms - since_ms >= TOLD_MS
            and self.proves_version(server_id)
        )

    def may_have_lost(self, server_id: str, used_ms: int) -> bool:
        """Returns whether a server may have lost what it had at a time.

        What it got after the last sign of a restart went to the process that
        runs there now.
        """
        ended_ms = self.proofs.ended_ms(server_id)
        if ended_ms is None or ended_ms < used_ms:
            return False
        since_ms = self._regained_ms + RETURN_MS
        return not self.in_contact or not self.proofs.ran_on(
            server_id, self._contact_ms, since_ms
        )

    def _is_told(self, server_id: str) -> bool:
        """Returns whether the entry of a later process would be here."""
        since_ms = self._regained_ms + RETURN_MS
        return self.proofs.is_proven(server_id, self._contact_ms, since_ms)

    def includes(self, server_id: str, cold_ms: int, now_ms: int) -> bool:
        """Returns whether a server may have restarted and be cold.

        Args:
            server_id: Id of the server.
            cold_ms: How long a server is cold after its start, in ms.
            now_ms: Monotonic time in ms.
        """
        if self._contact_ms < self._resumed_ms + CONFIRM_PAUSE_MS:
            if now_ms - self._resumed_ms < cold_ms:
                return True
        failed_ms = self._last_failure_ms(server_id)
        if failed_ms < 0 or cold_ms <= 0:
            return False
        if self.in_contact:
            if self._is_told(server_id):
                return False
        elif self.seems_back(server_id):
            return False
        answered_ms = self._answered.get(server_id, -1)
        # The server may have come back at any time since it failed; its
        # first answer is the latest time of its return.
        if answered_ms < failed_ms:
            return now_ms - failed_ms < max(cold_ms, MAX_UNANSWERED_MS)
        return now_ms - answered_ms < cold_ms

    def _last_failure_ms(self, server_id: str) -> int:
        """Returns when a server failed last; a negative time if it did not."""
        failed_ms = self._unreached.get(server_id, -1)
        if self.in_contact:
            return max(failed_ms, self._confirmed.get(server_id, -1))
        return max(
            failed_ms,
            self._broken.get(server_id, -1),
            self._reported.get(server_id, -1),
        )

    def seems_back(self, server_id: str) -> bool:
        """Returns whether the store was in contact some time after a failure.

        A server that had come back at once would have told so by then.
        """
        failed_ms = self._last_failure_ms(server_id)
        return self._contact_ms - failed_ms >= RECORD_DELAY_MS

    def retain(self, ids: frozenset[str]) -> None:
        """Drops the records of all servers but `ids`."""
        self.proofs.retain(ids)
        for times in (
            self._unreached,
            self._broken,
            self._reported,
            self._confirmed,
            self._answered,
            self._newest_answer,
        ):
            for name in times.keys() - ids:
                del times[name]
