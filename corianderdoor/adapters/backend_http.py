"""Backend servers over HTTP, by httpx."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final

from expression import Error, Ok, Result
import httpx

from ..core.clock import MS_PER_SECOND
from ..core.errors import Outcome
from ..core.messages import Stage
from ..core.topology import Server
from ..ports.backend import Answer, AnswerCut, AttemptFault, Call

REQUEST_ID: Final = "x-request-id"
OUTCOME: Final = "corianderdoor-outcome"
CONNECT_TIMEOUT_S: Final = 1.0
PROGRESS_TIMEOUT_S: Final = 20.0
MAX_CONNECTIONS: Final = 4_096
IDLE_CONNECTION_S: Final = 30.0
HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def drop_hop_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns `headers` without those that concern one connection."""
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS
    ]


class HttpAnswer:
    """An answer in progress."""

    __slots__ = ("_resp",)

    def __init__(self, resp: httpx.Response) -> None:
        self._resp = resp

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._resp.status_code

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers to pass on."""
        return drop_hop_headers(self._resp.headers.raw)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives, unparsed.

        Raises:
            AnswerCut: The body ended before its end or went silent.
        """
        try:
            async for chunk in self._resp.aiter_raw():
                yield chunk
        except httpx.ReadTimeout as exc:
            fault = AttemptFault(Stage.ANSWER, "the answer went silent")
            raise AnswerCut(fault) from exc
        except (httpx.HTTPError, httpx.StreamError) as exc:
            detail = f"the answer was cut: {exc}"
            fault = AttemptFault(Stage.ANSWER, detail, crashed=True)
            raise AnswerCut(fault) from exc

    async def close(self) -> None:
        """Ends the exchange; an answer not read whole closes its
        connection, which cancels the request at the server.
        """
        await self._resp.aclose()


class HttpBackend:
    """Sends requests to backend servers over kept connections."""

    __slots__ = ("_client",)

    def __init__(self, client: httpx.AsyncClient | None = None) -> None:
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=IDLE_CONNECTION_S,
        )
        self._client = client or httpx.AsyncClient(
            limits=limits, trust_env=False, follow_redirects=False
        )

    async def send(
        self, server: Server, call: Call, timeout_ms: int
    ) -> Result[Answer, AttemptFault]:
        """Sends `call` and waits for the answer's headers."""
        left_s = timeout_ms / MS_PER_SECOND
        timeout = httpx.Timeout(
            min(left_s, PROGRESS_TIMEOUT_S),
            connect=min(left_s, CONNECT_TIMEOUT_S),
        )
        headers = [*call.headers, (REQUEST_ID.encode(), call.id.encode())]
        req = self._client.build_request(
            call.method,
            server.address + call.path,
            headers=headers,
            content=call.body,
            timeout=timeout,
        )
        try:
            resp = await self._client.send(req, stream=True)
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as exc:
            return Error(AttemptFault(Stage.CONNECT, f"no connection: {exc}"))
        except httpx.TimeoutException:
            return Error(AttemptFault(Stage.SENT, "no answer in time"))
        except httpx.HTTPError as exc:
            detail = f"the connection broke: {exc}"
            return Error(AttemptFault(Stage.SENT, detail, crashed=True))
        return await self._check(resp, call)

    async def _check(
        self, resp: httpx.Response, call: Call
    ) -> Result[Answer, AttemptFault]:
        echoed = resp.headers.get(REQUEST_ID)
        if echoed is not None and echoed != call.id:
            await resp.aclose()
            detail = f"the answer belongs to request {echoed}"
            return Error(AttemptFault(Stage.SENT, detail))
        if resp.headers.get(OUTCOME) == Outcome.NOT_RUN.value:
            retry_after_ms = _read_retry_after_ms(resp)
            await resp.aclose()
            detail = f"the server refused with status {resp.status_code}"
            return Error(
                AttemptFault(
                    Stage.REFUSED, detail, retry_after_ms=retry_after_ms
                )
            )
        return Ok(HttpAnswer(resp))

    async def close(self) -> None:
        """Closes every connection."""
        await self._client.aclose()


def _read_retry_after_ms(resp: httpx.Response) -> int | None:
    text = resp.headers.get("retry-after", "")
    return int(text) * MS_PER_SECOND if text.isdigit() else None
