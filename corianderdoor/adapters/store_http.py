"""HTTP client for the key-value service."""

from __future__ import annotations

from typing import Final

from expression import Error, Ok, Result
import httpx

from ..core.clock import MS_PER_SECOND
from ..core.errors import Fault, Kind, Outcome
from ..ports.store import Versioned

CALL_TIMEOUT_S: Final = 2.0
VERSION_HEADER: Final = "x-version"
NOT_FOUND: Final = 404
NOT_MODIFIED: Final = 304
PRECONDITION_FAILED: Final = 412


class HttpStore:
    """A client of the key-value service."""

    __slots__ = ("_client", "_peer")

    def __init__(self, base_url: str) -> None:
        self._peer = base_url
        self._client = httpx.AsyncClient(
            base_url=base_url, timeout=CALL_TIMEOUT_S, trust_env=False
        )

    async def read(self, key: str) -> Result[Versioned | None, Fault]:
        """Returns the value of `key`; None if the key is absent."""
        return await self._get(key, {}, CALL_TIMEOUT_S)

    async def wait_above(
        self, key: str, version: int, timeout_ms: int
    ) -> Result[Versioned | None, Fault]:
        """Waits until the version of `key` exceeds `version`.

        Returns:
            The new value; None on a timeout or if the key is absent.
        """
        params = {"above": version, "wait_ms": timeout_ms}
        timeout_s = timeout_ms / MS_PER_SECOND + CALL_TIMEOUT_S
        return await self._get(key, params, timeout_s)

    async def write(
        self, key: str, value: bytes, version: int, lease: str = ""
    ) -> Result[int, Fault]:
        """Writes `value` if `key` is at `version`; 0 for an absent key.

        Returns:
            The new version; a `Kind.CONFLICT` fault if the key is at
            another version.
        """
        params: dict[str, str | int] = {"version": version}
        if lease:
            params["lease"] = lease
        try:
            resp = await self._client.put(
                f"/kv/{key}", params=params, content=value
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            return Error(self._build_fault("write", exc, Outcome.NOT_RUN))
        except httpx.HTTPError as exc:
            return Error(self._build_fault("write", exc, Outcome.UNKNOWN))
        if resp.status_code == PRECONDITION_FAILED:
            detail = (
                f"key {key} is at version {resp.headers.get(VERSION_HEADER)}"
            )
            return Error(
                Fault(Kind.CONFLICT, "store-write", detail, self._peer)
            )
        if resp.is_error:
            return Error(
                self._build_fault("write", resp.status_code, Outcome.UNKNOWN)
            )
        return Ok(int(resp.headers[VERSION_HEADER]))

    async def grant_lease(self, ttl_ms: int) -> Result[str, Fault]:
        """Grants a lease of `ttl_ms` and returns its id."""
        try:
            resp = await self._client.post(
                "/leases", params={"ttl_ms": ttl_ms}
            )
        except httpx.HTTPError as exc:
            return Error(
                self._build_fault("grant-lease", exc, Outcome.UNKNOWN)
            )
        if resp.is_error:
            return Error(
                self._build_fault(
                    "grant-lease", resp.status_code, Outcome.NOT_RUN
                )
            )
        return Ok(str(resp.json()["lease"]))

    async def renew_lease(self, lease: str) -> Result[None, Fault]:
        """Renews a lease for its full length from now.

        Returns:
            A `Kind.LEASE_LOST` fault if the lease has ended.
        """
        try:
            resp = await self._client.post(f"/leases/{lease}")
        except httpx.HTTPError as exc:
            return Error(
                self._build_fault("renew-lease", exc, Outcome.UNKNOWN)
            )
        if resp.status_code == NOT_FOUND:
            detail = f"lease {lease} has ended"
            return Error(
                Fault(Kind.LEASE_LOST, "renew-lease", detail, self._peer)
            )
        if resp.is_error:
            return Error(
                self._build_fault(
                    "renew-lease", resp.status_code, Outcome.UNKNOWN
                )
            )
        return Ok(None)

    async def close(self) -> None:
        """Closes every connection."""
        await self._client.aclose()

    async def _get(
        self, key: str, params: dict[str, int], timeout_s: float
    ) -> Result[Versioned | None, Fault]:
        try:
            resp = await self._client.get(
                f"/kv/{key}", params=params, timeout=timeout_s
            )
        except httpx.HTTPError as exc:
            return Error(self._build_fault("read", exc, Outcome.NOT_RUN))
        if resp.status_code in (NOT_FOUND, NOT_MODIFIED):
            return Ok(None)
        if resp.is_error:
            return Error(
                self._build_fault("read", resp.status_code, Outcome.NOT_RUN)
            )
        return Ok(Versioned(resp.content, int(resp.headers[VERSION_HEADER])))

    def _build_fault(
        self, step: str, cause: Exception | int, outcome: Outcome
    ) -> Fault:
        detail = f"status {cause}"
        if isinstance(cause, Exception):
            detail = f"{type(cause).__name__}: {cause}"
        return Fault(
            Kind.STORE_FAILED, f"store-{step}", detail, self._peer, outcome
        )
