"""HTTP client for the platform's host list."""

from __future__ import annotations

from typing import Final

from expression import Error, Ok, Result
import httpx
import msgspec

from ..core.errors import Fault, Kind
from ..core.topology import EntryHost, HostList, Server

CALL_TIMEOUT_S: Final = 2.0


class _Entry(msgspec.Struct):
    name: str
    data_centre: str
    region: str
    address: str
    control: str


class _Server(msgspec.Struct):
    name: str
    host: str
    data_centre: str
    pool: str
    address: str
    incarnation: int
    capacity: int
    engine: bool
    leaving: bool = False


class _Listing(msgspec.Struct):
    entries: list[_Entry]
    servers: list[_Server]


class HttpHosts:
    """A client of the host list."""

    __slots__ = ("_client", "_peer")

    def __init__(self, base_url: str) -> None:
        self._peer = base_url
        self._client = httpx.AsyncClient(
            base_url=base_url, timeout=CALL_TIMEOUT_S, trust_env=False
        )

    async def list_hosts(self) -> Result[HostList, Fault]:
        """Returns the current list of hosts and servers."""
        try:
            resp = await self._client.get("/hosts")
            resp.raise_for_status()
            listing = msgspec.json.decode(resp.content, type=_Listing)
        except (httpx.HTTPError, msgspec.MsgspecError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            return Error(
                Fault(Kind.PEER_FAILED, "list-hosts", detail, self._peer)
            )
        return Ok(_build_list(listing))

    async def close(self) -> None:
        """Closes every connection."""
        await self._client.aclose()


def _build_list(listing: _Listing) -> HostList:
    entries = tuple(
        EntryHost(
            entry.name,
            entry.data_centre,
            entry.region,
            entry.address,
            entry.control,
        )
        for entry in listing.entries
    )
    servers = tuple(
        Server(
            item.name,
            item.host,
            item.data_centre,
            item.pool,
            item.address,
            item.incarnation,
            item.capacity,
            item.engine,
        )
        for item in listing.servers
    )
    leaving = frozenset(item.name for item in listing.servers if item.leaving)
    return HostList(entries, servers, leaving)
