"""Answers of backend servers, checked to be whole."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Final

import aiohttp
import anyio
import httpx

from ..core.messages import Stage
from ..ports.backend import AnswerCut, AttemptFault
from .connection_pools import ConnectionPool
from .hop_headers import HOP_BY_HOP_HEADERS

REQUEST_ID_HEADER: Final = "x-request-id"
RESUME_TOKEN_HEADER: Final = "corianderdoor-resume"
EVENT_STREAM_TYPE: Final = "text/event-stream"
END_MARKER: Final = b"data: [DONE]"
TAIL_BYTES: Final = 32
NO_BODY_STATUSES: Final = frozenset({204, 304})
HEADERS_NOT_FORWARDED: Final = frozenset(
    {
        b"date",
        b"server",
        REQUEST_ID_HEADER.encode(),
        RESUME_TOKEN_HEADER.encode(),
    }
)


def drop_hop_by_hop_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns `headers` without those that concern one connection.

    A header that `Connection` names is such a one too.
    """
    lower = [(name.lower(), value) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in lower
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP_HEADERS | named
    return [pair for pair in lower if pair[0] not in dropped]


class HttpAnswer:
    """An answer in progress.

    Attributes:
        offset: Bytes of the body yielded so far, over all its parts.
        lane: The connections that it came over.
    """

    __slots__ = (
        "offset",
        "conn_pool",
        "_resp",
        "_method",
        "_needs_end_marker",
        "_tail",
        "_complete",
        "_closed",
    )

    def __init__(
        self,
        resp: httpx.Response,
        conn_pool: ConnectionPool,
        method: str,
        engine: bool,
        offset: int = 0,
    ) -> None:
        self.offset = offset
        self.conn_pool = conn_pool
        self._resp = resp
        self._method = method
        self._needs_end_marker = engine and _is_event_stream(resp)
        self._tail = b""
        self._complete = False
        self._closed = False

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._resp.status_code

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers to pass on."""
        return [
            pair
            for pair in drop_hop_by_hop_headers(self._resp.headers.raw)
            if pair[0] not in HEADERS_NOT_FORWARDED
        ]

    @property
    def resume_token(self) -> str:
        """What the server calls this stream; empty if it can't resume."""
        return str(self._resp.headers.get(RESUME_TOKEN_HEADER, ""))

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yields the body as it arrives, unparsed.

        Raises:
            AnswerCut: The body ended before its end or went silent.
        """
        stream = self._resp.stream
        assert isinstance(stream, httpx.AsyncByteStream)
        try:
            async for chunk in stream:
                self.offset += len(chunk)
                if self._needs_end_marker:
                    self._tail = (self._tail + chunk[-TAIL_BYTES:])[
                        -TAIL_BYTES:
                    ]
                yield chunk
        except httpx.TimeoutException as exc:
            raise self._cut("the answer went silent", silent=True) from exc
        except (httpx.HTTPError, aiohttp.ClientError, OSError) as exc:
            raise self._cut(f"the answer was cut: {exc}") from exc
        self._check_end()
        self._complete = True
        self.conn_pool.known_good = True

    def _check_end(self) -> None:
        if self._needs_end_marker:
            if not self._tail.rstrip().endswith(END_MARKER):
                raise self._cut("the event stream ended without its marker")
        elif not self._is_framed():
            raise self._cut(
                "the answer has neither a length nor chunks, "
                "so that its end can't be told from a cut"
            )

    def _is_framed(self) -> bool:
        headers = self._resp.headers
        return (
            self._method == "HEAD"
            or self.status in NO_BODY_STATUSES
            or "content-length" in headers
            or headers.get("transfer-encoding", "").lower() == "chunked"
        )

    def _cut(self, detail: str, silent: bool = False) -> AnswerCut:
        return AnswerCut(
            AttemptFault(
                Stage.ANSWER,
                detail,
                broken=not silent,
                silent=silent,
                accuses_server=silent and not self.conn_pool.known_good,
            )
        )

    async def close(self) -> None:
        """Ends the exchange; an answer not read whole closes its
        connection, which cancels the request at the server.
        """
        if self._closed:
            return
        self._closed = True
        with anyio.CancelScope(shield=True):
            await self._resp.aclose()
            await self.conn_pool.release()


def _is_event_stream(resp: httpx.Response) -> bool:
    kind = resp.headers.get("content-type", "")
    return resp.is_success and kind.startswith(EVENT_STREAM_TYPE)
