"""Client of the backend servers over HTTP, based on httpx."""

from __future__ import annotations

from typing import Final

import aiohttp
import anyio
from expression import Error, Ok, Result
import httpx

from ..core.clock import MS_PER_SECOND
from ..core.errors import Outcome
from ..core.messages import Stage
from ..core.topology import Server
from ..ports.backend import Answer, AttemptFault, Call
from .backend_answer import HttpAnswer, REQUEST_ID_HEADER, RESUME_TOKEN_HEADER
from .connection_pools import ConnectionPool, ConnectionPools

OUTCOME_HEADER: Final = "corianderdoor-outcome"
DEADLINE_HEADER: Final = "corianderdoor-deadline-ms"
RESUME_OFFSET_HEADER: Final = "corianderdoor-resume-offset"
RESUME_PATH: Final = "/corianderdoor/v1/resume"
# Statuses of an answer (RFC 9110, section 15); others are invalid.
STATUSES: Final = range(200, 600)
CONNECT_TIMEOUT_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.25
CONNECT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class HttpBackend:
    """Sends requests to backend servers over pooled connections."""

    __slots__ = ("_conn_pools",)

    def __init__(self) -> None:
        self._conn_pools = ConnectionPools()

    async def send(
        self, server: Server, call: Call, timeout_ms: int, silence_ms: int
    ) -> Result[Answer, AttemptFault]:
        """Sends `call` and waits for the answer's headers."""
        headers = [
            *call.headers,
            (REQUEST_ID_HEADER.encode(), call.id.encode()),
            (DEADLINE_HEADER.encode(), str(timeout_ms).encode()),
        ]
        req = httpx.Request(
            call.method,
            server.address + call.path,
            headers=headers,
            content=call.body,
            extensions=_build_timeouts(timeout_ms, silence_ms),
        )
        return await self._exchange(server, call, req, 0)

    async def resume(
        self,
        server: Server,
        call: Call,
        answer: Answer,
        timeout_ms: int,
        silence_ms: int,
    ) -> Result[Answer, AttemptFault]:
        """Requests the rest of a truncated answer from its byte offset."""
        headers = {
            RESUME_TOKEN_HEADER: answer.resume_token,
            RESUME_OFFSET_HEADER: str(answer.offset),
            REQUEST_ID_HEADER: call.id,
            DEADLINE_HEADER: str(timeout_ms),
        }
        req = httpx.Request(
            "GET",
            server.address + RESUME_PATH,
            headers=headers,
            extensions=_build_timeouts(timeout_ms, silence_ms),
        )
        return await self._exchange(server, call, req, answer.offset)

    async def _exchange(
        self, server: Server, call: Call, req: httpx.Request, offset: int
    ) -> Result[Answer, AttemptFault]:
        conn_pool = self._conn_pools.acquire(server.address)
        answer: HttpAnswer | None = None
        try:
            sent = await self._send(server, conn_pool, req)
            match sent:
                case Result(tag="ok", ok=resp):
                    answer = HttpAnswer(
                        resp, conn_pool, call.method, server.engine, offset
                    )
                case Result(error=fault):
                    return Error(fault)
            refusal = _check_answer(resp, call, offset)
            if refusal is not None:
                await answer.close()
                return Error(refusal)
            return Ok(answer)
        finally:
            if answer is None:
                with anyio.CancelScope(shield=True):
                    await conn_pool.release()

    async def _send(
        self, server: Server, conn_pool: ConnectionPool, req: httpx.Request
    ) -> Result[httpx.Response, AttemptFault]:
        try:
            return Ok(await conn_pool.send(req))
        except (httpx.HTTPError, aiohttp.ClientError, OSError) as exc:
            if isinstance(exc.__cause__ or exc, CONNECT_ERRORS):
                detail = f"no connection: {exc}"
                return Error(
                    AttemptFault(Stage.CONNECT, detail, server_at_fault=True)
                )
            if isinstance(exc, httpx.TimeoutException) and isinstance(
                exc.__cause__, aiohttp.ServerTimeoutError
            ):
                await self._conn_pools.replace(server.address, conn_pool)
                return Error(
                    AttemptFault(
                        Stage.SENT,
                        "no answer in time",
                        silent=True,
                        server_at_fault=not conn_pool.known_good,
                    )
                )
            detail = f"the connection broke: {exc}"
            return Error(AttemptFault(Stage.SENT, detail, broken=True))

    async def accepts_connection(self, server: Server) -> bool:
        """Returns whether `server` accepts a new connection now."""
        url = httpx.URL(server.address)
        port = url.port or (443 if url.scheme == "https" else 80)
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            try:
                stream = await anyio.connect_tcp(url.host, port)
            except OSError:
                return False
            await stream.aclose()
            return True
        return False

    async def retire_connections(self, server: Server, answer: Answer) -> None:
        """Sends no new request over the pool of an answer that timed out."""
        if isinstance(answer, HttpAnswer):
            await self._conn_pools.replace(server.address, answer.conn_pool)

    async def retain(self, servers: tuple[Server, ...]) -> None:
        """Retires the pools of all servers but `servers`."""
        await self._conn_pools.retain(frozenset(s.address for s in servers))

    async def close(self) -> None:
        """Closes every connection."""
        await self._conn_pools.close()


def _build_timeouts(
    timeout_ms: int, silence_ms: int
) -> dict[str, dict[str, float]]:
    left_s = timeout_ms / MS_PER_SECOND
    connect_s = min(left_s, CONNECT_TIMEOUT_S)
    return {
        "timeout": {
            "connect": connect_s,
            "pool": connect_s,
            "read": min(left_s, silence_ms / MS_PER_SECOND),
        }
    }


def _check_answer(
    resp: httpx.Response, call: Call, offset: int
) -> AttemptFault | None:
    """Returns the fault if `resp` is not an answer to `call`, else None.

    A server that did not run the request (`corianderdoor-outcome`) has to
    name it by its id; otherwise the refusal may belong to another request.
    """
    if resp.status_code not in STATUSES:
        detail = f"{resp.status_code} is no status of HTTP"
        return AttemptFault(Stage.SENT, detail, server_at_fault=True)
    echoed = resp.headers.get(REQUEST_ID_HEADER)
    if echoed is not None and echoed != call.id:
        detail = f"the answer belongs to request {echoed}"
        return AttemptFault(Stage.SENT, detail, server_at_fault=True)
    if offset and (
        echoed is None
        or resp.status_code != httpx.codes.PARTIAL_CONTENT
        or resp.headers.get(RESUME_OFFSET_HEADER) != str(offset)
    ):
        detail = f"the server did not resume at byte {offset}"
        return AttemptFault(Stage.ANSWER, detail)
    if resp.headers.get(OUTCOME_HEADER) != Outcome.NOT_RUN.value or offset:
        return None
    if echoed is None:
        detail = "a refusal that names no request"
        return AttemptFault(Stage.SENT, detail)
    detail = f"the server refused with status {resp.status_code}"
    return AttemptFault(
        Stage.REFUSED, detail, retry_after_ms=_read_retry_after_ms(resp)
    )


def _read_retry_after_ms(resp: httpx.Response) -> int | None:
    text = resp.headers.get("retry-after", "")
    return int(text) * MS_PER_SECOND if text.isdigit() else None
