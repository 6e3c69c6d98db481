"""Software versions that the servers of each service had lately."""

from __future__ import annotations

from typing import Final

from .servers import Servers

# Time after a server is listed in which hosts that do not know it yet may
# count its service as one of a single version.
LISTING_DELAY_MS: Final = 2_000
# Versions that were not listed for this long are forgotten.
KEEP_MS: Final = 120_000
# Interval at which the list is looked through.
UPDATE_MS: Final = 1_000


class VersionHistory:
    """Versions by service, as far as this host has seen the store's list.

    Times without contact to the store, in which a version may have come and
    gone, are gaps: only what follows the last one counts.
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

    def find_only(
        self, service: str, servers: Servers, span_ms: int, now_ms: int
    ) -> str | None:
        """Returns the only version of a service; None if there is none.

        Servers that name no version all have the same one.

        Args:
            service: Name of the service.
            servers: The listed servers.
            span_ms: Time for which there must have been no other version.
            now_ms: Monotonic time in ms.
        """
        versions = {server.version for server in servers.listed(service)}
        seen = self._seen_ms.get(service, {})
        if versions == {""} and versions.issuperset(seen):
            return ""
        span_ms += LISTING_DELAY_MS
        if self._since_ms is None or now_ms - self._since_ms < span_ms:
            return None
        versions.update(v for v, at in seen.items() if now_ms - at < span_ms)
        return versions.pop() if len(versions) == 1 else None
