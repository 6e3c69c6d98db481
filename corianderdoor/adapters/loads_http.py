"""HTTP client for the load reports of backend servers."""

from __future__ import annotations

from typing import Final

from expression import Error, Ok, Result
import httpx
import msgspec

from ..core.errors import Fault, Kind
from ..core.load_report import LoadReport
from ..core.topology import Server

CALL_TIMEOUT_S: Final = 1.0
LOAD_PATH: Final = "/load"


class _Report(msgspec.Struct):
    in_flight: int
    incarnation: int = 0
    uptime_ms: int = 0
    work: int = 0
    completed: int = 0
    cached_tokens: int | None = None
    leaving: bool = False


class HttpLoads:
    """Reads `GET /load` of a backend server."""

    __slots__ = ("_client",)

    def __init__(self) -> None:
        self._client = httpx.AsyncClient(
            timeout=CALL_TIMEOUT_S, trust_env=False
        )

    async def read(self, server: Server) -> Result[LoadReport, Fault]:
        """Returns the server's latest report."""
        try:
            resp = await self._client.get(server.address + LOAD_PATH)
            resp.raise_for_status()
            report = msgspec.json.decode(resp.content, type=_Report)
        except (httpx.HTTPError, msgspec.MsgspecError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            return Error(
                Fault(Kind.PEER_FAILED, "read-load", detail, server.name)
            )
        return Ok(
            LoadReport(
                server.name,
                report.incarnation or server.incarnation,
                report.uptime_ms,
                report.in_flight,
                report.work,
                report.completed,
                report.cached_tokens,
                report.leaving,
            )
        )

    async def close(self) -> None:
        """Closes every connection."""
        await self._client.aclose()
