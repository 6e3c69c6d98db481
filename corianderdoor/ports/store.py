"""Port to the platform's key-value service."""

from __future__ import annotations

from typing import Protocol

from expression import Result

from ..core.errors import Fault
from ..core.records import Record


class Versioned(Record):
    """A value with its version in the service."""

    __slots__ = ("value", "version")

    def __init__(self, value: bytes, version: int) -> None:
        self.value = value
        self.version = version


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Versions grow with every write to any key and never repeat. A fault
    with `Outcome.UNKNOWN` means that the write may have taken effect.
    """

    async def read(self, key: str) -> Result[Versioned | None, Fault]:
        """Returns the value of `key`, or None if there is none."""

    async def write(
        self, key: str, value: bytes, version: int, lease: str = ""
    ) -> Result[int, Fault]:
        """Writes if `key` is at `version`, which is 0 if it is absent.

        Args:
            key: The key.
            value: The new value, at most 1 MB.
            version: The version that the caller last saw.
            lease: A lease; when it ends, the service removes the key.

        Returns:
            The new version; a `Kind.CONFLICT` fault if the key was at
            another version.
        """

    async def wait_above(
        self, key: str, version: int, timeout_ms: int
    ) -> Result[Versioned | None, Fault]:
        """Waits for a version above `version`; None on a timeout."""

    async def grant_lease(self, ttl_ms: int) -> Result[str, Fault]:
        """Returns the id of a new lease with a TTL of `ttl_ms`."""

    async def renew_lease(self, lease: str) -> Result[None, Fault]:
        """Extends a lease by its TTL from now."""
