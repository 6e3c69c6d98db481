"""Record of the software versions that may have begun streams.

The hosts keep one ledger for all services in the store. It outlives them: a
host that has just started learns from it whether a stream that no host knows
can have begun at one version only.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

from ..records import Record
from .servers import BackendServer, Servers
from .stream_versions import MAX_STREAM_MS
from .version_history import VersionHistory

# Time for which hosts without contact go on using servers that have left.
LEAVING_MARGIN_MS: Final = 10_000
# Time without a listed server of a version after which none of its streams
# can be resumed.
RETIRE_MS: Final = MAX_STREAM_MS + LEAVING_MARGIN_MS


class VersionLedger(Record):
    """Versions that may have begun streams that can still be resumed.

    Attributes:
        era: Era of the store in which the ledger was written.
        versions: The versions by service.
        complete: Whether no other version can have begun such a stream; False
            for a time after hosts without a ledger, and after a restore.
    """

    __slots__ = ("era", "versions", "complete")

    def __init__(
        self,
        era: int,
        versions: Mapping[str, frozenset[str]],
        complete: bool,
    ) -> None:
        self.era = era
        self.versions = dict(versions)
        self.complete = complete

    def find_only(
        self, service: str, listed: Iterable[str], era: int
    ) -> str | None:
        """Returns the only version that may have begun streams of a service.

        Args:
            service: Name of the service.
            listed: Versions of its listed servers.
            era: Era of the store. A ledger of an older era comes from the
                copy that the store was restored from, and may lack versions.

        Returns:
            The version; None if there are several, or others are unknown.
        """
        if not self.complete or self.era != era:
            return None
        versions = self.versions.get(service, frozenset()).union(listed)
        return next(iter(versions)) if len(versions) == 1 else None

    def merge(self, other: VersionLedger) -> VersionLedger:
        """Returns a ledger with the versions of both, of this one's era."""
        versions = dict(self.versions)
        for service, names in other.versions.items():
            versions[service] = versions.get(service, frozenset()) | names
        return VersionLedger(
            self.era, versions, self.complete and other.complete
        )


class KnownLedger:
    """The ledger as this host knows it.

    Streams begin at recorded versions while one is in service, so that the
    ledger names a version before its streams are there.

    Attributes:
        stored: The ledger in the store; None without one.
    """

    __slots__ = ("stored", "_confirmed", "_incomplete")

    def __init__(self) -> None:
        self.stored: VersionLedger | None = None
        # Era whose ledger is not complete, and since when this host knows.
        self._incomplete: tuple[int, int] | None = None
        # The last ledger that was stored in the era of that time.
        self._confirmed: VersionLedger | None = None

    def record(self, ledger: VersionLedger | None, era: int) -> None:
        """Records the ledger that the store has, and the store's era."""
        self.stored = ledger
        if ledger is not None and ledger.era == era:
            self._confirmed = ledger

    def find_only(
        self, service: str, servers: Servers, era: int
    ) -> str | None:
        """Returns the only version that may have begun streams of a service.

        Returns:
            The version; None if there are several, or others are unknown.
        """
        if self.stored is None:
            return None
        listed = {server.version for server in servers.listed(service)}
        return self.stored.find_only(service, listed, era)

    def prefer_recorded(
        self, service: str, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers of recorded versions; all if there are none."""
        # A restore of the store may have lost the ledger.
        ledger = self.stored or self._confirmed
        if ledger is None:
            return servers
        recorded = ledger.versions.get(service, frozenset())
        return [s for s in servers if s.version in recorded] or servers

    def plan_next(
        self,
        servers: Servers,
        history: VersionHistory,
        era: int,
        first_start: bool,
        now_ms: int,
    ) -> VersionLedger | None:
        """Returns the ledger to write; None if the stored one is right.

        Args:
            servers: The listed servers.
            history: When versions were listed.
            era: Era of the store.
            first_start: Whether no host has served before.
            now_ms: Monotonic time in ms.
        """
        base = self._find_base(era, first_start)
        listed: dict[str, set[str]] = {}
        for server in servers.all():
            listed.setdefault(server.service, set()).add(server.version)
            history.record_listed(server.service, server.version, now_ms)
        versions = {
            service: frozenset(
                version
                for version in names
                if history.absent_ms(service, version, now_ms) < RETIRE_MS
            )
            for service, names in base.versions.items()
        }
        for service, names in listed.items():
            versions[service] = versions.get(service, frozenset()) | names
        versions = {name: names for name, names in versions.items() if names}
        covered_ms = history.covered_ms(now_ms)
        complete = self._is_complete(base, covered_ms, now_ms)
        planned = VersionLedger(era, versions, complete)
        if planned == self.stored or not (planned.versions or self.stored):
            return None
        return planned

    def _is_complete(
        self, base: VersionLedger, covered_ms: int, now_ms: int
    ) -> bool:
        """Returns whether streams at versions without a record have ended.

        All hosts have to know the ledger for as long as a version takes to
        retire; what they saw before it does not count.
        """
        if base.complete:
            self._incomplete = None
            return True
        if self._incomplete is None or self._incomplete[0] != base.era:
            self._incomplete = base.era, now_ms
        return min(covered_ms, now_ms - self._incomplete[1]) >= RETIRE_MS

    def _find_base(self, era: int, first_start: bool) -> VersionLedger:
        """Returns what is known to have been recorded."""
        if self.stored is None and self._confirmed is None:
            return VersionLedger(era, {}, first_start)
        if self.stored is not None and self.stored.era == era:
            return self.stored
        # The store was restored. It may have lost versions that others wrote
        # and that this host has not read.
        base = VersionLedger(era, {}, False)
        for ledger in (self.stored, self._confirmed):
            if ledger is not None:
                base = base.merge(ledger)
        return base
