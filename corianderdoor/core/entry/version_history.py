"""Software versions that the servers of each service had lately."""

from __future__ import annotations

from typing import Final

from .servers import Servers

# Versions that were not listed for this long are forgotten.
KEEP_MS: Final = 120_000
# Interval at which the list is looked through.
UPDATE_MS: Final = 1_000


class VersionHistory:
    """Versions by service, as far as this host has seen the store's list.

    Times without contact to the store, in which a version may have come and
    gone, are gaps: only what follows the last one counts. It tells for how
    long a version has been away, and not that there is no other: the list is
    as old as the last contact.
    """

    __slots__ = ("_seen_ms", "_since_ms", "_updated_ms")

    def __init__(self) -> None:
        self._seen_ms: dict[str, dict[str, int]] = {}
        # When this host regained contact; None without contact.
        self._since_ms: int | None = None
        self._updated_ms = -UPDATE_MS

    def update(self, servers: Servers, in_contact: bool, now_ms: int) -> None:
        """Records the versions that are listed now.

        Args:
            servers: The listed servers.
            in_contact: Whether the list is up to date.
            now_ms: Monotonic time in ms.
        """
        if not in_contact:
            self._since_ms = None
        elif self._since_ms is None:
            self._since_ms = now_ms
        if now_ms - self._updated_ms < UPDATE_MS:
            return
        self._updated_ms = now_ms
        for server in servers.all():
            self.record_listed(server.service, server.version, now_ms)
        for versions in self._seen_ms.values():
            if len(versions) > 1:
                for version, seen_ms in list(versions.items()):
                    if now_ms - seen_ms >= KEEP_MS:
                        del versions[version]

    def record_pause(self) -> None:
        """Records that this process was suspended, which is a gap."""
        self._since_ms = None

    def record_listed(self, service: str, version: str, now_ms: int) -> None:
        """Records that a server of a version is listed now."""
        self._seen_ms.setdefault(service, {})[version] = now_ms

    def covered_ms(self, now_ms: int) -> int:
        """Returns for how long this host has seen the list without a gap."""
        return 0 if self._since_ms is None else now_ms - self._since_ms

    def absent_ms(self, service: str, version: str, now_ms: int) -> int:
        """Returns for how long a version is known not to have been listed."""
        seen_ms = self._seen_ms.get(service, {}).get(version)
        covered_ms = self.covered_ms(now_ms)
        if seen_ms is None:
            return covered_ms
        return min(covered_ms, now_ms - seen_ms)
